//! Connections to backend servers and other daemons: bounded, reused, opened ahead.
//!
//! Where a connection closed before a call was taken by it, the call goes over another one; that
//! is certain to be safe, since not a byte of it was written. A backend server may also forget a
//! connection that rests without a word, and what is sent next on it is lost: an idempotent call
//! is then sent again over a new connection, and calls that may run once keep away from
//! connections that rested, for a while.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cyclamen_types::FastMap;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use crate::calls::body::OutBody;
use crate::calls::plane::Plane;
use crate::calls::silence;

/// Connections that one backend server takes at most.
pub(super) const SERVER_CONNECTIONS: usize = 130;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// A connection that was idle for longer is not used again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// For how long a target that forgot a connection is taken to forget more of them.
const FORGETFUL_FOR: Duration = Duration::from_secs(10);

/// A connection that rested for less is not forgotten by such a target.
const SHORT_REST: Duration = Duration::from_millis(100);

/// Connections kept open ahead of calls to each backend server beside the daemon.
const OPEN_AHEAD: usize = 2;

/// How often idle connections are looked at.
const TEND_PERIOD: Duration = Duration::from_secs(1);

/// Connections to any number of addresses.
#[derive(Clone)]
pub(super) struct Pool(Arc<Inner>);

struct Inner {
    per_target: usize,
    targets: Mutex<FastMap<SocketAddr, Arc<Target>>>,
}

struct Target {
    address: SocketAddr,
    open: Arc<Semaphore>,
    idle: Mutex<Vec<Idle>>,
    /// When a connection that had rested last broke without an answer.
    forgot: Mutex<Option<Instant>>,
}

/// What became of a call on one connection.
enum Sent {
    /// An answer came.
    Answered(Exchange),
    /// Not a byte was written: the call is handed back.
    Unsent(Request<OutBody>),
    /// The connection broke; the call may have run.
    Broken,
}

/// Whether a call may be sent again that a resting connection may have lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendAgain {
    /// It is idempotent.
    Allowed,
    /// It may run once.
    Never,
}

struct Idle {
    sender: SendRequest<OutBody>,
    since: Instant,
}

/// A connection in use. Dropped, it is closed.
pub(super) struct Lease {
    target: Arc<Target>,
    sender: SendRequest<OutBody>,
    cold: bool,
}

/// An answer and the connection that its body comes over.
pub(super) struct Exchange {
    pub(super) response: Response<Incoming>,
    pub(super) lease: Lease,
    /// Whether the connection was opened for it.
    pub(super) cold: bool,
    /// Whether it was sent before, over a connection that broke: it may have run then.
    pub(super) repeated: bool,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendFailure {
    /// The other side takes no connection; not a byte was sent.
    NotConnected,
    /// No time or no connection was left; not a byte was sent.
    Unsent,
    /// The connection broke; the call may have run.
    Reset,
    /// The time is over; the call may have run.
    TimedOut,
}

impl Pool {
    /// A pool that opens at most `per_target` connections to one address.
    pub(super) fn new(per_target: usize) -> Self {
        Self(Arc::new(Inner { per_target, targets: Mutex::default() }))
    }

    /// Sends a call and waits for the head of its answer until `until`.
    pub(super) async fn send(
        &self,
        to: SocketAddr,
        mut req: Request<OutBody>,
        until: Instant,
        again: SendAgain,
    ) -> Result<Exchange, SendFailure> {
        let target = self.target(to);
        loop {
            let lease = match target.idle_lease(again) {
                Some(lease) => lease,
                None => target.connect(until).await?,
            };
            let cold = lease.cold;
            let copy = if cold { None } else { copy_of(&req, again) };
            req = match lease.send(req, until).await? {
                Sent::Answered(exchange) => return Ok(exchange),
                Sent::Unsent(_) if cold => return Err(SendFailure::NotConnected),
                Sent::Unsent(req) => req,
                Sent::Broken if cold => return Err(SendFailure::Reset),
                Sent::Broken => {
                    target.note_forgetful();
                    let copy = copy.ok_or(SendFailure::Reset)?;
                    return target.repeat(copy, until).await;
                }
            };
        }
    }

    /// Opens connections until some are idle.
    async fn open_ahead(&self, to: SocketAddr) {
        let target = self.target(to);
        let wanted = OPEN_AHEAD.saturating_sub(lock(&target.idle).len());
        for _ in 0..wanted {
            let Ok(lease) = target.connect(Instant::now() + CONNECT_TIMEOUT).await else {
                return;
            };
            lease.give_back();
        }
    }

    /// Closes connections that were idle for too long.
    fn sweep(&self) {
        let mut targets = lock(&self.0.targets);
        targets.retain(|_, target| {
            lock(&target.idle).retain(|idle| idle.usable());
            target.open.available_permits() < self.0.per_target || Arc::strong_count(target) > 1
        });
    }

    fn target(&self, address: SocketAddr) -> Arc<Target> {
        let mut targets = lock(&self.0.targets);
        let target = targets.entry(address).or_insert_with(|| {
            let open = Arc::new(Semaphore::new(self.0.per_target));
            Arc::new(Target { address, open, idle: Mutex::default(), forgot: Mutex::default() })
        });
        Arc::clone(target)
    }
}

impl Target {
    /// The connection that rested for the shortest time, where one suits the call.
    fn idle_lease(self: &Arc<Self>, again: SendAgain) -> Option<Lease> {
        let longest = match again {
            SendAgain::Never if self.forgetful() => SHORT_REST,
            SendAgain::Never | SendAgain::Allowed => IDLE_TIMEOUT,
        };
        let mut idle = lock(&self.idle);
        let suits = |idle: &Idle| idle.usable() && idle.since.elapsed() < longest;
        let place = idle.iter().rposition(|idle| suits(idle) && idle.sender.is_ready())?;
        let sender = idle.remove(place).sender;
        Some(Lease { target: Arc::clone(self), sender, cold: false })
    }

    /// Sends a call again over a new connection. Whatever prevents that, it may have run over the
    /// connection that broke.
    async fn repeat(
        self: &Arc<Self>,
        req: Request<OutBody>,
        until: Instant,
    ) -> Result<Exchange, SendFailure> {
        let lease = self.connect(until).await.map_err(|_| SendFailure::Reset)?;
        match lease.send(req, until).await? {
            Sent::Answered(exchange) => Ok(Exchange { repeated: true, ..exchange }),
            Sent::Unsent(_) | Sent::Broken => Err(SendFailure::Reset),
        }
    }

    fn note_forgetful(&self) {
        *lock(&self.forgot) = Some(Instant::now());
    }

    fn forgetful(&self) -> bool {
        lock(&self.forgot).is_some_and(|at| at.elapsed() < FORGETFUL_FOR)
    }

    async fn connect(self: &Arc<Self>, until: Instant) -> Result<Lease, SendFailure> {
        let permit = Arc::clone(&self.open).try_acquire_owned().map_err(|_| SendFailure::Unsent)?;
        let patience = Instant::now() + CONNECT_TIMEOUT;
        let connecting = TcpStream::connect(self.address);
        let stream = match tokio::time::timeout_at(until.min(patience), connecting).await {
            Ok(Ok(stream)) => stream,
            Err(_) if until < patience => return Err(SendFailure::Unsent),
            Ok(Err(_)) | Err(_) => return Err(SendFailure::NotConnected),
        };
        silence::guard(&stream);
        let shaken = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|_| SendFailure::NotConnected)?;
        tokio::spawn(drive(connection, permit));
        Ok(Lease { target: Arc::clone(self), sender, cold: true })
    }
}

/// A call to send again, where it may be and its body is at hand.
fn copy_of(req: &Request<OutBody>, again: SendAgain) -> Option<Request<OutBody>> {
    let OutBody::Held(body) = req.body() else {
        return None;
    };
    if again == SendAgain::Never {
        return None;
    }
    let mut copy = Request::new(OutBody::Held(body.clone()));
    *copy.method_mut() = req.method().clone();
    *copy.uri_mut() = req.uri().clone();
    *copy.headers_mut() = req.headers().clone();
    Some(copy)
}

async fn drive(
    connection: http1::Connection<TokioIo<TcpStream>, OutBody>,
    permit: OwnedSemaphorePermit,
) {
    // Whoever uses the connection hears of its end by itself.
    let _ = connection.await;
    drop(permit);
}

impl Idle {
    fn usable(&self) -> bool {
        !self.sender.is_closed() && self.since.elapsed() < IDLE_TIMEOUT
    }
}

impl Lease {
    /// Sends a call over this connection.
    async fn send(mut self, req: Request<OutBody>, until: Instant) -> Result<Sent, SendFailure> {
        let sent = tokio::time::timeout_at(until, self.sender.try_send_request(req)).await;
        match sent.map_err(|_| SendFailure::TimedOut)? {
            Ok(response) => {
                let cold = self.cold;
                Ok(Sent::Answered(Exchange { response, lease: self, cold, repeated: false }))
            }
            Err(mut failed) => Ok(failed.take_message().map_or(Sent::Broken, Sent::Unsent)),
        }
    }

    /// Keeps the connection for another call, once the answer was read to its end.
    pub(super) fn give_back(self) {
        let idle = Idle { sender: self.sender, since: Instant::now() };
        if idle.usable() {
            lock(&self.target.idle).push(idle);
        }
    }
}

/// Opens connections ahead and closes idle ones, until dropped.
pub(super) async fn tend(plane: Plane) {
    let mut ticks = tokio::time::interval(TEND_PERIOD);
    loop {
        ticks.tick().await;
        plane.servers.sweep();
        plane.daemons.sweep();
        for address in plane.shared.read(|instance| instance.addresses_beside()) {
            plane.servers.open_ahead(address).await;
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
