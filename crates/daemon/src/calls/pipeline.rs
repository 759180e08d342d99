//! Connections of callers that send calls without waiting for answers.
//!
//! hyper serves the calls of a connection one after the other, so that each waits for all before
//! it. Here calls without a body are begun as they come, and answered in the order in which they
//! came. A connection on which anything else comes (a body, an upgrade, a head that is none) is
//! handed to hyper, with the bytes already read, once the calls before it are answered.

use std::collections::VecDeque;
use std::io::Cursor;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE,
};
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, Uri, Version};
use tokio::io::{AsyncReadExt, Join};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::calls::body::{AnswerBody, CallBody};
use crate::calls::edge;
use crate::calls::plane::Plane;
use crate::calls::respond::{self, Ending};
use crate::calls::serve::{HEAD_BYTES, Phase};

/// Headers of one head at most.
const HEADERS: usize = 100;

/// Calls of one connection under way at most; more wait unread.
const UNDER_WAY: usize = 32;

/// Bytes read at a time.
const READ_BYTES: usize = 4 * 1024;

/// A connection with what was already read of it, for a server that takes it from there.
pub(super) type Rest = Join<tokio::io::Chain<Cursor<Bytes>, OwnedReadHalf>, OwnedWriteHalf>;

/// How serving a connection ended.
pub(super) enum Served {
    /// It is closed.
    Closed,
    /// Something came that is served one call after the other.
    Other(Box<Rest>),
}

/// What stands at the front of the bytes read.
enum Front {
    /// A call without a body.
    Call(Box<Parts>),
    /// Not yet a whole head.
    Partial,
    /// Anything else.
    Other,
}

/// A call under way; dropped, its work stops.
struct UnderWay {
    answer: JoinHandle<Response<AnswerBody>>,
    /// Whether the caller wants the connection closed after it.
    last: bool,
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.answer.abort();
    }
}

/// What woke a connection.
#[expect(clippy::large_enum_variant, reason = "one at a time, and most are answers")]
enum Woken {
    Read(std::io::Result<usize>),
    Answered(Option<Response<AnswerBody>>),
    Phase,
    Late,
}

/// Serves calls until the connection ends or something else comes.
pub(super) async fn serve(
    plane: &Plane,
    stream: TcpStream,
    phase: &mut watch::Receiver<Phase>,
    idle_timeout: Duration,
) -> Served {
    let (mut rx, mut tx) = stream.into_split();
    let mut buf = BytesMut::with_capacity(READ_BYTES);
    let mut under_way: VecDeque<UnderWay> = VecDeque::new();
    let mut quiet_since = Instant::now();
    let mut other = false;
    loop {
        other |= begin_calls(plane, &mut buf, &mut under_way) == Step::Other;
        if other && under_way.is_empty() {
            let rest = AsyncReadExt::chain(Cursor::new(buf.freeze()), rx);
            return Served::Other(Box::new(tokio::io::join(rest, tx)));
        }
        let closing = *phase.borrow_and_update() == Phase::Closing;
        if closing && under_way.is_empty() && buf.is_empty() {
            return Served::Closed;
        }
        let wants_more = !other && under_way.len() < UNDER_WAY && buf.len() < HEAD_BYTES;
        let woken = tokio::select! {
            read = rx.read_buf(&mut buf), if wants_more => Woken::Read(read),
            answer = next_answer(&mut under_way), if !under_way.is_empty() => Woken::Answered(answer),
            changed = phase.changed(), if !closing && changed_counts(&under_way) => {
                if changed.is_err() {
                    return Served::Closed;
                }
                Woken::Phase
            }
            () = tokio::time::sleep_until(quiet_since + idle_timeout), if under_way.is_empty() => {
                Woken::Late
            }
        };
        match woken {
            Woken::Read(Ok(0) | Err(_)) | Woken::Late | Woken::Answered(None) => {
                return Served::Closed;
            }
            Woken::Read(Ok(_)) | Woken::Phase => {}
            Woken::Answered(Some(answer)) => {
                let Some(done) = under_way.pop_front() else {
                    return Served::Closed;
                };
                let stopping = *phase.borrow() != Phase::Serving;
                let alone = under_way.is_empty() && buf.is_empty();
                let close = done.last || stopping && alone;
                let ending = if close { Ending::Close } else { Ending::Keep };
                let written = respond::write(&mut tx, answer, ending).await;
                if written.is_err() || close {
                    return Served::Closed;
                }
                quiet_since = Instant::now();
            }
        }
    }
}

/// A change of phase wakes idle connections only: others look at it with their next answer.
fn changed_counts(under_way: &VecDeque<UnderWay>) -> bool {
    under_way.is_empty()
}

/// Whether the calls of a connection can go on here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Wait,
    Other,
}

/// Begins the calls that were read whole.
fn begin_calls(plane: &Plane, buf: &mut BytesMut, under_way: &mut VecDeque<UnderWay>) -> Step {
    while under_way.len() < UNDER_WAY && !under_way.back().is_some_and(|call| call.last) {
        let (front, len) = front(buf);
        let parts = match front {
            Front::Call(parts) => parts,
            Front::Partial => return Step::Wait,
            Front::Other => return Step::Other,
        };
        buf.advance(len);
        let last = closes(&parts.headers);
        let call = edge::serve_parts(plane.clone(), *parts, CallBody::empty());
        under_way.push_back(UnderWay { answer: tokio::spawn(call), last });
    }
    Step::Wait
}

async fn next_answer(under_way: &mut VecDeque<UnderWay>) -> Option<Response<AnswerBody>> {
    let first = under_way.front_mut()?;
    (&mut first.answer).await.ok()
}

/// What stands at the front of `buf`, and how many bytes a whole head takes.
fn front(buf: &[u8]) -> (Front, usize) {
    if buf.is_empty() {
        return (Front::Partial, 0);
    }
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let len = match head.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) if buf.len() < HEAD_BYTES => return (Front::Partial, 0),
        Ok(httparse::Status::Partial) | Err(_) => return (Front::Other, 0),
    };
    match parts(&head) {
        Some(parts) if has_no_body(&parts) => (Front::Call(Box::new(parts)), len),
        _ => (Front::Other, 0),
    }
}

fn parts(head: &httparse::Request<'_, '_>) -> Option<Parts> {
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

/// Whether a call can be served here: no body, and nothing but a call.
fn has_no_body(parts: &Parts) -> bool {
    let headers = &parts.headers;
    let bare = [CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT, UPGRADE];
    let bare = bare.iter().all(|name| !headers.contains_key(name));
    bare && parts.method != Method::HEAD && parts.method != Method::CONNECT
}

/// Whether the caller wants the connection closed after this call.
fn closes(headers: &HeaderMap) -> bool {
    let mut tokens = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    tokens.any(|value| value.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")))
}
