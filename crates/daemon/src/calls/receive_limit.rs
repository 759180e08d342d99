//! A limit on the bytes that a connection receives without a part of a response coming of them.
//!
//! hyper parses some of what it receives without passing anything on: interim responses, and the
//! digits and blanks of the length of a chunk, for as long as they come. It reads many buffers of
//! them in one poll, during which its thread does nothing else. The connection therefore fails once
//! it has received [`ReceiveLimit`] bytes since the last head or part of a body.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use derive_more::{Display, Error};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The connection received too many bytes without a part of a response.
#[derive(Debug, Display, Error)]
#[display("{received} bytes arrived without a part of a response")]
pub(super) struct NoResponseInBytes {
    received: usize,
}

/// The limit of one connection, shared by the connection and its user; cheap to clone.
#[derive(Clone, Debug)]
pub(super) struct ReceiveLimit {
    max: usize,
    /// Bytes received since the last reset.
    received: Arc<AtomicUsize>,
}

impl ReceiveLimit {
    /// A limit of `max` bytes between two parts of a response.
    pub(super) fn new(max: usize) -> Self {
        Self { max, received: Arc::default() }
    }

    /// Starts to count anew: a request is sent, or a part of its response has arrived.
    pub(super) fn reset(&self) {
        self.received.store(0, Ordering::Relaxed);
    }

    fn add(&self, bytes: usize) -> Result<(), NoResponseInBytes> {
        let received = self.received.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if received > self.max {
            return Err(NoResponseInBytes { received });
        }
        Ok(())
    }
}

/// A connection whose reads fail beyond its [`ReceiveLimit`].
pub(super) struct LimitedStream {
    stream: TcpStream,
    limit: ReceiveLimit,
}

impl LimitedStream {
    /// Limits what is received over `stream`.
    pub(super) fn new(stream: TcpStream, limit: ReceiveLimit) -> Self {
        Self { stream, limit }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let added = self.limit.add(buf.filled().len() - before);
        Poll::Ready(added.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error)))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
