//! Text encoding of the claim in a hop header, which is all of it but the hash: fields separated by
//! spaces.

use std::time::Duration;

use cyclamen_declarations::Criticality;
use cyclamen_routing::{ServerLoad, SharedLoad};
use cyclamen_types::{AccountName, RouteName, ServerName, ServiceName, Wall};

use crate::calls::hop::{HopCall, HopId, HopOutcome, HopResponse};
use crate::calls::nested_calls::AncestorServices;

/// Encodes an empty list.
const EMPTY_LIST: &str = "-";

/// Encodes a flag that is not known.
const UNKNOWN_FLAG: &str = "-";

/// Encodes that no server is named. It is no valid name.
const NO_SERVER: &str = "-";

/// Encodes that a call is of no account. It is no valid name.
pub(super) const NO_ACCOUNT: &str = "-";

/// The name of a server; [`NO_SERVER`] for `None`.
pub(super) fn format_server(server: Option<&ServerName>) -> &str {
    server.map_or(NO_SERVER, ServerName::as_str)
}

/// Service names separated by commas; [`EMPTY_LIST`] for none.
pub(super) fn format_services(services: &[ServiceName]) -> String {
    if services.is_empty() {
        return EMPTY_LIST.to_owned();
    }
    let names: Vec<&str> = services.iter().map(ServiceName::as_str).collect();
    names.join(",")
}

fn parse_services(text: &str) -> Option<AncestorServices> {
    if text == EMPTY_LIST {
        return Some(AncestorServices::default());
    }
    text.split(',').map(|name| ServiceName::try_from(name).ok()).collect()
}

pub(super) fn parse_call(claim: &str) -> Option<(HopCall, Wall)> {
    let mut fields = claim.split(' ');
    if fields.next()? != "v2" {
        return None;
    }
    let server = ServerName::try_from(fields.next()?).ok()?;
    let route = RouteName::try_from(fields.next()?).ok()?;
    let id = HopId(fields.next()?.parse().ok()?);
    let time_left = Duration::from_millis(fields.next()?.parse().ok()?);
    let latency_target_left: i64 = fields.next()?.parse().ok()?;
    let latency_target_left = u64::try_from(latency_target_left).ok().map(Duration::from_millis);
    let criticality = parse_criticality(fields.next()?)?;
    let idempotent = fields.next()?.parse().ok()?;
    let ancestors = parse_services(fields.next()?)?;
    let sent_at = Wall(fields.next()?.parse().ok()?);
    let repeat = fields.next().map_or(Some(0.0), parse_repeat)?;
    let crashed_server = fields.next().and_then(|name| ServerName::try_from(name).ok());
    let account = fields.next().and_then(|name| AccountName::try_from(name).ok());
    let moves_left = fields.next().and_then(|count| count.parse().ok()).unwrap_or(0);
    let call = HopCall {
        server,
        route,
        id,
        time_left,
        latency_target_left,
        criticality,
        idempotent,
        ancestors,
        repeat,
        crashed_server,
        account,
        moves_left,
    };
    Some((call, sent_at))
}

pub(super) fn parse_response(claim: &str) -> Option<HopResponse> {
    let mut fields = claim.split(' ');
    if fields.next()? != "v2" {
        return None;
    }
    let outcome = parse_outcome(fields.next()?)?;
    let retry_after = Duration::from_millis(fields.next()?.parse().ok()?);
    let load = parse_load(fields.next()?)?;
    let others = parse_loads(fields.next()?)?;
    let mut flag = || fields.next().and_then(|flag| flag.parse().ok());
    let (nested_route, nested_failure) = (flag(), flag().unwrap_or(false));
    Some(HopResponse { outcome, retry_after, load, others, nested_route, nested_failure })
}

/// A flag as `true` or `false`; [`UNKNOWN_FLAG`] for `None`.
pub(super) fn format_flag(flag: Option<bool>) -> &'static str {
    match flag {
        Some(true) => "true",
        Some(false) => "false",
        None => UNKNOWN_FLAG,
    }
}

fn parse_repeat(text: &str) -> Option<f64> {
    text.parse().ok().filter(|repeat| (0.0..=1.0).contains(repeat))
}

/// A load as `RUNNING/WAITING/LIMIT/HOLD_US`, with `/PACE_PERCENT/COLD_MS` behind it where either
/// says something; `HOLD_US` is the average time that a call holds its slot, in microseconds.
pub(super) fn format_load(load: &ServerLoad) -> String {
    let ServerLoad { running, waiting, limit, hold_us, pace_percent, cold_ms } = load;
    let mut text = format!("{running}/{waiting}/{limit}/{hold_us}");
    if *pace_percent > 0 || *cold_ms > 0 {
        text += &format!("/{pace_percent}/{cold_ms}");
    }
    text
}

fn parse_load(text: &str) -> Option<ServerLoad> {
    let mut fields = text.split('/');
    let running = fields.next()?.parse().ok()?;
    let waiting = fields.next()?.parse().ok()?;
    let limit = fields.next()?.parse().ok()?;
    let hold_us = fields.next()?.parse().ok()?;
    let pace_percent = fields.next().map_or(Some(0), |text| text.parse().ok())?;
    let cold_ms = fields.next().map_or(Some(0), |text| text.parse().ok())?;
    Some(ServerLoad { running, waiting, limit, hold_us, pace_percent, cold_ms })
}

/// Loads as `SERVER:AGE_MS:LOAD` separated by commas; [`EMPTY_LIST`] for none.
pub(super) fn format_loads(loads: &[SharedLoad]) -> String {
    if loads.is_empty() {
        return EMPTY_LIST.to_owned();
    }
    let mut text = String::new();
    for SharedLoad { server, load, age } in loads {
        if !text.is_empty() {
            text.push(',');
        }
        text += &format!("{server}:{}:{}", age.as_millis(), format_load(load));
    }
    text
}

fn parse_loads(text: &str) -> Option<Vec<SharedLoad>> {
    if text == EMPTY_LIST {
        return Some(Vec::new());
    }
    text.split(',').map(parse_shared_load).collect()
}

fn parse_shared_load(text: &str) -> Option<SharedLoad> {
    let mut fields = text.split(':');
    let server = ServerName::try_from(fields.next()?).ok()?;
    let age = Duration::from_millis(fields.next()?.parse().ok()?);
    let load = parse_load(fields.next()?)?;
    Some(SharedLoad { server, load, age })
}

fn parse_criticality(text: &str) -> Option<Criticality> {
    let all = [Criticality::Bulk, Criticality::Normal, Criticality::Critical];
    all.into_iter().find(|criticality| criticality.to_string() == text)
}

fn parse_outcome(text: &str) -> Option<HopOutcome> {
    let all = [
        HopOutcome::Ran,
        HopOutcome::Full,
        HopOutcome::Shed,
        HopOutcome::Blocked,
        HopOutcome::Down,
        HopOutcome::Unknown,
        HopOutcome::Crashed,
        HopOutcome::Late,
    ];
    all.into_iter().find(|outcome| outcome.to_string() == text)
}
