//! The HTTP side of a backend server's stand-in.
//!
//! Any path is answered with `KEY SERVER VERSION` and padding. The query may ask for `bytes=N` of
//! answer, `ms=N` of work and `chain=N` further calls through the daemon beside the server.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use cyclamen_types::{ServerName, ServiceName, VersionName};
use futures::{StreamExt, stream};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use tokio::sync::watch;

use crate::backend::faults::{Fault, FaultEffect, Situation, pick};
use crate::backend::record::{CallKey, RunRecord};
use crate::caller::Client;
use crate::serve::{Body, Server, whole};

/// Draws are made out of this.
const WHOLE_PPM: u32 = 1_000_000;

/// Largest piece of an answer, in bytes.
const PIECE_BYTES: usize = 16 * 1024;

/// Time for the first half of an answer to leave before its connection breaks.
const FLUSH_PAUSE: Duration = Duration::from_millis(5);

/// Time from the beginning of a call that crashes the server to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(30);

/// Pause after each piece of an answer without end.
const ENDLESS_PAUSE: Duration = Duration::from_millis(5);

/// How a backend server behaves.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Its name.
    pub name: ServerName,
    /// Its service.
    pub service: ServiceName,
    /// Its version.
    pub version: VersionName,
    /// Calls it runs at a time; it sheds what comes on top.
    pub slots: u32,
    /// Connections it announces.
    pub connections: u32,
    /// Work of an ordinary call.
    pub service_time: Duration,
    /// How long after its start calls take twice their time.
    pub cold_start: Duration,
    /// Where its own further calls go: the daemon beside it.
    pub onward: Option<SocketAddr>,
    /// Its faults, the first that meets a call holds.
    pub faults: Vec<Fault>,
    /// Seed of its draws.
    pub seed: u64,
}

#[derive(Debug)]
struct Inner {
    options: BackendOptions,
    faults: Mutex<Vec<Fault>>,
    rng: Mutex<StdRng>,
    record: RunRecord,
    started: Instant,
    in_flight: AtomicU32,
    peak: AtomicU32,
    begun: AtomicU64,
    crashed: watch::Sender<bool>,
    onward: Client,
}

/// A running backend server.
#[derive(Debug)]
pub struct BackendServer {
    inner: Arc<Inner>,
    server: Server,
}

impl BackendServer {
    /// Starts a server on `address` that counts what it runs in `record`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        options: BackendOptions,
        record: RunRecord,
    ) -> std::io::Result<Self> {
        let inner = Arc::new(Inner {
            faults: Mutex::new(options.faults.clone()),
            rng: Mutex::new(StdRng::seed_from_u64(options.seed)),
            record,
            started: Instant::now(),
            in_flight: AtomicU32::new(0),
            peak: AtomicU32::new(0),
            begun: AtomicU64::new(0),
            crashed: watch::Sender::new(false),
            onward: Client::default(),
            options,
        });
        let shared = Arc::clone(&inner);
        let handler = move |req| handle(Arc::clone(&shared), req);
        let crash = crash_of(Arc::clone(&inner));
        Ok(Self { server: Server::start_until(address, handler, crash).await?, inner })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// How it behaves.
    pub fn options(&self) -> &BackendOptions {
        &self.inner.options
    }

    /// Replaces its faults.
    pub fn set_faults(&self, faults: Vec<Fault>) {
        *self.inner.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Most calls that ran at a time.
    pub fn peak(&self) -> u32 {
        self.inner.peak.load(Ordering::Relaxed)
    }

    /// Calls that arrived so far.
    pub fn begun(&self) -> u64 {
        self.inner.begun.load(Ordering::Relaxed)
    }

    /// Calls that run now.
    pub fn in_flight(&self) -> u32 {
        self.inner.in_flight.load(Ordering::Relaxed)
    }

    /// Waits until a call crashes the server.
    pub async fn crashed(&self) {
        crash_of(Arc::clone(&self.inner)).await;
    }

    /// Ends at once and cuts its connections, as a killed process would.
    pub async fn stop(mut self) {
        self.server.stop().await;
    }
}

async fn crash_of(inner: Arc<Inner>) {
    // The sender is part of `inner`, so it is not dropped meanwhile.
    let _ = inner.crashed.subscribe().wait_for(|crashed| *crashed).await;
}

/// Counts a call as running until dropped.
struct Running(Arc<Inner>);

impl Running {
    fn start(inner: &Arc<Inner>) -> Self {
        let now = inner.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        inner.peak.fetch_max(now, Ordering::Relaxed);
        inner.begun.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(inner))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What the query of a call asks for.
#[derive(Debug, Default)]
struct Wish {
    bytes: usize,
    work: Option<Duration>,
    chain: u32,
}

async fn handle(inner: Arc<Inner>, req: Request<Incoming>) -> Option<Response<Body>> {
    let running = Running::start(&inner);
    let path = req.uri().path().to_owned();
    let wish = Wish::read(req.uri().query().unwrap_or_default());
    let headers = req.headers().clone();
    let key = call_key(&headers);
    let effect = inner.effect(&path);
    let full = inner.in_flight.load(Ordering::Relaxed) > inner.options.slots;
    if full || effect == Some(FaultEffect::Shed) {
        return Some(plain(StatusCode::SERVICE_UNAVAILABLE, "shed"));
    }
    if req.into_body().collect().await.is_err() {
        return None;
    }
    inner.record.add(key.clone());
    if effect == Some(FaultEffect::Crash) {
        tokio::time::sleep(CRASH_DELAY).await;
        inner.crashed.send_replace(true);
        return None;
    }
    inner.work(&wish, effect).await;
    let onward = inner.call_onward(&path, &wish, &headers).await;
    drop(running);
    match effect {
        Some(FaultEffect::Reset) => None,
        Some(FaultEffect::Fail) => Some(plain(StatusCode::INTERNAL_SERVER_ERROR, "failed")),
        _ if onward >= StatusCode::INTERNAL_SERVER_ERROR => Some(plain(onward, "onward call")),
        _ => Some(inner.answer(&key, &wish, effect)),
    }
}

impl Inner {
    fn effect(&self, path: &str) -> Option<FaultEffect> {
        let draw_ppm = {
            let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
            rng.random_range(0..WHOLE_PPM)
        };
        let situation = Situation {
            path,
            age: self.started.elapsed(),
            in_flight: self.in_flight.load(Ordering::Relaxed),
            draw_ppm,
        };
        pick(&self.faults.lock().unwrap_or_else(PoisonError::into_inner), situation)
    }

    async fn work(&self, wish: &Wish, effect: Option<FaultEffect>) {
        let mut work = wish.work.unwrap_or(self.options.service_time);
        if self.started.elapsed() < self.options.cold_start {
            work *= 2;
        }
        if let Some(FaultEffect::Slow(extra)) = effect {
            work += extra;
        }
        if !work.is_zero() {
            tokio::time::sleep(work).await;
        }
    }

    async fn call_onward(&self, path: &str, wish: &Wish, headers: &HeaderMap) -> StatusCode {
        let Some(onward) = self.options.onward else {
            return StatusCode::OK;
        };
        if wish.chain == 0 {
            return StatusCode::OK;
        }
        let uri = format!("http://{onward}{path}?chain={}", wish.chain - 1);
        let mut req = Request::get(uri);
        for (name, value) in headers {
            if passed_on(name) {
                req = req.header(name, value);
            }
        }
        let Ok(req) = req.body(http_body_util::Full::default()) else {
            return StatusCode::INTERNAL_SERVER_ERROR;
        };
        self.onward.status(req).await.unwrap_or(StatusCode::BAD_GATEWAY)
    }

    fn answer(&self, key: &CallKey, wish: &Wish, effect: Option<FaultEffect>) -> Response<Body> {
        let options = &self.options;
        let line = format!("{key} {} {}\n", options.name, options.version);
        let length = line.len().max(wish.bytes);
        let body = match effect {
            Some(FaultEffect::Truncate) => cut_after_half(&line),
            Some(FaultEffect::Endless) => endless(line),
            _ => padded(line, length),
        };
        let mut response = Response::new(body);
        let headers = response.headers_mut();
        if effect != Some(FaultEffect::Endless) {
            headers.insert(http::header::CONTENT_LENGTH, HeaderValue::from(length));
        }
        if let Ok(version) = HeaderValue::from_str(options.version.as_str()) {
            headers.insert(HeaderName::from_static("x-served-version"), version);
        }
        if let Ok(name) = HeaderValue::from_str(options.name.as_str()) {
            headers.insert(HeaderName::from_static("x-served-by"), name);
        }
        response
    }
}

impl Wish {
    fn read(query: &str) -> Self {
        let mut wish = Self::default();
        for pair in query.split('&') {
            let Some((key, value)) = pair.split_once('=') else {
                continue;
            };
            let Ok(number) = value.parse::<u32>() else {
                continue;
            };
            match key {
                "bytes" => wish.bytes = usize::try_from(number).unwrap_or(0),
                "ms" => wish.work = Some(Duration::from_millis(u64::from(number))),
                "chain" => wish.chain = number,
                _ => {}
            }
        }
        wish
    }
}

fn call_key(headers: &HeaderMap) -> CallKey {
    let value = headers.get("idempotency-key").and_then(|value| value.to_str().ok());
    value.unwrap_or("none").into()
}

fn passed_on(name: &HeaderName) -> bool {
    name == http::header::HOST || name.as_str().starts_with("x-request-")
}

/// `line` padded to `length`, in pieces.
fn padded(line: String, length: usize) -> Body {
    let padding = length - line.len();
    if padding == 0 {
        return whole(line);
    }
    let mut pieces: Vec<std::io::Result<Frame<Bytes>>> = vec![Ok(Frame::data(line.into()))];
    let piece = Bytes::from(vec![b'.'; PIECE_BYTES]);
    let mut left = padding;
    while left > 0 {
        let len = left.min(PIECE_BYTES);
        pieces.push(Ok(Frame::data(piece.slice(..len))));
        left -= len;
    }
    BodyExt::boxed(StreamBody::new(stream::iter(pieces)))
}

/// The first half of `line`, and a broken connection once it has left.
fn cut_after_half(line: &str) -> Body {
    let half = Bytes::copy_from_slice(&line.as_bytes()[..line.len() / 2]);
    let first = stream::iter([Ok(Frame::data(half))]);
    let cut = stream::once(async {
        tokio::time::sleep(FLUSH_PAUSE).await;
        Err(std::io::Error::other("cut on purpose"))
    });
    BodyExt::boxed(StreamBody::new(Box::pin(first.chain(cut))))
}

/// `line`, and padding in pieces without end.
fn endless(line: String) -> Body {
    let first = stream::iter([Ok(Frame::data(Bytes::from(line)))]);
    let piece = Bytes::from(vec![b'.'; PIECE_BYTES]);
    let rest = stream::repeat(piece).then(|piece| async move {
        tokio::time::sleep(ENDLESS_PAUSE).await;
        Ok(Frame::data(piece))
    });
    BodyExt::boxed(StreamBody::new(Box::pin(first.chain(rest))))
}

fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(whole(text));
    *response.status_mut() = status;
    response
}
