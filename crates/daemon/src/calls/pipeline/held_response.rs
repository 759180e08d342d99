//! Responses that are held until their bodies have arrived, because calls behind them are in
//! progress.
//!
//! A response that breaks off after its head was written ends the connection, and with it the
//! answers to all calls behind it. A held response that breaks off becomes a failure of its own
//! call alone.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::Response;
use http::response::Parts;
use http_body::Body;
use http_body_util::BodyExt;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::calls::body::ResponseBody;
use crate::calls::local_reply;

/// Largest body, in bytes, that is held; a larger one is written as it arrives.
const MAX_HELD_BODY_BYTES: u64 = 2 * 1024 * 1024;

/// A response of which a part of the body may have been received.
pub(super) struct HeldResponse {
    parts: Parts,
    body: ResponseBody,
    received: BytesMut,
    /// Accounts for the received bytes.
    permit: Option<OwnedSemaphorePermit>,
    progress: Progress,
}

/// How far a body has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Receiving,
    Complete,
    BrokenOff,
    /// The rest does not fit: it is to be streamed.
    TooLarge,
}

impl HeldResponse {
    /// A response of whose body nothing has been received.
    pub(super) fn new(response: Response<ResponseBody>) -> Self {
        let (parts, body) = response.into_parts();
        let too_large = body.size_hint().lower() > MAX_HELD_BODY_BYTES;
        let progress = if too_large { Progress::TooLarge } else { Progress::Receiving };
        Self { parts, body, received: BytesMut::new(), permit: None, progress }
    }

    /// Receives the body until it ends, breaks off, or exceeds [`MAX_HELD_BODY_BYTES`] or what
    /// `budget` has left. Can be cancelled and called again.
    pub(super) async fn receive(&mut self, budget: &Arc<Semaphore>) {
        while self.progress == Progress::Receiving {
            match self.body.frame().await {
                None => self.progress = Progress::Complete,
                Some(Err(_)) => self.progress = Progress::BrokenOff,
                Some(Ok(frame)) => {
                    // Trailers are not passed on.
                    let data = frame.into_data().unwrap_or_default();
                    self.hold(&data, budget);
                }
            }
        }
    }

    fn hold(&mut self, data: &Bytes, budget: &Arc<Semaphore>) {
        self.received.extend_from_slice(data);
        let len = u32::try_from(data.len()).unwrap_or(u32::MAX);
        let Ok(more) = Arc::clone(budget).try_acquire_many_owned(len) else {
            self.progress = Progress::TooLarge;
            return;
        };
        match &mut self.permit {
            Some(permit) => permit.merge(more),
            None => self.permit = Some(more),
        }
        if self.received.len() as u64 > MAX_HELD_BODY_BYTES {
            self.progress = Progress::TooLarge;
        }
    }

    /// The response to write. If the body has broken off, it is a failure in place of the response;
    /// if it has not ended, it begins with what was received.
    pub(super) fn into_response(self) -> Response<ResponseBody> {
        let received = self.received.freeze();
        let body = match self.progress {
            Progress::BrokenOff => return local_reply::broken_off(),
            Progress::Complete => ResponseBody::buffered(received).with_permit(self.permit),
            Progress::Receiving | Progress::TooLarge if received.is_empty() => self.body,
            Progress::Receiving | Progress::TooLarge => {
                self.body.with_prefix(received).with_permit(self.permit)
            }
        };
        Response::from_parts(self.parts, body)
    }
}
