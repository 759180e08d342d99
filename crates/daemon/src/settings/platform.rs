//! Settings of a daemon that runs on the platform.

use std::net::SocketAddr;

use cyclamen_types::ServiceName;

/// Where a daemon meets the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Address of the platform's store (HTTP).
    pub store: SocketAddr,
    /// Where calls of other daemons are taken; callers use `listen.calls`.
    pub hops: SocketAddr,
    /// Where the platform asks whether this daemon is ready.
    pub ready: SocketAddr,
    /// Where the backend server beside this daemon announces itself.
    pub announcements: SocketAddr,
    /// The service of that backend server, which calls that begin here are said to come from.
    pub service: ServiceName,
}
