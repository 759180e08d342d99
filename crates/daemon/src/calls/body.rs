//! The bodies of calls and of answers: streamed with back-pressure, never held whole when large.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use cyclamenmoor::BodyEnd;
use derive_more::{Display, Error};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, Sleep};

use crate::calls::answer::Rejection;
use crate::calls::attempt::AttemptEnd;
use crate::calls::host::SlotGuard;
use crate::calls::pool::Lease;

/// Bodies of calls up to this are held, so that the call can be sent again.
const HELD_BYTES: u64 = 64 * 1024;

/// Why a body broke off.
#[derive(Debug, Display, Error)]
pub(super) enum BodyError {
    /// The other side of the connection broke off.
    #[display("the connection broke off: {_0}")]
    Connection(hyper::Error),
    /// The body is larger than the policy allows.
    #[display("the body is larger than allowed")]
    TooLarge,
    /// The call was sent on elsewhere.
    #[display("the attempt is over")]
    Over,
    /// The deadline of the call passed.
    #[display("the deadline passed")]
    Late,
}

/// The body of a call, for as many attempts as it can serve.
pub(super) enum CallBody {
    /// Held; serves any number of attempts. The permit is for its bytes.
    Held { bytes: Bytes, _permit: Option<OwnedSemaphorePermit> },
    /// Streamed; serves attempts until a part of it was read.
    Streamed(Arc<Mutex<Stream>>),
}

/// A body that is read as it is sent on.
pub(super) struct Stream {
    incoming: Incoming,
    attempt: u32,
    read: u64,
    limit: u64,
}

/// The body of one attempt.
pub(super) enum OutBody {
    /// Held bytes, until sent.
    Held(Option<Bytes>),
    /// A streamed body and the attempt that it is for.
    Streamed(Arc<Mutex<Stream>>, u32),
}

impl CallBody {
    /// No body.
    pub(super) fn empty() -> Self {
        Self::Held { bytes: Bytes::new(), _permit: None }
    }

    /// Takes the body of a call; a small one of known length is read by `until` and held, while
    /// `budget` has bytes left.
    pub(super) async fn take(
        incoming: Incoming,
        budget: &Arc<Semaphore>,
        until: Instant,
    ) -> Result<Self, Rejection> {
        if incoming.is_end_stream() {
            return Ok(Self::empty());
        }
        let bytes = incoming.size_hint().upper().filter(|bytes| *bytes <= HELD_BYTES);
        let bytes = bytes.and_then(|bytes| u32::try_from(bytes).ok());
        let permit = bytes.and_then(|n| Arc::clone(budget).try_acquire_many_owned(n).ok());
        let Some(permit) = permit else {
            return Ok(Self::streamed(incoming));
        };
        let limited = Limited::new(incoming, HELD_BYTES as usize);
        match tokio::time::timeout_at(until, limited.collect()).await {
            Ok(Ok(collected)) => {
                Ok(Self::Held { bytes: collected.to_bytes(), _permit: Some(permit) })
            }
            Ok(Err(_)) | Err(_) => Err(Rejection::BodyLate),
        }
    }

    /// A body that is read as it is sent on.
    pub(super) fn streamed(incoming: Incoming) -> Self {
        let stream = Stream { incoming, attempt: 0, read: 0, limit: u64::MAX };
        Self::Streamed(Arc::new(Mutex::new(stream)))
    }

    /// Limits its length; false when it is known to be longer.
    pub(super) fn limit(&self, bytes: u64) -> bool {
        match self {
            Self::Held { bytes: held, .. } => held.len() as u64 <= bytes,
            Self::Streamed(stream) => {
                let mut stream = lock(stream);
                stream.limit = bytes;
                stream.incoming.size_hint().lower() <= bytes
            }
        }
    }

    /// Whether more came than the limit allows.
    pub(super) fn too_large(&self) -> bool {
        match self {
            Self::Held { .. } => false,
            Self::Streamed(stream) => lock(stream).over_limit(),
        }
    }

    /// Whether [`CallBody::for_attempt`] has one more.
    pub(super) fn repeatable(&self) -> bool {
        match self {
            Self::Held { .. } => true,
            Self::Streamed(stream) => lock(stream).read == 0,
        }
    }

    /// The body for one more attempt; earlier attempts read no more of it. `None` when a part of
    /// it has gone.
    pub(super) fn for_attempt(&self) -> Option<OutBody> {
        match self {
            Self::Held { bytes, .. } => Some(OutBody::Held(Some(bytes.clone()))),
            Self::Streamed(shared) => {
                let mut stream = lock(shared);
                if stream.read > 0 {
                    return None;
                }
                stream.attempt += 1;
                Some(OutBody::Streamed(Arc::clone(shared), stream.attempt))
            }
        }
    }
}

impl Stream {
    fn over_limit(&self) -> bool {
        self.read > self.limit
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Some(frame) = ready!(Pin::new(&mut self.incoming).poll_frame(cx)) else {
            return Poll::Ready(None);
        };
        let frame = frame.map_err(BodyError::Connection)?;
        self.read += frame.data_ref().map_or(0, |data| data.len() as u64);
        if self.over_limit() {
            return Poll::Ready(Some(Err(BodyError::TooLarge)));
        }
        Poll::Ready(Some(Ok(frame)))
    }
}

impl Body for OutBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Held(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Streamed(shared, attempt) => {
                let mut stream = lock(shared);
                if stream.attempt != *attempt {
                    return Poll::Ready(Some(Err(BodyError::Over)));
                }
                stream.poll(cx)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Held(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Streamed(shared, attempt) => {
                let stream = lock(shared);
                stream.attempt == *attempt && stream.incoming.is_end_stream()
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Held(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Streamed(shared, _) => lock(shared).incoming.size_hint(),
        }
    }
}

fn lock(stream: &Mutex<Stream>) -> MutexGuard<'_, Stream> {
    stream.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The body of an answer. Its end gives back connection and slot, and ends the attempt.
#[derive(Default)]
pub(super) struct AnswerBody {
    held: Option<Bytes>,
    incoming: Option<Incoming>,
    lease: Option<Lease>,
    slot: Option<SlotGuard>,
    attempt: Option<AttemptEnd>,
    deadline: Option<Instant>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl AnswerBody {
    /// A body that is held whole.
    pub(super) fn whole(bytes: Bytes) -> Self {
        Self { held: Some(bytes), ..Self::default() }
    }

    /// A body that comes over `lease` until `deadline`.
    pub(super) fn streamed(incoming: Incoming, lease: Lease, deadline: Instant) -> Self {
        let mut body = Self {
            incoming: Some(incoming),
            lease: Some(lease),
            deadline: Some(deadline),
            ..Self::default()
        };
        body.end_if_done();
        body
    }

    /// Holds a slot until the end.
    pub(super) fn with_slot(mut self, slot: SlotGuard) -> Self {
        if self.incoming.is_some() {
            self.slot = Some(slot);
        }
        self
    }

    /// Tells an attempt of the end.
    pub(super) fn with_attempt(mut self, mut attempt: AttemptEnd) -> Self {
        if self.incoming.is_some() {
            self.attempt = Some(attempt);
        } else {
            attempt.end(BodyEnd::Whole);
        }
        self
    }

    fn end_if_done(&mut self) {
        if self.incoming.as_ref().is_some_and(Body::is_end_stream) {
            self.end(BodyEnd::Whole);
        }
    }

    fn end(&mut self, end: BodyEnd) {
        self.incoming = None;
        if let Some(slot) = self.slot.take()
            && end == BodyEnd::Truncated
        {
            slot.broke_off();
        }
        if let Some(mut attempt) = self.attempt.take() {
            attempt.end(end);
        }
        if let Some(lease) = self.lease.take()
            && end == BodyEnd::Whole
        {
            lease.give_back();
        }
    }

    fn poll_late(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(deadline) = self.deadline else {
            return Poll::Pending;
        };
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        timer.as_mut().poll(cx)
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(held) = self.held.take() {
            return Poll::Ready((!held.is_empty()).then(|| Ok(Frame::data(held))));
        }
        let Some(incoming) = &mut self.incoming else {
            return Poll::Ready(None);
        };
        match Pin::new(incoming).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.end_if_done();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(cause))) => {
                self.end(BodyEnd::Truncated);
                Poll::Ready(Some(Err(BodyError::Connection(cause))))
            }
            Poll::Ready(None) => {
                self.end(BodyEnd::Whole);
                Poll::Ready(None)
            }
            Poll::Pending => {
                ready!(self.poll_late(cx));
                self.end(BodyEnd::Truncated);
                Poll::Ready(Some(Err(BodyError::Late)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_none() && self.held.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        match (&self.incoming, &self.held) {
            (Some(incoming), _) => incoming.size_hint(),
            (None, Some(held)) => SizeHint::with_exact(held.len() as u64),
            (None, None) => SizeHint::with_exact(0),
        }
    }
}
