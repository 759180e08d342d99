//! Registers the daemon in the store and finds the other daemons there.
//!
//! What the daemon wrote is lost when the store comes back from an older copy, and is written again.

use std::time::Duration;

use cyclamen_platform::era::Era;
use cyclamen_platform::{Appended, Newest, Topic, members};
use cyclamen_port::StoredMember;
use cyclamenmoor::HistorySource;
use log::info;
use rand::Rng;
use tokio::sync::watch;

use crate::store::availability::StoreAvailability;
use crate::store::{StoreSync, verdicts};

/// Reads of the member list after the start. The first always happens; the others follow only while
/// this daemon has no reachable peer, and find daemons that started at the same time.
const MAX_MEMBER_READS: u32 = 3;

/// Pause between two reads of the member list.
const MEMBER_READ_PAUSE: Duration = Duration::from_secs(1);

/// Longest delay before a daemon writes its member record again after the store came back from an
/// older copy. The delay is drawn at random, to spread the writes of all daemons.
const MAX_REWRITE_DELAY: Duration = Duration::from_millis(1_500);

/// Writes the member record of this daemon to the store, and adds the daemons recorded there as
/// peers. Retries until both have succeeded. Writes what the store lost again whenever it comes back
/// from an older copy, until the task is dropped.
pub(crate) async fn register_and_discover(sync: StoreSync, me: StoredMember) {
    let era = sync.era.subscribe();
    register(&sync, &me).await;
    tokio::join!(discover(&sync, &me), write_again_after_restores(&sync, &me, era));
}

/// Writes the member record and the final states of moves again whenever `era` changes.
async fn write_again_after_restores(
    sync: &StoreSync,
    me: &StoredMember,
    mut era: watch::Receiver<Option<Era>>,
) {
    while era.changed().await.is_ok() {
        let delay = MAX_REWRITE_DELAY.mul_f64(rand::rng().random_range(0.0..=1.0));
        tokio::time::sleep(delay).await;
        register(sync, me).await;
        restore_lost_states(sync).await;
    }
}

/// Writes the member record of this daemon, until the store has taken it.
async fn register(sync: &StoreSync, me: &StoredMember) {
    let mut availability = StoreAvailability::default();
    let record = members::encode(me);
    let name = me.instance.as_str();
    loop {
        match sync.store.append(Topic::Members, name, &record, None).await {
            Ok(Appended::At(position)) => return sync.observe_era(position),
            // Not reached: an append without a condition is never behind.
            Ok(Appended::Behind) => return,
            Err(error) => tokio::time::sleep(availability.failed(&error)).await,
        }
    }
}

/// Writes the final states of moves that the store lost, where this daemon reads the store for its
/// failure domain.
async fn restore_lost_states(sync: &StoreSync) {
    if !sync.shared.read(|instance| instance.should_read_store(sync.shared.now())) {
        return;
    }
    let mut availability = StoreAvailability::default();
    while let Err(error) = verdicts::rewrite_lost_states(sync).await {
        tokio::time::sleep(availability.failed(&error)).await;
    }
}

/// Reads the member list and adds the daemons in it as peers.
async fn discover(sync: &StoreSync, me: &StoredMember) {
    let mut availability = StoreAvailability::default();
    let alone = || sync.shared.read(|instance| instance.membership().reachable_count() <= 1);
    let mut reads_done = 0;
    while reads_done == 0 || (reads_done < MAX_MEMBER_READS && alone()) {
        match sync.store.newest(Topic::Members).await {
            Ok(newest) => {
                reads_done += 1;
                add_stored_members(sync, me, &newest);
                tokio::time::sleep(MEMBER_READ_PAUSE).await;
            }
            Err(error) => tokio::time::sleep(availability.failed(&error)).await,
        }
    }
}

fn add_stored_members(sync: &StoreSync, me: &StoredMember, newest: &Newest) {
    let mut peers = Vec::new();
    for record in &newest.records {
        match members::decode(record) {
            Some(member) if member.instance != me.instance => peers.push(member.peer),
            Some(_) => {}
            None => sync.record_unreadable(Topic::Members, &record.key),
        }
    }
    info!("found {} other daemons in the store", peers.len());
    sync.shared.with(|instance, now, out| {
        if peers.is_empty() {
            // Nobody else can know what happened before the start.
            let nobody = HistorySource::Peer { knew_before: false };
            instance.learn_history(now, nobody, Vec::new(), out);
        }
        instance.add_seed_addresses(now, &peers, out);
    });
}
