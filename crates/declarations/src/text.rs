//! Durations and times as text.

use std::time::Duration;

use chrono::{DateTime, SecondsFormat};
use cyclamen_types::Wall;

use crate::fault::Problem;

/// Longest duration that a declaration may give.
pub(crate) const MAX_SPAN: Duration = Duration::from_secs(7 * 24 * 60 * 60);

/// Shortest duration that a declaration may give.
const MIN_SPAN: Duration = Duration::from_millis(1);

/// Latest time that is written, in Unix milliseconds: the end of the year 9999.
const LATEST_MS: u64 = 253_402_300_799_999;

/// Reads a duration such as `800ms`, `2s` or `1m 30s`, in whole milliseconds.
pub(crate) fn parse_span(text: &str) -> Result<Duration, Problem> {
    let fault = || Problem::Duration(text.into());
    let span = humantime::parse_duration(text).map_err(|_| fault())?;
    let whole = span.subsec_nanos() % 1_000_000 == 0;
    if !whole || span < MIN_SPAN || span > MAX_SPAN {
        return Err(fault());
    }
    Ok(span)
}

/// Writes a duration as [`parse_span`] reads it.
pub(crate) fn format_span(span: Duration) -> String {
    humantime::format_duration(span).to_string()
}

/// Reads a time in RFC 3339.
pub(crate) fn parse_time(text: &str) -> Result<Wall, Problem> {
    let fault = || Problem::Time(text.into());
    let time = DateTime::parse_from_rfc3339(text).map_err(|_| fault())?;
    u64::try_from(time.timestamp_millis()).map(Wall).map_err(|_| fault())
}

/// Reads a time in RFC 3339, or one such as `+30s` after `now`.
pub(crate) fn resolve_time(text: &str, now: Wall) -> Result<Wall, Problem> {
    let Some(span) = text.strip_prefix('+') else {
        return parse_time(text);
    };
    if span == "0s" {
        return Ok(now);
    }
    let span = parse_span(span).map_err(|_| Problem::Time(text.into()))?;
    Ok(now + span)
}

/// Writes a time as [`parse_time`] reads it.
pub(crate) fn format_time(time: Wall) -> String {
    let ms = i64::try_from(time.0.min(LATEST_MS)).unwrap_or_default();
    let time = DateTime::from_timestamp_millis(ms).unwrap_or_default();
    time.to_rfc3339_opts(SecondsFormat::Millis, true)
}
