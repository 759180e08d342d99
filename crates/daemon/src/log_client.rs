//! The platform's log service over HTTP: the one place that another platform replaces.
//!
//! `POST /v1/records` with `{"payload": TEXT}` answers 201 and `{"offset": N}`.
//! `GET /v1/records?from=N&limit=M&wait_ms=W` answers 200 and `{"first", "next", "records"}`, or
//! 410 and `{"first": N}` when `from` is no longer kept. Any other status counts as down, 429 as
//! busy.

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

/// Records asked for in one read.
const READ_LIMIT: u32 = 1_000;

/// Largest answer read, in bytes.
const ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Longest wait for an answer, beyond what a long poll asks for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// A client of the log service.
#[derive(Clone)]
pub struct LogClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

#[derive(Serialize)]
struct AppendBody<'a> {
    payload: &'a str,
}

#[derive(Deserialize)]
struct AppendAnswer {
    offset: Offset,
}

#[derive(Deserialize)]
struct ReadAnswer {
    first: Offset,
    next: Offset,
    records: Vec<LogRecord>,
}

#[derive(Deserialize)]
struct TrimmedAnswer {
    first: Offset,
}

impl LogClient {
    /// A client of the log service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(HttpConnector::new());
        Self { client, address }
    }

    /// Appends one record.
    ///
    /// # Errors
    /// Whatever the error, the record may be in the log.
    pub async fn append(&self, payload: &Arc<str>) -> Result<Offset, AppendError> {
        let body = serde_json::to_vec(&AppendBody { payload }).unwrap_or_default();
        let answer = self.send(Method::POST, "/v1/records".into(), body, ANSWER_TIMEOUT).await;
        let (status, bytes) = answer.ok_or(AppendError::Unanswered)?;
        if status == StatusCode::TOO_MANY_REQUESTS {
            return Err(AppendError::Busy);
        }
        let answer: AppendAnswer =
            serde_json::from_slice(&bytes).map_err(|_| AppendError::Unanswered)?;
        Ok(answer.offset)
    }

    /// Reads records from an offset; waits up to `wait` for the first one.
    ///
    /// # Errors
    /// The log is down, or the offset is no longer kept.
    pub async fn read(&self, from: Offset, wait: Duration) -> Result<LogBatch, LogReadError> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/records?from={from}&limit={READ_LIMIT}&wait_ms={wait_ms}");
        let answer = self.send(Method::GET, path, Vec::new(), wait + ANSWER_TIMEOUT).await;
        let (status, bytes) = answer.ok_or(LogReadError::Down)?;
        if status == StatusCode::GONE {
            let trimmed: TrimmedAnswer =
                serde_json::from_slice(&bytes).map_err(|_| LogReadError::Down)?;
            return Err(LogReadError::Trimmed { first: trimmed.first });
        }
        let answer: ReadAnswer = serde_json::from_slice(&bytes).map_err(|_| LogReadError::Down)?;
        Ok(LogBatch { records: answer.records, first: answer.first, next: answer.next })
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
            let body = Limited::new(response.into_body(), ANSWER_BYTES).collect().await.ok()?;
            Some((status, body.to_bytes()))
        };
        tokio::time::timeout(timeout, exchange).await.ok()?
    }
}
