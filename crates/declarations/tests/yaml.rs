//! Hostile and odd YAML.

use cyclamen_declarations::{Change, Faults, parse_change};
use cyclamen_types::Wall;

fn parse(yaml: &str) -> Result<Change, Faults> {
    let id = "change".parse().expect("an id");
    let team = "doors".parse().expect("a team");
    parse_change(yaml, id, team, Wall(0))
}

fn first_fault(yaml: &str) -> String {
    parse(yaml).expect_err("faults").0[0].to_string()
}

#[test]
fn yaml_aliases_multiplied() {
    let mut yaml = String::from("a0: &a0 [x, x, x, x, x, x, x, x, x]\n");
    for i in 1..12 {
        let refs = vec![format!("*a{}", i - 1); 9].join(", ");
        yaml.push_str(&format!("a{i}: &a{i} [{refs}]\n"));
    }
    assert!(first_fault(&yaml).starts_with("the text does not parse"));
}

#[test]
fn yaml_nested_deep() {
    for (open, close) in [("[", "]"), ("{a: ", "}"), ("[{a: ", "}]")] {
        let yaml = format!("declarations: {}{}", open.repeat(200_000), close.repeat(200_000));
        assert!(first_fault(&yaml).starts_with("brackets are nested deeper"));
    }
    for step in ["- ", "? ", "! ", "&a "] {
        let yaml = format!("declarations:\n  {}x", step.repeat(100_000));
        assert!(first_fault(&yaml).starts_with("the text does not parse"), "{step}");
    }
}

#[test]
fn yaml_key_twice() {
    let yaml = "declarations: []\ndeclarations: []";
    assert!(first_fault(yaml).contains("duplicate entry"));
}

#[test]
fn yaml_many_faults() {
    let mut yaml = String::from("declarations:\n- name: a\n  route:\n    service: a\n");
    for i in 0..5_000 {
        yaml.push_str(&format!("    k{i}: 1\n"));
    }
    let faults = parse(&yaml).expect_err("faults");
    assert!(faults.0.len() <= 102, "{} faults", faults.0.len());
    assert!(faults.to_string().contains("more faults"));
}

#[test]
fn yaml_many_items() {
    let items = |count| {
        let mut yaml = String::from("declarations:\n");
        for i in 0..count {
            yaml.push_str(&format!("- {{name: p{i}, policy: {{limits: {{queue: 1}}}}}}\n"));
        }
        parse(&yaml)
    };
    assert!(items(2_000).is_ok());
    let faults = items(2_001).expect_err("faults").to_string();
    assert!(faults.starts_with("declarations: lists 2001 items"), "{faults}");
}

#[test]
fn yaml_not_a_map() {
    for yaml in ["", "5", "[]", "~", "a", "- a", "? [a]\n: b"] {
        assert!(parse(yaml).is_err(), "{yaml}");
    }
}

#[test]
fn yaml_item_not_a_map() {
    assert!(first_fault("declarations: [5]").starts_with("declarations[0]: invalid type"));
}

#[test]
fn yaml_tagged() {
    assert!(parse("declarations: [!route {name: a, service: {version: v1}}]").is_err());
}
