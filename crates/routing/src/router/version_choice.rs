//! The choice of service and version for a call, by the weights of its route and the version split
//! of a move under way.

use cyclamen_types::{ServiceName, VersionName};

use crate::router::VersionSplit;
use crate::table::{CompiledRoute, CompiledService};

/// The whole of a split, in parts per million.
pub(super) const PPM: u64 = 1_000_000;

/// Where a call falls in the weighted splits of its route, in parts per million from 0 to 999,999.
/// It is random for each call, or derived from the key that a sticky route reads from a header, so
/// that calls with the same key get the same version.
#[derive(Clone, Copy, Debug)]
pub(super) struct SplitPoint(pub(super) u64);

impl SplitPoint {
    /// Derives the point from a sticky key. The service is part of the hash, so that points of the
    /// same key are independent between services.
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

/// Picks the service of a call by the weights of its route. Also returns the split point of the
/// call within the share of that service.
pub(super) fn choose_service(
    route: &CompiledRoute,
    split_point: SplitPoint,
) -> (&ServiceName, SplitPoint) {
    let total: u64 = route.services.iter().map(|weighted| u64::from(weighted.weight)).sum();
    if total == 0 {
        return (&route.service, split_point);
    }
    // `scaled` and `start` are in units of weight times PPM; dividing by the weight gives a point
    // from 0 to PPM - 1 again. A service of weight 0 is never chosen, because `scaled` is at least
    // `start`.
    let scaled = split_point.0 * total;
    let mut start = 0;
    for weighted in &route.services {
        let weight = u64::from(weighted.weight);
        if scaled < start + weight * PPM {
            return (&weighted.service, SplitPoint((scaled - start) / weight));
        }
        start += weight * PPM;
    }
    // Not reached, since split points are below PPM.
    (&route.service, split_point)
}

/// The version of a call, and a fallback for when that version has no server that accepts calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct VersionChoice {
    pub(super) version: VersionName,
    pub(super) fallback: Option<VersionName>,
}

/// Picks the version of a call. `split` is that of the move under way, if any; `route.split` holds
/// the version weights of the route, which give the base version of the call. If that is the old
/// version of the move, a call whose split point is at the upper end of the base version's share
/// goes to the new one, so that a sticky key that was given the new version keeps it while the
/// share of the move grows.
///
/// The fallback is the other version of the move, but never the new one while its share is 0.
/// Versions outside the move have no fallback.
pub(super) fn choose_version(
    route: &CompiledRoute,
    service: &CompiledService,
    split: Option<&VersionSplit>,
    split_point: SplitPoint,
) -> VersionChoice {
    let (base, point_in_share) = base_version(route, service, split_point);
    let Some(split) = split else {
        return VersionChoice { version: base.clone(), fallback: None };
    };
    let share = u64::from(split.share_ppm).min(PPM);
    if *base == split.to {
        return VersionChoice { version: base.clone(), fallback: Some(split.from.clone()) };
    }
    if *base != split.from {
        return VersionChoice { version: base.clone(), fallback: None };
    }
    if point_in_share.0 >= PPM - share {
        return VersionChoice { version: split.to.clone(), fallback: Some(split.from.clone()) };
    }
    let fallback = (share > 0).then(|| split.to.clone());
    VersionChoice { version: base.clone(), fallback }
}

/// The version by the weights of the route or the declaration of the service, without any move,
/// and the split point within the share of that version.
fn base_version<'a>(
    route: &'a CompiledRoute,
    service: &'a CompiledService,
    split_point: SplitPoint,
) -> (&'a VersionName, SplitPoint) {
    let total: u64 = route.split.iter().map(|weighted| u64::from(weighted.weight)).sum();
    if total == 0 {
        return (&service.version, split_point);
    }
    // The same selection as in `choose_service`, in the same units.
    let scaled = split_point.0 * total;
    let mut start = 0;
    for weighted in &route.split {
        let width = u64::from(weighted.weight) * PPM;
        if scaled < start + width {
            return (&weighted.version, SplitPoint((scaled - start) / u64::from(weighted.weight)));
        }
        start += width;
    }
    // Not reached, since split points are below PPM.
    (&service.version, split_point)
}
