//! What the rounds are compared with: fixed steps, and a threshold of 5% failures over the last
//! 100 calls.

use std::collections::VecDeque;
use std::time::Duration;

use crate::moves::scenario::Scenario;

/// Shares of the steps, in parts per million.
const STEPS_PPM: [u32; 5] = [10_000, 50_000, 200_000, 500_000, 1_000_000];

/// Calls that the threshold looks back over.
const WINDOW_CALLS: usize = 100;

/// Failures among them that take a move back.
const LIMIT: usize = 5;

/// The baseline policy, with one view for all daemons.
pub struct Baseline {
    span: Duration,
    window: VecDeque<bool>,
    failed: usize,
    /// When it took the move back.
    pub taken_back: Option<Duration>,
}

impl Baseline {
    /// A move that has not begun.
    pub fn new(scenario: &Scenario) -> Self {
        Self { span: scenario.span, window: VecDeque::new(), failed: 0, taken_back: None }
    }

    /// The share at a moment from the start, in parts per million.
    pub fn share_ppm(&self, at: Option<Duration>) -> u32 {
        let Some(at) = at else {
            return 0;
        };
        if self.taken_back.is_some() {
            return 0;
        }
        let steps = STEPS_PPM.len();
        let step = at.as_secs_f64() / self.span.as_secs_f64() * steps as f64;
        STEPS_PPM[(step as usize).min(steps - 1)]
    }

    /// Counts a call of the new version.
    pub fn record(&mut self, at: Duration, failed: bool) {
        self.window.push_back(failed);
        self.failed += usize::from(failed);
        if self.window.len() > WINDOW_CALLS {
            self.failed -= usize::from(self.window.pop_front() == Some(true));
        }
        if self.window.len() == WINDOW_CALLS && self.failed > LIMIT && self.taken_back.is_none() {
            self.taken_back = Some(at);
        }
    }
}
