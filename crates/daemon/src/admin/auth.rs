//! Access control of the administration API.
//!
//! Operators authenticate with bearer tokens. Backend servers need no token, but their requests
//! must come from the daemon's own machine.

use std::net::{IpAddr, SocketAddr};

use cyclamen_types::TeamName;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use subtle::ConstantTimeEq;

use super::error::{ApiError, ErrorCode};
use crate::settings::{OperatorToken, TokenHash};

#[cfg(test)]
mod tests;

impl TokenHash {
    /// The hash of a token.
    pub fn of(token: &str) -> Self {
        Self(blake3::hash(token.as_bytes()).into())
    }

    /// The hash in hexadecimal, as the `tokens` of a settings file give it.
    pub fn to_hex(&self) -> String {
        blake3::Hash::from(self.0).to_hex().to_string()
    }
}

/// The team that the bearer token of a request belongs to.
///
/// The hash of the token is compared with all known hashes, each in constant time, so that the time
/// taken tells nothing about them.
///
/// # Errors
/// The request has no token, or one that belongs to no team.
pub(super) fn authenticate(
    tokens: &[OperatorToken],
    headers: &HeaderMap,
) -> Result<TeamName, ApiError> {
    let Some(token) = bearer_token(headers) else {
        let message = "no token: send the header `Authorization: Bearer TOKEN`";
        return Err(ApiError::new(ErrorCode::Unauthorized, message));
    };
    let hash = TokenHash::of(token);
    let mut found = None;
    for known in tokens {
        if bool::from(known.hash.0.ct_eq(&hash.0)) {
            found = Some(&known.team);
        }
    }
    let message = "unknown token: use one whose hash is under `tokens` in the daemon's settings";
    found.cloned().ok_or_else(|| ApiError::new(ErrorCode::Unauthorized, message))
}

/// Checks that a request comes from the daemon's own machine: from a loopback address, or from
/// `own`, the address that the daemon listens on for calls.
///
/// # Errors
/// The request comes from another machine.
pub(super) fn require_local(from: SocketAddr, own: IpAddr) -> Result<(), ApiError> {
    let from = from.ip().to_canonical();
    if from.is_loopback() || from == own.to_canonical() {
        return Ok(());
    }
    let message = "a backend server can announce itself only to the daemon of its own instance: \
                   use that daemon's administration address";
    Err(ApiError::new(ErrorCode::NotLocal, message))
}

/// The token of a header `Authorization: Bearer TOKEN`.
fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let (scheme, token) = headers.get(AUTHORIZATION)?.to_str().ok()?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}
