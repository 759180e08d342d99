//! Processor time of single threads.

use std::time::Duration;

/// A thread of this process.
#[derive(Clone, Debug)]
pub(super) struct ThreadCpu {
    path: String,
}

impl ThreadCpu {
    /// The calling thread.
    pub(super) fn of_this_thread() -> anyhow::Result<Self> {
        let link = std::fs::read_link("/proc/thread-self")?;
        Ok(Self { path: format!("/proc/{}/schedstat", link.display()) })
    }

    /// Time on a processor so far; zero once the thread has ended.
    pub(super) fn used(&self) -> Duration {
        let text = std::fs::read_to_string(&self.path).unwrap_or_default();
        let nanos = text.split(' ').next().and_then(|field| field.parse().ok()).unwrap_or(0);
        Duration::from_nanos(nanos)
    }
}
