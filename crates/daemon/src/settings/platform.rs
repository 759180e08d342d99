//! Settings of a daemon that runs on the platform, next to one backend server.

use std::net::SocketAddr;

use cyclamen_types::ServiceName;

/// Addresses and service of a daemon that runs on the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// HTTP address of the platform's store.
    pub store: SocketAddr,
    /// Address that accepts calls forwarded by other daemons; callers use `listen.calls`.
    pub hops: SocketAddr,
    /// Address that answers the platform's readiness probes.
    pub ready: SocketAddr,
    /// Address at which the local backend server announces itself.
    pub announcements: SocketAddr,
    /// Service of the local backend server; calls that enter the mesh here are attributed to it.
    pub service: ServiceName,
    /// Address that the local backend server listens on; `None` to believe any that is announced.
    pub server: Option<SocketAddr>,
}
