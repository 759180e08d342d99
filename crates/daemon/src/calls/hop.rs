//! The authenticated headers between daemons. Only a holder of the mesh key can create them.
//!
//! A request carries [`HOP_REQUEST_HEADER`]: backend server, route, hop id, time left, time left to
//! the latency target, criticality, whether the call is idempotent, its ancestor services, the
//! sender's wall clock, how far the call is a repeat, the server that crashed during an earlier
//! attempt, the client account, how many more times the call may be sent on, and a keyed hash over
//! these, the method and the request target. A response carries [`HOP_RESPONSE_HEADER`]: how the call
//! ended, when to retry, the load of the backend server and those of other servers, whether the route carries
//! nested calls, whether a call that the server made failed, and a keyed hash over these, the hop
//! id and the status. Earlier releases neither send nor read how far the call is a repeat, the crashed server, and
//! what concerns nested calls; these fields may be missing.

mod encoding;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use cyclamen_declarations::Criticality;
use cyclamen_membership::MeshKey;
use cyclamen_routing::{ServerLoad, SharedLoad};
use cyclamen_types::{AccountName, FastSet, RouteName, ServerName, Wall};
use derive_more::Display;
use http::{HeaderMap, HeaderValue, Request, StatusCode};

use crate::calls::nested_calls::AncestorServices;

/// The header of a request from another daemon.
pub(super) const HOP_REQUEST_HEADER: &str = "x-cyclamen-hop";

/// The header of a response to another daemon.
pub(super) const HOP_RESPONSE_HEADER: &str = "x-cyclamen-hop-answer";

/// Context string that derives the key of the hop headers from the mesh key.
const KEY_CONTEXT: &str = "cyclamenmoor hop headers v1";

/// Largest difference between the wall clocks of two daemons at which calls are accepted.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(60);

/// Most hop ids remembered in one window of twice [`CLOCK_TOLERANCE`]; further calls in the window
/// are rejected as replays.
const MAX_REMEMBERED_IDS: usize = 500_000;

/// Identifies one attempt between two daemons; never used twice.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub(super) struct HopId(u128);

/// What the hop header of a request states about the call.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct HopCall {
    pub(super) server: ServerName,
    pub(super) route: RouteName,
    pub(super) id: HopId,
    pub(super) time_left: Duration,
    /// Time left until the route's latency target, if it has one.
    pub(super) latency_target_left: Option<Duration>,
    pub(super) criticality: Criticality,
    /// Whether the call may run more than once.
    pub(super) idempotent: bool,
    /// The ancestor services of the call.
    pub(super) ancestors: AncestorServices,
    /// How far the call is a repeat, see [`Attempt::repeat`](cyclamen_routing::Attempt::repeat).
    pub(super) repeat: f64,
    /// The server that crashed during an earlier attempt of the call, if one did.
    pub(super) crashed_server: Option<ServerName>,
    /// The client account that made the call; `None` if it is of none.
    pub(super) account: Option<AccountName>,
    /// See [`Attempt::moves_left`](cyclamen_routing::Attempt::moves_left).
    pub(super) moves_left: u32,
}

/// How a call ended at the daemon that hosts the backend server. The names are sent in
/// [`HOP_RESPONSE_HEADER`].
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub(super) enum HopOutcome {
    /// The backend server responded.
    Ran,
    /// No slot, connection or time was left. Not run.
    Full,
    /// The backend server reported that it did not run the call.
    Shed,
    /// Servers crashed while they ran the call before. Not run this time.
    Blocked,
    /// The backend server could not be connected to, is unknown or draining, or the call counts
    /// as a replay. Not run.
    Down,
    /// The exchange with the backend server failed, or its response cannot be trusted. May have
    /// run.
    Unknown,
    /// The backend server crashed while it ran the call. An earlier release cannot read this and
    /// treats the response as a broken connection.
    Crashed,
    /// The backend server did not respond in time. May have run.
    Late,
}

/// What the daemon that hosts the backend server reports with a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct HopResponse {
    pub(super) outcome: HopOutcome,
    pub(super) retry_after: Duration,
    pub(super) load: ServerLoad,
    /// The loads that it knows of other servers of the service.
    pub(super) others: Vec<SharedLoad>,
    /// Whether it takes the calls of the route for nested ones; `None` while it does not know.
    pub(super) nested_route: Option<bool>,
    /// Whether the response is a server error and a call that the server made meanwhile failed.
    pub(super) nested_failure: bool,
}

/// Why a request is not accepted as a hop call.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum HopError {
    /// There is no hop header.
    Missing,
    /// The hop header was not created by a holder of the mesh key, or is malformed.
    Forged,
    /// The hop header is authentic, but cannot be told from a replay: its id was seen before, too
    /// many ids are remembered, or its wall clock differs by more than [`CLOCK_TOLERANCE`].
    Replayed(Box<HopCall>),
}

/// Creates and verifies the hop headers of one daemon.
pub(super) struct HopSeal {
    key: [u8; 32],
    id_prefix: u64,
    next_count: AtomicU64,
    seen: Mutex<SeenIds>,
}

/// The hop ids accepted in the current window and in the previous one. A window lasts twice
/// [`CLOCK_TOLERANCE`], the whole range of sending times accepted at one moment, so a call whose id
/// is older than the previous window is rejected by its sending time.
#[derive(Default)]
struct SeenIds {
    window: u64,
    current: FastSet<HopId>,
    previous: FastSet<HopId>,
}

impl HopSeal {
    pub(super) fn new(key: &MeshKey) -> Self {
        Self {
            key: blake3::derive_key(KEY_CONTEXT, &key.0),
            id_prefix: rand::random(),
            next_count: AtomicU64::new(0),
            seen: Mutex::default(),
        }
    }

    /// A new hop id: a random prefix chosen at start and a counter.
    pub(super) fn next_id(&self) -> HopId {
        let count = self.next_count.fetch_add(1, Ordering::Relaxed);
        HopId(u128::from(self.id_prefix) << 64 | u128::from(count))
    }

    /// The value of [`HOP_REQUEST_HEADER`] for a request at wall clock `now`; `None` if it would
    /// not be a valid header value.
    pub(super) fn seal_call<B>(
        &self,
        now: Wall,
        call: &HopCall,
        req: &Request<B>,
    ) -> Option<HeaderValue> {
        let HopCall {
            server,
            route,
            id,
            time_left,
            latency_target_left,
            criticality,
            idempotent,
            ancestors,
            repeat,
            crashed_server,
            account,
            moves_left,
        } = call;
        let ancestors = encoding::format_services(ancestors);
        let crashed_server = encoding::format_server(crashed_server.as_ref());
        let time_left = time_left.as_millis();
        let target_left =
            latency_target_left.map_or(-1, |left| i64::try_from(left.as_millis()).unwrap_or(-1));
        let mut claim = format!(
            "v2 {server} {route} {id} {time_left} {target_left} {criticality} {idempotent} {ancestors} {now} {repeat:.2} {crashed_server}"
        );
        if account.is_some() || *moves_left > 0 {
            claim +=
                &format!(" {}", account.as_ref().map_or(encoding::NO_ACCOUNT, AccountName::as_str));
        }
        if *moves_left > 0 {
            claim += &format!(" {moves_left}");
        }
        let hash = self.keyed_hash(&[b"call", claim.as_bytes(), &request_binding(req)]);
        HeaderValue::from_str(&format!("{claim} {hash}")).ok()
    }

    /// Verifies the header of a request and remembers its id.
    ///
    /// # Errors
    /// The header is missing or forged, or counts as a replay.
    pub(super) fn verify_call<B>(&self, now: Wall, req: &Request<B>) -> Result<HopCall, HopError> {
        let header = req.headers().get(HOP_REQUEST_HEADER).ok_or(HopError::Missing)?;
        let header_text = header.to_str().map_err(|_| HopError::Forged)?;
        let (claim, hash) = header_text.rsplit_once(' ').ok_or(HopError::Forged)?;
        self.verify_hash(hash, &[b"call", claim.as_bytes(), &request_binding(req)])
            .ok_or(HopError::Forged)?;
        let (call, sent_at) = encoding::parse_call(claim).ok_or(HopError::Forged)?;
        let skew = now.since(sent_at).max(sent_at.since(now));
        if skew > CLOCK_TOLERANCE || !self.remember(now, call.id) {
            return Err(HopError::Replayed(Box::new(call)));
        }
        Ok(call)
    }

    /// The value of [`HOP_RESPONSE_HEADER`] for the response to hop `id`; `None` if it would not be
    /// a valid header value.
    pub(super) fn seal_response(
        &self,
        id: HopId,
        status: StatusCode,
        response: &HopResponse,
    ) -> Option<HeaderValue> {
        let HopResponse { outcome, retry_after, load, others, nested_route, nested_failure } =
            response;
        let retry_ms = retry_after.as_millis();
        let (load, others) = (encoding::format_load(load), encoding::format_loads(others));
        let nested_route = encoding::format_flag(*nested_route);
        let claim =
            format!("v2 {outcome} {retry_ms} {load} {others} {nested_route} {nested_failure}");
        let hash = self.keyed_hash(&[b"answer", claim.as_bytes(), &response_binding(id, status)]);
        HeaderValue::from_str(&format!("{claim} {hash}")).ok()
    }

    /// Verifies the header of a response; `None` if it is missing, malformed or not authentic for
    /// hop `id` and this status.
    pub(super) fn verify_response(
        &self,
        id: HopId,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Option<HopResponse> {
        let header_text = headers.get(HOP_RESPONSE_HEADER)?.to_str().ok()?;
        let (claim, hash) = header_text.rsplit_once(' ')?;
        self.verify_hash(hash, &[b"answer", claim.as_bytes(), &response_binding(id, status)])?;
        encoding::parse_response(claim)
    }

    /// Records a hop id; false if it was seen before, or if the current window is full.
    fn remember(&self, now: Wall, id: HopId) -> bool {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let window = now.0 / (2 * CLOCK_TOLERANCE.as_millis() as u64);
        if window != seen.window {
            seen.previous = std::mem::take(&mut seen.current);
            seen.window = window;
        }
        if seen.previous.contains(&id) || seen.current.len() >= MAX_REMEMBERED_IDS {
            return false;
        }
        seen.current.insert(id)
    }

    fn keyed_hash(&self, parts: &[&[u8]]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.finalize()
    }

    fn verify_hash(&self, hash: &str, parts: &[&[u8]]) -> Option<()> {
        let expected = blake3::Hash::from_hex(hash).ok()?;
        // `blake3::Hash` compares in constant time.
        (self.keyed_hash(parts) == expected).then_some(())
    }
}

/// What the hash of a response covers besides its fields: the hop id and the status.
fn response_binding(id: HopId, status: StatusCode) -> Vec<u8> {
    format!("{id} {}", status.as_u16()).into_bytes()
}

/// What the hash of a request covers besides its fields: the method and the request target. The
/// host is not covered, since the receiving daemon does not route by it: the fields name the
/// backend server and the route.
fn request_binding<B>(req: &Request<B>) -> Vec<u8> {
    let path = req.uri().path_and_query().map_or("", |path| path.as_str());
    format!("{} {path}", req.method()).into_bytes()
}

#[cfg(test)]
mod tests;
