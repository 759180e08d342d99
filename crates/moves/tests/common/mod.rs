//! One service, one move, several daemons: what the tests of this crate share.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::{ClashRule, Move, OrderAction};
use cyclamen_ledger::{Config, Held, HeldMove, MoveVerdict};
use cyclamen_moves::{CallSample, Moves, MovesSettings};
use cyclamen_types::{
    ConfigVersion, Incarnation, Mono, MoveName, Now, Offset, RouteName, ServerName, ServiceName,
    VersionName, Wall,
};

/// Wall clock at the start of the move, in Unix milliseconds.
pub const START_MS: u64 = 1_000_000;

/// Time from start to deadline.
pub const SPAN: Duration = Duration::from_secs(600);

/// The watch after the last stage.
pub const WATCH: Duration = Duration::from_secs(300);

/// The name of the move.
pub fn move_name() -> MoveName {
    "dvere-2".try_into().expect("a name")
}

/// A moment counted from the start of the move.
pub fn at(seconds: u64) -> Now {
    let micros = seconds * 1_000_000;
    Now { mono: Mono(micros), wall: Wall(START_MS + seconds * 1_000) }
}

/// A moment by a wall clock that runs ahead.
pub fn shifted(seconds: u64, ahead_ms: u64) -> Now {
    let now = at(seconds);
    Now { mono: now.mono, wall: Wall(now.wall.0 + ahead_ms) }
}

/// The declaration of the move.
pub fn declared() -> Move {
    Move {
        name: move_name(),
        service: "dvere".try_into().expect("a name"),
        from: "v1".try_into().expect("a name"),
        to: "v2".try_into().expect("a name"),
        start: Wall(START_MS),
        deadline: Wall(START_MS) + SPAN,
        watch: WATCH,
        tolerance_ppm: 1_000,
        clash: ClashRule::Evidence,
    }
}

/// A configuration with the move.
pub fn config(order: Option<OrderAction>, verdict: Option<MoveVerdict>) -> Config {
    let held = Held {
        offset: Offset(7),
        team: "doors".try_into().expect("a name"),
        body: Arc::new(declared()),
    };
    let moves = BTreeMap::from([(move_name(), HeldMove { held, order, verdict })]);
    Config { version: ConfigVersion(8), moves, ..Config::default() }
}

/// One daemon.
pub fn daemon(index: u64, incarnation: u64, now: Now) -> Moves {
    let settings = MovesSettings {
        instance: format!("i{index}").try_into().expect("a name"),
        incarnation: Incarnation(incarnation),
        domain: format!("domain-{}", index % 3).try_into().expect("a name"),
        evidence_period: Duration::from_secs(1),
    };
    Moves::new(settings, now)
}

/// Slots alike for both versions.
pub fn even_slots(_: &ServiceName, _: &VersionName) -> u32 {
    30
}

/// Names of a call.
pub struct CallNames {
    /// The route.
    pub route: RouteName,
    service: ServiceName,
    old: VersionName,
    new: VersionName,
    server: ServerName,
}

impl CallNames {
    /// A call on a route to a server of this number.
    pub fn new(route: &str, server: u64) -> Self {
        Self {
            route: route.try_into().expect("a name"),
            service: "dvere".try_into().expect("a name"),
            old: "v1".try_into().expect("a name"),
            new: "v2".try_into().expect("a name"),
            server: format!("s{server}").try_into().expect("a name"),
        }
    }

    /// The call as a daemon reports it.
    pub fn sample(&self, new: bool, failed: bool) -> CallSample<'_> {
        CallSample {
            route: &self.route,
            service: &self.service,
            version: if new { &self.new } else { &self.old },
            server: &self.server,
            failed,
            latency: Duration::from_millis(4),
            cold: false,
        }
    }
}
