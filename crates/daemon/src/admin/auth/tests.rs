//! Who is let in.

use std::net::{IpAddr, SocketAddr};

use http::{HeaderMap, HeaderValue};

use super::{bearer, neighbour, team};
use crate::settings::{OperatorToken, TokenHash};

fn let_in(from: &str, own: &str) -> bool {
    let from: IpAddr = from.parse().expect("an address");
    neighbour(SocketAddr::from((from, 9)), own.parse().expect("an address")).is_ok()
}

fn headers(authorization: &'static str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("authorization", HeaderValue::from_static(authorization));
    headers
}

#[test]
fn neighbour_same_machine() {
    assert!(let_in("127.0.0.1", "10.0.0.7"));
    assert!(let_in("::1", "10.0.0.7"));
    assert!(let_in("10.0.0.7", "10.0.0.7"));
    assert!(let_in("::ffff:10.0.0.7", "10.0.0.7"));
}

#[test]
fn neighbour_other_machine() {
    assert!(!let_in("10.0.0.8", "10.0.0.7"));
    assert!(!let_in("10.0.0.8", "0.0.0.0"));
    assert!(!let_in("fe80::1", "10.0.0.7"));
}

#[test]
fn bearer_forms() {
    assert_eq!(bearer(&headers("Bearer abc")), Some("abc"));
    assert_eq!(bearer(&headers("bearer  abc ")), Some("abc"));
    assert_eq!(bearer(&headers("Basic abc")), None);
    assert_eq!(bearer(&headers("abc")), None);
    assert_eq!(bearer(&HeaderMap::new()), None);
}

#[test]
fn team_of_two_tokens() {
    let token = |name: &str, token| OperatorToken {
        team: name.parse().expect("a name"),
        hash: TokenHash::of(token),
    };
    let tokens = [token("provoz", "old"), token("provoz", "new"), token("sklad", "other")];
    for (authorization, wanted) in
        [("Bearer old", "provoz"), ("Bearer new", "provoz"), ("Bearer other", "sklad")]
    {
        let found = team(&tokens, &headers(authorization)).expect("a team");
        assert_eq!(found.as_str(), wanted);
    }
    assert!(team(&tokens, &headers("Bearer olx")).is_err());
    assert!(team(&[], &headers("Bearer old")).is_err());
}
