//! One call as a caller makes it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::Display;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::backend::CallKey;

/// Idle connections kept for one address.
const IDLE_CONNECTIONS: usize = 512;

/// The header that tells how a call without a backend server's answer ended.
const OUTCOME_HEADER: &str = "x-cyclamen-outcome";

/// A call to make.
#[derive(Clone, Debug)]
pub struct CallPlan {
    /// Its method.
    pub method: Method,
    /// The host asked for.
    pub host: Arc<str>,
    /// Path and query.
    pub path: Arc<str>,
    /// Its key; unique in an experiment.
    pub key: CallKey,
    /// Bytes of its body.
    pub body_bytes: usize,
    /// When the caller gives up.
    pub timeout: Duration,
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Told {
    /// The whole answer of a backend server, below 500.
    #[display("answered")]
    Answered,
    /// A backend server's own failure, 500 or above.
    #[display("failed")]
    Failed,
    /// Refused: the call was not run.
    #[display("not run")]
    NotRun,
    /// The call may have run.
    #[display("outcome unknown")]
    Unknown,
    /// The answer broke off.
    #[display("cut")]
    Cut,
    /// No connection: nothing was sent.
    #[display("not connected")]
    NotConnected,
    /// The connection broke without an answer.
    #[display("no answer")]
    NoAnswer,
    /// The answer belongs to another call.
    #[display("wrong answer")]
    Wrong,
    /// The caller gave up.
    #[display("timed out")]
    TimedOut,
}

/// How a call ended.
#[derive(Clone, Debug)]
pub struct Answer {
    /// What the caller was told.
    pub told: Told,
    /// The status, where there was one.
    pub status: Option<StatusCode>,
    /// The version that served it, where told.
    pub version: Option<Arc<str>>,
    /// Until the last byte.
    pub latency: Duration,
}

/// A client with a pool of connections; it never sends a call twice by itself.
#[derive(Clone, Debug)]
pub struct Client {
    client: HyperClient<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = HyperClient::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .build(connector);
        Self { client }
    }
}

impl Client {
    /// Makes one call to the daemon at `to`.
    pub async fn call(&self, to: SocketAddr, plan: &CallPlan) -> Answer {
        let started = Instant::now();
        let exchange = self.exchange(to, plan);
        let mut answer = match tokio::time::timeout(plan.timeout, exchange).await {
            Ok(answer) => answer,
            Err(_) => Answer::without(Told::TimedOut),
        };
        answer.latency = started.elapsed();
        answer
    }

    /// Sends a request and returns its status; `None` without a whole answer.
    pub(crate) async fn status(&self, req: Request<Full<Bytes>>) -> Option<StatusCode> {
        let response = self.client.request(req).await.ok()?;
        let status = response.status();
        response.into_body().collect().await.ok()?;
        Some(status)
    }

    async fn exchange(&self, to: SocketAddr, plan: &CallPlan) -> Answer {
        let req = Request::builder()
            .method(plan.method.clone())
            .uri(format!("http://{to}{}", plan.path))
            .header(http::header::HOST, plan.host.as_ref())
            .header("idempotency-key", plan.key.as_ref())
            .header("x-request-deadline-ms", plan.timeout.as_millis().to_string())
            .body(Full::new(Bytes::from(vec![b'x'; plan.body_bytes])));
        let Ok(req) = req else {
            return Answer::without(Told::NoAnswer);
        };
        match self.client.request(req).await {
            Ok(response) => read_answer(response, plan).await,
            Err(err) if err.is_connect() => Answer::without(Told::NotConnected),
            Err(_) => Answer::without(Told::NoAnswer),
        }
    }
}

impl Answer {
    fn without(told: Told) -> Self {
        Self { told, status: None, version: None, latency: Duration::ZERO }
    }
}

async fn read_answer(response: http::Response<Incoming>, plan: &CallPlan) -> Answer {
    let status = response.status();
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|value| value.to_str().ok());
        value.map(Arc::<str>::from)
    };
    let outcome = header(OUTCOME_HEADER);
    let version = header("x-served-version");
    let Ok(body) = response.into_body().collect().await else {
        return Answer { status: Some(status), version, ..Answer::without(Told::Cut) };
    };
    let told = match outcome.as_deref() {
        Some("not-run") => Told::NotRun,
        Some("unknown") => Told::Unknown,
        _ if status.is_server_error() => Told::Failed,
        _ if answers(&body.to_bytes(), &plan.key) => Told::Answered,
        _ => Told::Wrong,
    };
    Answer { status: Some(status), version, ..Answer::without(told) }
}

/// Whether a body is the answer to the call with this key.
fn answers(body: &[u8], key: &CallKey) -> bool {
    let key: &str = key.as_ref();
    body.strip_prefix(key.as_bytes()).is_some_and(|rest| rest.starts_with(b" "))
}
