//! A client of the administration API that tries several daemons in turn.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cyclamen_daemon::admin::{ApiError, ErrorCode};
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use crate::error::Failure;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait for an answer, beyond what the request itself asks for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest answer read, in bytes.
const ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Asks daemons in turn until one answers. Each request is safe to repeat: a publication carries
/// its change id.
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    daemons: Vec<SocketAddr>,
    token: Option<String>,
}

/// A request to a daemon.
pub struct Ask {
    /// Its method.
    pub method: Method,
    /// Its path, with query.
    pub path: String,
    /// Its body.
    pub body: Bytes,
    /// How long the daemon may take, by the request's own word.
    pub wait: Duration,
}

impl Ask {
    /// A request that reads.
    pub fn get(path: impl Into<String>) -> Self {
        let body = Bytes::new();
        Self { method: Method::GET, path: path.into(), body, wait: Duration::ZERO }
    }

    /// A request that writes.
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self { method: Method::POST, body: body.into(), ..Self::get(path) }
    }

    /// Lets the daemon take this long.
    pub fn waiting(mut self, wait: Duration) -> Self {
        self.wait = wait;
        self
    }
}

/// Why one daemon gave no answer that counts.
enum Miss {
    /// Try the next daemon.
    Next(String),
    /// The answer is final.
    Final(Failure),
}

impl Client {
    /// A client of these daemons.
    pub fn new(daemons: Vec<SocketAddr>, token: Option<String>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = HttpClient::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { http, daemons, token }
    }

    /// The same client for another daemon.
    pub fn at(&self, daemon: SocketAddr) -> Self {
        Self { http: self.http.clone(), daemons: vec![daemon], token: self.token.clone() }
    }

    /// Asks the daemons in turn.
    ///
    /// # Errors
    /// No daemon answers, or one answers with an error.
    pub async fn ask<T: DeserializeOwned>(&self, ask: &Ask) -> Result<T, Failure> {
        let mut misses = Vec::new();
        for daemon in &self.daemons {
            match self.ask_one(*daemon, ask).await {
                Ok(answer) => return Ok(answer),
                Err(Miss::Next(reason)) => misses.push(format!("{daemon} {reason}")),
                Err(Miss::Final(failure)) => return Err(failure),
            }
        }
        Err(Failure::Unreachable(misses.join(", ")))
    }

    async fn ask_one<T: DeserializeOwned>(&self, daemon: SocketAddr, ask: &Ask) -> Result<T, Miss> {
        let mut req = Request::builder()
            .method(&ask.method)
            .uri(format!("http://{daemon}{}", ask.path))
            .header(CONTENT_TYPE, "application/json");
        if let Some(token) = &self.token {
            req = req.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        let req = req.body(Full::new(ask.body.clone())).map_err(|error| {
            let message = format!("the request cannot be sent ({error}): check names and token");
            Miss::Final(Failure::Usage(message))
        })?;
        let exchange = async {
            let response = self.http.request(req).await.map_err(|error| unreachable(&error))?;
            let status = response.status();
            let body = Limited::new(response.into_body(), ANSWER_BYTES).collect().await;
            let body = body.map_err(|error| Miss::Next(format!("broke off ({error})")))?;
            Ok((status, body.to_bytes()))
        };
        let timeout = ask.wait + ANSWER_TIMEOUT;
        let Ok(answer) = tokio::time::timeout(timeout, exchange).await else {
            return Err(Miss::Next("does not answer in time".into()));
        };
        let (status, body) = answer?;
        read(daemon, status, &body)
    }
}

fn unreachable(error: &hyper_util::client::legacy::Error) -> Miss {
    let reason = if error.is_connect() { "takes no connection" } else { "gives no answer" };
    Miss::Next(reason.into())
}

fn read<T: DeserializeOwned>(
    daemon: SocketAddr,
    status: StatusCode,
    body: &[u8],
) -> Result<T, Miss> {
    if status.is_success() {
        return serde_json::from_slice(body).map_err(|error| {
            Miss::Final(Failure::Answer(format!("{daemon} answered what does not parse ({error})")))
        });
    }
    let Ok(error) = serde_json::from_slice::<ApiError>(body) else {
        return Err(Miss::Final(Failure::Answer(format!("{daemon} answered {status}"))));
    };
    if error.error_code == ErrorCode::NotReady {
        return Err(Miss::Next("is not ready".into()));
    }
    Err(Miss::Final(Failure::Api(Box::new(error))))
}
