//! Who may do what: operators by token, backend servers by their machine.

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

    /// The hash in hexadecimal, as settings name it.
    pub fn to_hex(&self) -> String {
        blake3::Hash::from(self.0).to_hex().to_string()
    }
}

/// The team of a request's token. All hashes are compared, each in constant time.
///
/// # Errors
/// No token, or one that no team has.
pub(super) fn team(tokens: &[OperatorToken], headers: &HeaderMap) -> Result<TeamName, ApiError> {
    let Some(token) = bearer(headers) else {
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

/// Whether a request comes from the daemon's own machine.
///
/// # Errors
/// It comes from another one.
pub(super) fn neighbour(from: SocketAddr, own: IpAddr) -> Result<(), ApiError> {
    let from = from.ip().to_canonical();
    if from.is_loopback() || from == own.to_canonical() {
        return Ok(());
    }
    let message = "a backend server announces itself to the daemon on its own instance only: \
                   use that daemon's administration address";
    Err(ApiError::new(ErrorCode::NotLocal, message))
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let (scheme, token) = headers.get(AUTHORIZATION)?.to_str().ok()?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}
