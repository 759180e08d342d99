//! Connections to several targets that broke shortly one after the other, without a response.
//!
//! The cause is then the network between them and this daemon, or many of them ended at once. Other
//! connections that have been idle since before are likely broken too, and a call that is sent over
//! one of them gets no answer that tells whether it was run. Over a new connection it does.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

/// How long after a break the connections of other targets are doubted.
const BREAK_PERIOD: Duration = Duration::from_secs(2);

/// Targets whose connections have to break within [`BREAK_PERIOD`].
const MIN_TARGETS: usize = 2;

/// The latest break of each target within [`BREAK_PERIOD`].
#[derive(Debug, Default)]
pub(super) struct RecentBreaks(Vec<(SocketAddr, Instant)>);

impl RecentBreaks {
    /// Records that a connection to a target broke.
    pub(super) fn record(&mut self, target: SocketAddr, now: Instant) {
        self.0.retain(|(other, at)| *other != target && now.duration_since(*at) < BREAK_PERIOD);
        self.0.push((target, now));
    }

    /// The time since which a connection has to have been used to be trusted; `None` while no
    /// connection is doubted.
    pub(super) fn doubted_before(&self, now: Instant) -> Option<Instant> {
        let recent = self.0.iter().filter(|(_, at)| now.duration_since(*at) < BREAK_PERIOD);
        let times: Vec<Instant> = recent.map(|(_, at)| *at).collect();
        if times.len() < MIN_TARGETS {
            return None;
        }
        times.into_iter().min()
    }
}

#[cfg(test)]
mod tests;
