//! Writes an answer to a caller's connection that [`super::pipeline`] serves.

use std::fmt::Write as _;
use std::io;
use std::pin::pin;

use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, DATE, TRANSFER_ENCODING};
use http::{Response, StatusCode};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use crate::calls::body::AnswerBody;

/// Bytes gathered before they are written.
const WRITE_BYTES: usize = 16 * 1024;

/// What becomes of the connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// It carries more calls.
    Keep,
    /// It is closed, and the caller is told.
    Close,
}

/// How the length of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// There is none.
    Empty,
    /// In the head.
    Sized,
    /// In chunks.
    Chunked,
}

/// Writes an answer whole.
///
/// # Errors
/// The caller is gone, or the body broke off: the connection has to be closed, so that the answer
/// does not look whole.
pub(super) async fn write(
    tx: &mut OwnedWriteHalf,
    answer: Response<AnswerBody>,
    ending: Ending,
) -> io::Result<()> {
    let mut buf = BytesMut::with_capacity(1_024);
    let framing = write_head(&mut buf, &answer, ending);
    let mut body = pin!(answer.into_body());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(io::Error::other)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        put(&mut buf, framing, &data);
        if buf.len() >= WRITE_BYTES {
            tx.write_all_buf(&mut buf).await?;
        }
    }
    if framing == Framing::Chunked {
        buf.extend_from_slice(b"0\r\n\r\n");
    }
    tx.write_all_buf(&mut buf).await
}

fn write_head(buf: &mut BytesMut, answer: &Response<AnswerBody>, ending: Ending) -> Framing {
    let status = answer.status();
    let reason = status.canonical_reason().unwrap_or_default();
    // Writing to a buffer that grows does not fail.
    let _ = write!(buf, "HTTP/1.1 {} {reason}\r\n", status.as_u16());
    let framing = framing(answer);
    for (name, value) in answer.headers() {
        if [CONNECTION, TRANSFER_ENCODING, DATE].contains(name) {
            continue;
        }
        buf.extend_from_slice(name.as_str().as_bytes());
        buf.extend_from_slice(b": ");
        buf.extend_from_slice(value.as_bytes());
        buf.extend_from_slice(b"\r\n");
    }
    match framing {
        Framing::Chunked => buf.extend_from_slice(b"transfer-encoding: chunked\r\n"),
        Framing::Sized if !answer.headers().contains_key(CONTENT_LENGTH) => {
            let len = answer.body().size_hint().exact().unwrap_or_default();
            let _ = write!(buf, "content-length: {len}\r\n");
        }
        Framing::Sized | Framing::Empty => {}
    }
    if ending == Ending::Close {
        buf.extend_from_slice(b"connection: close\r\n");
    }
    buf.extend_from_slice(b"\r\n");
    framing
}

fn framing(answer: &Response<AnswerBody>) -> Framing {
    let status = answer.status();
    if status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
        return Framing::Empty;
    }
    match answer.body().size_hint().exact() {
        Some(_) => Framing::Sized,
        None => Framing::Chunked,
    }
}

fn put(buf: &mut BytesMut, framing: Framing, data: &Bytes) {
    match framing {
        Framing::Empty => {}
        Framing::Sized => buf.extend_from_slice(data),
        Framing::Chunked if data.is_empty() => {}
        Framing::Chunked => {
            let _ = write!(buf, "{:x}\r\n", data.len());
            buf.extend_from_slice(data);
            buf.extend_from_slice(b"\r\n");
        }
    }
}
