//! What this process uses, as the kernel counts it.

use std::time::Duration;

/// Clock ticks per second that `/proc` counts in.
const TICKS_PER_SECOND: u64 = 100;

/// Bytes of a kibibyte.
const KIB: u64 = 1024;

/// Fields of `/proc/self/stat` after the command's name, up to the user time.
const FIELDS_BEFORE_UTIME: usize = 11;

/// Memory held, in bytes; zero where `/proc` does not tell.
pub fn rss_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    for line in status.lines() {
        let Some(rest) = line.strip_prefix("VmRSS:") else {
            continue;
        };
        let kib = rest.split_whitespace().next().and_then(|number| number.parse::<u64>().ok());
        return kib.unwrap_or(0) * KIB;
    }
    0
}

/// Processor time used so far; zero where `/proc` does not tell.
pub fn cpu_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let Some((_, fields)) = stat.rsplit_once(") ") else {
        return Duration::ZERO;
    };
    let mut times = fields.split(' ').skip(FIELDS_BEFORE_UTIME);
    let mut next = || times.next().and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
    let ticks = next() + next();
    Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND)
}
