//! Tests of bearer tokens and of the check for local requests.

use std::net::{IpAddr, SocketAddr};

use http::{HeaderMap, HeaderValue};

use super::{authenticate, bearer_token, require_local};
use crate::settings::{OperatorToken, TokenHash};

fn accepts_from(from: &str, own: &str) -> bool {
    let from: IpAddr = from.parse().expect("an address");
    require_local(SocketAddr::from((from, 9)), own.parse().expect("an address")).is_ok()
}

fn headers(authorization: &'static str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("authorization", HeaderValue::from_static(authorization));
    headers
}

#[test]
fn require_local_same_machine() {
    assert!(accepts_from("127.0.0.1", "10.0.0.7"));
    assert!(accepts_from("::1", "10.0.0.7"));
    assert!(accepts_from("10.0.0.7", "10.0.0.7"));
    assert!(accepts_from("::ffff:10.0.0.7", "10.0.0.7"));
}

#[test]
fn require_local_other_machine() {
    assert!(!accepts_from("10.0.0.8", "10.0.0.7"));
    assert!(!accepts_from("10.0.0.8", "0.0.0.0"));
    assert!(!accepts_from("fe80::1", "10.0.0.7"));
}

#[test]
fn bearer_token_forms() {
    assert_eq!(bearer_token(&headers("Bearer abc")), Some("abc"));
    assert_eq!(bearer_token(&headers("bearer  abc ")), Some("abc"));
    assert_eq!(bearer_token(&headers("Basic abc")), None);
    assert_eq!(bearer_token(&headers("abc")), None);
    assert_eq!(bearer_token(&HeaderMap::new()), None);
}

#[test]
fn authenticate_team_with_two_tokens() {
    let token = |name: &str, token| OperatorToken {
        team: name.parse().expect("a name"),
        hash: TokenHash::of(token),
    };
    let tokens = [token("provoz", "old"), token("provoz", "new"), token("sklad", "other")];
    for (authorization, wanted) in
        [("Bearer old", "provoz"), ("Bearer new", "provoz"), ("Bearer other", "sklad")]
    {
        let found = authenticate(&tokens, &headers(authorization)).expect("a team");
        assert_eq!(found.as_str(), wanted);
    }
    assert!(authenticate(&tokens, &headers("Bearer olx")).is_err());
    assert!(authenticate(&[], &headers("Bearer old")).is_err());
}
