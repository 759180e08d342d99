//! Reads the store and hands what it holds to the instance.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cyclamen_distribution::{PeerRequest, PeerResponse};
use cyclamen_membership::{MeshKey, Peer};
use cyclamen_platform::{Newest, NewestRecord, Read, Store, StoreError, Topic};
use cyclamen_platform::{members, moves, orders};
use cyclamen_port::StoredMember;
use cyclamen_types::Offset;
use cyclamenmoor::Instance;
use futures::{FutureExt, future};
use log::{error, info, warn};
use rand::Rng;

use crate::peers;
use crate::shared::Shared;
use crate::store::View;
use crate::store::copies::{self, Copies};

/// Bounds of the wait of a read for a record. A connection that went silent keeps a configuration
/// from this daemon until the wait is over, or until another daemon is heard to hold it.
const SHORTEST_POLL: Duration = Duration::from_millis(1_500);
const LONGEST_POLL: Duration = Duration::from_secs(25);

/// What each daemon that reads the store adds to the longest wait: where all connections go silent
/// at once, one of them soon reads anew and the others hear of it.
const POLL_PER_READER: Duration = Duration::from_millis(600);

/// Pause between two reads, so that configurations in quick succession come together.
const READ_PAUSE: Duration = Duration::from_millis(200);

/// Time after which the next source is asked for a later configuration beside the first.
const COPY_STAGGER: Duration = Duration::from_millis(250);

/// Longest time for a daemon to answer what it read of the store.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time without an answer of the store to any daemon after which daemons look for themselves.
const STORE_SILENCE: Duration = Duration::from_secs(5);

/// Time over which a fleet spreads what each of its daemons decides alike, per daemon.
const SPREAD_PER_MEMBER: Duration = Duration::from_millis(50);

/// How often a daemon that hears from others looks whether it has to read the store itself.
const LOOK_PERIOD: Duration = Duration::from_millis(500);

/// Bounds of the pause after a failed call; it doubles with each failure.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Looks for other daemons in the store after the start: one at once, the others where nobody was
/// met, for those that started at the same moment.
const MEMBER_LOOKS: u32 = 3;

/// Pause between two looks for other daemons.
const MEMBER_PAUSE: Duration = Duration::from_secs(1);

/// What a daemon has of the store.
#[derive(Clone)]
pub(crate) struct Link {
    pub(crate) shared: Shared,
    pub(crate) store: Store,
    key: MeshKey,
    view: Arc<Mutex<View>>,
    copies: Arc<Mutex<Copies>>,
}

impl Link {
    /// Nothing read yet.
    pub(crate) fn new(shared: Shared, store: Store, key: MeshKey, view: View) -> Self {
        Self { shared, store, key, view: Arc::new(Mutex::new(view)), copies: Arc::default() }
    }

    /// What was read of the store, for other daemons.
    pub(crate) fn copies(&self) -> MutexGuard<'_, Copies> {
        self.copies.lock().unwrap_or_else(PoisonError::into_inner)
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
        self.copies().take(records, end);
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
        let readers = self.shared.read(|instance| instance.membership().readers());
        let readers = u32::try_from(readers).unwrap_or(u32::MAX);
        let longest = POLL_PER_READER.saturating_mul(readers).clamp(SHORTEST_POLL, LONGEST_POLL);
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
        if records.iter().any(orders::is_move) {
            let status = self.store.newest(Topic::Status).await?;
            for recorded in status.records.iter().filter_map(moves::decode) {
                self.view().take_recorded(recorded);
            }
        }
        self.take_orders(&records, end);
        self.put_in_force();
        Ok(end)
    }

    /// Waits until another daemon is heard to hold more, and takes it from there; reads the store
    /// where nobody else seems to, or gives it.
    async fn hear(&self, from: Offset) -> Result<Offset, StoreError> {
        let heard = tokio::select! {
            () = self.behind() => true,
            () = self.called_for() => false,
        };
        let read = match heard {
            true => self.fetch(from).await?,
            false => self.look(from, Duration::ZERO).await?,
        };
        Ok(self.take_read(&read))
    }

    /// Gets what came since from whoever gives it first: daemons of the own failure domain, and
    /// the store itself where they take their time. On a crowded link none of them may be quick.
    async fn fetch(&self, from: Offset) -> Result<Read, StoreError> {
        let tries = [
            self.copy(from, Duration::ZERO).boxed(),
            self.copy(from, COPY_STAGGER).boxed(),
            self.look(from, 2 * COPY_STAGGER).boxed(),
        ];
        let (read, _others) = future::select_ok(tries).await?;
        Ok(read)
    }

    /// Reads the store without waiting for a record.
    async fn look(&self, from: Offset, after: Duration) -> Result<Read, StoreError> {
        tokio::time::sleep(after).await;
        let read = self.store.read(Topic::Orders, from, Duration::ZERO).await?;
        self.answered();
        Ok(read)
    }

    /// Ends once this daemon has to read the store: for its failure domain, or because the store
    /// was not heard to answer anybody for a while.
    async fn called_for(&self) {
        let members = self.shared.read(|instance| instance.membership().reachable());
        let spread = SPREAD_PER_MEMBER.saturating_mul(u32::try_from(members).unwrap_or(u32::MAX));
        let patience = STORE_SILENCE + spread.mul_f64(rand::rng().random_range(0.0..=1.0));
        let began = self.shared.now().mono;
        loop {
            tokio::time::sleep(LOOK_PERIOD).await;
            let now = self.shared.now();
            let (reads, contact) = self
                .shared
                .read(|instance| (instance.reads_store(now), instance.membership().log_contact()));
            if reads || now.mono.since(contact.unwrap_or(began)) >= patience {
                return;
            }
        }
    }

    /// Asks a daemon of the own failure domain that holds more for what it read of the store.
    async fn copy(&self, from: Offset, after: Duration) -> Result<Read, StoreError> {
        tokio::time::sleep(after).await;
        let peer = self.shared.read(|instance| {
            let mine = instance.ledger().version();
            let domain = &instance.membership().me().domain;
            let holds_more = |peer: &Peer<'_>| {
                peer.domain == domain && peer.held.is_some_and(|held| held.version > mine)
            };
            let (membership, mut rng) = (instance.membership(), rand::rng());
            // One that reads the store may hold it before it was heard to.
            membership
                .choose_peer(&mut rng, holds_more)
                .or_else(|| membership.choose_relay(&mut rng))
        });
        let no_copy = |why: &str| StoreError::Unanswered(why.into());
        let peer =
            peer.ok_or_else(|| no_copy("no daemon of the failure domain reads the store"))?;
        let request = PeerRequest::Stored { from };
        let asking = peers::ask(peer, &request, &self.key);
        match tokio::time::timeout(COPY_TIMEOUT, asking).await {
            Ok(Some(PeerResponse::Stored { records, next })) if next > from => {
                let records =
                    copies::originals(records).map_err(|why| no_copy(&why.to_string()))?;
                Ok(Read { records, next })
            }
            Ok(_) | Err(_) => Err(no_copy("another daemon gave no copy in time")),
        }
    }

    /// Puts in force what was read; returns where to read on.
    fn take_read(&self, read: &Read) -> Offset {
        if !read.records.is_empty() {
            self.take_orders(&read.records, read.next);
            self.put_in_force();
        }
        read.next
    }

    /// Notes that the store answered.
    fn answered(&self) {
        self.shared.with(|instance, now, _| instance.store_answered(now));
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
        let read = read?;
        self.answered();
        Ok(self.take_read(&read))
    }
}

/// Follows what operators write until the task is dropped.
pub(crate) async fn follow(link: Link) {
    let mut contact = Contact::default();
    let mut next = None;
    loop {
        let read = match next {
            None => link.read_whole().await,
            Some(from) if link.shared.read(|i| i.reads_store(link.shared.now())) => {
                link.read_on(from).await
            }
            Some(from) => link.hear(from).await,
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
    let alone = || link.shared.read(|instance| instance.membership().reachable() <= 1);
    let mut looks = 0;
    while looks == 0 || (looks < MEMBER_LOOKS && alone()) {
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
