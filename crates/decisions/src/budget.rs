//! How many lines are written at most, and how many were left out.

use cyclamen_types::Mono;

/// Kinds of lines, for what is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// About a call that failed or was refused.
    Failure,
    /// About a call that went well.
    Sample,
    /// About what the daemon believes.
    Belief,
}

/// Lines that were left out, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Omitted {
    /// About calls that failed or were refused.
    pub failures: u64,
    /// About calls that went well.
    pub samples: u64,
    /// About what the daemon believes.
    pub beliefs: u64,
    /// Standard output was too slow for them.
    pub unwritten: u64,
}

/// Lines that may be written, refilled with time. Beliefs may use all of it, failures leave a
/// tenth to them, and samples half.
#[derive(Debug)]
pub struct LineBudget {
    per_second: f64,
    saved: f64,
    refilled: Mono,
    omitted: Omitted,
}

/// Part of the budget that failures leave to beliefs.
const LEFT_BY_FAILURES: f64 = 0.1;

/// Part of the budget that samples leave to other lines.
const LEFT_BY_SAMPLES: f64 = 0.5;

impl LineBudget {
    /// So many lines a second, and as many at once.
    pub fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        let omitted = Omitted::default();
        Self { per_second, saved: per_second, refilled: Mono(0), omitted }
    }

    /// Whether `lines` lines of a kind may be written now; they count as left out otherwise.
    pub fn takes(&mut self, now: Mono, kind: LineKind, lines: u64) -> bool {
        let passed = now.since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.saved = (self.saved + passed * self.per_second).min(self.per_second);
        let left = match kind {
            LineKind::Belief => 0.0,
            LineKind::Failure => self.per_second * LEFT_BY_FAILURES,
            LineKind::Sample => self.per_second * LEFT_BY_SAMPLES,
        };
        let wanted = lines as f64;
        if self.saved - wanted < left {
            self.omit(kind, lines);
            return false;
        }
        self.saved -= wanted;
        true
    }

    /// Counts lines that could not be written though there was budget.
    pub fn unwritten(&mut self, lines: u64) {
        self.omitted.unwritten += lines;
    }

    /// What was left out since the last call of this; `None` when nothing was.
    pub fn take_omitted(&mut self) -> Option<Omitted> {
        let omitted = std::mem::take(&mut self.omitted);
        (omitted != Omitted::default()).then_some(omitted)
    }

    fn omit(&mut self, kind: LineKind, lines: u64) {
        match kind {
            LineKind::Failure => self.omitted.failures += lines,
            LineKind::Sample => self.omitted.samples += lines,
            LineKind::Belief => self.omitted.beliefs += lines,
        }
    }
}
