//! The credential of a call: the key of a client account, in the header `authorization` under the
//! scheme `Bearer` (RFC 6750). Only its digest leaves this module.

use cyclamen_declarations::AccountKey;
use cyclamen_routing::Credential;
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue};

/// The scheme of keys; compared without regard to case.
const SCHEME: &[u8] = b"bearer";

/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 1024;

/// The credential in the headers of a call. `may_be_nested` tells whether a local backend server may
/// have made it.
pub(super) fn credential(headers: &HeaderMap, may_be_nested: bool) -> Credential {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    match (values.next(), values.next()) {
        (None, _) => Credential::Absent { may_be_nested },
        (Some(value), None) => key(value).map_or(Credential::Unusable, Credential::Key),
        (Some(_), Some(_)) => Credential::Unusable,
    }
}

fn key(value: &HeaderValue) -> Option<AccountKey> {
    let (scheme, rest) = value.as_bytes().split_at_checked(SCHEME.len())?;
    let key = rest.strip_prefix(b" ")?.trim_ascii();
    let is_key = scheme.eq_ignore_ascii_case(SCHEME)
        && (1..=MAX_KEY_BYTES).contains(&key.len())
        && key.iter().all(u8::is_ascii_graphic);
    is_key.then(|| AccountKey::of(key))
}

#[cfg(test)]
mod tests;
