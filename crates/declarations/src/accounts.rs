//! Client accounts: who calls, by the keys that calls carry, and how much each may call.

use std::time::Duration;

use cyclamen_types::AccountName;
use derive_more::Debug;

use crate::checked::Criticality;

/// Context string that derives digests of keys.
const DIGEST_CONTEXT: &str = "cyclamenmoor account keys v1";

/// Bytes of a digest that are shown to people.
const SHOWN_BYTES: usize = 4;

/// The digest of a key that calls carry. Keys are secrets, so only their digests are held; equal
/// digests are compared without telling how far two keys agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[debug("AccountKey({})", self.shown())]
pub struct AccountKey([u8; 32]);

impl AccountKey {
    /// The digest of a key as a caller sends it.
    pub fn of(key: &[u8]) -> Self {
        Self(blake3::derive_key(DIGEST_CONTEXT, key))
    }

    /// The start of the digest in hexadecimal, for logs and dumps.
    pub fn shown(&self) -> String {
        self.0[..SHOWN_BYTES].iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientAccount {
    /// Its name, which backend servers are told.
    pub name: AccountName,
    /// Digests of the keys of its calls; a call with any of them is the account's.
    pub keys: Vec<AccountKey>,
    /// What goes first when slots are short, in place of the route's; `None` leaves it to the route.
    pub criticality: Option<Criticality>,
    /// How much it may call over all daemons; `None` without a bound.
    pub allowance: Option<Allowance>,
}

/// How many calls an account may make over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Calls per second; finite and above 0.
    pub calls_per_second: f64,
    /// Calls beyond that after a pause; finite and at least 0.
    pub burst: f64,
}

/// What a backend server bears while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Calls per second; finite and above 0.
    pub calls_per_second: f64,
    /// How long a server stays cold after its start.
    pub warm_up: Duration,
}
