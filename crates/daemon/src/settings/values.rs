//! Readers of single values of the settings tree.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use cyclamen_declarations::Labels;
use cyclamen_types::NameError;
use serde_yaml_ng::Value;

use super::TokenHash;
use super::section::Misfit;

/// Remedy for an address.
pub(super) const ADDRESS_REMEDY: &str = "write IP:PORT, as in 127.0.0.1:7100";

/// Remedy for a name.
pub(super) const NAME_REMEDY: &str = "write 1 to 63 lower-case letters, digits, `-`, `.` and `_`";

const DURATION_REMEDY: &str = "write a number with its unit, as in 200ms, 5s or 1m";
const HASH_REMEDY: &str = "write the 64 hexadecimal digits that `cyclamen token` prints";
const KEY_REMEDY: &str = "write 64 hexadecimal digits, as `openssl rand -hex 32` prints them";

/// A text.
pub(super) fn text(value: &Value) -> Result<&str, Misfit> {
    value.as_str().ok_or_else(|| Misfit::new("not a text", "write a text, in quotes if need be"))
}

/// A path of a file.
pub(super) fn path(value: &Value) -> Result<PathBuf, Misfit> {
    text(value).map(PathBuf::from)
}

/// A checked name.
pub(super) fn name<N>(value: &Value) -> Result<N, Misfit>
where
    N: for<'a> TryFrom<&'a str, Error = NameError>,
{
    let text = text(value)?;
    N::try_from(text).map_err(|error| {
        let message = error.to_string();
        let (problem, remedy) = message.split_once(": ").unwrap_or((&message, NAME_REMEDY));
        Misfit::new(problem, remedy)
    })
}

/// An IP address with its port.
pub(super) fn address(value: &Value) -> Result<SocketAddr, Misfit> {
    let text = text(value).map_err(|misfit| Misfit::new(misfit.problem, ADDRESS_REMEDY))?;
    text.parse().map_err(|_| Misfit::new(format!("`{text}` is no address"), ADDRESS_REMEDY))
}

/// An IP address to listen on, which other daemons are told.
pub(super) fn own_address(value: &Value) -> Result<SocketAddr, Misfit> {
    let address = address(value)?;
    if address.ip().is_unspecified() {
        let problem = format!("other daemons cannot reach `{}`", address.ip());
        return Err(Misfit::new(problem, "write the IP number that they reach this instance by"));
    }
    Ok(address)
}

/// An IP address with a port that can be sent to.
pub(super) fn destination(value: &Value) -> Result<SocketAddr, Misfit> {
    let address = address(value)?;
    if address.port() == 0 {
        return Err(Misfit::new("port 0 cannot be sent to", ADDRESS_REMEDY));
    }
    Ok(address)
}

/// A whole number in a range.
pub(super) fn count(value: &Value, range: RangeInclusive<u32>) -> Result<u32, Misfit> {
    let remedy = format!("write a whole number from {} to {}", range.start(), range.end());
    let number = value.as_u64().and_then(|number| u32::try_from(number).ok());
    match number.filter(|number| range.contains(number)) {
        Some(number) => Ok(number),
        None => Err(Misfit::new(format!("{} does not fit", shown(value)), remedy)),
    }
}

/// A rate a second.
pub(super) fn rate(value: &Value) -> Result<f64, Misfit> {
    let rate = value.as_f64().filter(|rate| rate.is_finite() && *rate >= 0.0);
    let misfit = || Misfit::new(format!("{} is no rate", shown(value)), "write a number from 0 on");
    rate.ok_or_else(misfit)
}

/// Yes or no.
pub(super) fn switch(value: &Value) -> Result<bool, Misfit> {
    let misfit = || Misfit::new(format!("{} does not fit", shown(value)), "write true or false");
    value.as_bool().ok_or_else(misfit)
}

/// A whole number of 64 bits.
pub(super) fn seed(value: &Value) -> Result<u64, Misfit> {
    let misfit = || Misfit::new("not a whole number", "write a number from 0 to 2^64 - 1");
    value.as_u64().ok_or_else(misfit)
}

/// A span of time in a range.
pub(super) fn span(value: &Value, range: RangeInclusive<Duration>) -> Result<Duration, Misfit> {
    let text = value.as_str().unwrap_or_default();
    let Ok(span) = humantime::parse_duration(text) else {
        return Err(Misfit::new(format!("{} is no duration", shown(value)), DURATION_REMEDY));
    };
    if !range.contains(&span) {
        let [low, high] = [*range.start(), *range.end()].map(humantime::format_duration);
        let problem = format!("{} does not fit", humantime::format_duration(span));
        return Err(Misfit::new(problem, format!("write from {low} to {high}")));
    }
    Ok(span)
}

/// Labels of a proxy.
pub(super) fn labels(value: &Value) -> Result<Labels, Misfit> {
    let remedy = "write `key: value` lines with texts as values";
    let map = value.as_mapping().ok_or_else(|| Misfit::new("not a mapping", remedy))?;
    let mut labels = Labels::default();
    for (key, value) in map {
        let (Some(key), Some(value)) = (key.as_str(), value.as_str()) else {
            return Err(Misfit::new(format!("{} is no label", shown(key)), remedy));
        };
        labels.0.insert(key.into(), value.into());
    }
    Ok(labels)
}

/// The hash of a token.
pub(super) fn token_hash(value: &Value) -> Result<TokenHash, Misfit> {
    let hash = value.as_str().and_then(hex_32);
    hash.map(TokenHash).ok_or_else(|| Misfit::new("not the hash of a token", HASH_REMEDY))
}

/// The key of the mesh as text; the text itself is never repeated.
pub(super) fn mesh_key(text: &str) -> Result<[u8; 32], Misfit> {
    hex_32(text.trim()).ok_or_else(|| Misfit::new("the key does not parse", KEY_REMEDY))
}

fn hex_32(text: &str) -> Option<[u8; 32]> {
    blake3::Hash::from_hex(text).ok().map(Into::into)
}

fn shown(value: &Value) -> String {
    let text = serde_yaml_ng::to_string(value).unwrap_or_default();
    format!("`{}`", text.trim())
}
