//! Checks of a chart file; all faults are reported at once.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::chart::ChartFault;
use crate::raw::RawChart;

/// All faults of a chart file, in the order of the file.
pub(crate) fn verify(raw: &RawChart) -> Vec<ChartFault> {
    let mut faults = Vec::new();
    check_doubles(raw, &mut faults);
    check_transitions(raw, &mut faults);
    check_unused_events(raw, &mut faults);
    check_reachable(raw, &mut faults);
    faults
}

fn check_doubles(raw: &RawChart, faults: &mut Vec<ChartFault>) {
    let mut seen: BTreeSet<&str> = BTreeSet::new();
    for state in &raw.states {
        if !seen.insert(&state.name) {
            faults.push(ChartFault::Doubled(Arc::clone(&state.name)));
        }
    }
    seen.clear();
    for event in &raw.events {
        if !seen.insert(event) {
            faults.push(ChartFault::Doubled(Arc::clone(event)));
        }
    }
}

fn check_transitions(raw: &RawChart, faults: &mut Vec<ChartFault>) {
    let states: BTreeSet<&str> = raw.states.iter().map(|state| state.name.as_ref()).collect();
    for state in &raw.states {
        for (event, target) in &state.on {
            if !raw.events.contains(event) {
                let (state, event) = (Arc::clone(&state.name), Arc::clone(event));
                faults.push(ChartFault::UnknownEvent { state, event });
            }
            if states.contains(target.as_ref()) {
                continue;
            }
            faults.push(ChartFault::Dangling {
                from: Arc::clone(&state.name),
                event: Arc::clone(event),
                target: Arc::clone(target),
            });
        }
    }
}

fn check_unused_events(raw: &RawChart, faults: &mut Vec<ChartFault>) {
    for event in &raw.events {
        if !raw.states.iter().any(|state| state.on.contains_key(event)) {
            faults.push(ChartFault::UnusedEvent(Arc::clone(event)));
        }
    }
}

fn check_reachable(raw: &RawChart, faults: &mut Vec<ChartFault>) {
    let Some(first) = raw.states.first() else {
        faults.push(ChartFault::Empty);
        return;
    };
    let mut reached: BTreeSet<&str> = BTreeSet::from([first.name.as_ref()]);
    let mut open: Vec<&str> = vec![&first.name];
    while let Some(name) = open.pop() {
        for state in &raw.states {
            if *state.name != *name {
                continue;
            }
            for target in state.on.values() {
                if reached.insert(target) {
                    open.push(target);
                }
            }
        }
    }
    for state in &raw.states {
        if !reached.contains(state.name.as_ref()) {
            faults.push(ChartFault::Unreachable(Arc::clone(&state.name)));
        }
    }
}
