//! The bound on replay windows.

use std::time::Duration;

use cyclamen_types::{Incarnation, Mono, Now, Wall};

use super::{MAX_REPLAY_WINDOWS, Membership, MembershipSettings};
use crate::datagram::{DatagramWriter, Header, Item, MemberId, Message};
use crate::records::{Addresses, MemberRecord, MemberState};
use crate::replay::ReplayWindow;
use crate::roster::MemberEntry;
use crate::wire::{AppliedConfig, DatagramError, MeshKey};

const NOW: Now = Now { mono: Mono(1_000_000), wall: Wall(1_000_000) };

fn settings() -> MembershipSettings {
    MembershipSettings {
        gossip_period: Duration::from_secs(1),
        suspicion_timeout: Duration::from_secs(3),
        max_datagram_bytes: 1_200,
        bytes_per_second: 2_048,
        seeds: Vec::new(),
        key: MeshKey([7; 32]),
    }
}

fn record(instance: &str) -> MemberRecord {
    let address = ([127, 0, 0, 1], 1).into();
    MemberRecord {
        instance: instance.parse().unwrap(),
        incarnation: Incarnation(1),
        domain: "domain".parse().unwrap(),
        region: "region".parse().unwrap(),
        addresses: Addresses { calls: address, peer: address, admin: address },
    }
}

/// The first datagram of a daemon, with the right key and these items.
fn datagram(instance: &str, items: &[Item]) -> Vec<u8> {
    let header = Header {
        from: MemberId::of(&instance.parse().unwrap()),
        start_incarnation: Incarnation(1),
        sequence: 1,
        applied_config: AppliedConfig::default(),
        log_age: u16::MAX,
        root_hash: 0,
        message: Message::Gossip,
    };
    let mut writer = DatagramWriter::new(&header, settings().max_datagram_bytes);
    for item in items {
        assert!(writer.push(item));
    }
    writer.finish(&settings().key)
}

fn receive(membership: &mut Membership, bytes: &[u8]) -> Result<(), DatagramError> {
    let from = ([127, 0, 0, 1], 2).into();
    membership.on_datagram(NOW, from, bytes, &mut Vec::new()).map(|_| ())
}

#[test]
fn replay_windows_of_strangers_stay_within_limit() {
    let mut membership = Membership::new(record("own"), settings(), 1, NOW);
    let start_incarnation = Incarnation(1);
    let member =
        Item::Member { start_incarnation, state: MemberState::Alive, record: record("member") };
    let of_member = datagram("member", &[member]);
    assert_eq!(receive(&mut membership, &of_member), Ok(()));
    for index in 0..2 * MAX_REPLAY_WINDOWS + 10 {
        let bytes = datagram(&format!("stranger-{index}"), &[]);
        assert_eq!(receive(&mut membership, &bytes), Ok(()));
        assert!(membership.replay_windows.len() <= MAX_REPLAY_WINDOWS);
    }
    assert_eq!(receive(&mut membership, &of_member), Err(DatagramError::Replayed));
}

#[test]
fn replay_windows_do_not_outnumber_a_roster_above_the_limit() {
    let mut membership = Membership::new(record("own"), settings(), 1, NOW);
    for index in 0..MAX_REPLAY_WINDOWS + 10 {
        let record = record(&format!("member-{index}"));
        let id = MemberId::of(&record.instance);
        let member = MemberEntry::new(record, Incarnation(1), MemberState::Alive, NOW);
        membership.roster.insert(id, member);
        membership.replay_windows.insert(id, ReplayWindow::default());
    }
    for index in 0..10 {
        let bytes = datagram(&format!("stranger-{index}"), &[]);
        assert_eq!(receive(&mut membership, &bytes), Ok(()));
        // One more is that of the stranger heard last.
        assert!(membership.replay_windows.len() <= membership.roster.len() + 1);
    }
}
