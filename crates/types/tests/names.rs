//! What is a name, and what to write instead.

use cyclamen_types::{NameError, RouteName};
use proptest::prelude::*;

fn fault(text: &str) -> NameError {
    RouteName::try_from(text).expect_err("a fault")
}

#[test]
fn name_empty() {
    assert_eq!(fault(""), NameError::Empty);
}

#[test]
fn name_length() {
    assert!(RouteName::try_from("a".repeat(63)).is_ok());
    assert_eq!(fault(&"a".repeat(64)), NameError::TooLong("a".repeat(63)));
}

#[test]
fn name_character() {
    for (text, found) in [("Door", 'D'), ("a b", ' '), ("dveře", 'ř'), ("a/b", '/'), ("a\n", '\n')]
    {
        assert_eq!(fault(text), NameError::Character { text: text.into(), found });
    }
}

#[test]
fn name_edge() {
    for text in ["-a", "a.", "_", "a-"] {
        assert_eq!(fault(text), NameError::Edge(text.into()));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn name_round_trip(text in "[a-z0-9]([a-z0-9._-]{0,20}[a-z0-9])?") {
        let name = RouteName::try_from(text.as_str());
        prop_assert_eq!(name.map(|name| name.to_string()), Ok(text));
    }

    #[test]
    fn name_any_text(text in "\\PC{0,70}") {
        if let Ok(name) = RouteName::try_from(text.as_str()) {
            prop_assert_eq!(name.as_str(), text);
        }
    }
}
