//! Closing a connection without losing what was written to it.
//!
//! If bytes from the peer are unread when a socket is closed, the operating system resets the
//! connection and drops what it has not sent yet. A peer may send a request at any time, also while
//! the last response is on its way.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// Longest time to discard what the peer sends after this side has closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Size of the buffer for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 4 * 1024;

/// A stream whose shutdown closes the sending side, then discards what arrives until the peer
/// closes or [`LINGER_TIMEOUT`] is over.
pub(super) struct LingeringStream<S> {
    stream: S,
    /// Runs once the sending side is closed.
    linger: Option<Pin<Box<Sleep>>>,
}

impl<S> LingeringStream<S> {
    /// Makes the shutdown of `stream` linger.
    pub(super) fn new(stream: S) -> Self {
        Self { stream, linger: None }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LingeringStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for LingeringStream<S> {
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
        bufs: &[io::IoSlice<'_>],
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
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        let Self { stream, linger } = &mut *self;
        let linger = linger.get_or_insert_with(|| Box::pin(tokio::time::sleep(LINGER_TIMEOUT)));
        let mut discarded = [0; DISCARD_BUFFER_BYTES];
        loop {
            let mut buf = ReadBuf::new(&mut discarded);
            match Pin::new(&mut *stream).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {}
                // The peer has closed; an error ends the connection too.
                Poll::Ready(_) => return Poll::Ready(Ok(())),
                Poll::Pending => return linger.as_mut().poll(cx).map(Ok),
            }
        }
    }
}
