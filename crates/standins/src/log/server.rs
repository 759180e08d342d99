//! The HTTP side of the log service's stand-in.
//!
//! `POST /v1/records`, `GET /v1/records?from&limit&wait_ms`, `PUT /v1/faults`, `PUT /v1/trim` and
//! `GET /v1/counters`.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cyclamen_types::{Mono, Offset};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::log::store::{LogCounters, LogOptions, LogStore, ReadError, StoredRecord};
use crate::serve::{Body, Server, whole};

/// Largest body of an append, in bytes.
const BODY_BYTES: usize = 1024 * 1024;

/// Longest long poll.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// Records in one answer where the reader sets no limit.
const READ_LIMIT: usize = 1_000;

/// The ways in which the log service fails on request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Every request is answered 503 and has no effect.
    pub down: bool,
    /// Every answer is held back this long, in milliseconds.
    pub delay_ms: u64,
    /// The answers of this many appends get lost after they took effect.
    pub lose_answers: u32,
}

#[derive(Debug)]
struct Inner {
    store: Mutex<LogStore>,
    faults: Mutex<LogFaults>,
    grown: watch::Sender<Offset>,
    started: Instant,
}

/// A running log service.
#[derive(Debug)]
pub struct LogService {
    inner: Arc<Inner>,
    server: Server,
}

#[derive(Deserialize)]
struct AppendRequest {
    payload: Arc<str>,
}

#[derive(Serialize)]
struct AppendAnswer {
    offset: Offset,
}

#[derive(Serialize)]
struct ReadAnswer {
    first: Offset,
    next: Offset,
    records: Vec<StoredRecord>,
}

#[derive(Serialize, Deserialize)]
struct FirstOffset {
    first: Offset,
}

/// What a read asks for.
#[derive(Debug, PartialEq, Eq)]
struct ReadQuery {
    from: Offset,
    limit: usize,
    wait: Duration,
}

impl LogService {
    /// Starts the service on `address`; port 0 takes a free port.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(address: SocketAddr, options: LogOptions) -> std::io::Result<Self> {
        let inner = Arc::new(Inner {
            store: Mutex::new(LogStore::new(options)),
            faults: Mutex::new(LogFaults::default()),
            grown: watch::Sender::new(Offset(0)),
            started: Instant::now(),
        });
        let shared = Arc::clone(&inner);
        let handler = move |req| handle(Arc::clone(&shared), req);
        Ok(Self { server: Server::start(address, handler).await?, inner })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets how it fails from now on.
    pub fn set_faults(&self, faults: LogFaults) {
        *self.inner.faults() = faults;
    }

    /// Trims all records before `first`.
    pub fn trim(&self, first: Offset) {
        self.inner.store().trim(first);
    }

    /// The offset of the next append.
    pub fn next(&self) -> Offset {
        self.inner.store().next()
    }

    /// What it was asked so far.
    pub fn counters(&self) -> LogCounters {
        self.inner.store().counters
    }

    /// Ends the service; its records are gone.
    pub async fn stop(mut self) {
        self.server.stop().await;
    }
}

impl Inner {
    fn store(&self) -> MutexGuard<'_, LogStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> MutexGuard<'_, LogFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Mono {
        Mono(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    fn takes_answer(&self) -> bool {
        let mut faults = self.faults();
        if faults.lose_answers == 0 {
            return false;
        }
        faults.lose_answers -= 1;
        true
    }
}

async fn handle(inner: Arc<Inner>, req: Request<Incoming>) -> Option<Response<Body>> {
    let path = req.uri().path().to_owned();
    if req.method() == Method::PUT && path == "/v1/faults" {
        return Some(set_faults(&inner, req).await);
    }
    let faults = *inner.faults();
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.down {
        return Some(text(StatusCode::SERVICE_UNAVAILABLE, "the log service is down"));
    }
    match (req.method(), path.as_str()) {
        (&Method::POST, "/v1/records") => append(&inner, req).await,
        (&Method::GET, "/v1/records") => Some(read(&inner, req.uri().query()).await),
        (&Method::PUT, "/v1/trim") => Some(trim(&inner, req).await),
        (&Method::GET, "/v1/counters") => Some(json(StatusCode::OK, &inner.store().counters)),
        _ => Some(text(StatusCode::NOT_FOUND, "no such path: see /v1/records")),
    }
}

async fn append(inner: &Inner, req: Request<Incoming>) -> Option<Response<Body>> {
    let Some(request) = body::<AppendRequest>(req).await else {
        return Some(text(StatusCode::BAD_REQUEST, "send {\"payload\": TEXT}"));
    };
    let appended = inner.store().append(inner.now(), request.payload);
    let Some(offset) = appended else {
        return Some(text(StatusCode::TOO_MANY_REQUESTS, "too many appends: come back later"));
    };
    inner.grown.send_replace(Offset(offset.0 + 1));
    if inner.takes_answer() {
        return None;
    }
    Some(json(StatusCode::CREATED, &AppendAnswer { offset }))
}

async fn read(inner: &Inner, query: Option<&str>) -> Response<Body> {
    let Some(query) = read_query(query.unwrap_or_default()) else {
        return text(StatusCode::BAD_REQUEST, "read with ?from=N, &limit=N and &wait_ms=N");
    };
    let mut grown = inner.grown.subscribe();
    let arrived = grown.wait_for(|next| *next > query.from);
    // When the wait ends without a record, the answer is empty.
    let _ = tokio::time::timeout(query.wait, arrived).await;
    if inner.faults().down {
        return text(StatusCode::SERVICE_UNAVAILABLE, "the log service is down");
    }
    let mut store = inner.store();
    match store.read(query.from, query.limit) {
        Ok(records) => {
            let answer = ReadAnswer { first: store.first(), next: store.next(), records };
            json(StatusCode::OK, &answer)
        }
        Err(ReadError::Trimmed { first }) => json(StatusCode::GONE, &FirstOffset { first }),
    }
}

async fn set_faults(inner: &Inner, req: Request<Incoming>) -> Response<Body> {
    let Some(faults) = body::<LogFaults>(req).await else {
        let usage = "send {\"down\": BOOL, \"delay_ms\": N, \"lose_answers\": N}";
        return text(StatusCode::BAD_REQUEST, usage);
    };
    *inner.faults() = faults;
    json(StatusCode::OK, &faults)
}

async fn trim(inner: &Inner, req: Request<Incoming>) -> Response<Body> {
    let Some(request) = body::<FirstOffset>(req).await else {
        return text(StatusCode::BAD_REQUEST, "send {\"first\": OFFSET}");
    };
    inner.store().trim(request.first);
    json(StatusCode::OK, &request)
}

async fn body<T: for<'de> Deserialize<'de>>(req: Request<Incoming>) -> Option<T> {
    let bytes: Bytes = Limited::new(req.into_body(), BODY_BYTES).collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

fn read_query(query: &str) -> Option<ReadQuery> {
    let mut parsed = ReadQuery { from: Offset(0), limit: READ_LIMIT, wait: Duration::ZERO };
    for pair in query.split('&') {
        if pair.is_empty() {
            continue;
        }
        let (key, value) = pair.split_once('=')?;
        let value: u64 = value.parse().ok()?;
        match key {
            "from" => parsed.from = Offset(value),
            "limit" => parsed.limit = usize::try_from(value).ok()?,
            "wait_ms" => parsed.wait = Duration::from_millis(value).min(LONGEST_WAIT),
            _ => return None,
        }
    }
    Some(parsed)
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(whole(bytes));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}

fn text(status: StatusCode, message: &'static str) -> Response<Body> {
    let mut response = Response::new(whole(message));
    *response.status_mut() = status;
    response
}
