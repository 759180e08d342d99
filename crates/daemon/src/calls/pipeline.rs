//! HTTP/1.1 pipelining for callers' connections. Used only on listeners that serve callers alone;
//! hyper serves the others.
//!
//! hyper serves the requests of a connection one after the other, so each waits for all before it.
//! Here requests without a body are started as they arrive, and answered in the order of their
//! arrival. A connection that receives anything else (such as a body, an upgrade, a HEAD request,
//! or a malformed or oversized head; see `can_be_pipelined` and `parse_head`) is handed over to
//! hyper, with the bytes already read, once the requests before it are answered.

use std::collections::VecDeque;
use std::io::Cursor;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE,
};
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, Uri, Version};
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
use crate::calls::local_reply;
use crate::calls::outbound;
use crate::calls::response_writer::{self, AfterResponse};
use crate::calls::serve::{MAX_HEAD_BYTES, ShutdownPhase};

/// Most headers in a request head.
const MAX_HEADERS: usize = 100;

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

/// What the unparsed bytes start with.
enum ParsedHead {
    /// The whole head of a request without a body.
    Call(Box<Parts>),
    /// An incomplete head.
    Partial,
    /// Anything that cannot be pipelined.
    HandOver,
}

/// A call in progress; aborted when dropped.
struct CallInProgress {
    response: JoinHandle<Response<ResponseBody>>,
    /// Whether the caller asked to close the connection after the response.
    close_after: bool,
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
            Event::Read(Ok(0) | Err(_)) | Event::IdleTimeout => return PipelineEnd::Closed,
            Event::Responded(None) => {
                warn!(
                    "a call ended without a response: its connection is closed; report this fault"
                );
                return PipelineEnd::Closed;
            }
            Event::Read(Ok(_)) | Event::PhaseChanged => {}
            Event::Responded(Some(response)) => {
                let Some(done) = in_progress.pop_front() else {
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
                if let Err(error) = &written {
                    report_lost_calls(error, in_progress.len());
                }
                if written.is_err() || close {
                    return PipelineEnd::Closed;
                }
                idle_since = Instant::now();
            }
        }
    }
}

/// Logs that calls get no answer because the response before them broke off at the server's side.
fn report_lost_calls(error: &std::io::Error, calls: usize) {
    // Errors of other kinds are of the caller's connection: the caller has left.
    if error.kind() == std::io::ErrorKind::Other && calls > 0 {
        warn!("a response broke off ({error}): {calls} calls behind it get no answer");
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
        let call = outbound::serve_received(ctx.clone(), *parts, RequestBody::empty());
        in_progress.push_back(CallInProgress { response: tokio::spawn(call), close_after });
    }
    Pipelining::Continue
}

async fn next_response(
    in_progress: &mut VecDeque<CallInProgress>,
) -> Option<Response<ResponseBody>> {
    let first = in_progress.front_mut()?;
    (&mut first.response).await.ok()
}

/// What `buf` starts with, and the length of the head if it is [`ParsedHead::Call`].
fn parse_head(buf: &[u8]) -> (ParsedHead, usize) {
    if buf.is_empty() {
        return (ParsedHead::Partial, 0);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let len = match head.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD_BYTES => {
            return (ParsedHead::Partial, 0);
        }
        Ok(httparse::Status::Partial) | Err(_) => return (ParsedHead::HandOver, 0),
    };
    match request_parts(&head) {
        Some(parts) if can_be_pipelined(&parts) => (ParsedHead::Call(Box::new(parts)), len),
        _ => (ParsedHead::HandOver, 0),
    }
}

fn request_parts(head: &httparse::Request<'_, '_>) -> Option<Parts> {
    if head.version != Some(1) {
        return None;
    }
    let mut req = Request::new(());
    *req.method_mut() = Method::from_bytes(head.method?.as_bytes()).ok()?;
    *req.uri_mut() = Uri::try_from(head.path?).ok()?;
    *req.version_mut() = Version::HTTP_11;
    for header in head.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        req.headers_mut().append(name, value);
    }
    Some(req.into_parts().0)
}

/// Whether a request can be pipelined: no body, upgrade or tunnel, and not HEAD, whose responses
/// are framed differently.
fn can_be_pipelined(parts: &Parts) -> bool {
    let headers = &parts.headers;
    let excluded = [CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT, UPGRADE];
    let absent = excluded.iter().all(|name| !headers.contains_key(name));
    absent && parts.method != Method::HEAD && parts.method != Method::CONNECT
}

/// Whether a request asks to close the connection after the response.
fn asks_to_close(headers: &HeaderMap) -> bool {
    let mut tokens = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    tokens.any(|value| value.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")))
}
