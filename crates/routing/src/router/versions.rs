//! The choice of a version: shares of a route, rewritten by a running move.

use cyclamen_types::{ServiceName, VersionName};

use crate::router::VersionSplit;
use crate::table::{CompiledRoute, CompiledService};

/// One whole, in parts per million.
pub(super) const PPM: u64 = 1_000_000;

/// A call's place among all calls, in parts per million; the same for a sticky caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Draw(pub(super) u64);

impl Draw {
    /// The place of a caller's key among the keys of a service.
    pub(super) fn of_key(service: &str, key: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(service.as_bytes());
        hasher.update(&[0]);
        hasher.update(key.as_bytes());
        let mut first = [0; 8];
        hasher.finalize_xof().fill(&mut first);
        Self(u64::from_le_bytes(first) % PPM)
    }
}

/// The service of a call, and the place of the call among those of the service on its route.
pub(super) fn service(route: &CompiledRoute, draw: Draw) -> (&ServiceName, Draw) {
    let total: u64 = route.services.iter().map(|weighted| u64::from(weighted.weight)).sum();
    if total == 0 {
        return (&route.service, draw);
    }
    let scaled = draw.0 * total;
    let mut start = 0;
    for weighted in &route.services {
        let weight = u64::from(weighted.weight);
        if scaled < start + weight * PPM {
            return (&weighted.service, Draw((scaled - start) / weight));
        }
        start += weight * PPM;
    }
    (&route.service, draw)
}

/// The version of a call, and the one that may stand in where it has no live server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct VersionChoice {
    pub(super) version: VersionName,
    pub(super) stand_in: Option<VersionName>,
}

/// Chooses the version of a call. A key that a move took to its new version stays there while
/// the share grows.
pub(super) fn choose(
    route: &CompiledRoute,
    service: &CompiledService,
    split: Option<&VersionSplit>,
    draw: Draw,
) -> VersionChoice {
    let (base, place) = base_version(route, service, draw);
    let Some(split) = split else {
        return VersionChoice { version: base.clone(), stand_in: None };
    };
    let share = u64::from(split.share_ppm).min(PPM);
    if *base == split.to {
        return VersionChoice { version: base.clone(), stand_in: Some(split.from.clone()) };
    }
    if *base != split.from {
        return VersionChoice { version: base.clone(), stand_in: None };
    }
    if place.0 >= PPM - share {
        return VersionChoice { version: split.to.clone(), stand_in: Some(split.from.clone()) };
    }
    let stand_in = (share > 0).then(|| split.to.clone());
    VersionChoice { version: base.clone(), stand_in }
}

/// The version before any move, and the place of the draw within its share.
fn base_version<'a>(
    route: &'a CompiledRoute,
    service: &'a CompiledService,
    draw: Draw,
) -> (&'a VersionName, Draw) {
    let total: u64 = route.split.iter().map(|weighted| u64::from(weighted.weight)).sum();
    if total == 0 {
        return (&service.version, draw);
    }
    let scaled = draw.0 * total;
    let mut start = 0;
    for weighted in &route.split {
        let width = u64::from(weighted.weight) * PPM;
        if scaled < start + width {
            return (&weighted.version, Draw((scaled - start) / u64::from(weighted.weight)));
        }
        start += width;
    }
    (&service.version, draw)
}
