//! Accepts connections and dispatches their calls: hop calls from other daemons to
//! [`hop_calls`], callers' calls to [`outbound`].

use std::convert::Infallible;
use std::pin::Pin;
use std::time::Duration;

use cyclamen_decisions::Loss;
use http::header::{CONNECTION, HeaderValue};
use http::{Method, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::calls::body::ResponseBody;
use crate::calls::body_expiry::BodyExpiry;
use crate::calls::context::CallContext;
use crate::calls::delivery::Delivery;
use crate::calls::hop::HopError;
use crate::calls::lingering::LingeringStream;
use crate::calls::local_reply::{self, Rejection};
use crate::calls::{hop_calls, outbound, pipeline, tcp_options};

/// Longest time for a request head to arrive, and for a connection to stay idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);

/// Largest request head, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Connections per listener beyond the limit for callers. A listener that daemons connect to serves
/// only them there, so that callers cannot crowd them out. A listener for callers alone serves
/// nobody there, but still reads a call before it refuses it: a connection that is closed with
/// unread data is reset, and its response may be lost.
const RESERVED_CONNECTIONS: usize = 1_024;

/// Pause after a failed accept, so that a lasting failure does not keep the loop busy.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Time after [`ShutdownPhase::Closing`] in which an idle connection may still carry one more call.
pub(super) const LAST_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time to write [`OVERLOAD_RESPONSE`] and to close its connection.
const OVERLOAD_RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Most connections that are sent [`OVERLOAD_RESPONSE`] at a time; further ones are closed at once.
const MAX_REFUSED_CONNECTIONS: usize = 256;

/// The response to a connection beyond the connection limits; its calls are not read.
const OVERLOAD_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    x-cyclamen-outcome: not-run\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// The stages of a shutdown, in order; draining takes one of its two forms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShutdownPhase {
    /// No shutdown is under way.
    Serving,
    /// Connections are accepted, each response closes its connection, and the listener closes as
    /// soon as no connection is open.
    Draining,
    /// Like [`ShutdownPhase::Draining`], but the listener stays open for the whole drain period
    /// even while no connection is open.
    DrainingFullPeriod,
    /// The listener closes once the connections in its backlog are accepted. Idle connections may
    /// carry one more call within [`LAST_CALL_TIMEOUT`].
    Closing,
}

/// Which clients a listener or connection serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AcceptedClients {
    /// Callers, and daemons, which are told apart by a valid hop header.
    Any,
    /// Callers only; hop headers are ignored.
    Callers,
    /// Daemons only; calls without a valid hop header are rejected.
    Daemons,
    /// Nobody; every call is rejected.
    Nobody,
}

impl AcceptedClients {
    /// Whom the connections beyond the limit for callers serve.
    fn beyond_caller_limit(self) -> Self {
        match self {
            Self::Any | Self::Daemons => Self::Daemons,
            Self::Callers | Self::Nobody => Self::Nobody,
        }
    }
}

/// Accepts connections until [`ShutdownPhase::Closing`], or until none is open while draining, then
/// waits for the open ones to end.
pub(super) async fn accept(
    ctx: CallContext,
    clients: AcceptedClients,
    listener: TcpListener,
    mut phase: watch::Receiver<ShutdownPhase>,
) {
    let mut connections = JoinSet::new();
    while *phase.borrow_and_update() != ShutdownPhase::Closing {
        if *phase.borrow() == ShutdownPhase::Draining && connections.is_empty() {
            break;
        }
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => add_connection(&ctx, clients, stream, &phase, &mut connections),
                Err(_) => tokio::time::sleep(ACCEPT_ERROR_PAUSE).await,
            },
            Some(_) = connections.join_next() => {}
            changed = phase.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
    accept_backlog(&ctx, clients, listener, &phase, &mut connections);
    while connections.join_next().await.is_some() {}
}

/// Accepts the connections in the listen backlog, then closes the listener. Connections that are
/// still in the backlog when a listener closes are reset. The operating system's socket is asked
/// directly, because the runtime may not have been notified of pending connections yet.
fn accept_backlog(
    ctx: &CallContext,
    clients: AcceptedClients,
    listener: TcpListener,
    phase: &watch::Receiver<ShutdownPhase>,
    connections: &mut JoinSet<()>,
) {
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, _)) = listener.accept() {
        let accepted = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        if let Ok(stream) = accepted {
            add_connection(ctx, clients, stream, phase, connections);
        }
    }
}

fn add_connection(
    ctx: &CallContext,
    clients: AcceptedClients,
    stream: TcpStream,
    phase: &watch::Receiver<ShutdownPhase>,
    connections: &mut JoinSet<()>,
) {
    let max_callers = ctx.max_caller_connections();
    let max_served = max_callers + RESERVED_CONNECTIONS;
    if connections.len() >= max_served + MAX_REFUSED_CONNECTIONS {
        return;
    }
    if connections.len() >= max_served {
        connections.spawn(refuse_connection(stream));
        return;
    }
    let beyond_limit = connections.len() >= max_callers;
    let clients = if beyond_limit { clients.beyond_caller_limit() } else { clients };
    connections.spawn(serve_connection(ctx.clone(), stream, phase.clone(), clients));
}

async fn refuse_connection(mut stream: TcpStream) {
    let refuse = async {
        if stream.write_all(OVERLOAD_RESPONSE).await.is_ok() {
            close(stream).await;
        }
    };
    // The client may not read the response or close, so the time is bounded and the end ignored.
    let _ = tokio::time::timeout(OVERLOAD_RESPONSE_TIMEOUT, refuse).await;
}

async fn serve_connection(
    ctx: CallContext,
    stream: TcpStream,
    mut phase: watch::Receiver<ShutdownPhase>,
    clients: AcceptedClients,
) {
    tcp_options::set_accepted(&stream);
    if clients == AcceptedClients::Callers {
        match pipeline::serve(&ctx, stream, &mut phase, HEAD_TIMEOUT).await {
            pipeline::PipelineEnd::PeerClosed => {}
            pipeline::PipelineEnd::Close(stream) => close(*stream).await,
            pipeline::PipelineEnd::HandOver(handover) => {
                serve_sequentially(ctx, *handover, phase, clients).await;
            }
        }
        return;
    }
    serve_sequentially(ctx, stream, phase, clients).await;
}

/// Closes a connection in whose direction nothing more is to be written.
async fn close<S: AsyncRead + AsyncWrite + Unpin>(stream: S) {
    // An error means that the peer has ended the connection already.
    let _ = LingeringStream::new(stream).shutdown().await;
}

/// Serves the calls of a connection one after the other with hyper, then closes it.
async fn serve_sequentially<S>(
    ctx: CallContext,
    stream: S,
    mut phase: watch::Receiver<ShutdownPhase>,
    clients: AcceptedClients,
) where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let response_phase = phase.clone();
    let expiry = BodyExpiry::default();
    let response_expiry = expiry.clone();
    let service = service_fn(move |req| {
        let ctx = ctx.clone();
        let phase = response_phase.clone();
        let expiry = response_expiry.clone();
        Box::pin(async move {
            let response = dispatch(ctx, req, clients).await;
            let mut response = response.map(|body| body.with_expiry(&expiry));
            if *phase.borrow() != ShutdownPhase::Serving {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        })
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(MAX_HEAD_BYTES);
    let mut conn = builder.serve_connection(TokioIo::new(stream), service);
    // hyper shuts the stream down only if no response broke off, so that is not left to it. An
    // error of the connection affects only its own client.
    let ended = tokio::select! {
        _ = expiry.limit(|cx| conn.poll_without_shutdown(cx)) => true,
        () = wait_for_closing(&mut phase) => false,
    };
    if !ended {
        // A caller that has just connected may still send a call; its response closes the
        // connection.
        let last_call = expiry.limit(|cx| conn.poll_without_shutdown(cx));
        if tokio::time::timeout(LAST_CALL_TIMEOUT, last_call).await.is_err() {
            Pin::new(&mut conn).graceful_shutdown();
            let _ = expiry.limit(|cx| conn.poll_without_shutdown(cx)).await;
        }
    }
    close(conn.into_parts().io.into_inner()).await;
}

/// Waits for [`ShutdownPhase::Closing`].
async fn wait_for_closing(phase: &mut watch::Receiver<ShutdownPhase>) {
    // An error means that the sender is dropped with the daemon, which aborts this task as well.
    let _ = phase.wait_for(|phase| *phase == ShutdownPhase::Closing).await;
}

async fn dispatch(
    ctx: CallContext,
    req: Request<Incoming>,
    clients: AcceptedClients,
) -> Response<ResponseBody> {
    match clients {
        AcceptedClients::Callers => return serve_caller(ctx, req).await,
        AcceptedClients::Nobody => return reject_connection(&ctx),
        AcceptedClients::Any | AcceptedClients::Daemons => {}
    }
    match ctx.hop_seal.verify_call(ctx.wall_now(), &req) {
        Ok(hop_call) => hop_calls::serve(ctx, hop_call, req).await,
        Err(HopError::Replayed(hop_call)) => hop_calls::refuse_replayed(&ctx, &hop_call),
        Err(HopError::Missing | HopError::Forged) if clients == AcceptedClients::Daemons => {
            reject_connection(&ctx)
        }
        Err(HopError::Missing | HopError::Forged) => serve_caller(ctx, req).await,
    }
}

/// Serves a call of a caller, and records it if its response is not taken whole.
async fn serve_caller(ctx: CallContext, req: Request<Incoming>) -> Response<ResponseBody> {
    if req.method() == Method::HEAD {
        return outbound::serve(ctx, req).await;
    }
    let delivery = Delivery::start(&ctx, req.headers(), Loss::ConnectionEnded);
    let response = outbound::serve(ctx, req).await;
    response.map(|body| body.with_delivery(delivery))
}

/// The response to a call on a connection that does not serve its client; it closes the connection.
fn reject_connection(ctx: &CallContext) -> Response<ResponseBody> {
    ctx.metrics.record_rejection();
    let mut response = local_reply::rejected(Rejection::TooManyConnections);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
