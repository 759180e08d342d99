//! The example files are accepted, one after the other, without a warning.

mod common;

use std::path::Path;

use common::{append, change, faults, warnings};
use cyclamen_ledger::Ledger;

fn assert_accepted(deployment: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(deployment);
    let mut ledger = Ledger::default();
    for file in ["declarations.yaml", "move.yaml"] {
        let yaml = std::fs::read_to_string(folder.join(file)).expect("an example");
        let change = change(file, &yaml);
        assert_eq!(faults(&ledger, &change), Vec::<String>::new());
        assert_eq!(warnings(&ledger, &change), Vec::<String>::new());
        append(&mut ledger, &Ledger::change_payload(&change));
    }
    assert_eq!(ledger.counters().accepted, 2);
}

#[test]
fn examples_spolek() {
    assert_accepted("spolek");
}

#[test]
fn examples_quillfield() {
    assert_accepted("quillfield");
}
