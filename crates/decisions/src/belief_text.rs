//! Text form of [`Belief`], as it appears in the beliefs of an [`Explanation`](crate::Explanation).

use std::fmt;

use crate::line::Belief;

impl fmt::Display for Belief {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Started { .. } => f.write_str("started"),
            Self::Stopping => f.write_str("told to stop"),
            Self::Stopped => f.write_str("stopped"),
            Self::Reloaded { outcome } => write!(f, "settings read again: {outcome}"),
            Self::Ready { ready: true } => f.write_str("ready for callers"),
            Self::Ready { ready: false } => f.write_str("not ready for callers"),
            Self::Relay { reads: true } => {
                f.write_str("this daemon reads the log for its failure domain")
            }
            Self::Relay { reads: false } => {
                f.write_str("this daemon no longer reads the log for its failure domain")
            }
            Self::Config { version } => write!(f, "configuration version {version} is in force"),
            Self::Dependency { name, answers: true, seen } => {
                write!(f, "{name} answers again ({seen})")
            }
            Self::Dependency { name, answers: false, seen } => write!(f, "{name} is lost ({seen})"),
            Self::Member { name, state, cut_off } => {
                let cut = if *cut_off { ", its failure domain silent" } else { "" };
                write!(f, "daemon {name} is {state}{cut}")
            }
            Self::Server { name, service, version, state } => {
                write!(f, "backend server {name} ({service}/{version}) is {state}")
            }
            Self::Move { name, stage, reason, .. } => write!(f, "move {name}: {stage}: {reason}"),
            Self::Omitted { failures, samples, beliefs, unwritten } => write!(
                f,
                "lines left out: {failures} of failures, {samples} of samples, {beliefs} of \
                 beliefs, {unwritten} unwritten"
            ),
        }
    }
}
