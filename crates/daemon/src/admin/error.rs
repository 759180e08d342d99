//! Errors of the administration API: an HTTP status, an error code, and a message that says what to
//! do.

use dropshot::{ErrorStatusCode, HttpError, HttpResponseError};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The kinds of errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorCode {
    /// No token, or one that the daemon does not know.
    Unauthorized,
    /// The request comes from another machine and is for neighbours only.
    NotLocal,
    /// A parameter or a body does not parse.
    Malformed,
    /// The change has faults; nothing was published, or the log holds it as refused.
    ChangeRefused,
    /// Another change came in between; nothing changed.
    StaleBase,
    /// Nothing of this name is known here.
    NotFound,
    /// The body is over the limit.
    TooLarge,
    /// The daemon cannot answer this yet.
    NotReady,
    /// Any other error of the HTTP layer.
    Http,
}

/// The body of every error.
#[derive(Clone, Debug, Error, Serialize, Deserialize, JsonSchema)]
#[error("{message}")]
pub struct ApiError {
    /// Its kind.
    pub error_code: ErrorCode,
    /// What is wrong and what to do, in one sentence.
    pub message: String,
    /// Every fault of a refused change, each with its place and remedy.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<String>,
    /// The position of a refused change, when the log holds it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offset: Option<u64>,
    #[serde(skip)]
    #[schemars(skip)]
    status: Option<u16>,
}

impl ApiError {
    /// An error whose HTTP status follows from its code.
    pub fn new(error_code: ErrorCode, message: impl Into<String>) -> Self {
        let faults = Vec::new();
        Self { error_code, message: message.into(), faults, offset: None, status: None }
    }

    /// Adds the faults of a refused change.
    pub fn with_faults(mut self, faults: Vec<String>) -> Self {
        self.faults = faults;
        self
    }

    /// Adds the position of a refused change in the log.
    pub fn with_offset(mut self, offset: u64) -> Self {
        self.offset = Some(offset);
        self
    }
}

impl ErrorCode {
    /// The HTTP status of errors with this code.
    fn status(self) -> ErrorStatusCode {
        match self {
            Self::Unauthorized => ErrorStatusCode::UNAUTHORIZED,
            Self::NotLocal => ErrorStatusCode::FORBIDDEN,
            Self::Malformed => ErrorStatusCode::BAD_REQUEST,
            Self::ChangeRefused => ErrorStatusCode::UNPROCESSABLE_ENTITY,
            Self::StaleBase => ErrorStatusCode::CONFLICT,
            Self::NotFound => ErrorStatusCode::NOT_FOUND,
            Self::TooLarge => ErrorStatusCode::PAYLOAD_TOO_LARGE,
            Self::NotReady => ErrorStatusCode::SERVICE_UNAVAILABLE,
            Self::Http => ErrorStatusCode::BAD_REQUEST,
        }
    }
}

impl HttpResponseError for ApiError {
    fn status_code(&self) -> ErrorStatusCode {
        let own = self.status.and_then(|status| ErrorStatusCode::from_u16(status).ok());
        own.unwrap_or_else(|| self.error_code.status())
    }
}

/// Part of dropshot's message about a body over the size limit.
///
/// Dropshot reports such a body with status 400, like malformed requests, so only the message tells
/// them apart.
const BODY_OVER_LIMIT: &str = "exceeded maximum size";

impl From<HttpError> for ApiError {
    fn from(error: HttpError) -> Self {
        if error.external_message.contains(BODY_OVER_LIMIT) {
            let message = format!("{}: split it into several", error.external_message);
            return Self::new(ErrorCode::TooLarge, message);
        }
        let status = error.status_code.as_u16();
        let error_code = match status {
            400 => ErrorCode::Malformed,
            404 => ErrorCode::NotFound,
            413 => ErrorCode::TooLarge,
            _ => ErrorCode::Http,
        };
        Self { status: Some(status), ..Self::new(error_code, error.external_message) }
    }
}
