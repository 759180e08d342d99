//! HTTP/1.1 pipelining for callers' connections. Used only on listeners that serve callers alone;
//! hyper serves the others.
//!
//! hyper serves the requests of a connection one after the other, so each waits for all before it.
//! Here requests without a body are started as they arrive, and answered in the order of their
//! arrival. A connection that receives anything else (such as a body, an upgrade, a HEAD request,
//! or a malformed or oversized head; see `can_be_pipelined` and `parse_head`) is handed over to
//! hyper, with the bytes already read, once the requests before it are answered.

mod head;
mod held_response;

use std::collections::VecDeque;
use std::io::{Cursor, ErrorKind};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use cyclamen_decisions::Loss;
use http::Response;
use log::warn;
use tokio::io::{AsyncReadExt, Join};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::calls::body::{RequestBody, ResponseBody};
use crate::calls::context::CallContext;
use crate::calls::delivery::Delivery;
use crate::calls::local_reply;
use crate::calls::outbound;
use crate::calls::pipeline::head::{ParsedHead, asks_to_close, parse_head};
use crate::calls::pipeline::held_response::HeldResponse;
use crate::calls::response_writer::{self, AfterResponse, WriteError};
use crate::calls::serve::{LAST_CALL_TIMEOUT, MAX_HEAD_BYTES, ShutdownPhase};

/// Most calls in progress on a connection; further ones stay unread.
const MAX_CALLS_IN_PROGRESS: usize = 32;

/// Initial capacity of the read buffer.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// A connection together with the bytes already read from it.
pub(super) type PartlyReadConnection =
    Join<tokio::io::Chain<Cursor<Bytes>, OwnedReadHalf>, OwnedWriteHalf>;

/// How pipelined serving of a connection ended.
pub(super) enum PipelineEnd {
    /// The caller has closed the connection, or it has failed.
    PeerClosed,
    /// The connection is to be closed.
    Close(Box<Join<OwnedReadHalf, OwnedWriteHalf>>),
    /// The next request has to be served by hyper.
    HandOver(Box<PartlyReadConnection>),
}

/// A call in progress; aborted when dropped.
struct CallInProgress {
    progress: CallProgress,
    /// Whether the caller asked to close the connection after the response.
    close_after: bool,
    delivery: Option<Delivery>,
}

impl CallInProgress {
    /// Sets what is recorded if the call is dropped before its response is written.
    fn set_loss(&mut self, loss: Loss) {
        if let Some(delivery) = &mut self.delivery {
            delivery.set_loss(loss);
        }
    }

    /// Ends the call, whose response has been written whole.
    fn complete(mut self) {
        if let Some(delivery) = self.delivery.take() {
            delivery.complete();
        }
    }
}

impl Drop for CallInProgress {
    fn drop(&mut self) {
        if let CallProgress::Running(response) = &self.progress {
            response.abort();
        }
    }
}

/// How far a call is.
enum CallProgress {
    /// There is no response yet.
    Running(JoinHandle<Box<HeldResponse>>),
    /// The head of the response has arrived; `None` once it is to be written.
    Responded(Option<Box<HeldResponse>>),
}

/// What woke a connection.
#[expect(clippy::large_enum_variant, reason = "only one exists at a time, and most are responses")]
enum Event {
    Read(std::io::Result<usize>),
    Responded(Response<ResponseBody>),
    PhaseChanged,
    /// The sender of the phase is gone.
    DaemonEnded,
    IdleTimeout,
}

/// A connection and its calls.
struct Connection {
    rx: OwnedReadHalf,
    tx: OwnedWriteHalf,
    /// Bytes that were read and not parsed yet.
    buf: BytesMut,
    /// In the order of their arrival.
    in_progress: VecDeque<CallInProgress>,
}

/// Why serving stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    /// The caller has closed the connection, or it has failed.
    PeerClosed,
    /// The connection is to be closed.
    Close,
    /// The next request cannot be pipelined.
    HandOver,
}

/// Serves pipelined calls until the connection ends, is idle for `idle_timeout`, or receives a
/// request that cannot be pipelined, or until the daemon closes and no call is in progress.
pub(super) async fn serve(
    ctx: &CallContext,
    stream: TcpStream,
    phase: &mut watch::Receiver<ShutdownPhase>,
    idle_timeout: Duration,
) -> PipelineEnd {
    let (rx, tx) = stream.into_split();
    let buf = BytesMut::with_capacity(READ_BUFFER_BYTES);
    let mut conn = Connection { rx, tx, buf, in_progress: VecDeque::new() };
    match serve_calls(ctx, &mut conn, phase, idle_timeout).await {
        Stop::PeerClosed => PipelineEnd::PeerClosed,
        Stop::Close => PipelineEnd::Close(Box::new(tokio::io::join(conn.rx, conn.tx))),
        Stop::HandOver => {
            let unread = AsyncReadExt::chain(Cursor::new(conn.buf.freeze()), conn.rx);
            PipelineEnd::HandOver(Box::new(tokio::io::join(unread, conn.tx)))
        }
    }
}

async fn serve_calls(
    ctx: &CallContext,
    conn: &mut Connection,
    phase: &mut watch::Receiver<ShutdownPhase>,
    idle_timeout: Duration,
) -> Stop {
    let mut idle_since = Instant::now();
    let mut last_call_until = None;
    let mut hand_over = false;
    loop {
        let closing = *phase.borrow_and_update() == ShutdownPhase::Closing;
        hand_over |= start_calls(ctx, conn, closing) == Pipelining::HandOver;
        if hand_over && conn.in_progress.is_empty() {
            return Stop::HandOver;
        }
        let mut idle_until = idle_since + idle_timeout;
        if closing {
            // A call that was sent before may not have been read yet.
            let until = last_call_until.get_or_insert_with(|| Instant::now() + LAST_CALL_TIMEOUT);
            idle_until = idle_until.min(*until);
        }
        let event = next_event(ctx, conn, phase, idle_until, hand_over).await;
        match event {
            Event::Read(Ok(0)) => {
                set_losses(&mut conn.in_progress, Loss::CallerLeft);
                return Stop::PeerClosed;
            }
            Event::Read(Err(error)) => {
                set_losses(&mut conn.in_progress, loss_by_error(&error));
                return Stop::PeerClosed;
            }
            Event::Read(Ok(_)) | Event::PhaseChanged => {}
            Event::IdleTimeout | Event::DaemonEnded => return Stop::Close,
            Event::Responded(response) => {
                let phase = *phase.borrow();
                if let Some(stop) = write_response(conn, response, phase).await {
                    return stop;
                }
                idle_since = Instant::now();
            }
        }
    }
}

/// Waits for the next event on a connection. `hand_over` tells that nothing more is to be read.
async fn next_event(
    ctx: &CallContext,
    conn: &mut Connection,
    phase: &mut watch::Receiver<ShutdownPhase>,
    idle_until: Instant,
    hand_over: bool,
) -> Event {
    let Connection { rx, buf, in_progress, .. } = conn;
    let idle = in_progress.is_empty();
    let wants_more =
        !hand_over && in_progress.len() < MAX_CALLS_IN_PROGRESS && buf.len() < MAX_HEAD_BYTES;
    let closing = *phase.borrow() == ShutdownPhase::Closing;
    tokio::select! {
        // A call that has arrived goes before the idle timeout.
        biased;
        read = rx.read_buf(buf), if wants_more => Event::Read(read),
        response = next_response(ctx, in_progress), if !idle => Event::Responded(response),
        // Only idle connections have to wake: others check the phase with their next response.
        changed = phase.changed(), if !closing && idle => match changed {
            Ok(()) => Event::PhaseChanged,
            Err(_) => Event::DaemonEnded,
        },
        () = tokio::time::sleep_until(idle_until), if idle => Event::IdleTimeout,
    }
}

/// Writes the response to the first call in progress. Returns why serving stops, if it does.
async fn write_response(
    conn: &mut Connection,
    response: Response<ResponseBody>,
    phase: ShutdownPhase,
) -> Option<Stop> {
    let mut done = conn.in_progress.pop_front()?;
    let none_behind = conn.in_progress.is_empty();
    let close = match phase {
        ShutdownPhase::Serving => done.close_after,
        ShutdownPhase::Draining | ShutdownPhase::DrainingFullPeriod => {
            done.close_after || (none_behind && conn.buf.is_empty())
        }
        ShutdownPhase::Closing => done.close_after || none_behind,
    };
    let after = if close { AfterResponse::Close } else { AfterResponse::KeepAlive };
    match response_writer::write(&mut conn.tx, response, after).await {
        Ok(()) => {
            done.complete();
            close.then_some(Stop::Close)
        }
        Err(WriteError::Connection(error)) => {
            done.set_loss(loss_by_error(&error));
            set_losses(&mut conn.in_progress, loss_by_error(&error));
            Some(Stop::PeerClosed)
        }
        Err(WriteError::Body(_)) => {
            done.set_loss(Loss::ResponseBrokeOff);
            set_losses(&mut conn.in_progress, Loss::EarlierResponseBrokeOff);
            Some(Stop::Close)
        }
    }
}

/// Sets what is recorded for all calls of a connection that ends.
fn set_losses(in_progress: &mut VecDeque<CallInProgress>, loss: Loss) {
    for call in in_progress {
        call.set_loss(loss);
    }
}

/// The loss of the calls on a caller's connection that failed with `error`.
fn loss_by_error(error: &std::io::Error) -> Loss {
    match error.kind() {
        ErrorKind::TimedOut => Loss::ConnectionTimedOut,
        _ => Loss::Reset,
    }
}

/// Whether pipelining can continue on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pipelining {
    Continue,
    HandOver,
}

/// Starts the calls whose heads have been read whole, up to the limit.
fn start_calls(ctx: &CallContext, conn: &mut Connection, closing: bool) -> Pipelining {
    // None behind another once the daemon closes: a caller that never lets its connection become
    // idle would have calls cut off when the stop grace ends.
    let max_calls = if closing { 1 } else { MAX_CALLS_IN_PROGRESS };
    while conn.in_progress.len() < max_calls
        && !conn.in_progress.back().is_some_and(|call| call.close_after)
    {
        let (head, len) = parse_head(&conn.buf);
        let parts = match head {
            ParsedHead::Call(parts) => parts,
            ParsedHead::Partial => return Pipelining::Continue,
            ParsedHead::HandOver => return Pipelining::HandOver,
        };
        conn.buf.advance(len);
        let close_after = asks_to_close(&parts.headers);
        let delivery = Some(Delivery::start(ctx, &parts.headers, Loss::Stopped));
        let call = outbound::serve_received(ctx.clone(), *parts, RequestBody::empty());
        let is_first = conn.in_progress.is_empty();
        let budget = Arc::clone(&ctx.held_response_budget);
        let progress = CallProgress::Running(tokio::spawn(async move {
            let mut held = Box::new(HeldResponse::new(call.await));
            // It may wait behind the responses before it for longer than its body may take.
            if !is_first {
                held.receive(&budget).await;
            }
            held
        }));
        conn.in_progress.push_back(CallInProgress { progress, close_after, delivery });
    }
    Pipelining::Continue
}

/// The next response to write. It is received whole first if calls behind it are in progress. Can
/// be cancelled and called again; pending without a call in progress.
async fn next_response(
    ctx: &CallContext,
    in_progress: &mut VecDeque<CallInProgress>,
) -> Response<ResponseBody> {
    let calls_behind = in_progress.len() > 1;
    let Some(first) = in_progress.front_mut() else {
        return std::future::pending().await;
    };
    if let CallProgress::Running(response) = &mut first.progress {
        let held = response.await.unwrap_or_else(|error| {
            warn!("a call ended without a response ({error}): report this fault");
            Box::new(HeldResponse::new(local_reply::broken_off()))
        });
        first.progress = CallProgress::Responded(Some(held));
    }
    let CallProgress::Responded(held) = &mut first.progress else {
        return std::future::pending().await;
    };
    if let Some(held) = held
        && calls_behind
    {
        held.receive(&ctx.held_response_budget).await;
    }
    match held.take() {
        Some(held) => held.into_response(),
        None => std::future::pending().await,
    }
}
