//! Backend servers that left or drain stay so when the daemon that acknowledged it starts again.

mod support;

use cyclamen_distribution::{PeerRequest, PeerResponse};
use cyclamen_membership::{Departure, DepartureState, ServerState};
use cyclamen_types::Incarnation;
use cyclamenmoor::{
    AnnounceError, Announcement, Effect, Effects, Event, HistorySource, Instance, InstanceSettings,
};
use support::{START_MS, address, announce, announcement, server_state, settings, time};

/// When the daemon that restarts starts again, in milliseconds after its first start.
const RESTART_MS: u64 = 5_000;

/// A daemon that starts again, and has to be told what happened before.
fn restarted() -> Instance {
    let mut settings: InstanceSettings = settings("a", 2, Vec::new());
    settings.local_member.incarnation = Incarnation(START_MS + RESTART_MS);
    settings.awaits_history = true;
    Instance::new(settings, 2, time(RESTART_MS))
}

fn learn(instance: &mut Instance, millis: u64, source: HistorySource, known: &[Departure]) {
    instance.learn_history(time(millis), source, known.to_vec(), &mut Effects::new());
}

fn left(started_at_ms: u64) -> Departure {
    Departure {
        server: "s-1".parse().unwrap(),
        address: Some(address(9)),
        started_at_ms,
        state: DepartureState::Left,
    }
}

const NEW_PEER: HistorySource = HistorySource::Peer { knew_before: false };
const OLD_PEER: HistorySource = HistorySource::Peer { knew_before: true };

/// Guards against the use of a server that left: its late report reaches its daemon after a restart.
#[test]
fn announce_after_restart_of_server_that_left() {
    let mut before = Instance::new(settings("a", 2, Vec::new()), 1, time(0));
    announce(&mut before, 1, &announcement("s-1", "v1", 5, 1));
    before.withdraw_server(time(2), &"s-1".parse().unwrap(), Some(5), &mut Vec::new()).unwrap();
    assert_eq!(before.own_departures(), [left(5)]);

    for millis in [RESTART_MS + 1, RESTART_MS + 3_600_000] {
        let mut after = restarted();
        learn(&mut after, RESTART_MS, HistorySource::Store, &before.own_departures());
        learn(&mut after, RESTART_MS, NEW_PEER, &[]);
        announce(&mut after, millis, &announcement("s-1", "v1", 5, 2));
        assert_eq!(server_state(&after, "s-1"), None, "it has left");
        announce(&mut after, millis, &announcement("s-0", "v1", 4, 7));
        assert_eq!(server_state(&after, "s-0"), None, "an earlier one at its address");
        announce(&mut after, millis, &announcement("s-1", "v1", 9, 1));
        assert_eq!(server_state(&after, "s-1"), Some(ServerState::Ready), "a new start of it");
        assert_eq!(after.own_departures(), before.own_departures(), "for the next restart");
    }
}

/// Guards against the use of a server that drains: a report that it sent before that reaches its
/// daemon after a restart.
#[test]
fn announce_after_restart_of_server_that_drains() {
    let mut before = Instance::new(settings("a", 2, Vec::new()), 1, time(0));
    announce(&mut before, 1, &announcement("s-1", "v1", 5, 1));
    let draining =
        |sequence| Announcement { draining: true, ..announcement("s-1", "v1", 5, sequence) };
    announce(&mut before, 2, &draining(3));
    announce(&mut before, 3, &draining(4));
    let known = before.own_departures();
    assert_eq!(known.len(), 1);
    assert_eq!(known[0].state, DepartureState::Draining { since: 3 });

    let mut after = restarted();
    learn(&mut after, RESTART_MS, HistorySource::Store, &known);
    learn(&mut after, RESTART_MS, NEW_PEER, &[]);
    announce(&mut after, RESTART_MS + 1, &announcement("s-1", "v1", 5, 2));
    assert_eq!(server_state(&after, "s-1"), None, "an announcement of before it drained");
    announce(&mut after, RESTART_MS + 2, &draining(5));
    assert_eq!(server_state(&after, "s-1"), Some(ServerState::Draining));
    announce(&mut after, RESTART_MS + 3, &announcement("s-1", "v1", 9, 1));
    assert_eq!(server_state(&after, "s-1"), Some(ServerState::Ready), "a new start of it");
}

/// Guards against the use of a server that left before the daemon has been told.
#[test]
fn announce_before_history_is_known() {
    let mut instance = restarted();
    announce(&mut instance, RESTART_MS + 1, &announcement("s-1", "v1", 5, 2));
    announce(&mut instance, RESTART_MS + 2, &announcement("s-2", "v1", 7, 1));
    assert_eq!(server_state(&instance, "s-1"), None);
    learn(&mut instance, RESTART_MS + 3, HistorySource::Store, &[left(5)]);
    assert!(instance.awaits_history());
    learn(&mut instance, RESTART_MS + 4, NEW_PEER, &[]);
    assert!(!instance.awaits_history());
    assert_eq!(server_state(&instance, "s-1"), None);
    assert_eq!(server_state(&instance, "s-2"), Some(ServerState::Ready), "it was held till then");
}

/// Guards against the use of a server whose leave was acknowledged before its daemon, which had just
/// started, knew it: the leave does not name the start of the server, and a late report arrives
/// afterwards.
#[test]
fn withdraw_unknown_server_without_start() {
    let name = "s-1".parse().unwrap();
    for held in [false, true] {
        let mut instance = restarted();
        if held {
            announce(&mut instance, RESTART_MS + 1, &announcement("s-1", "v1", 5, 2));
        }
        let result =
            instance.withdraw_server(time(RESTART_MS + 2), &name, None, &mut Effects::new());
        assert_eq!(result, Err(AnnounceError::Unknown(name.clone())));
        learn(&mut instance, RESTART_MS + 3, HistorySource::Store, &[]);
        learn(&mut instance, RESTART_MS + 4, NEW_PEER, &[]);
        announce(&mut instance, RESTART_MS + 2_500, &announcement("s-1", "v1", 5, 3));
        assert_eq!(server_state(&instance, "s-1"), None, "it has left");

        let known = instance.own_departures();
        assert_eq!(known.len(), 1, "for the next restart, and for the other daemons");
        let mut after = restarted();
        learn(&mut after, RESTART_MS + 3_000, HistorySource::Store, &known);
        learn(&mut after, RESTART_MS + 3_000, NEW_PEER, &[]);
        announce(&mut after, RESTART_MS + 3_001, &announcement("s-1", "v1", 5, 4));
        assert_eq!(server_state(&after, "s-1"), None, "it has left");
        let born = START_MS + RESTART_MS + 2_900;
        announce(&mut after, RESTART_MS + 3_002, &announcement("s-1", "v1", born, 1));
        assert_eq!(server_state(&after, "s-1"), Some(ServerState::Ready), "a new start of it");
    }
}

/// Guards against the use of a server that left: its held report names a start that is ahead of this
/// daemon's clock.
#[test]
fn withdraw_held_server_that_started_later_by_its_clock() {
    let mut instance = restarted();
    let born = START_MS + RESTART_MS + 500;
    announce(&mut instance, RESTART_MS + 1, &announcement("s-1", "v1", born, 1));
    let name = "s-1".parse().unwrap();
    let result = instance.withdraw_server(time(RESTART_MS + 2), &name, None, &mut Effects::new());
    assert!(result.is_err());
    learn(&mut instance, RESTART_MS + 3, OLD_PEER, &[]);
    assert_eq!(server_state(&instance, "s-1"), None, "it has left");
}

/// Guards against servers that live but are not used: the daemon waits for nobody who will not
/// answer.
#[test]
fn announce_while_others_do_not_answer() {
    let ready_after = |answers: &[(u64, HistorySource)]| {
        let mut instance = restarted();
        announce(&mut instance, RESTART_MS, &announcement("s-1", "v1", 5, 2));
        for millis in RESTART_MS..RESTART_MS + 20_000 {
            for (_, source) in answers.iter().filter(|(at, _)| RESTART_MS + at == millis) {
                learn(&mut instance, millis, *source, &[]);
            }
            if instance.next_wakeup() <= time(millis).mono {
                instance.handle(time(millis), Event::Wakeup, &mut Effects::new());
            }
            if server_state(&instance, "s-1").is_some() {
                return millis - RESTART_MS;
            }
        }
        panic!("never");
    };
    assert_eq!(ready_after(&[(20, HistorySource::Store), (120, NEW_PEER)]), 120);
    assert_eq!(ready_after(&[(20, NEW_PEER), (120, HistorySource::Store)]), 120);
    assert_eq!(ready_after(&[(20, HistorySource::Store)]), 520, "no other daemon is there");
    assert_eq!(ready_after(&[(300, OLD_PEER)]), 300, "the store is away");
    assert_eq!(ready_after(&[(20, NEW_PEER)]), 10_000, "all daemons start without the store");
    assert_eq!(ready_after(&[]), 10_000);
}

/// Guards against the use of a server that left while the store was away: other daemons know.
#[test]
fn learn_history_from_a_peer_that_was_told() {
    let mut host = Instance::new(settings("a", 2, vec![address(4)]), 1, time(0));
    let mut peer = Instance::new(settings("b", 4, vec![address(2)]), 1, time(0));
    announce(&mut host, 1, &announcement("s-1", "v1", 5, 1));
    for millis in (1_000..4_000).step_by(100) {
        if millis == 2_000 {
            let name = "s-1".parse().unwrap();
            host.withdraw_server(time(millis), &name, Some(5), &mut Vec::new()).unwrap();
        }
        exchange_gossip(millis, &mut host, &mut peer);
    }
    let request = PeerRequest::Departures {
        host: "a".parse().unwrap(),
        incarnation: Incarnation(START_MS + RESTART_MS),
    };
    let response = peer.answer_peer(time(RESTART_MS), &request);
    let expected = PeerResponse::Departures { departures: vec![left(5)], knew_before: true };
    assert_eq!(response, expected);

    let unknown = PeerRequest::Departures {
        host: "c".parse().unwrap(),
        incarnation: Incarnation(START_MS + RESTART_MS),
    };
    let response = peer.answer_peer(time(RESTART_MS), &unknown);
    let expected = PeerResponse::Departures { departures: Vec::new(), knew_before: false };
    assert_eq!(response, expected);
}

/// Lets two instances send each other what is due.
fn exchange_gossip(millis: u64, a: &mut Instance, b: &mut Instance) {
    for _ in 0..2 {
        let mut out = Effects::new();
        a.handle(time(millis), Event::Wakeup, &mut out);
        for effect in out {
            let Effect::Send(datagram) = effect else {
                continue;
            };
            let mut answers = Effects::new();
            let event = Event::Datagram { from: address(9), bytes: datagram.bytes };
            b.handle(time(millis), event, &mut answers);
        }
        std::mem::swap(a, b);
    }
}

/// Guards against the use of a server that left: its late report was applied before the daemon was
/// told.
#[test]
fn learn_history_withdraws_servers_in_use() {
    let mut instance = Instance::new(settings("a", 2, Vec::new()), 1, time(0));
    announce(&mut instance, 1, &announcement("s-1", "v1", 5, 1));
    learn(&mut instance, 2, OLD_PEER, &[left(4)]);
    assert_eq!(server_state(&instance, "s-1"), Some(ServerState::Ready), "an earlier process left");
    learn(&mut instance, 3, OLD_PEER, &[left(5)]);
    assert_eq!(server_state(&instance, "s-1"), Some(ServerState::Gone));
}

/// Guards against records that grow with each server that ever left.
#[test]
fn own_departures_are_bounded() {
    let mut instance = Instance::new(settings("a", 2, Vec::new()), 1, time(0));
    for number in 0..100 {
        let name = format!("s-{number}");
        announce(&mut instance, number, &announcement(&name, "v1", 5 + number, 1));
        let name = name.parse().unwrap();
        instance.withdraw_server(time(number), &name, None, &mut Vec::new()).unwrap();
    }
    let kept = instance.own_departures();
    assert_eq!(kept.len(), 8);
    assert!(kept.iter().all(|departure| departure.started_at_ms > 96));
    announce(&mut instance, 200, &announcement("s-7", "v1", 12, 9));
    assert_eq!(server_state(&instance, "s-7"), Some(ServerState::Gone), "by its address");
}
