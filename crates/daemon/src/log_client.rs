//! HTTP client of the log service. To use another log service, replace this module.
//!
//! - `POST /v1/records` with `{"payload": TEXT}` is answered with 201 and `{"offset": N}`, or with
//!   429 if the service is busy.
//! - `GET /v1/records?from=N&limit=M&wait_ms=W` is answered with 200 and
//!   `{"first", "next", "records"}`, or with 410 and `{"first": N}` if the records at `from` have
//!   been trimmed.
//!
//! If there is no answer within the timeout, or its status or body is another than above, the
//! service counts as down.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cyclamen_distribution::{LogBatch, LogReadError};
use cyclamen_ledger::LogRecord;
use cyclamen_types::Offset;
use cyclamenmoor::AppendError;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};

/// Largest number of records requested in one read.
const MAX_RECORDS_PER_READ: u32 = 1_000;

/// Largest response body accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Timeout of a request, in addition to the wait time of a long poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A client of the log service. Clones share its connections.
#[derive(Clone)]
pub struct LogClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

#[derive(Serialize)]
struct AppendRequest<'a> {
    payload: &'a str,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: Offset,
}

#[derive(Deserialize)]
struct ReadResponse {
    first: Offset,
    next: Offset,
    records: Vec<LogRecord>,
}

#[derive(Deserialize)]
struct TrimmedResponse {
    first: Offset,
}

impl LogClient {
    /// Creates a client of the log service at `address`; connections are opened on demand.
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(HttpConnector::new());
        Self { client, address }
    }

    /// Appends one record and returns its offset.
    ///
    /// # Errors
    /// The service is busy, or does not answer as expected. The record may be in the log whatever
    /// the error.
    pub async fn append(&self, payload: &Arc<str>) -> Result<Offset, AppendError> {
        let body = serde_json::to_vec(&AppendRequest { payload }).unwrap_or_default();
        let response = self.send(Method::POST, "/v1/records".into(), body, RESPONSE_TIMEOUT).await;
        let (status, bytes) = response.ok_or(AppendError::Unanswered)?;
        if status == StatusCode::TOO_MANY_REQUESTS {
            return Err(AppendError::Busy);
        }
        if status != StatusCode::CREATED {
            return Err(AppendError::Unanswered);
        }
        let response: AppendResponse =
            serde_json::from_slice(&bytes).map_err(|_| AppendError::Unanswered)?;
        Ok(response.offset)
    }

    /// Reads records from offset `from` on; waits up to `wait` for the first one.
    ///
    /// # Errors
    /// The service is down, or the records at `from` have been trimmed.
    pub async fn read(&self, from: Offset, wait: Duration) -> Result<LogBatch, LogReadError> {
        let wait_ms = wait.as_millis();
        let path =
            format!("/v1/records?from={from}&limit={MAX_RECORDS_PER_READ}&wait_ms={wait_ms}");
        let response = self.send(Method::GET, path, Vec::new(), wait + RESPONSE_TIMEOUT).await;
        let (status, bytes) = response.ok_or(LogReadError::Down)?;
        if status == StatusCode::GONE {
            let trimmed: TrimmedResponse =
                serde_json::from_slice(&bytes).map_err(|_| LogReadError::Down)?;
            return Err(LogReadError::Trimmed { first: trimmed.first });
        }
        if status != StatusCode::OK {
            return Err(LogReadError::Down);
        }
        let response: ReadResponse =
            serde_json::from_slice(&bytes).map_err(|_| LogReadError::Down)?;
        Ok(LogBatch { records: response.records, first: response.first, next: response.next })
    }

    async fn send(
        &self,
        method: Method,
        path: String,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Option<(StatusCode, Bytes)> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        let exchange = async {
            let response = self.client.request(req).await.ok()?;
            let status = response.status();
            let body =
                Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await.ok()?;
            Some((status, body.to_bytes()))
        };
        tokio::time::timeout(timeout, exchange).await.ok()?
    }
}

#[cfg(test)]
mod tests;
