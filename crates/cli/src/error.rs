//! Why a command failed.

use std::path::PathBuf;

use cyclamen_daemon::admin::{ApiError, ErrorCode};
use thiserror::Error;

use crate::status::Status;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Failure {
    /// An argument or a variable of the environment does not fit.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read.
    #[error("`{path}` cannot be read ({cause}): name a file that you may read")]
    File {
        /// The file.
        path: PathBuf,
        /// The system's word.
        cause: std::io::Error,
    },
    /// The daemon answered with an error.
    #[error("{}", shown(.0))]
    Api(Box<ApiError>),
    /// No daemon answered.
    #[error("no daemon answers: {0}; start one, or name others by --daemon or CYCLAMEN_DAEMON")]
    Unreachable(String),
    /// No daemon of this instance is known.
    #[error("no daemon `{0}` is known: `cyclamen members` lists them")]
    NoDaemon(String),
    /// An answer is none of this API.
    #[error("{0}: is this the administration address of a daemon of this release?")]
    Answer(String),
    /// The demonstration could not be set up.
    #[error("the demonstration did not run: {0}; free some ports and try again")]
    Demo(String),
    /// The answer cannot be written.
    #[error("the answer cannot be written ({0}): look at standard output")]
    Output(#[from] std::io::Error),
}

impl Failure {
    /// The exit status that tells it.
    pub fn status(&self) -> Status {
        match self {
            Self::Usage(_) | Self::File { .. } => Status::Usage,
            Self::Api(error) => api_status(error.error_code),
            Self::NoDaemon(_) => Status::NotFound,
            Self::Unreachable(_) => Status::Unreachable,
            Self::Answer(_) | Self::Output(_) | Self::Demo(_) => Status::Failed,
        }
    }
}

fn api_status(code: ErrorCode) -> Status {
    match code {
        ErrorCode::Unauthorized | ErrorCode::NotLocal => Status::Unauthorized,
        ErrorCode::ChangeRefused | ErrorCode::StaleBase | ErrorCode::TooLarge => Status::Refused,
        ErrorCode::Malformed => Status::Usage,
        ErrorCode::NotFound => Status::NotFound,
        ErrorCode::NotReady => Status::Unreachable,
        ErrorCode::Http => Status::Failed,
    }
}

fn shown(error: &ApiError) -> String {
    let mut text = error.message.clone();
    for fault in &error.faults {
        text.push_str("\n  ");
        text.push_str(fault);
    }
    text
}
