//! Change files under `tests/cases`: what is read of them, or all their faults.

use cyclamen_declarations::generated::ChangeRecord;
use cyclamen_declarations::{Change, parse_change, parse_json};
use cyclamen_types::Wall;

const NOW: Wall = Wall(1_800_000_000_000);

#[test]
fn parse_files() {
    insta::glob!("cases/*.yaml", |path| {
        let yaml = std::fs::read_to_string(path).expect("a case");
        let id = "change".parse().expect("an id");
        let team = "doors".parse().expect("a team");
        match parse_change(&yaml, id, team, NOW) {
            Ok(change) => {
                let record = ChangeRecord::from(&change);
                insta::assert_yaml_snapshot!(record);
                let text = serde_json::to_string(&record).expect("JSON");
                let again = parse_json::<ChangeRecord>(&text).and_then(Change::try_from);
                assert_eq!(again, Ok(change));
            }
            Err(faults) => insta::assert_snapshot!(faults),
        }
    });
}

/// The example in the reference of the format is a change file.
#[test]
fn parse_reference() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/DECLARATIONS.md");
    let page = std::fs::read_to_string(path).expect("the reference");
    let (_, rest) = page.split_once("```yaml\n").expect("an example");
    let (yaml, _) = rest.split_once("```").expect("its end");
    let id = "change".parse().expect("an id");
    let team = "doors".parse().expect("a team");
    let change = parse_change(yaml, id, team, NOW).unwrap_or_else(|faults| panic!("{faults}"));
    assert_eq!(change.entries.len(), 5);
}
