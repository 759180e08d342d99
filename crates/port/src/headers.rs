//! Names of the headers that callers, daemons and backend servers read.

use http::HeaderName;

/// Names of the headers of calls and answers. A header without a name is neither read nor written.
#[derive(Clone, Debug)]
pub struct CallHeaders {
    /// Names the call; backend servers echo it.
    pub request_id: HeaderName,
    /// Time that the caller still waits, in milliseconds.
    pub deadline: HeaderName,
    /// The service on whose instance the call began; set by the daemon, whatever was sent.
    pub caller_service: Option<HeaderName>,
    /// The backend server that is meant; any other one does not run the call.
    pub target_server: Option<HeaderName>,
    /// Proof that an answer is a backend server's; without it a success is none.
    pub proof: Option<HeaderName>,
    /// On an answer: the backend server did not run the call.
    pub not_run: Option<HeaderName>,
    /// On an answer: how many calls per second the backend server takes from all callers together.
    /// It holds until an answer without the header.
    pub calls_per_second: Option<HeaderName>,
    /// On an answer: the backend server leaves, and is to get no new calls.
    pub leaving: Option<HeaderName>,
    /// On a call at a backend server: the client account that made it; set by the daemon, whatever
    /// was sent.
    pub account: Option<HeaderName>,
    /// On an answer: calls running, calls waiting and slots of the backend server, and how long work
    /// takes there at present in percent of the usual, separated by commas. The last may be missing.
    pub load: Option<HeaderName>,
    /// On an answer to a status check: how much longer the backend server is cold, in milliseconds.
    pub cold_left: Option<HeaderName>,
    /// Whether backend servers make calls of their own under the request id of the call they run.
    pub nested_calls_keep_id: bool,
    /// Whether callers read fractions of seconds in the time to come back.
    pub fractional_retry_after: bool,
}

impl Default for CallHeaders {
    fn default() -> Self {
        Self {
            request_id: HeaderName::from_static("x-request-id"),
            deadline: HeaderName::from_static("x-request-deadline-ms"),
            caller_service: None,
            target_server: None,
            proof: None,
            not_run: None,
            calls_per_second: None,
            leaving: None,
            account: None,
            load: None,
            cold_left: None,
            nested_calls_keep_id: true,
            fractional_retry_after: false,
        }
    }
}
