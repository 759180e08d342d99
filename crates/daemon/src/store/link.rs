//! Reads the store and hands what it holds to the instance.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cyclamen_platform::{Newest, NewestRecord, Read, Store, StoreError, Topic};
use cyclamen_platform::{members, moves, orders};
use cyclamen_port::StoredMember;
use cyclamen_types::Offset;
use cyclamenmoor::Instance;
use log::{error, info, warn};
use rand::Rng;

use crate::shared::Shared;
use crate::store::View;

/// Bounds of the wait of a read for a record. A connection that went silent keeps a configuration
/// from this daemon until the wait is over, or until another daemon is heard to hold it.
const SHORTEST_POLL: Duration = Duration::from_millis(1_500);
const LONGEST_POLL: Duration = Duration::from_secs(25);

/// What each daemon known adds to the longest wait: where all connections go silent at once, one
/// of the daemons soon reads anew and the others hear of it.
const POLL_PER_MEMBER: Duration = Duration::from_millis(600);

/// Pause between two reads, so that configurations in quick succession come together.
const READ_PAUSE: Duration = Duration::from_millis(700);

/// Bounds of the pause after a failed call; it doubles with each failure.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Looks for other daemons in the store after the start: one at once, the others for those that
/// started at the same moment.
const MEMBER_LOOKS: u32 = 2;

/// Pause between two looks for other daemons.
const MEMBER_PAUSE: Duration = Duration::from_secs(1);

/// What a daemon has of the store.
#[derive(Clone)]
pub(crate) struct Link {
    pub(crate) shared: Shared,
    pub(crate) store: Store,
    view: Arc<Mutex<View>>,
}

impl Link {
    /// Nothing read yet.
    pub(crate) fn new(shared: Shared, store: Store, view: View) -> Self {
        Self { shared, store, view: Arc::new(Mutex::new(view)) }
    }

    pub(crate) fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts what the view holds in force.
    pub(crate) fn put_in_force(&self) {
        let config = self.view().config();
        match config {
            Ok(Some(config)) => {
                self.shared.with(|instance, now, out| instance.adopt(now, config, out));
            }
            Ok(None) => {}
            Err(fault) => error!("the configuration of the store cannot be put in force: {fault}"),
        }
    }

    fn take_orders(&self, records: &[NewestRecord], end: Offset) {
        let mut decoded = Vec::new();
        for record in newest_of_each(records) {
            decoded.push((record.offset, orders::decode(record)));
        }
        let now = self.shared.now().wall;
        let adopted = self.view().take_orders(now, decoded, end);
        for fault in adopted.unreadable {
            warn!("{fault}");
        }
    }

    /// How long a read waits: at random, so that daemons do not all wait on silent connections.
    fn patience(&self) -> Duration {
        let members = self.shared.read(|instance| instance.membership().reachable());
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let longest = POLL_PER_MEMBER.saturating_mul(members).clamp(SHORTEST_POLL, LONGEST_POLL);
        rand::rng().random_range(SHORTEST_POLL..=longest)
    }

    /// Ends once another daemon is heard to hold a later configuration.
    async fn behind(&self) {
        let mut changed = self.shared.changed();
        while !self.shared.read(Instance::behind) {
            if changed.changed().await.is_err() {
                // Without an instance nobody reads any more.
                return std::future::pending().await;
            }
        }
    }

    /// Reads everything that the store holds for this daemon; returns where to read on.
    async fn read_whole(&self) -> Result<Offset, StoreError> {
        let Newest { records, end } = self.store.newest(Topic::Orders).await?;
        let status = self.store.newest(Topic::Status).await?;
        for recorded in status.records.iter().filter_map(moves::decode) {
            self.view().take_recorded(recorded);
        }
        self.take_orders(&records, end);
        self.put_in_force();
        Ok(end)
    }

    /// Reads what came since; waits for it, unless another daemon holds it already.
    async fn read_on(&self, from: Offset) -> Result<Offset, StoreError> {
        let waiting = self.store.read(Topic::Orders, from, self.patience());
        let read = tokio::select! {
            read = waiting => read,
            () = self.behind() => {
                // The wait is given up with its connection, which may have gone silent.
                self.store.read(Topic::Orders, from, Duration::ZERO).await
            }
        };
        let Read { records, next } = read?;
        if !records.is_empty() {
            self.take_orders(&records, next);
            self.put_in_force();
        }
        Ok(next)
    }
}

/// Follows what operators write until the task is dropped.
pub(crate) async fn follow(link: Link) {
    let mut contact = Contact::default();
    let mut next = None;
    loop {
        let read = match next {
            Some(from) => link.read_on(from).await,
            None => link.read_whole().await,
        };
        match read {
            Ok(offset) => {
                next = Some(offset);
                contact.answered();
                tokio::time::sleep(READ_PAUSE).await;
            }
            Err(StoreError::Trimmed) => next = None,
            Err(error) => tokio::time::sleep(contact.failed(&error)).await,
        }
    }
}

/// Writes this daemon into the store and learns of the others there.
pub(crate) async fn introduce(link: Link, me: StoredMember) {
    let mut contact = Contact::default();
    let record = members::encode(&me);
    let name = me.instance.as_str();
    while let Err(error) = link.store.append(Topic::Members, name, &record, None).await {
        tokio::time::sleep(contact.failed(&error)).await;
    }
    let mut looks = 0;
    while looks < MEMBER_LOOKS {
        match link.store.newest(Topic::Members).await {
            Ok(newest) => {
                looks += 1;
                meet(&link, &me, &newest);
                tokio::time::sleep(MEMBER_PAUSE).await;
            }
            Err(error) => tokio::time::sleep(contact.failed(&error)).await,
        }
    }
}

fn meet(link: &Link, me: &StoredMember, newest: &Newest) {
    let mut peers = Vec::new();
    for member in newest.records.iter().filter_map(members::decode) {
        if member.instance != me.instance {
            peers.push(member.peer);
        }
    }
    info!("the store names {} other daemons", peers.len());
    link.shared.with(|instance, now, out| instance.add_peers(now, &peers, out));
}

/// The last record of each key, in order.
fn newest_of_each(records: &[NewestRecord]) -> Vec<&NewestRecord> {
    let mut newest: Vec<&NewestRecord> = Vec::new();
    for record in records.iter().rev() {
        if !newest.iter().any(|later| later.key == record.key) {
            newest.push(record);
        }
    }
    newest.reverse();
    newest
}

/// Whether the store answers, for log lines and pauses.
#[derive(Default)]
struct Contact {
    failures: u32,
}

impl Contact {
    fn answered(&mut self) {
        if self.failures > 0 {
            info!("the store answers again after {} failed calls", self.failures);
        }
        self.failures = 0;
    }

    /// Notes a failure; returns the pause before the next try.
    fn failed(&mut self, error: &StoreError) -> Duration {
        if self.failures == 0 {
            warn!("{error}");
        }
        let bound = FIRST_PAUSE.saturating_mul(2_u32.saturating_pow(self.failures));
        self.failures = self.failures.saturating_add(1);
        bound.min(LONGEST_PAUSE).mul_f64(rand::rng().random_range(0.5..=1.0))
    }
}
