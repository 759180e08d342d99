//! Fixed-size keys that stand for names on the wire and in maps.
//!
//! A key is the first bytes of a BLAKE3 hash, so that every daemon and every release derives the
//! same key from the same name. Names whose keys collide are counted as one.

use cyclamen_ledger::MoveId;
use cyclamen_types::{FailureDomain, Incarnation, InstanceName, RouteName, ServerName};
use serde::{Deserialize, Serialize};

macro_rules! key {
    ($(#[$doc:meta])* $name:ident, $bytes:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub [u8; $bytes]);

        impl $name {
            fn of(parts: &[&[u8]]) -> Self {
                let mut hasher = blake3::Hasher::new();
                for part in parts {
                    hasher.update(&(part.len() as u64).to_le_bytes());
                    hasher.update(part);
                }
                let mut head = [0; $bytes];
                hasher.finalize_xof().fill(&mut head);
                Self(head)
            }
        }
    };
}

key!(
    /// One publication of a move: its name and log offset.
    MoveKey,
    8
);
key!(
    /// One incarnation of a daemon that reports evidence.
    ReporterKey,
    8
);
key!(
    /// The key of a failure domain.
    DomainKey,
    2
);
key!(
    /// The key of a route.
    RouteKey,
    4
);
key!(
    /// A backend server of the new version, or [`ServerKey::OLD`].
    ServerKey,
    2
);

impl ServerKey {
    /// All backend servers of the old version, which are counted together. No server name
    /// hashes to this key: a hash of zero is replaced by another value.
    pub const OLD: Self = Self([0, 0]);
}

impl From<&MoveId> for MoveKey {
    fn from(id: &MoveId) -> Self {
        Self::of(&[id.name.as_str().as_bytes(), &id.declared.0.to_le_bytes()])
    }
}

impl From<(&InstanceName, Incarnation)> for ReporterKey {
    fn from((instance, incarnation): (&InstanceName, Incarnation)) -> Self {
        Self::of(&[instance.as_str().as_bytes(), &incarnation.0.to_le_bytes()])
    }
}

impl From<&FailureDomain> for DomainKey {
    fn from(domain: &FailureDomain) -> Self {
        Self::of(&[domain.as_str().as_bytes()])
    }
}

impl From<&RouteName> for RouteKey {
    fn from(route: &RouteName) -> Self {
        Self::of(&[route.as_str().as_bytes()])
    }
}

impl From<&ServerName> for ServerKey {
    fn from(server: &ServerName) -> Self {
        let key = Self::of(&[server.as_str().as_bytes()]);
        if key == Self::OLD { Self([0, 1]) } else { key }
    }
}
