//! Writes HTTP/1.1 responses to the callers' connections that [`super::pipeline`] serves.

use std::fmt::Write as _;
use std::io;
use std::pin::pin;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use http::header::{CONNECTION, CONTENT_LENGTH, DATE, TRANSFER_ENCODING};
use http::{Response, StatusCode};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::Instant;

use crate::calls::body::{BodyError, ResponseBody};

/// Number of buffered bytes of a response at which they are written.
const WRITE_BUFFER_BYTES: usize = 16 * 1024;

/// What happens to the connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterResponse {
    /// It stays open for more requests.
    KeepAlive,
    /// It is closed, and the response says so.
    Close,
}

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// The status allows no body.
    NoBody,
    /// By `content-length`.
    ContentLength,
    /// By chunked transfer coding.
    Chunked,
}

/// Why a response was not written whole.
#[derive(Debug, Display, Error, From)]
pub(super) enum WriteError {
    /// The caller's connection failed.
    #[display("the caller's connection failed: {_0}")]
    Connection(io::Error),
    /// The body broke off on its way from the backend server.
    #[display("{_0}")]
    Body(BodyError),
}

/// Writes a response with its whole body.
///
/// # Errors
/// The caller has disconnected, or the body failed. The connection must be closed then, so that the
/// caller does not take the response for complete.
pub(super) async fn write(
    tx: &mut OwnedWriteHalf,
    response: Response<ResponseBody>,
    after: AfterResponse,
) -> Result<(), WriteError> {
    let mut buf = BytesMut::with_capacity(1_024);
    let framing = write_head(&mut buf, &response, after);
    let mut body = pin!(response.into_body());
    while let Some(frame) = body.frame().await {
        let frame = frame?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        append_data(&mut buf, framing, &data);
        if buf.len() >= WRITE_BUFFER_BYTES {
            write_until(tx, &mut buf, body.complete_by()).await?;
        }
    }
    if framing == Framing::Chunked {
        buf.extend_from_slice(b"0\r\n\r\n");
    }
    tx.write_all_buf(&mut buf).await?;
    Ok(())
}

/// Writes `buf`, at the latest until the body that it is a part of has to be complete.
async fn write_until(
    tx: &mut OwnedWriteHalf,
    buf: &mut BytesMut,
    complete_by: Option<Instant>,
) -> Result<(), WriteError> {
    let write = tx.write_all_buf(buf);
    let Some(at) = complete_by else {
        return Ok(write.await?);
    };
    match tokio::time::timeout_at(at, write).await {
        Ok(written) => Ok(written?),
        Err(_) => Err(WriteError::Body(BodyError::DeadlineExceeded)),
    }
}

fn write_head(
    buf: &mut BytesMut,
    response: &Response<ResponseBody>,
    after: AfterResponse,
) -> Framing {
    let status = response.status();
    let reason = status.canonical_reason().unwrap_or_default();
    // Writing to a growable buffer does not fail.
    let _ = write!(buf, "HTTP/1.1 {} {reason}\r\n", status.as_u16());
    let framing = framing(response);
    for (name, value) in response.headers() {
        // `connection` and `transfer-encoding` are written below, as this connection needs them;
        // `date` is left out.
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
        Framing::ContentLength if !response.headers().contains_key(CONTENT_LENGTH) => {
            let len = response.body().size_hint().exact().unwrap_or_default();
            let _ = write!(buf, "content-length: {len}\r\n");
        }
        Framing::ContentLength | Framing::NoBody => {}
    }
    if after == AfterResponse::Close {
        buf.extend_from_slice(b"connection: close\r\n");
    }
    buf.extend_from_slice(b"\r\n");
    framing
}

fn framing(response: &Response<ResponseBody>) -> Framing {
    let status = response.status();
    if status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
        return Framing::NoBody;
    }
    match response.body().size_hint().exact() {
        Some(_) => Framing::ContentLength,
        None => Framing::Chunked,
    }
}

fn append_data(buf: &mut BytesMut, framing: Framing, data: &Bytes) {
    match framing {
        Framing::NoBody => {}
        Framing::ContentLength => buf.extend_from_slice(data),
        Framing::Chunked if data.is_empty() => {}
        Framing::Chunked => {
            let _ = write!(buf, "{:x}\r\n", data.len());
            buf.extend_from_slice(data);
            buf.extend_from_slice(b"\r\n");
        }
    }
}
