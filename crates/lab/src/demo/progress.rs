//! The live progress of the demonstration, a line whenever something changed.

use std::time::Duration;

use cyclamen_moves::MoveStatus;
use cyclamen_standins::{Tally, Told};

/// One percent, in parts per million.
const PERCENT_PPM: f64 = 10_000.0;

/// What was shown last.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    shown: String,
}

impl Progress {
    /// Shows the moves and the calls; nothing when no move changed.
    pub(crate) fn show(&mut self, at: Duration, statuses: &[Option<MoveStatus>], tally: &Tally) {
        let mut moves = String::new();
        for status in statuses {
            let Some(status) = status else {
                continue;
            };
            let percent = f64::from(status.share_ppm) / PERCENT_PPM;
            moves.push_str(&format!("  {}: {} {percent:.0}%", status.id.name, status.phase));
        }
        if moves == self.shown {
            return;
        }
        let (calls, failed) = (tally.calls(), tally.calls() - tally.count(Told::Answered));
        println!("{:>5.1} s{moves}  calls: {calls}, not answered: {failed}", at.as_secs_f64());
        self.shown = moves;
    }
}
