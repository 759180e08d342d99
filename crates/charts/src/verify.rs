//! Verification of a parsed chart file. Every check runs, so that one load reports all errors.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::chart::ChartError;
use crate::raw::RawChart;

/// Returns all errors of a chart file, grouped by check. An empty list means that the chart is
/// valid.
pub(crate) fn verify(raw: &RawChart) -> Vec<ChartError> {
    let mut errors = Vec::new();
    check_duplicates(raw, &mut errors);
    check_transitions(raw, &mut errors);
    check_unused_events(raw, &mut errors);
    check_reachable(raw, &mut errors);
    errors
}

fn check_duplicates(raw: &RawChart, errors: &mut Vec<ChartError>) {
    let mut seen: BTreeSet<&str> = BTreeSet::new();
    for state in &raw.states {
        if !seen.insert(&state.name) {
            errors.push(ChartError::Duplicate(Arc::clone(&state.name)));
        }
    }
    seen.clear();
    for event in &raw.events {
        if !seen.insert(event) {
            errors.push(ChartError::Duplicate(Arc::clone(event)));
        }
    }
}

fn check_transitions(raw: &RawChart, errors: &mut Vec<ChartError>) {
    let states: BTreeSet<&str> = raw.states.iter().map(|state| state.name.as_ref()).collect();
    for state in &raw.states {
        for (event, target) in &state.on {
            if !raw.events.contains(event) {
                let (state, event) = (Arc::clone(&state.name), Arc::clone(event));
                errors.push(ChartError::UnknownEvent { state, event });
            }
            if states.contains(target.as_ref()) {
                continue;
            }
            errors.push(ChartError::UnknownTarget {
                from: Arc::clone(&state.name),
                event: Arc::clone(event),
                target: Arc::clone(target),
            });
        }
    }
}

fn check_unused_events(raw: &RawChart, errors: &mut Vec<ChartError>) {
    for event in &raw.events {
        if !raw.states.iter().any(|state| state.on.contains_key(event)) {
            errors.push(ChartError::UnusedEvent(Arc::clone(event)));
        }
    }
}

fn check_reachable(raw: &RawChart, errors: &mut Vec<ChartError>) {
    let Some(initial) = raw.states.first() else {
        errors.push(ChartError::Empty);
        return;
    };
    let mut reached: BTreeSet<&str> = BTreeSet::from([initial.name.as_ref()]);
    let mut unvisited: Vec<&str> = vec![&initial.name];
    while let Some(name) = unvisited.pop() {
        for state in &raw.states {
            if *state.name != *name {
                continue;
            }
            for target in state.on.values() {
                if reached.insert(target) {
                    unvisited.push(target);
                }
            }
        }
    }
    for state in &raw.states {
        if !reached.contains(state.name.as_ref()) {
            errors.push(ChartError::Unreachable(Arc::clone(&state.name)));
        }
    }
}
