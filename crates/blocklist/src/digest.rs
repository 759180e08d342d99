//! Keyed digests that identify a call by its content, and the scope in which it is blocked.

use std::str::FromStr;

use cyclamen_types::{ServiceName, VersionName};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Context string that derives the key of the digests from the mesh key.
const KEY_CONTEXT: &str = "cyclamenmoor call digests v1";

/// Digest of the content of a call.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct CallDigest(pub u64);

/// Digest of a [`Scope`].
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct ScopeDigest(pub u64);

/// Identifies a call that may be blocked. Calls of equal content in different scopes are neighbours
/// in its order.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{call}-{scope}")]
pub struct CallKey {
    /// What the call asks for.
    pub call: CallDigest,
    /// Who makes it, and what runs it.
    pub scope: ScopeDigest,
}

/// The text is not a digest as [`CallDigest`] displays it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error(
    "`{0}` is no digest of a call: copy the 16 hexadecimal digits from the list of blocked calls"
)]
pub struct MalformedDigest(String);

/// What a call asks for.
#[derive(Clone, Copy, Debug)]
pub struct CallContent<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host that the call is addressed to, in lower case and without the port.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// The circumstances in which a call is blocked. A new version of a service has not crashed yet,
/// and another caller's call may differ in what is not part of its content.
#[derive(Clone, Copy, Debug)]
pub struct Scope<'a> {
    /// The calling service, if known.
    pub caller: Option<&'a ServiceName>,
    /// The service that runs the call.
    pub service: &'a ServiceName,
    /// Its version.
    pub version: &'a VersionName,
}

/// Computes digests. Without the mesh key nobody can choose calls whose digests collide.
#[derive(Clone)]
pub struct DigestKey([u8; 32]);

impl DigestKey {
    /// Derives the key from the mesh key.
    pub fn new(mesh_key: &[u8; 32]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, mesh_key))
    }

    /// The digest of a call.
    pub fn call(&self, content: &CallContent<'_>) -> CallDigest {
        let CallContent { method, host, target, body } = content;
        CallDigest(self.hash(&[method.as_bytes(), host.as_bytes(), target.as_bytes(), body]))
    }

    /// The digest of a scope.
    pub fn scope(&self, scope: &Scope<'_>) -> ScopeDigest {
        let caller = scope.caller.map_or("", ServiceName::as_str);
        let names = [caller, scope.service.as_str(), scope.version.as_str()];
        ScopeDigest(self.hash(&names.map(str::as_bytes)))
    }

    fn hash(&self, parts: &[&[u8]]) -> u64 {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut digest = [0; 8];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(digest)
    }
}

impl FromStr for CallDigest {
    type Err = MalformedDigest;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || MalformedDigest(text.to_owned());
        if text.len() != 16 {
            return Err(malformed());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| malformed())
    }
}
