//! Connection pools for backend servers and other daemons: bounded, with connections reused.
//! Connections to local backend servers are also opened in advance.
//!
//! If a reused connection closes before any byte of a call was written, the call is sent over
//! another one, which is always safe. A backend server may also drop an idle connection silently,
//! and the next call sent on it is lost. An idempotent call is then resent over a new connection,
//! and for a while calls that must not run twice avoid connections to that server that have been
//! idle.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cyclamen_types::FastMap;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use crate::calls::body::AttemptBody;
use crate::calls::context::CallContext;
use crate::calls::receive_limit::{LimitedStream, ReceiveLimit};
use crate::calls::recent_breaks::RecentBreaks;
use crate::calls::tcp_options;

/// Most connections to one backend server.
pub(super) const MAX_SERVER_CONNECTIONS: usize = 130;

/// Buffers' worth of bytes that a connection may receive without a part of a response. Parts that
/// were received but not taken yet count too: at most two, of which each may be twice a buffer.
const MAX_BUFFERS_WITHOUT_RESPONSE: usize = 8;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// A connection that was idle for this long is closed rather than reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a target that dropped an idle connection is expected to drop others.
const DROPS_IDLE_PERIOD: Duration = Duration::from_secs(10);

/// Idle time below which a target that drops idle connections is not expected to have dropped one.
const SAFE_IDLE_TIME: Duration = Duration::from_millis(100);

/// Idle connections kept open in advance to each local backend server.
const PREOPENED_CONNECTIONS: usize = 2;

/// Interval at which idle connections are closed and new ones opened in advance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Connections to any number of addresses, each with its own limit; cheap to clone.
#[derive(Clone)]
pub(super) struct Pool(Arc<Inner>);

/// The bounds of a [`Pool`].
#[derive(Clone, Copy, Debug)]
pub(super) struct PoolLimits {
    /// Most connections to one address.
    pub(super) connections: usize,
    /// Most bytes that a connection buffers, at least 8192. The head of a response must fit.
    pub(super) buffer_bytes: usize,
}

struct Inner {
    limits: PoolLimits,
    targets: Mutex<FastMap<SocketAddr, Arc<Target>>>,
    /// Breaks of reused connections.
    breaks: Arc<Mutex<RecentBreaks>>,
}

struct Target {
    address: SocketAddr,
    limits: PoolLimits,
    /// One permit per connection that may still be opened.
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<IdleConnection>>,
    /// When a reused connection last broke without a response.
    last_reuse_break: Mutex<Option<Instant>>,
    /// Those of all targets of the pool.
    breaks: Arc<Mutex<RecentBreaks>>,
}

/// How sending a call over one connection ended.
enum Sent {
    /// The head of a response arrived.
    Answered(Exchange),
    /// No byte was written; the request is returned.
    Unsent(Request<AttemptBody>),
    /// The connection broke; the call may have run.
    Broken,
    /// The status of the response is none of a final response; the call may have run.
    Malformed,
}

/// Why no connection was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectFailure {
    /// The target refused it, or closed it at once.
    Refused,
    /// The target did not respond in [`CONNECT_TIMEOUT`].
    NoResponse,
    /// All connections are in use, or the call had no time left.
    NotTried,
}

impl From<ConnectFailure> for SendFailure {
    fn from(failure: ConnectFailure) -> Self {
        match failure {
            ConnectFailure::Refused | ConnectFailure::NoResponse => Self::NotConnected,
            ConnectFailure::NotTried => Self::Unsent,
        }
    }
}

/// Whether a call may be resent after a reused connection broke without a response.
#[derive(Clone, Copy)]
pub(super) enum ResendPolicy<'a> {
    /// Allowed if this holds then: the call is idempotent, and the target still takes calls.
    AllowedWhile(&'a (dyn Fn() -> bool + Sync)),
    /// Not allowed: the call must not run twice.
    Never,
}

impl ResendPolicy<'_> {
    /// Whether a call may be resent now.
    fn holds(self) -> bool {
        match self {
            Self::AllowedWhile(holds) => holds(),
            Self::Never => false,
        }
    }
}

struct IdleConnection {
    sender: SendRequest<AttemptBody>,
    receive_limit: ReceiveLimit,
    since: Instant,
}

/// A connection in use; closed when dropped.
pub(super) struct Lease {
    target: Arc<Target>,
    sender: SendRequest<AttemptBody>,
    receive_limit: ReceiveLimit,
    new_connection: bool,
}

/// A response and the connection that its body is received over.
pub(super) struct Exchange {
    pub(super) response: Response<Incoming>,
    pub(super) lease: Lease,
    /// Whether the connection was opened for this call.
    pub(super) new_connection: bool,
    /// Whether the call had been sent before over a connection that broke. It may have run then.
    pub(super) resent: bool,
}

/// Why there is no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendFailure {
    /// The target could not be connected to, or closed a new connection before any byte was sent.
    NotConnected,
    /// No time or no free connection was left; no byte was sent.
    Unsent,
    /// The connection broke, or what came back is no response; the call may have run.
    Reset,
    /// No response in time; the call may have run.
    TimedOut,
}

impl Pool {
    /// A pool without connections.
    pub(super) fn new(limits: PoolLimits) -> Self {
        Self(Arc::new(Inner { limits, targets: Mutex::default(), breaks: Arc::default() }))
    }

    /// Sends a call over an idle or a new connection and waits until `until` for the head of the
    /// response.
    ///
    /// # Errors
    /// No response arrived; [`SendFailure`] tells whether the call may have run.
    pub(super) async fn send(
        &self,
        to: SocketAddr,
        mut req: Request<AttemptBody>,
        until: Instant,
        resend: ResendPolicy<'_>,
    ) -> Result<Exchange, SendFailure> {
        let target = self.target(to);
        loop {
            let lease = match target.idle_lease(resend) {
                Some(lease) => lease,
                None => target.connect(until).await?,
            };
            let new_connection = lease.new_connection;
            let copy = if new_connection { None } else { copy_to_resend(&req, resend) };
            req = match lease.send(req, until).await? {
                Sent::Answered(exchange) => return Ok(exchange),
                Sent::Unsent(_) if new_connection => return Err(SendFailure::NotConnected),
                Sent::Unsent(req) => req,
                Sent::Malformed => return Err(SendFailure::Reset),
                Sent::Broken if new_connection => return Err(SendFailure::Reset),
                Sent::Broken => {
                    target.record_reuse_break();
                    let copy = copy.filter(|_| resend.holds()).ok_or(SendFailure::Reset)?;
                    return target.resend_over_new(copy, until).await;
                }
            };
        }
    }

    /// Whether a target refuses new connections, as one does whose process has ended. A connection
    /// that can be opened is kept for later calls; if none is left to try with, or nothing comes
    /// back within `timeout`, the answer is no.
    pub(super) async fn is_refused(&self, to: SocketAddr, timeout: Duration) -> bool {
        match self.target(to).connect(Instant::now() + timeout).await {
            Ok(lease) => {
                lease.return_to_pool();
                false
            }
            Err(failure) => failure == ConnectFailure::Refused,
        }
    }

    /// Opens connections until [`PREOPENED_CONNECTIONS`] are idle, or one cannot be opened.
    async fn open_in_advance(&self, to: SocketAddr) {
        let target = self.target(to);
        let missing = PREOPENED_CONNECTIONS.saturating_sub(lock(&target.idle).len());
        for _ in 0..missing {
            let Ok(lease) = target.connect(Instant::now() + CONNECT_TIMEOUT).await else {
                return;
            };
            lease.return_to_pool();
        }
    }

    /// Closes connections that have been idle for too long, and forgets unused targets.
    fn close_idle(&self) {
        let mut targets = lock(&self.0.targets);
        targets.retain(|_, target| {
            lock(&target.idle).retain(|idle| idle.is_usable());
            target.permits.available_permits() < self.0.limits.connections
                || Arc::strong_count(target) > 1
        });
    }

    fn target(&self, address: SocketAddr) -> Arc<Target> {
        let mut targets = lock(&self.0.targets);
        let limits = self.0.limits;
        let target = targets.entry(address).or_insert_with(|| {
            let permits = Arc::new(Semaphore::new(limits.connections));
            Arc::new(Target {
                address,
                limits,
                permits,
                idle: Mutex::default(),
                last_reuse_break: Mutex::default(),
                breaks: Arc::clone(&self.0.breaks),
            })
        });
        Arc::clone(target)
    }
}

impl Target {
    /// The idle connection used most recently, if one is usable for the call.
    fn idle_lease(self: &Arc<Self>, resend: ResendPolicy<'_>) -> Option<Lease> {
        let max_idle = match resend {
            ResendPolicy::Never if self.drops_idle() => SAFE_IDLE_TIME,
            ResendPolicy::Never | ResendPolicy::AllowedWhile(_) => IDLE_TIMEOUT,
        };
        let doubted_before = match resend {
            ResendPolicy::Never => lock(&self.breaks).doubted_before(Instant::now()),
            ResendPolicy::AllowedWhile(_) => None,
        };
        let mut idle = lock(&self.idle);
        let trusted = |since: Instant| doubted_before.is_none_or(|before| since >= before);
        let suitable = |idle: &IdleConnection| {
            idle.is_usable() && idle.since.elapsed() < max_idle && trusted(idle.since)
        };
        let position = idle.iter().rposition(|idle| suitable(idle) && idle.sender.is_ready())?;
        let IdleConnection { sender, receive_limit, .. } = idle.remove(position);
        Some(Lease { target: Arc::clone(self), sender, receive_limit, new_connection: false })
    }

    /// Resends a call over a new connection. A failure is reported as [`SendFailure::Reset`] or
    /// [`SendFailure::TimedOut`] whatever its cause, since the call may have run over the
    /// connection that broke.
    async fn resend_over_new(
        self: &Arc<Self>,
        req: Request<AttemptBody>,
        until: Instant,
    ) -> Result<Exchange, SendFailure> {
        let lease = self.connect(until).await.map_err(|_| SendFailure::Reset)?;
        match lease.send(req, until).await? {
            Sent::Answered(exchange) => Ok(Exchange { resent: true, ..exchange }),
            Sent::Unsent(_) | Sent::Broken | Sent::Malformed => Err(SendFailure::Reset),
        }
    }

    fn record_reuse_break(&self) {
        let now = Instant::now();
        *lock(&self.last_reuse_break) = Some(now);
        lock(&self.breaks).record(self.address, now);
    }

    fn drops_idle(&self) -> bool {
        lock(&self.last_reuse_break).is_some_and(|at| at.elapsed() < DROPS_IDLE_PERIOD)
    }

    async fn connect(self: &Arc<Self>, until: Instant) -> Result<Lease, ConnectFailure> {
        let permit =
            Arc::clone(&self.permits).try_acquire_owned().map_err(|_| ConnectFailure::NotTried)?;
        let connect_deadline = Instant::now() + CONNECT_TIMEOUT;
        let connect = TcpStream::connect(self.address);
        let stream = match tokio::time::timeout_at(until.min(connect_deadline), connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => return Err(ConnectFailure::Refused),
            Err(_) if until < connect_deadline => return Err(ConnectFailure::NotTried),
            Err(_) => return Err(ConnectFailure::NoResponse),
        };
        tcp_options::set_opened(&stream);
        let buffer_bytes = self.limits.buffer_bytes;
        let receive_limit = ReceiveLimit::new(MAX_BUFFERS_WITHOUT_RESPONSE * buffer_bytes);
        let stream = TokioIo::new(LimitedStream::new(stream, receive_limit.clone()));
        let handshake = http1::Builder::new().max_buf_size(buffer_bytes).handshake(stream).await;
        let (sender, connection) = handshake.map_err(|_| ConnectFailure::Refused)?;
        tokio::spawn(drive_connection(connection, permit));
        Ok(Lease { target: Arc::clone(self), sender, receive_limit, new_connection: true })
    }
}

/// A copy of a call to resend; `None` if that is not allowed or the body is streamed.
fn copy_to_resend(
    req: &Request<AttemptBody>,
    resend: ResendPolicy<'_>,
) -> Option<Request<AttemptBody>> {
    let AttemptBody::Buffered(body) = req.body() else {
        return None;
    };
    if matches!(resend, ResendPolicy::Never) {
        return None;
    }
    let mut copy = Request::new(AttemptBody::Buffered(body.clone()));
    *copy.method_mut() = req.method().clone();
    *copy.uri_mut() = req.uri().clone();
    *copy.headers_mut() = req.headers().clone();
    Some(copy)
}

async fn drive_connection(
    connection: http1::Connection<TokioIo<LimitedStream>, AttemptBody>,
    permit: OwnedSemaphorePermit,
) {
    // An error reaches the connection's user through its sender.
    let _ = connection.await;
    drop(permit);
}

/// Whether a status is one of a final response (RFC 9110, section 15). An interim one without a
/// final one behind it ends no call, and no call asks to switch protocols.
fn is_final(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.since.elapsed() < IDLE_TIMEOUT
    }
}

impl Lease {
    /// Sends a call over this connection and waits until `until` for the head of the response.
    async fn send(
        mut self,
        req: Request<AttemptBody>,
        until: Instant,
    ) -> Result<Sent, SendFailure> {
        self.receive_limit.reset();
        let sent = tokio::time::timeout_at(until, self.sender.try_send_request(req)).await;
        match sent.map_err(|_| SendFailure::TimedOut)? {
            Ok(response) if !is_final(response.status()) => Ok(Sent::Malformed),
            Ok(response) => {
                self.receive_limit.reset();
                let new_connection = self.new_connection;
                Ok(Sent::Answered(Exchange {
                    response,
                    lease: self,
                    new_connection,
                    resent: false,
                }))
            }
            Err(mut failed) => Ok(failed.take_message().map_or(Sent::Broken, Sent::Unsent)),
        }
    }

    /// Records that a part of the body of a response was taken.
    pub(super) fn body_part_taken(&self) {
        self.receive_limit.reset();
    }

    /// Returns the connection to the pool. The response must have been read to its end.
    pub(super) fn return_to_pool(self) {
        let idle = IdleConnection {
            sender: self.sender,
            receive_limit: self.receive_limit,
            since: Instant::now(),
        };
        if idle.is_usable() {
            lock(&self.target.idle).push(idle);
        }
    }
}

/// Periodically closes idle connections and opens new ones in advance, until dropped.
pub(super) async fn maintain(ctx: CallContext) {
    let mut ticks = tokio::time::interval(MAINTENANCE_INTERVAL);
    loop {
        ticks.tick().await;
        ctx.server_pool.close_idle();
        ctx.daemon_pool.close_idle();
        for address in ctx.shared.read(|instance| instance.ready_server_addresses()) {
            ctx.server_pool.open_in_advance(address).await;
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
