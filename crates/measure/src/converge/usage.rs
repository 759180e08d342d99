//! What this process used, as the system tells.

use std::time::Duration;

/// Clock ticks per second of the times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;

/// Fields of `/proc/self/stat` before `utime`, counted after the command's closing bracket.
const FIELDS_BEFORE_UTIME: usize = 11;

/// Processor time used so far by all threads.
pub fn cpu() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after = stat.rsplit(')').next().unwrap_or_default();
    let fields = after.split_whitespace().skip(FIELDS_BEFORE_UTIME).take(2);
    let ticks: f64 = fields.filter_map(|field| field.parse::<f64>().ok()).sum();
    Duration::from_secs_f64(ticks / TICKS_PER_SECOND)
}

/// Memory in use, in bytes.
pub fn rss_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
