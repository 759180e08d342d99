//! Request and response bodies. Small request bodies are buffered so that a call can be retried;
//! larger ones, and responses, are streamed with back-pressure.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use cyclamen_decisions::Loss;
use cyclamenmoor::BodyEnd;
use derive_more::{Display, Error};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, Sleep};

use crate::calls::attempt::BodyEndGuard;
use crate::calls::body_expiry::{BodyExpiry, BodyExpiryGuard};
use crate::calls::delivery::Delivery;
use crate::calls::local_reply::Rejection;
use crate::calls::pool::Lease;
use crate::calls::slot_guard::SlotGuard;

/// Largest request body, in bytes, that is buffered so that the call can be retried.
const MAX_BUFFERED_BODY_BYTES: u64 = 64 * 1024;

/// Longest wait for the end of a request body of unknown length, so that small ones are buffered.
const UNKNOWN_LENGTH_WAIT: Duration = Duration::from_millis(50);

/// Longest silence of a response after its deadline. The rest of a response that has begun may wait
/// behind other traffic on a full link.
const LATE_BODY_SILENCE: Duration = Duration::from_millis(200);

/// Longest time after its deadline in which a response body whose length is unknown may go on.
const MAX_TIME_PAST_DEADLINE: Duration = Duration::from_secs(1);

/// Bytes a second that a response body of known length has to flow at to go on for longer.
const MIN_RATE_PAST_DEADLINE: u64 = 64 * 1024;

/// Why a body ended early.
#[derive(Debug, Display, Error)]
pub(super) enum BodyError {
    /// The connection that the body came over failed.
    #[display("the connection failed: {_0}")]
    Connection(hyper::Error),
    /// The connection failed earlier, and with it the rest of the body.
    #[display("the body broke off before")]
    BrokeOff,
    /// The body is larger than the policy of the service allows.
    #[display("the body is larger than allowed")]
    TooLarge,
    /// A later attempt of the call has taken over the body.
    #[display("a later attempt took over the body")]
    Superseded,
    /// The deadline of the call passed.
    #[display("the deadline passed")]
    DeadlineExceeded,
}

/// The request body of a call, shared by its attempts.
pub(super) enum RequestBody {
    /// Buffered, for any number of attempts. The permit accounts for its bytes.
    Buffered { bytes: Bytes, _permit: Option<OwnedSemaphorePermit> },
    /// Streamed, for as many attempts as start before any of it is read.
    Streamed(Arc<Mutex<StreamedBody>>),
}

/// A request body that is forwarded as it arrives.
pub(super) struct StreamedBody {
    /// The first parts, which have arrived already.
    arrived: VecDeque<Bytes>,
    incoming: Incoming,
    /// Number of the latest attempt, the only one that may read.
    attempt: u32,
    bytes_read: u64,
    /// Most bytes that the policy of the service allows.
    limit: u64,
    /// Whether the connection of `incoming` has failed, which reports its error only once and then
    /// ends like a complete body.
    broke_off: bool,
}

/// The request body of one attempt.
pub(super) enum AttemptBody {
    /// Buffered bytes; `None` once sent.
    Buffered(Option<Bytes>),
    /// The streamed body of the call, and the number of the attempt that may read it.
    Streamed(Arc<Mutex<StreamedBody>>, u32),
}

impl RequestBody {
    /// A request without a body.
    pub(super) fn empty() -> Self {
        Self::Buffered { bytes: Bytes::new(), _permit: None }
    }

    /// Receives the body of a call. A body up to [`MAX_BUFFERED_BODY_BYTES`] is buffered if `budget`
    /// has that many bytes left, one of unknown length only if it arrives whole within
    /// [`UNKNOWN_LENGTH_WAIT`]; others are streamed.
    ///
    /// # Errors
    /// [`Rejection::BodyTimeout`] if a body to buffer does not arrive whole by `until`, or its
    /// connection fails.
    pub(super) async fn receive(
        incoming: Incoming,
        budget: &Arc<Semaphore>,
        until: Instant,
    ) -> Result<Self, Rejection> {
        if incoming.is_end_stream() {
            return Ok(Self::empty());
        }
        let Some(bytes) = incoming.size_hint().upper() else {
            return Self::receive_unknown_length(incoming, budget, until).await;
        };
        let bytes = Some(bytes).filter(|bytes| *bytes <= MAX_BUFFERED_BODY_BYTES);
        let bytes = bytes.and_then(|bytes| u32::try_from(bytes).ok());
        let permit = bytes.and_then(|n| Arc::clone(budget).try_acquire_many_owned(n).ok());
        let Some(permit) = permit else {
            return Ok(Self::streamed(incoming));
        };
        let limited = Limited::new(incoming, MAX_BUFFERED_BODY_BYTES as usize);
        match tokio::time::timeout_at(until, limited.collect()).await {
            Ok(Ok(collected)) => {
                Ok(Self::Buffered { bytes: collected.to_bytes(), _permit: Some(permit) })
            }
            Ok(Err(_)) | Err(_) => Err(Rejection::BodyTimeout),
        }
    }

    async fn receive_unknown_length(
        mut incoming: Incoming,
        budget: &Arc<Semaphore>,
        until: Instant,
    ) -> Result<Self, Rejection> {
        let most = MAX_BUFFERED_BODY_BYTES as usize;
        let Ok(mut permit) = Arc::clone(budget).try_acquire_many_owned(most as u32) else {
            return Ok(Self::streamed(incoming));
        };
        let until = until.min(Instant::now() + UNKNOWN_LENGTH_WAIT);
        let mut arrived = VecDeque::new();
        let mut bytes = 0;
        while bytes <= most {
            let frame = match tokio::time::timeout_at(until, incoming.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => {
                    drop(permit.split(most - bytes));
                    let bytes = Bytes::from(Vec::from(arrived).concat());
                    return Ok(Self::Buffered { bytes, _permit: Some(permit) });
                }
                Ok(Some(Err(_))) => return Err(Rejection::BodyTimeout),
                Err(_) => break,
            };
            if let Ok(data) = frame.into_data() {
                bytes += data.len();
                arrived.push_back(data);
            }
        }
        Ok(Self::streamed_after(arrived, incoming))
    }

    /// A body that is forwarded as it arrives.
    pub(super) fn streamed(incoming: Incoming) -> Self {
        Self::streamed_after(VecDeque::new(), incoming)
    }

    /// Like [`RequestBody::streamed`], after the parts that have arrived already.
    fn streamed_after(arrived: VecDeque<Bytes>, incoming: Incoming) -> Self {
        let stream = StreamedBody {
            arrived,
            incoming,
            attempt: 0,
            bytes_read: 0,
            limit: u64::MAX,
            broke_off: false,
        };
        Self::Streamed(Arc::new(Mutex::new(stream)))
    }

    /// Limits the length of the body. Returns false if the body is already known to be longer than
    /// `bytes`.
    pub(super) fn set_limit(&self, bytes: u64) -> bool {
        match self {
            Self::Buffered { bytes: buffered, .. } => buffered.len() as u64 <= bytes,
            Self::Streamed(stream) => {
                let mut stream = lock(stream);
                stream.limit = bytes;
                stream.size_hint().lower() <= bytes
            }
        }
    }

    /// Whether a streamed body has exceeded its limit.
    pub(super) fn exceeded_limit(&self) -> bool {
        match self {
            Self::Buffered { .. } => false,
            Self::Streamed(stream) => lock(stream).over_limit(),
        }
    }

    /// The bytes of a buffered body; `None` if it is streamed.
    pub(super) fn buffered_bytes(&self) -> Option<&Bytes> {
        match self {
            Self::Buffered { bytes, .. } => Some(bytes),
            Self::Streamed(_) => None,
        }
    }

    /// Whether [`RequestBody::for_attempt`] has a body for one more attempt.
    pub(super) fn is_retryable(&self) -> bool {
        match self {
            Self::Buffered { .. } => true,
            Self::Streamed(stream) => lock(stream).is_whole(),
        }
    }

    /// The body for one more attempt; reads by earlier attempts fail from then on if it is
    /// streamed. `None` once a part of a streamed body has been read, or it has broken off.
    pub(super) fn for_attempt(&self) -> Option<AttemptBody> {
        match self {
            Self::Buffered { bytes, .. } => Some(AttemptBody::Buffered(Some(bytes.clone()))),
            Self::Streamed(shared) => {
                let mut stream = lock(shared);
                if !stream.is_whole() {
                    return None;
                }
                stream.attempt += 1;
                Some(AttemptBody::Streamed(Arc::clone(shared), stream.attempt))
            }
        }
    }
}

impl StreamedBody {
    fn over_limit(&self) -> bool {
        self.bytes_read > self.limit
    }

    /// Whether nothing of the body has been read, and it has not broken off.
    fn is_whole(&self) -> bool {
        self.bytes_read == 0 && !self.broke_off
    }

    fn is_end_stream(&self) -> bool {
        self.arrived.is_empty() && !self.broke_off && self.incoming.is_end_stream()
    }

    /// Bounds of the bytes that are still to come.
    fn size_hint(&self) -> SizeHint {
        let arrived: u64 = self.arrived.iter().map(|part| part.len() as u64).sum();
        let rest = self.incoming.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(arrived + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(arrived + upper);
        }
        hint
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = match self.arrived.pop_front() {
            Some(part) => Frame::data(part),
            None if self.broke_off => return Poll::Ready(Some(Err(BodyError::BrokeOff))),
            None => match ready!(Pin::new(&mut self.incoming).poll_frame(cx)) {
                Some(Ok(frame)) => frame,
                Some(Err(cause)) => {
                    self.broke_off = true;
                    return Poll::Ready(Some(Err(BodyError::Connection(cause))));
                }
                None => return Poll::Ready(None),
            },
        };
        self.bytes_read += frame.data_ref().map_or(0, |data| data.len() as u64);
        if self.over_limit() {
            return Poll::Ready(Some(Err(BodyError::TooLarge)));
        }
        Poll::Ready(Some(Ok(frame)))
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Buffered(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Streamed(shared, attempt) => {
                let mut stream = lock(shared);
                if stream.attempt != *attempt {
                    return Poll::Ready(Some(Err(BodyError::Superseded)));
                }
                stream.poll(cx)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Streamed(shared, attempt) => {
                let stream = lock(shared);
                stream.attempt == *attempt && stream.is_end_stream()
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Streamed(shared, _) => lock(shared).size_hint(),
        }
    }
}

fn lock(stream: &Mutex<StreamedBody>) -> MutexGuard<'_, StreamedBody> {
    stream.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A response body. When it ends, it releases its slot, reports how it ended, and returns its
/// connection to the pool if the body was complete; otherwise the connection is closed.
#[derive(Default)]
pub(super) struct ResponseBody {
    /// The whole body, or the part of it that comes before `incoming`.
    buffered: Option<Bytes>,
    incoming: Option<Incoming>,
    /// Accounts for the buffered bytes.
    permit: Option<OwnedSemaphorePermit>,
    lease: Option<Lease>,
    slot: Option<SlotGuard>,
    body_end: Option<BodyEndGuard>,
    delivery: Option<Delivery>,
    deadline: Option<Instant>,
    /// When the last data arrived, or the head if there was none.
    last_data: Option<Instant>,
    timer: Option<Pin<Box<Sleep>>>,
    /// When the body has to be complete even if data keeps arriving.
    complete_by: Option<Instant>,
    expiry: Option<BodyExpiryGuard>,
}

impl ResponseBody {
    /// A buffered body.
    pub(super) fn buffered(bytes: Bytes) -> Self {
        Self { buffered: Some(bytes), ..Self::default() }
    }

    /// Accounts for the buffered bytes until the body is dropped.
    pub(super) fn with_permit(mut self, permit: Option<OwnedSemaphorePermit>) -> Self {
        self.permit = permit;
        self
    }

    /// Puts `bytes`, which were taken from this body, before the rest of it.
    pub(super) fn with_prefix(mut self, bytes: Bytes) -> Self {
        self.buffered = Some(bytes);
        self
    }

    /// A body received over `lease`. After `deadline` it fails once no data has arrived for
    /// [`LATE_BODY_SILENCE`], and at [`complete_by`] in any case.
    pub(super) fn streamed(incoming: Incoming, lease: Lease, deadline: Instant) -> Self {
        let mut body = Self {
            complete_by: complete_by(deadline, incoming.size_hint().exact()),
            incoming: Some(incoming),
            lease: Some(lease),
            deadline: Some(deadline),
            last_data: Some(Instant::now()),
            ..Self::default()
        };
        body.end_if_done();
        body
    }

    /// Holds `slot` until the body ends.
    pub(super) fn with_slot(mut self, slot: SlotGuard) -> Self {
        match self.incoming {
            Some(_) => self.slot = Some(slot),
            None => slot.complete(),
        }
        self
    }

    /// Reports the end of the body through `body_end`.
    pub(super) fn with_body_end(mut self, mut body_end: BodyEndGuard) -> Self {
        if self.incoming.is_some() {
            self.body_end = Some(body_end);
        } else {
            body_end.report(BodyEnd::Complete);
        }
        self
    }

    /// Has the connection that carries the body watch when it has to be complete.
    pub(super) fn with_expiry(mut self, expiry: &BodyExpiry) -> Self {
        self.expiry = self.complete_by().map(|at| expiry.watch(at));
        self
    }

    /// When the rest of the body has to be complete even if data keeps arriving; `None` without a
    /// rest or a bound.
    pub(super) fn complete_by(&self) -> Option<Instant> {
        self.complete_by.filter(|_| self.incoming.is_some())
    }

    /// Records through `delivery` whether the body was taken to its end.
    pub(super) fn with_delivery(mut self, delivery: Delivery) -> Self {
        match self.is_end_stream() {
            true => delivery.complete(),
            false => self.delivery = Some(delivery),
        }
        self
    }

    fn end_delivery(&mut self, end: BodyEnd) {
        let Some(mut delivery) = self.delivery.take() else {
            return;
        };
        match end {
            BodyEnd::Complete => delivery.complete(),
            BodyEnd::Truncated => delivery.set_loss(Loss::ResponseBrokeOff),
            BodyEnd::Cancelled => {}
        }
    }

    fn end_if_done(&mut self) {
        if self.incoming.as_ref().is_some_and(Body::is_end_stream) {
            self.end(BodyEnd::Complete);
        }
    }

    fn end(&mut self, end: BodyEnd) {
        self.incoming = None;
        self.expiry = None;
        self.end_delivery(end);
        match (self.slot.take(), end) {
            (Some(slot), BodyEnd::Complete) => slot.complete(),
            (Some(slot), BodyEnd::Truncated) => slot.report_truncated_response(),
            (Some(_), BodyEnd::Cancelled) | (None, _) => {}
        }
        if let Some(mut body_end) = self.body_end.take() {
            body_end.report(end);
        }
        if let Some(lease) = self.lease.take()
            && end == BodyEnd::Complete
        {
            lease.return_to_pool();
        }
    }

    /// Whether the body is not complete although it has to be.
    fn is_overdue(&self) -> bool {
        self.complete_by().is_some_and(|at| Instant::now() >= at)
    }

    /// Whether the body has been silent for too long after its deadline.
    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let (Some(deadline), Some(last_data)) = (self.deadline, self.last_data) else {
            return Poll::Pending;
        };
        let until = deadline.max(last_data) + LATE_BODY_SILENCE;
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(until)));
        if timer.deadline() != until {
            timer.as_mut().reset(until);
        }
        timer.as_mut().poll(cx)
    }
}

/// When a response body of `len` bytes, if known, has to be complete. A server in trouble may send
/// a body without end, or drip one, so that data that keeps arriving is no sign of an end to come.
/// `None` if that time cannot be represented.
fn complete_by(deadline: Instant, len: Option<u64>) -> Option<Instant> {
    let flowing = Duration::from_secs(len.unwrap_or(0) / MIN_RATE_PAST_DEADLINE);
    deadline.checked_add(MAX_TIME_PAST_DEADLINE)?.checked_add(flowing)
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(buffered) = self.buffered.take() {
            if self.incoming.is_none() {
                self.end_delivery(BodyEnd::Complete);
            }
            if !buffered.is_empty() {
                return Poll::Ready(Some(Ok(Frame::data(buffered))));
            }
        }
        let Some(incoming) = &mut self.incoming else {
            return Poll::Ready(None);
        };
        match Pin::new(incoming).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.last_data = Some(Instant::now());
                if let Some(lease) = &self.lease {
                    lease.body_part_taken();
                }
                // Trailers are last, and hyper takes nothing after them.
                match frame.is_trailers() {
                    true => self.end(BodyEnd::Complete),
                    false => self.end_if_done(),
                }
                if self.is_overdue() {
                    self.end(BodyEnd::Truncated);
                    return Poll::Ready(Some(Err(BodyError::DeadlineExceeded)));
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(cause))) => {
                self.end(BodyEnd::Truncated);
                Poll::Ready(Some(Err(BodyError::Connection(cause))))
            }
            Poll::Ready(None) => {
                self.end(BodyEnd::Complete);
                Poll::Ready(None)
            }
            Poll::Pending => {
                ready!(self.poll_deadline(cx));
                self.end(BodyEnd::Truncated);
                Poll::Ready(Some(Err(BodyError::DeadlineExceeded)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_none() && self.buffered.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.as_ref().map_or(0, |bytes| bytes.len() as u64);
        let Some(incoming) = &self.incoming else {
            return SizeHint::with_exact(buffered);
        };
        let rest = incoming.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(buffered + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(buffered + upper);
        }
        hint
    }
}

#[cfg(test)]
mod tests;
