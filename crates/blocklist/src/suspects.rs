//! The calls that run at local backend servers, and what a crash says about each of them.

use std::cmp::Reverse;
use std::time::Duration;

use cyclamen_types::{FastMap, Mono, ServerName};

use crate::digest::CallKey;
use crate::record::Crash;

/// Most calls that are suspected of one crash.
const MAX_SUSPECTS: usize = 32;

/// Time after a crash in which crashes of other servers become known that count as simultaneous.
pub(crate) const SETTLING_TIME: Duration = Duration::from_millis(400);

/// Identifies a run among those at the local backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunId(pub u64);

/// A call that runs at a local backend server.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) id: RunId,
    pub(crate) key: CallKey,
    pub(crate) began: Mono,
    /// See [`Crash::follows`](crate::Crash::follows).
    pub(crate) follows: Option<ServerName>,
    /// See [`Crash::rank`](crate::Crash::rank).
    pub(crate) rank: u8,
}

/// A call that ran when a server crashed.
#[derive(Clone, Debug)]
pub(crate) struct Suspect {
    pub(crate) run: Run,
    /// Whether no other suspect of this crash had as many crashes before it.
    pub(crate) leads: bool,
}

impl Suspect {
    /// The crash of `server` as the record of this suspect's call holds it.
    pub(crate) fn crash_of(&self, server: &ServerName, points: u8) -> Crash {
        let Run { follows, rank, .. } = &self.run;
        Crash { server: server.clone(), follows: follows.clone(), rank: *rank, points }
    }
}

/// A crash of a local backend server that is judged once [`SETTLING_TIME`] has passed.
#[derive(Clone, Debug)]
pub(crate) struct OpenCrash {
    pub(crate) server: ServerName,
    pub(crate) judged_at: Mono,
    pub(crate) suspects: Vec<Suspect>,
}

/// What one crash says about one suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Weight {
    /// Other suspects are as likely, and other servers crashed at the same moment.
    None,
    /// Other suspects are as likely, or other servers crashed at the same moment.
    Weak,
    /// Nothing but this call explains the crash.
    Strong,
}

impl Weight {
    /// The weight of a crash. `alone` is whether no other server crashed at the same moment.
    pub(crate) fn of(suspect: &Suspect, alone: bool) -> Self {
        match (alone, suspect.leads) {
            (true, true) => Self::Strong,
            (true, false) | (false, true) => Self::Weak,
            (false, false) => Self::None,
        }
    }

    pub(crate) fn points(self) -> u8 {
        match self {
            Self::None => 0,
            Self::Weak => 1,
            Self::Strong => 2,
        }
    }
}

/// The runs at the local backend servers.
#[derive(Debug, Default)]
pub(crate) struct Runs(FastMap<ServerName, Vec<Run>>);

impl Runs {
    pub(crate) fn begin(&mut self, server: &ServerName, run: Run) {
        match self.0.get_mut(server) {
            Some(runs) => runs.push(run),
            None => {
                self.0.insert(server.clone(), vec![run]);
            }
        }
    }

    /// Removes a run; `None` if it is not registered, or its server has crashed.
    pub(crate) fn end(&mut self, server: &ServerName, id: RunId) -> Option<Run> {
        let runs = self.0.get_mut(server)?;
        let position = runs.iter().position(|run| run.id == id)?;
        let run = runs.swap_remove(position);
        if runs.is_empty() {
            self.0.remove(server);
        }
        Some(run)
    }

    pub(crate) fn at(&self, server: &ServerName) -> &[Run] {
        self.0.get(server).map_or(&[], Vec::as_slice)
    }

    /// Removes all runs at a server that has crashed and returns them as suspects, one for each
    /// call. `crashes_of` tells how many crashes of a call are known already.
    pub(crate) fn take_suspects(
        &mut self,
        server: &ServerName,
        crashes_of: impl Fn(CallKey) -> usize,
    ) -> Vec<Suspect> {
        let mut runs = self.0.remove(server).unwrap_or_default();
        // Of several runs of a call the one that began last is kept.
        runs.sort_by_key(|run| (run.key, Reverse(run.began)));
        runs.dedup_by_key(|run| run.key);
        runs.sort_by_key(|run| (Reverse(crashes_of(run.key)), Reverse(run.began)));
        let most = runs.first().map_or(0, |run| crashes_of(run.key));
        let unique = runs.get(1).is_none_or(|run| crashes_of(run.key) < most);
        let mut suspects = Vec::new();
        for (position, run) in runs.into_iter().take(MAX_SUSPECTS).enumerate() {
            suspects.push(Suspect { run, leads: unique && position == 0 });
        }
        suspects
    }
}
