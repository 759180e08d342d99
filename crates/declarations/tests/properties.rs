//! Properties of texts: whatever is written can be read back, and nothing read panics.

use cyclamen_declarations::generated::ChangeRecord;
use cyclamen_declarations::{Change, Labels, Requirement, Selector, parse_change, parse_json};
use cyclamen_types::Wall;
use proptest::prelude::*;
use serde_json::{Value, json};

const NOW: Wall = Wall(1_800_000_000_123);

fn parse(yaml: &str) -> Result<Change, cyclamen_declarations::Faults> {
    let id = "change".parse().expect("an id");
    let team = "doors".parse().expect("a team");
    parse_change(yaml, id, team, NOW)
}

fn requirement() -> impl Strategy<Value = Requirement> {
    let key = "[a-zA-Z0-9./_-]{1,8}".prop_map(std::sync::Arc::from);
    let values = prop::collection::vec(key.clone(), 1..4);
    prop_oneof![
        (key.clone(), values.clone()).prop_map(|(key, values)| Requirement::In(key, values)),
        (key.clone(), values).prop_map(|(key, values)| Requirement::NotIn(key, values)),
        key.clone().prop_map(Requirement::Exists),
        key.prop_map(Requirement::Absent),
    ]
}

fn span() -> impl Strategy<Value = String> {
    prop_oneof![
        (1..5_000u32).prop_map(|ms| format!("{ms}ms")),
        (1..90u32, 1..999u32).prop_map(|(s, ms)| format!("{s}s {ms}ms")),
        Just("1h".into()),
    ]
}

fn name() -> impl Strategy<Value = String> {
    "[a-z0-9]([a-z0-9._-]{0,6}[a-z0-9])?"
}

fn selector() -> impl Strategy<Value = String> {
    prop::collection::vec(requirement(), 0..3)
        .prop_map(|requirements| Selector { requirements }.to_string())
}

fn item() -> impl Strategy<Value = Value> {
    let labels = prop::collection::btree_map("[a-z/]{1,4}", "[a-z0-9]{1,4}", 0..3);
    let split = prop::collection::btree_map(name(), 1..9u32, 0..3).prop_map(|weights| {
        let weights = weights.into_iter();
        weights.map(|(v, w)| json!({"version": v, "weight": w})).collect::<Vec<_>>()
    });
    let route = (name(), selector(), split, span(), any::<i32>(), "(/[a-z]{1,4}){0,3}/?");
    let policy = (name(), selector(), selector(), 0..100_000u32, span());
    prop_oneof![
        (name(), name(), labels)
            .prop_map(|(n, v, l)| json!({"name": n, "service": {"version": v, "labels": l}})),
        (name(), name()).prop_map(|(s, v)| json!({"name": format!("{s}/{v}"), "version": {}})),
        route.prop_map(|(n, proxies, split, timeout, priority, prefix)| json!({
            "name": n, "base": 3, "route": {
                "service": n, "proxies": proxies, "split": split, "timeout": timeout,
                "priority": priority, "match": {"path_prefix": prefix, "hosts": ["*.a.example"]},
            },
        })),
        policy.prop_map(|(n, services, proxies, queue, wait)| json!({
            "name": n, "policy": {
                "services": services, "proxies": proxies,
                "limits": {"queue": queue, "queue_wait": wait},
            },
        })),
        (name(), 1..600u32, span()).prop_map(|(n, s, watch)| json!({
            "name": n, "move": {
                "service": n, "from": "a", "to": "b", "deadline": format!("+{s}s"), "watch": watch,
            },
        })),
        name().prop_map(|n| json!({"delete": {"kind": "policy", "name": n}})),
        name().prop_map(|n| json!({"order": {"move": n, "action": "hasten"}})),
    ]
}

/// A change file, now and then with a word of it altered.
fn near_file() -> impl Strategy<Value = String> {
    let items = prop::collection::vec(item(), 0..4);
    (items, "[a-z]{2,9}", "[ -~]{0,6}").prop_map(|(items, word, other)| {
        json!({"declarations": items}).to_string().replacen(&word[..2], &other, 3)
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn selector_round_trip(requirements in prop::collection::vec(requirement(), 0..5)) {
        let selector = Selector { requirements };
        prop_assert_eq!(selector.to_string().parse::<Selector>(), Ok(selector));
    }

    #[test]
    fn selector_exactly_one_matches(
        key in "[a-z]{1,2}",
        value in "[a-z]{1,2}",
        labels in prop::collection::btree_map("[a-z]{1,2}", "[a-z]{1,2}", 0..6),
    ) {
        let mut checked = Labels::default();
        for (key, value) in labels {
            checked.0.insert(key.into(), value.into());
        }
        let matches = |text: String| text.parse::<Selector>().map(|s| s.matches(&checked));
        let pairs = [("=", "!="), (" in (", " notin (")];
        for (plain, inverse) in pairs {
            let end = if plain == "=" { "" } else { ")" };
            let plain = matches(format!("{key}{plain}{value}{end}"));
            let inverse = matches(format!("{key}{inverse}{value}{end}"));
            prop_assert_ne!(plain.expect("a selector"), inverse.expect("a selector"));
        }
        prop_assert_ne!(matches(key.clone()), matches(format!("!{key}")));
    }

    #[test]
    fn selector_garbage(text in "[a-z=!(), ]{0,20}|\\PC{0,20}") {
        if let Ok(selector) = text.parse::<Selector>() {
            prop_assert_eq!(selector.to_string().parse::<Selector>(), Ok(selector));
        }
    }

    #[test]
    fn change_round_trip(items in prop::collection::vec(item(), 1..6)) {
        let Ok(change) = parse(&json!({"declarations": items}).to_string()) else {
            return Ok(());
        };
        let text = serde_json::to_string(&ChangeRecord::from(&change)).expect("JSON");
        let again = parse_json::<ChangeRecord>(&text).and_then(Change::try_from);
        prop_assert_eq!(again, Ok(change));
    }

    #[test]
    fn change_single_item_accepted(item in item()) {
        prop_assert_eq!(parse(&json!({"declarations": [item]}).to_string()).map(|_| ()), Ok(()));
    }

    #[test]
    fn change_near_file(text in near_file()) {
        if let Err(faults) = parse(&text) {
            prop_assert!(!faults.0.is_empty());
            prop_assert!(faults.0.len() <= 200);
        }
    }

    #[test]
    fn change_garbage(text in "\\PC{0,60}|[a-z:{}\\[\\], \n&*|>-]{0,60}") {
        let _ = parse(&text);
    }
}
