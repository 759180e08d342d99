//! HTTP/1.1 pipelining for callers' connections. Used only on listeners that serve callers alone;
//! hyper serves the others.
//!
//! hyper serves the requests of a connection one after the other, so each waits for all before it.
//! Here requests without a body are started as they arrive, and answered in the order of their
//! arrival. A connection that receives anything else (such as a body, an upgrade, a HEAD request,
//! or a malformed or oversized head; see `can_be_pipelined` and `parse_head`) is handed over to
//! hyper, with the bytes already read, once the requests before it are answered.

mod head;

use std::collections::VecDeque;
use std::io::{Cursor, ErrorKind};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use cyclamen_decisions::Loss;
use http::Response;
use http_body::Body;
use http_body_util::BodyExt;
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
use crate::calls::response_writer::{self, AfterResponse, WriteError};
use crate::calls::serve::{MAX_HEAD_BYTES, ShutdownPhase};

/// Most calls in progress on a connection; further ones stay unread.
const MAX_CALLS_IN_PROGRESS: usize = 32;

/// Largest response, in bytes, that is received whole before it is written while calls behind it are
/// in progress.
const MAX_WHOLE_RESPONSE_BYTES: u64 = 256 * 1024;

/// Initial capacity of the read buffer.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// A connection together with the bytes already read from it.
pub(super) type PartlyReadConnection =
    Join<tokio::io::Chain<Cursor<Bytes>, OwnedReadHalf>, OwnedWriteHalf>;

/// How pipelined serving of a connection ended.
pub(super) enum PipelineEnd {
    /// The connection is closed, or to be closed.
    Closed,
    /// The next request has to be served by hyper.
    HandOver(Box<PartlyReadConnection>),
}

/// A call in progress; aborted when dropped.
struct CallInProgress {
    response: JoinHandle<Response<ResponseBody>>,
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
        self.response.abort();
    }
}

/// What woke a connection.
#[expect(clippy::large_enum_variant, reason = "only one exists at a time, and most are responses")]
enum Event {
    Read(std::io::Result<usize>),
    Responded(Option<Response<ResponseBody>>),
    PhaseChanged,
    IdleTimeout,
}

/// Serves pipelined calls until the connection ends, is idle for `idle_timeout`, or receives a
/// request that cannot be pipelined, or until the daemon closes and no call is in progress.
pub(super) async fn serve(
    ctx: &CallContext,
    stream: TcpStream,
    phase: &mut watch::Receiver<ShutdownPhase>,
    idle_timeout: Duration,
) -> PipelineEnd {
    let (mut rx, mut tx) = stream.into_split();
    let mut buf = BytesMut::with_capacity(READ_BUFFER_BYTES);
    let mut in_progress: VecDeque<CallInProgress> = VecDeque::new();
    let mut idle_since = Instant::now();
    let mut hand_over = false;
    loop {
        hand_over |= start_calls(ctx, &mut buf, &mut in_progress) == Pipelining::HandOver;
        if hand_over && in_progress.is_empty() {
            let unread = AsyncReadExt::chain(Cursor::new(buf.freeze()), rx);
            return PipelineEnd::HandOver(Box::new(tokio::io::join(unread, tx)));
        }
        let closing = *phase.borrow_and_update() == ShutdownPhase::Closing;
        if closing && in_progress.is_empty() && buf.is_empty() {
            return PipelineEnd::Closed;
        }
        let wants_more =
            !hand_over && in_progress.len() < MAX_CALLS_IN_PROGRESS && buf.len() < MAX_HEAD_BYTES;
        let event = tokio::select! {
            read = rx.read_buf(&mut buf), if wants_more => Event::Read(read),
            response = next_response(&mut in_progress), if !in_progress.is_empty() => {
                Event::Responded(response)
            }
            changed = phase.changed(), if !closing && phase_change_matters(&in_progress) => {
                if changed.is_err() {
                    return PipelineEnd::Closed;
                }
                Event::PhaseChanged
            }
            () = tokio::time::sleep_until(idle_since + idle_timeout), if in_progress.is_empty() => {
                Event::IdleTimeout
            }
        };
        match event {
            Event::IdleTimeout => return PipelineEnd::Closed,
            Event::Read(Ok(0)) => {
                set_losses(&mut in_progress, Loss::CallerLeft);
                return PipelineEnd::Closed;
            }
            Event::Read(Err(error)) => {
                set_losses(&mut in_progress, loss_by_error(&error));
                return PipelineEnd::Closed;
            }
            Event::Responded(None) => {
                warn!(
                    "a call ended without a response: its connection is closed; report this fault"
                );
                return PipelineEnd::Closed;
            }
            Event::Read(Ok(_)) | Event::PhaseChanged => {}
            Event::Responded(Some(response)) => {
                let Some(mut done) = in_progress.pop_front() else {
                    return PipelineEnd::Closed;
                };
                let stopping = *phase.borrow() != ShutdownPhase::Serving;
                let response = match in_progress.is_empty() {
                    true => response,
                    false => receive_whole(response).await,
                };
                let nothing_left = in_progress.is_empty() && buf.is_empty();
                let close = done.close_after || stopping && nothing_left;
                let after = if close { AfterResponse::Close } else { AfterResponse::KeepAlive };
                let written = response_writer::write(&mut tx, response, after).await;
                match written {
                    Ok(()) => done.complete(),
                    Err(WriteError::Connection(error)) => {
                        done.set_loss(loss_by_error(&error));
                        set_losses(&mut in_progress, loss_by_error(&error));
                        return PipelineEnd::Closed;
                    }
                    Err(WriteError::Body(_)) => {
                        done.set_loss(Loss::ResponseBrokeOff);
                        set_losses(&mut in_progress, Loss::EarlierResponseBrokeOff);
                        return PipelineEnd::Closed;
                    }
                }
                if close {
                    return PipelineEnd::Closed;
                }
                idle_since = Instant::now();
            }
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

/// Receives the body of a response before any of it is written, if its length is known and at most
/// [`MAX_WHOLE_RESPONSE_BYTES`]. If it breaks off, the caller gets a failure in its place. Otherwise
/// the connection would have to be closed, and the answers to the calls behind it would be lost.
async fn receive_whole(response: Response<ResponseBody>) -> Response<ResponseBody> {
    let len = response.body().size_hint().exact();
    if len.is_none_or(|len| len > MAX_WHOLE_RESPONSE_BYTES) {
        return response;
    }
    let (parts, body) = response.into_parts();
    match body.collect().await {
        Ok(whole) => Response::from_parts(parts, ResponseBody::buffered(whole.to_bytes())),
        Err(_) => local_reply::broken_off(),
    }
}

/// Whether a change of phase has to wake the connection. Only idle ones need it: others check the
/// phase with their next response.
fn phase_change_matters(in_progress: &VecDeque<CallInProgress>) -> bool {
    in_progress.is_empty()
}

/// Whether pipelining can continue on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pipelining {
    Continue,
    HandOver,
}

/// Starts the calls whose heads have been read whole, up to the limit.
fn start_calls(
    ctx: &CallContext,
    buf: &mut BytesMut,
    in_progress: &mut VecDeque<CallInProgress>,
) -> Pipelining {
    while in_progress.len() < MAX_CALLS_IN_PROGRESS
        && !in_progress.back().is_some_and(|call| call.close_after)
    {
        let (head, len) = parse_head(buf);
        let parts = match head {
            ParsedHead::Call(parts) => parts,
            ParsedHead::Partial => return Pipelining::Continue,
            ParsedHead::HandOver => return Pipelining::HandOver,
        };
        buf.advance(len);
        let close_after = asks_to_close(&parts.headers);
        let delivery = Some(Delivery::start(ctx, &parts.headers, Loss::Stopped));
        let call = outbound::serve_received(ctx.clone(), *parts, RequestBody::empty());
        let response = tokio::spawn(call);
        in_progress.push_back(CallInProgress { response, close_after, delivery });
    }
    Pipelining::Continue
}

async fn next_response(
    in_progress: &mut VecDeque<CallInProgress>,
) -> Option<Response<ResponseBody>> {
    let first = in_progress.front_mut()?;
    (&mut first.response).await.ok()
}
