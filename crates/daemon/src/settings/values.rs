//! Parsers for single values of the settings tree.
//!
//! Each takes a YAML value and returns the checked value, or an [`InvalidValue`] with the problem
//! and its remedy.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use cyclamen_declarations::Labels;
use cyclamen_platform::bounds::Bounds;
use cyclamen_types::NameError;
use serde_yaml_ng::Value;

use super::TokenHash;
use super::section::InvalidValue;

/// Remedy shown for an invalid or missing address.
pub(super) const ADDRESS_REMEDY: &str = "write IP:PORT, as in 127.0.0.1:7100";

/// Remedy shown for an invalid or missing name.
pub(super) const NAME_REMEDY: &str = "write 1 to 63 lower-case letters, digits, `-`, `.` and `_`";

const DURATION_REMEDY: &str = "write a number with its unit, as in 200ms, 5s or 1m";
const HASH_REMEDY: &str = "write the 64 hexadecimal digits that `cyclamen token` prints";
const KEY_REMEDY: &str = "write 64 hexadecimal digits, as `openssl rand -hex 32` prints them";

/// A string.
pub(super) fn string(value: &Value) -> Result<&str, InvalidValue> {
    value
        .as_str()
        .ok_or_else(|| InvalidValue::new("not a string", "write a string, in quotes if necessary"))
}

/// A file path; whether the file exists is not checked.
pub(super) fn path(value: &Value) -> Result<PathBuf, InvalidValue> {
    string(value).map(PathBuf::from)
}

/// A name of any of the checked name types.
pub(super) fn name<N>(value: &Value) -> Result<N, InvalidValue>
where
    N: for<'a> TryFrom<&'a str, Error = NameError>,
{
    let text = string(value)?;
    N::try_from(text).map_err(|error| {
        let message = error.to_string();
        let (problem, remedy) = message.split_once(": ").unwrap_or((&message, NAME_REMEDY));
        InvalidValue::new(problem, remedy)
    })
}

/// An IP address and port; the port may be 0.
pub(super) fn address(value: &Value) -> Result<SocketAddr, InvalidValue> {
    let text =
        string(value).map_err(|invalid| InvalidValue::new(invalid.problem, ADDRESS_REMEDY))?;
    text.parse()
        .map_err(|_| InvalidValue::new(format!("`{text}` is not an address"), ADDRESS_REMEDY))
}

/// An IP address and port to listen on.
///
/// Other daemons are told the addresses for calls, peers and administration, so the unspecified
/// address (`0.0.0.0`, `::`) is invalid. The same rule holds for `ready`, `announcements` and the
/// text metrics, which other daemons are not told.
pub(super) fn listen_address(value: &Value) -> Result<SocketAddr, InvalidValue> {
    let address = address(value)?;
    if address.ip().is_unspecified() {
        let problem = format!("other daemons cannot reach `{}`", address.ip());
        return Err(InvalidValue::new(
            problem,
            "write the IP address at which they reach this instance",
        ));
    }
    Ok(address)
}

/// An IP address and port to connect or send to; the port must not be 0.
pub(super) fn destination(value: &Value) -> Result<SocketAddr, InvalidValue> {
    let address = address(value)?;
    if address.port() == 0 {
        return Err(InvalidValue::new("cannot send to port 0", ADDRESS_REMEDY));
    }
    Ok(address)
}

/// An integer in `range`.
pub(super) fn integer(value: &Value, range: RangeInclusive<u32>) -> Result<u32, InvalidValue> {
    let remedy = format!("write a whole number from {} to {}", range.start(), range.end());
    let number = value.as_u64().and_then(|number| u32::try_from(number).ok());
    match number.filter(|number| range.contains(number)) {
        Some(number) => Ok(number),
        None => Err(InvalidValue::new(format!("{} is not valid", yaml_text(value)), remedy)),
    }
}

/// A rate per second: a finite number of at least 0.
pub(super) fn rate(value: &Value) -> Result<f64, InvalidValue> {
    let rate = value.as_f64().filter(|rate| rate.is_finite() && *rate >= 0.0);
    let invalid = || {
        InvalidValue::new(
            format!("{} is not a rate", yaml_text(value)),
            "write a number that is at least 0",
        )
    };
    rate.ok_or_else(invalid)
}

/// A boolean.
pub(super) fn boolean(value: &Value) -> Result<bool, InvalidValue> {
    let invalid = || {
        InvalidValue::new(format!("{} is not a boolean", yaml_text(value)), "write true or false")
    };
    value.as_bool().ok_or_else(invalid)
}

/// A seed of the random number generators: any unsigned 64-bit integer.
pub(super) fn seed(value: &Value) -> Result<u64, InvalidValue> {
    let invalid = || InvalidValue::new("not a whole number", "write a number from 0 to 2^64 - 1");
    value.as_u64().ok_or_else(invalid)
}

/// A duration in `range`, written with its unit.
pub(super) fn duration(
    value: &Value,
    range: RangeInclusive<Duration>,
) -> Result<Duration, InvalidValue> {
    let text = value.as_str().unwrap_or_default();
    let Ok(duration) = humantime::parse_duration(text) else {
        return Err(InvalidValue::new(
            format!("{} is not a duration", yaml_text(value)),
            DURATION_REMEDY,
        ));
    };
    if !range.contains(&duration) {
        let [low, high] = [*range.start(), *range.end()].map(humantime::format_duration);
        let problem = format!("{} is out of range", humantime::format_duration(duration));
        return Err(InvalidValue::new(problem, format!("write a duration from {low} to {high}")));
    }
    Ok(duration)
}

/// The bounds of the platform, in its own words.
pub(super) fn bounds(value: &Value) -> Result<Bounds, InvalidValue> {
    cyclamen_platform::bounds::decode(string(value)?).map_err(|line| {
        InvalidValue::new(
            format!("`{line}` is not a bound"),
            "write a number of seconds, as in `name=2.5`",
        )
    })
}

/// Proxy labels: a mapping of strings to strings.
pub(super) fn labels(value: &Value) -> Result<Labels, InvalidValue> {
    let remedy = "write `key: value` lines with strings as values";
    let map = value.as_mapping().ok_or_else(|| InvalidValue::new("not a mapping", remedy))?;
    let mut labels = Labels::default();
    for (key, value) in map {
        let (Some(key), Some(value)) = (key.as_str(), value.as_str()) else {
            return Err(InvalidValue::new(format!("{} is not a label", yaml_text(key)), remedy));
        };
        labels.0.insert(key.into(), value.into());
    }
    Ok(labels)
}

/// A BLAKE3 token hash in hexadecimal.
pub(super) fn token_hash(value: &Value) -> Result<TokenHash, InvalidValue> {
    let hash = value.as_str().and_then(parse_hex_32);
    hash.map(TokenHash).ok_or_else(|| InvalidValue::new("not the hash of a token", HASH_REMEDY))
}

/// A mesh key in hexadecimal, with surrounding white space allowed.
///
/// The error does not quote `text`, so that the key never appears in a log or on a terminal.
pub(super) fn mesh_key(text: &str) -> Result<[u8; 32], InvalidValue> {
    parse_hex_32(text.trim()).ok_or_else(|| InvalidValue::new("not a valid key", KEY_REMEDY))
}

fn parse_hex_32(text: &str) -> Option<[u8; 32]> {
    blake3::Hash::from_hex(text).ok().map(Into::into)
}

fn yaml_text(value: &Value) -> String {
    let text = serde_yaml_ng::to_string(value).unwrap_or_default();
    format!("`{}`", text.trim())
}
