//! Keeps derived state in step: the table with the configuration, the router with members and
//! moves.

use cyclamen_membership::{MemberState, ServerState, ServerView};
use cyclamen_moves::Split;
use cyclamen_routing::{Hop, ServerInfo, VersionSplit};
use cyclamen_types::{FailureDomain, InstanceName, ServiceName, VersionName};

/// A backend server as the router needs it; `None` when it can take no call.
pub(crate) fn server_info(view: &ServerView, me: &InstanceName) -> Option<ServerInfo> {
    if view.record.state == ServerState::Gone {
        return None;
    }
    if matches!(view.host_state, MemberState::Dead | MemberState::Left) && !view.cut_off {
        return None;
    }
    let local = &view.host == me;
    Some(ServerInfo {
        name: view.record.name.clone(),
        service: view.record.service.clone(),
        version: view.record.version.clone(),
        domain: view.domain.clone(),
        region: view.region.clone(),
        hop: if local { Hop::Local(view.record.address) } else { Hop::Daemon(view.hop) },
        slots: view.record.slots,
        ready: view.record.state == ServerState::Ready,
        doubtful: view.cut_off || view.host_state == MemberState::Suspect,
    })
}

/// A split as the router needs it.
pub(crate) fn version_split(split: Split) -> VersionSplit {
    VersionSplit {
        service: split.service,
        from: split.from,
        to: split.to,
        share_ppm: split.share_ppm,
    }
}

/// Slots of a version's ready backend servers in one failure domain.
pub(crate) fn slots_in(
    servers: &[ServerView],
    domain: &FailureDomain,
    service: &ServiceName,
    version: &VersionName,
) -> u32 {
    let mut slots = 0;
    for view in servers {
        let record = &view.record;
        if view.domain != *domain || record.state != ServerState::Ready {
            continue;
        }
        if record.service == *service && record.version == *version {
            slots += record.slots;
        }
    }
    slots
}
