//! Shared by the tests of this crate: a service with one move, its configuration, daemons and
//! calls.
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

/// Time from the start of the move to its deadline.
pub const START_TO_DEADLINE: Duration = Duration::from_secs(600);

/// Time that the new version is watched after the deadline.
pub const WATCH: Duration = Duration::from_secs(300);

/// The name of the move.
pub fn move_name() -> MoveName {
    "dvere-2".try_into().expect("a name")
}

/// The time `seconds` after the start of the move.
pub fn at(seconds: u64) -> Now {
    let micros = seconds * 1_000_000;
    Now { mono: Mono(micros), wall: Wall(START_MS + seconds * 1_000) }
}

/// The time `millis` after the start of the move.
pub fn at_millis(millis: u64) -> Now {
    Now { mono: Mono(millis * 1_000), wall: Wall(START_MS + millis) }
}

/// The time `seconds` after the start of the move, by a wall clock that is `ahead_ms` fast.
pub fn at_with_skew(seconds: u64, ahead_ms: u64) -> Now {
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
        deadline: Wall(START_MS) + START_TO_DEADLINE,
        watch: WATCH,
        tolerance_ppm: 1_000,
        clash: ClashRule::Evidence,
    }
}

/// A configuration that holds the move with an order and a verdict.
pub fn config(order: Option<OrderAction>, verdict: Option<MoveVerdict>) -> Config {
    let held = Held {
        offset: Offset(7),
        team: "doors".try_into().expect("a name"),
        body: Arc::new(declared()),
    };
    let moves = BTreeMap::from([(
        move_name(),
        HeldMove { held, order, verdict, earlier_offsets: Vec::new() },
    )]);
    Config { version: ConfigVersion(8), moves, ..Config::default() }
}

/// Time from the start of a short move to its deadline, in milliseconds.
pub const SHORT_MOVE_MS: u64 = 16_000;

/// A configuration that holds a short move.
pub fn short_move_config() -> Config {
    let mut config = config(None, None);
    let held = config.moves.get_mut(&move_name()).expect("the move");
    let declared = held.held.body.as_ref().clone();
    held.held.body = Arc::new(Move {
        deadline: Wall(START_MS + SHORT_MOVE_MS),
        watch: Duration::from_millis(SHORT_MOVE_MS),
        ..declared
    });
    config
}

/// The state machine of daemon `index`, in one of three failure domains.
pub fn daemon(index: u64, incarnation: u64, now: Now) -> Moves {
    let settings = MovesSettings {
        instance: format!("i{index}").try_into().expect("a name"),
        incarnation: Incarnation(incarnation),
        failure_domain: format!("domain-{}", index % 3).try_into().expect("a name"),
        evidence_period: Duration::from_secs(1),
    };
    Moves::new(settings, now)
}

/// Announces the same number of slots for both versions.
pub fn even_slots(_: &ServiceName, _: &VersionName) -> u32 {
    30
}

/// The names in a call.
pub struct CallNames {
    /// The route that the call matches.
    pub route: RouteName,
    service: ServiceName,
    old: VersionName,
    new: VersionName,
    server: ServerName,
}

impl CallNames {
    /// The names in a call on `route` to backend server number `server`.
    pub fn new(route: &str, server: u64) -> Self {
        Self {
            route: route.try_into().expect("a name"),
            service: "dvere".try_into().expect("a name"),
            old: "v1".try_into().expect("a name"),
            new: "v2".try_into().expect("a name"),
            server: format!("s{server}").try_into().expect("a name"),
        }
    }

    /// A call as a daemon records it, to the new or the old version.
    pub fn sample(&self, new: bool, failed: bool) -> CallSample<'_> {
        CallSample {
            route: &self.route,
            service: &self.service,
            version: if new { &self.new } else { &self.old },
            server: &self.server,
            failed,
            latency: Duration::from_millis(4),
            new_connection: false,
            warm: None,
        }
    }
}
