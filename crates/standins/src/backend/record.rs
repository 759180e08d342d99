//! What backend servers ran, by the caller's key.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::{AsRef, Display, From};

/// A caller's key for one call, sent as `idempotency-key`.
#[derive(Clone, Debug, Display, From, AsRef, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[as_ref(str)]
pub struct CallKey(pub Arc<str>);

impl From<&str> for CallKey {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

/// Counts how often each call ran; shared by the backend servers of one experiment.
#[derive(Clone, Debug, Default)]
pub struct RunRecord {
    runs: Arc<Mutex<HashMap<CallKey, u32>>>,
}

impl RunRecord {
    /// How often a call ran.
    pub fn times(&self, key: &CallKey) -> u32 {
        self.runs().get(key).copied().unwrap_or(0)
    }

    /// Calls that ran, each counted once.
    pub fn calls(&self) -> usize {
        self.runs().len()
    }

    /// Calls that ran more than once.
    pub fn repeated(&self) -> Vec<CallKey> {
        let mut keys = Vec::new();
        for (key, times) in self.runs().iter() {
            if *times < 2 {
                continue;
            }
            keys.push(key.clone());
        }
        keys.sort();
        keys
    }

    pub(crate) fn add(&self, key: CallKey) {
        *self.runs().entry(key).or_insert(0) += 1;
    }

    fn runs(&self) -> MutexGuard<'_, HashMap<CallKey, u32>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
