//! Exit statuses.

use std::process::ExitCode;

/// How a command ended; the number is the exit status of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Status {
    /// Done, accepted or in order.
    Done = 0,
    /// Anything that no other status names.
    Failed = 1,
    /// The arguments, the environment or a file given do not fit.
    Usage = 2,
    /// A change is refused, or a checked file has faults.
    Refused = 3,
    /// A move is taken back.
    TakenBack = 4,
    /// No outcome yet: a change is on its way, or a move has no verdict.
    Pending = 5,
    /// No daemon answers.
    Unreachable = 6,
    /// The token is missing or unknown.
    Unauthorized = 7,
    /// Nothing of this name is known.
    NotFound = 8,
}

impl From<Status> for ExitCode {
    fn from(status: Status) -> Self {
        Self::from(status as u8)
    }
}
