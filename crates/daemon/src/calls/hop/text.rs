//! The claims of the headers between daemons as text: fields with spaces between them.

use std::time::Duration;

use cyclamen_declarations::Criticality;
use cyclamen_routing::{HeardLoad, ServerLoad};
use cyclamen_types::{RouteName, ServerName, ServiceName, Wall};

use crate::calls::around::ServicesAround;
use crate::calls::hop::{HopAnswer, HopCall, HopNumber, HopOutcome};

/// Stands for a list without entries.
const NOTHING: &str = "-";

/// Names of services with commas between them; a dash for none.
pub(super) fn write_services(services: &[ServiceName]) -> String {
    if services.is_empty() {
        return NOTHING.to_owned();
    }
    let names: Vec<&str> = services.iter().map(ServiceName::as_str).collect();
    names.join(",")
}

fn parse_services(text: &str) -> Option<ServicesAround> {
    if text == NOTHING {
        return Some(ServicesAround::default());
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
    let number = HopNumber(fields.next()?.parse().ok()?);
    let left = Duration::from_millis(fields.next()?.parse().ok()?);
    let wanted: i64 = fields.next()?.parse().ok()?;
    let wanted = u64::try_from(wanted).ok().map(Duration::from_millis);
    let criticality = parse_criticality(fields.next()?)?;
    let idempotent = fields.next()?.parse().ok()?;
    let around = parse_services(fields.next()?)?;
    let at = Wall(fields.next()?.parse().ok()?);
    let call = HopCall { server, route, number, left, wanted, criticality, idempotent, around };
    Some((call, at))
}

pub(super) fn parse_answer(claim: &str) -> Option<HopAnswer> {
    let mut fields = claim.split(' ');
    if fields.next()? != "v2" {
        return None;
    }
    let outcome = parse_outcome(fields.next()?)?;
    let retry_after = Duration::from_millis(fields.next()?.parse().ok()?);
    let load = parse_load(fields.next()?)?;
    let others = parse_loads(fields.next()?)?;
    Some(HopAnswer { outcome, retry_after, load, others })
}

/// The figures of a load with slashes between them.
pub(super) fn write_load(load: &ServerLoad) -> String {
    let ServerLoad { running, waiting, limit, hold_us } = load;
    format!("{running}/{waiting}/{limit}/{hold_us}")
}

fn parse_load(text: &str) -> Option<ServerLoad> {
    let mut figures = text.split('/');
    let running = figures.next()?.parse().ok()?;
    let waiting = figures.next()?.parse().ok()?;
    let limit = figures.next()?.parse().ok()?;
    let hold_us = figures.next()?.parse().ok()?;
    Some(ServerLoad { running, waiting, limit, hold_us })
}

/// Loads with their servers and ages, with commas between them; a dash for none.
pub(super) fn write_loads(loads: &[HeardLoad]) -> String {
    if loads.is_empty() {
        return NOTHING.to_owned();
    }
    let mut text = String::new();
    for HeardLoad { server, load, age } in loads {
        if !text.is_empty() {
            text.push(',');
        }
        text += &format!("{server}:{}:{}", age.as_millis(), write_load(load));
    }
    text
}

fn parse_loads(text: &str) -> Option<Vec<HeardLoad>> {
    if text == NOTHING {
        return Some(Vec::new());
    }
    text.split(',').map(parse_heard_load).collect()
}

fn parse_heard_load(text: &str) -> Option<HeardLoad> {
    let mut fields = text.split(':');
    let server = ServerName::try_from(fields.next()?).ok()?;
    let age = Duration::from_millis(fields.next()?.parse().ok()?);
    let load = parse_load(fields.next()?)?;
    Some(HeardLoad { server, load, age })
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
        HopOutcome::Down,
        HopOutcome::Unknown,
        HopOutcome::Late,
    ];
    all.into_iter().find(|outcome| outcome.to_string() == text)
}
