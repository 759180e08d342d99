//! Encoding of payloads.

use proptest::collection::vec;
use proptest::prelude::*;

use super::*;

fn counts() -> impl Strategy<Value = Counts> {
    (any::<u64>(), any::<u64>(), any::<u64>()).prop_map(|(calls, failed, slow)| Counts {
        calls,
        failed,
        slow,
    })
}

fn entry() -> impl Strategy<Value = Entry> {
    (any::<[u8; 4]>(), any::<[u8; 2]>(), counts()).prop_map(|(route, server, counts)| Entry {
        route: RouteKey(route),
        server: ServerKey(server),
        counts,
    })
}

fn limit() -> impl Strategy<Value = RouteLimit> {
    (any::<[u8; 4]>(), any::<u32>())
        .prop_map(|(route, limit_us)| RouteLimit { route: RouteKey(route), limit_us })
}

fn evidence() -> impl Strategy<Value = Payload> {
    let keys = (any::<[u8; 8]>(), any::<[u8; 8]>(), any::<[u8; 2]>());
    let stratum =
        (any::<u16>(), any::<u8>()).prop_map(|(time_slot, stage)| Stratum { time_slot, stage });
    (keys, stratum, vec(entry(), 0..40), vec(limit(), 0..40)).prop_map(
        |((id, reporter, domain), stratum, entries, limits)| {
            Payload::Evidence(EvidencePacket {
                id: MoveKey(id),
                reporter: ReporterKey(reporter),
                domain: DomainKey(domain),
                stratum,
                entries,
                limits,
            })
        },
    )
}

fn rollback() -> impl Strategy<Value = Payload> {
    (any::<[u8; 8]>(), any::<u64>(), "[a-z][a-z0-9]{0,62}", any::<String>(), any::<u64>()).prop_map(
        |(id, at, by, reason, repeat)| {
            Payload::Rollback(Rollback {
                id: MoveKey(id),
                at: Wall(at),
                by: by.parse().expect("a name"),
                reason: reason.into(),
                repeat,
            })
        },
    )
}

proptest! {
    /// No payload fails to encode, which would send an empty one.
    #[test]
    fn encode_any_payload(payload in prop_oneof![evidence(), rollback()]) {
        let bytes = payload.encode();
        prop_assert!(!bytes.is_empty());
        prop_assert_eq!(Payload::decode(&bytes), Some(payload));
    }
}
