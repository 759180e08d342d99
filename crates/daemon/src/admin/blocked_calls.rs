//! Endpoints that list the calls that crash backend servers, and unblock them.

use cyclamen_blocklist::{BlockedCall, CallDigest, MalformedDigest};
use dropshot::{HttpResponseOk, Path, endpoint};

use super::api::{BlockedCallAnswer, BlockedCallList, DigestPath, UnblockAnswer};
use super::context::{self, Request};
use super::error::{ApiError, ErrorCode};

/// The calls that are refused because backend servers crashed while they ran them.
#[endpoint { method = GET, path = "/v1/blocked-calls", tags = ["calls"] }]
pub(super) async fn list_blocked_calls(
    cx: Request,
) -> Result<HttpResponseOk<BlockedCallList>, ApiError> {
    let blocked = cx.context().shared()?.read(|instance| instance.blocked_calls());
    let calls = blocked.into_iter().map(BlockedCallAnswer::from).collect();
    Ok(HttpResponseOk(BlockedCallList { calls }))
}

/// Unblocks a call at all daemons, for all callers and versions.
#[endpoint { method = POST, path = "/v1/blocked-calls/{digest}/unblock", tags = ["calls"] }]
pub(super) async fn unblock_call(
    cx: Request,
    path: Path<DigestPath>,
) -> Result<HttpResponseOk<UnblockAnswer>, ApiError> {
    context::authenticate(&cx)?;
    let digest: CallDigest =
        path.into_inner().digest.parse().map_err(|error: MalformedDigest| {
            ApiError::new(ErrorCode::Malformed, error.to_string())
        })?;
    let shared = cx.context().shared()?;
    if !shared.with(|instance, now, out| instance.unblock_call(now, digest, out)) {
        let message = format!("no call `{digest}` is suspected or blocked: list the blocked calls");
        return Err(ApiError::new(ErrorCode::NotFound, message));
    }
    Ok(HttpResponseOk(UnblockAnswer { digest: digest.to_string() }))
}

impl From<BlockedCall> for BlockedCallAnswer {
    fn from(call: BlockedCall) -> Self {
        Self {
            digest: call.digest.as_ref().into(),
            call: call.call.as_ref().into(),
            crashed_servers: call.crashed_servers.iter().map(ToString::to_string).collect(),
            since_ms: call.since_ms,
            until_ms: call.until_ms,
            refused: call.refused,
        }
    }
}
