//! Accepts connections and serves the calls that come over them.

use std::convert::Infallible;
use std::pin::pin;
use std::time::Duration;

use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::calls::answer::{self, Rejection};
use crate::calls::body::AnswerBody;
use crate::calls::hop::HopError;
use crate::calls::plane::Plane;
use crate::calls::{edge, host, pipeline, silence};

/// Longest time for the head of a call to arrive, and for a connection to stay idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);

/// Largest head of a call, in bytes.
pub(super) const HEAD_BYTES: usize = 32 * 1024;

/// Connections kept for other daemons when callers have taken all of theirs.
const DAEMON_CONNECTIONS: usize = 1_024;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Time for connections that are open when the listener closes to carry a last call.
const LAST_CALLS: Duration = Duration::from_millis(500);

/// Longest time to tell a flood that all connections are taken.
const FLOOD_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// The answer to a connection that cannot be served at all.
const FLOOD_ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    x-cyclamen-outcome: not-run\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// How far a stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No stop.
    Serving,
    /// Each answer closes its connection.
    Lingering,
    /// The same, though nobody may be connected.
    Staying,
    /// Idle connections are closed, nothing new is accepted.
    Closing,
}

/// Who may come in by a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Door {
    /// Callers, and daemons with sealed calls.
    Both,
    /// Callers only: whatever they send counts as their own.
    Callers,
    /// Daemons only.
    Daemons,
}

/// Accepts connections until the phase is [`Phase::Closing`], then waits for those open.
pub(super) async fn accept(
    plane: Plane,
    door: Door,
    listener: TcpListener,
    mut phase: watch::Receiver<Phase>,
) {
    let mut connections = JoinSet::new();
    while *phase.borrow_and_update() != Phase::Closing {
        if *phase.borrow() == Phase::Lingering && connections.is_empty() {
            break;
        }
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => open(&plane, door, stream, &phase, &mut connections),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            Some(_) = connections.join_next() => {}
            changed = phase.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
    accept_rest(&plane, door, listener, &phase, &mut connections);
    while connections.join_next().await.is_some() {}
}

/// Accepts what already waits and closes the listener, so that closing it cuts nobody. The system
/// is asked, and not the runtime, which may not have heard yet of connections that wait.
fn accept_rest(
    plane: &Plane,
    door: Door,
    listener: TcpListener,
    phase: &watch::Receiver<Phase>,
    connections: &mut JoinSet<()>,
) {
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, _)) = listener.accept() {
        let accepted = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        if let Ok(stream) = accepted {
            open(plane, door, stream, phase, connections);
        }
    }
}

fn open(
    plane: &Plane,
    door: Door,
    stream: TcpStream,
    phase: &watch::Receiver<Phase>,
    connections: &mut JoinSet<()>,
) {
    let callers = plane.caller_connections();
    if connections.len() >= callers + DAEMON_CONNECTIONS {
        connections.spawn(tell_flood(stream));
        return;
    }
    let door = if connections.len() >= callers { Door::Daemons } else { door };
    connections.spawn(connection(plane.clone(), stream, phase.clone(), door));
}

async fn tell_flood(mut stream: TcpStream) {
    let write = stream.write_all(FLOOD_ANSWER);
    // Whoever floods may not listen.
    let _ = tokio::time::timeout(FLOOD_ANSWER_TIMEOUT, write).await;
}

/// Serves one connection.
async fn connection(
    plane: Plane,
    stream: TcpStream,
    mut phase: watch::Receiver<Phase>,
    door: Door,
) {
    silence::guard(&stream);
    if door == Door::Callers {
        match pipeline::serve(&plane, stream, &mut phase, HEAD_TIMEOUT).await {
            pipeline::Served::Closed => {}
            pipeline::Served::Other(rest) => one_by_one(plane, *rest, phase, door).await,
        }
        return;
    }
    one_by_one(plane, stream, phase, door).await;
}

/// Serves the calls of a connection one after the other.
async fn one_by_one<S>(plane: Plane, stream: S, mut phase: watch::Receiver<Phase>, door: Door)
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let answers_in = phase.clone();
    let service = service_fn(move |req| {
        let plane = plane.clone();
        let phase = answers_in.clone();
        async move {
            let mut response = dispatch(plane, req, door).await;
            if *phase.borrow() != Phase::Serving {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(HEAD_BYTES);
    let mut serving = pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        // A connection that breaks concerns its caller only.
        _ = serving.as_mut() => return,
        () = closing(&mut phase) => {}
    }
    // A caller that has just connected sends its call still; the answer closes the connection.
    if tokio::time::timeout(LAST_CALLS, serving.as_mut()).await.is_err() {
        serving.as_mut().graceful_shutdown();
        let _ = serving.as_mut().await;
    }
}

/// Waits for [`Phase::Closing`].
async fn closing(phase: &mut watch::Receiver<Phase>) {
    // Without a sender the daemon is gone, and so is this task soon.
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}

async fn dispatch(plane: Plane, req: Request<Incoming>, door: Door) -> Response<AnswerBody> {
    if door == Door::Callers {
        return edge::serve(plane, req).await;
    }
    match plane.seal.open_call(plane.wall(), &req) {
        Ok(claim) => host::serve(plane, claim, req).await,
        Err(HopError::Repeated(claim)) => host::refuse_repeated(&plane, &claim),
        Err(HopError::Absent | HopError::Forged) if door == Door::Daemons => {
            let mut response = answer::rejected(Rejection::Flood);
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            response
        }
        Err(HopError::Absent | HopError::Forged) => edge::serve(plane, req).await,
    }
}
