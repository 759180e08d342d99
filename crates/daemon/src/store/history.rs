//! What outlives a restart of the daemon: the departures of its backend servers.
//!
//! [`keep_departures`] reads those of before the start from the store, and writes new ones there.
//! [`ask_peers`] learns them from other daemons, which know them also while the store is away.

use std::time::Duration;

use cyclamen_distribution::{PeerRequest, PeerResponse};
use cyclamen_membership::{Departure, MeshKey};
use cyclamen_platform::{NewestRecord, StoreError, Topic, departures};
use cyclamen_types::{Incarnation, InstanceName};
use cyclamenmoor::{HistorySource, Instance};
use log::info;

use crate::peers;
use crate::shared::SharedInstance;
use crate::store::StoreSync;
use crate::store::availability::StoreAvailability;

/// Answers of other daemons that a daemon asks for. One of them may have missed the gossip.
const PEER_ANSWERS: u32 = 3;

/// Pause before the next daemon is asked, or looked for.
const PEER_PAUSE: Duration = Duration::from_millis(100);

/// How long daemons are asked after the start.
const ASK_PERIOD: Duration = Duration::from_secs(15);

/// Reads the departures from before the start, then keeps the store up to date with new ones, until
/// the task is dropped.
pub(crate) async fn keep_departures(sync: StoreSync, me: InstanceName) {
    let mut changed = sync.shared.changed();
    let mut era = sync.era.subscribe();
    let mut stored = read_departures(&sync, &me).await;
    let known = stored.clone();
    sync.shared.with(|instance, now, out| {
        instance.learn_history(now, HistorySource::Store, known, out);
    });
    loop {
        let (revision, own) = sync
            .shared
            .read(|instance| (instance.departures_revision(), instance.own_departures()));
        if own != stored {
            write_departures(&sync, &me, &own).await;
            stored = own;
        }
        sync.stored_departures.send_replace(revision);
        tokio::select! {
            // The senders live as long as `sync`.
            _ = changed.changed() => {}
            _ = era.changed() => stored = Vec::new(),
        }
    }
}

async fn read_departures(sync: &StoreSync, me: &InstanceName) -> Vec<Departure> {
    let mut availability = StoreAvailability::default();
    loop {
        match sync.store.newest(Topic::Departures).await {
            Ok(newest) => {
                let own = newest.records.iter().find(|record| record.key == me.as_str());
                return own.map(|record| decode(sync, record)).unwrap_or_default();
            }
            Err(error) => tokio::time::sleep(availability.failed(&error)).await,
        }
    }
}

fn decode(sync: &StoreSync, record: &NewestRecord) -> Vec<Departure> {
    let mut readable = Vec::new();
    for departure in departures::decode(record) {
        match departure {
            Some(departure) => readable.push(departure),
            None => sync.record_unreadable(Topic::Departures, &record.key),
        }
    }
    readable
}

/// Writes the departures of this daemon's servers, until the store has taken them.
async fn write_departures(sync: &StoreSync, me: &InstanceName, own: &[Departure]) {
    let mut availability = StoreAvailability::default();
    let record = departures::encode(own);
    while let Err(error) = append(sync, me, &record).await {
        tokio::time::sleep(availability.failed(&error)).await;
    }
}

async fn append(sync: &StoreSync, me: &InstanceName, record: &[u8]) -> Result<(), StoreError> {
    sync.store.append(Topic::Departures, me.as_str(), record, None).await.map(drop)
}

/// Asks other daemons for the departures of this daemon's servers from before its start.
pub(crate) async fn ask_peers(
    shared: SharedInstance,
    key: MeshKey,
    me: InstanceName,
    incarnation: Incarnation,
) {
    let request = PeerRequest::Departures { host: me, incarnation };
    let give_up_at = tokio::time::Instant::now() + ASK_PERIOD;
    let mut answers = 0;
    while answers < PEER_ANSWERS && tokio::time::Instant::now() < give_up_at {
        tokio::time::sleep(PEER_PAUSE).await;
        let peer =
            shared.read(|instance| instance.membership().choose_peer(&mut rand::rng(), |_| true));
        let Some(peer) = peer else {
            continue;
        };
        let response = peers::send_request(peer, &request, &key, || {}).await;
        let Some(PeerResponse::Departures { departures, knew_before }) = response else {
            continue;
        };
        answers += 1;
        if !departures.is_empty() && shared.read(Instance::awaits_history) {
            info!("another daemon knows {} servers here that left or drain", departures.len());
        }
        shared.with(|instance, now, out| {
            let source = HistorySource::Peer { knew_before };
            instance.learn_history(now, source, departures, out);
        });
    }
}
