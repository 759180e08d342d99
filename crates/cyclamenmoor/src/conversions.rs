//! Converts the backend servers known to membership, and the version splits of moves, into the
//! types that the router and the moves take as input.

use cyclamen_membership::{MemberState, ServerState, ServerView};
use cyclamen_moves::MoveSplit;
use cyclamen_routing::{Hop, ServerInfo, VersionSplit};
use cyclamen_types::{FailureDomain, InstanceName, ServiceName, VersionName};

/// Converts a backend server for the router. Returns `None` if it is gone, or if the daemon that
/// hosts it is dead or has left. A server whose daemon is suspect or cut off is kept and marked as
/// suspected down.
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
        hop: if local {
            Hop::Local(view.record.address)
        } else {
            Hop::Daemon(view.host_calls_address)
        },
        slots: view.record.slots,
        ready: view.record.state == ServerState::Ready,
        suspected_down: view.cut_off || view.host_state == MemberState::Suspect,
        announcement: view.record.sequence,
    })
}

/// Converts the version split of a move for the router.
pub(crate) fn version_split(split: MoveSplit) -> VersionSplit {
    VersionSplit {
        service: split.service,
        from: split.from,
        to: split.to,
        share_ppm: split.share_ppm,
    }
}

/// Sums the slots of the ready backend servers of one service version in one failure domain.
pub(crate) fn ready_slots(
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
