//! Rate limit for log lines, and counters of the lines that were omitted.

use cyclamen_types::Mono;

/// Kinds of lines, which differ in how much of the budget they may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// A line about a call that failed, was refused, was retried or took long. The daemon that
    /// writes it decides what is long.
    Failure,
    /// A line about a sampled call that succeeded.
    Sample,
    /// A line about a change of the daemon's beliefs.
    Belief,
    /// A line about a call whose caller got no whole response. It may use as much of the budget as
    /// one about beliefs, and is counted with the failures when it is omitted.
    Loss,
}

/// Numbers of lines that were omitted, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Omitted {
    /// Lines of [`LineKind::Failure`] that exceeded the budget.
    pub failures: u64,
    /// Lines of [`LineKind::Sample`] that exceeded the budget.
    pub samples: u64,
    /// Lines of [`LineKind::Belief`] that exceeded the budget.
    pub beliefs: u64,
    /// Lines within the budget that were dropped because standard output was too slow.
    pub unwritten: u64,
}

/// Token bucket that limits the rate of log lines. It holds the lines of one second. Lines about
/// beliefs and losses may empty it, those about failures must leave a tenth of it for beliefs, and
/// those about samples must leave half of it for failures and beliefs.
#[derive(Debug)]
pub struct LineBudget {
    per_second: f64,
    available: f64,
    refilled_at: Mono,
    omitted: Omitted,
}

/// Fraction of the capacity that lines about failures must leave for beliefs.
const FAILURE_RESERVE: f64 = 0.1;

/// Fraction of the capacity that lines about samples must leave for other lines.
const SAMPLE_RESERVE: f64 = 0.5;

impl LineBudget {
    /// Creates a full budget of `per_second` lines per second, which allows bursts of the same
    /// size.
    pub fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        let omitted = Omitted::default();
        Self { per_second, available: per_second, refilled_at: Mono(0), omitted }
    }

    /// Takes `lines` lines of a kind from the budget, all or none. Returns whether they may be
    /// written; if not, they are counted as omitted.
    pub fn try_take(&mut self, now: Mono, kind: LineKind, lines: u64) -> bool {
        let elapsed_s = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.available = (self.available + elapsed_s * self.per_second).min(self.per_second);
        let reserve = match kind {
            LineKind::Belief | LineKind::Loss => 0.0,
            LineKind::Failure => self.per_second * FAILURE_RESERVE,
            LineKind::Sample => self.per_second * SAMPLE_RESERVE,
        };
        let wanted = lines as f64;
        if self.available - wanted < reserve {
            self.count_omitted(kind, lines);
            return false;
        }
        self.available -= wanted;
        true
    }

    /// Counts lines within the budget that could not be written.
    pub fn count_unwritten(&mut self, lines: u64) {
        self.omitted.unwritten += lines;
    }

    /// Returns the lines omitted since the last call and resets the counters; `None` if there were
    /// none.
    pub fn take_omitted(&mut self) -> Option<Omitted> {
        let omitted = std::mem::take(&mut self.omitted);
        (omitted != Omitted::default()).then_some(omitted)
    }

    fn count_omitted(&mut self, kind: LineKind, lines: u64) {
        match kind {
            LineKind::Failure | LineKind::Loss => self.omitted.failures += lines,
            LineKind::Sample => self.omitted.samples += lines,
            LineKind::Belief => self.omitted.beliefs += lines,
        }
    }
}
