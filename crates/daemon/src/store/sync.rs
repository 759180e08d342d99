//! Reads the store and passes the configuration in it to the instance.
//!
//! The relays of each failure domain, and daemons that do not know enough members yet to tell
//! whether they are relays, read the store with long polls; they are called readers here. The
//! others wait until gossip shows that a later configuration exists, and then request its records
//! from a daemon of their failure domain and, if that is slow, from the store. [`follow_store`]
//! runs this loop.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cyclamen_membership::MeshKey;
use cyclamen_platform::era::{Era, era_of};
use cyclamen_platform::{Newest, NewestRecord, Read, Store, StoreError, Topic};
use cyclamen_platform::{moves, orders};
use cyclamen_port::StoredEmptying;
use cyclamen_types::{FailureDomain, Offset};
use cyclamenmoor::Instance;
use log::{error, info, warn};
use rand::Rng;
use tokio::sync::watch;

use crate::shared::SharedInstance;
use crate::store::availability::StoreAvailability;
use crate::store::record_cache::RecordCache;
use crate::store::{StoreView, fetch};

/// Bounds of the timeout of a long poll. A connection that stalls without an error hides a new
/// configuration from this daemon until the poll times out, or until gossip shows that another
/// daemon holds that configuration.
const MIN_POLL_TIMEOUT: Duration = Duration::from_millis(1_500);
const MAX_POLL_TIMEOUT: Duration = Duration::from_secs(25);

/// Increase of the longest poll timeout per daemon that reads the store. With timeouts spread over
/// that range, one of the readers soon polls again when all their connections stall at once, and
/// the others learn of the new configuration from it.
const POLL_TIMEOUT_PER_READER: Duration = Duration::from_millis(600);

/// Pause after a read, so that configurations written in quick succession arrive in one read.
const BATCH_PAUSE: Duration = Duration::from_millis(200);

/// Time without a known answer of the store to any daemon after which a daemon that is not a
/// reader reads the store itself. A random delay is added, see [`JITTER_PER_MEMBER`].
const STORE_SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Range of that random delay, per reachable member: all daemons notice the silence at the same
/// time, and the delay spreads their reads.
const JITTER_PER_MEMBER: Duration = Duration::from_millis(50);

/// How often a daemon that is not a reader checks whether it has to read the store itself.
const READER_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// The state of synchronization with the store, shared by the tasks of one daemon.
#[derive(Clone)]
pub(crate) struct StoreSync {
    pub(crate) shared: SharedInstance,
    pub(crate) store: Store,
    pub(super) key: MeshKey,
    view: Arc<Mutex<StoreView>>,
    record_cache: Arc<Mutex<RecordCache>>,
    /// The era of the latest records; `None` before the first read. Subscribers are notified when
    /// it rises, that is, when the store has come back from an older copy.
    pub(super) era: watch::Sender<Option<Era>>,
    /// The revision of the own departures that the store holds.
    pub(super) stored_departures: watch::Sender<u64>,
}

impl StoreSync {
    /// Creates the state before the first read. Requests to other daemons are authenticated with
    /// `key`.
    pub(crate) fn new(shared: SharedInstance, store: Store, key: MeshKey, view: StoreView) -> Self {
        Self {
            shared,
            store,
            key,
            view: Arc::new(Mutex::new(view)),
            record_cache: Arc::default(),
            era: watch::Sender::new(None),
            stored_departures: watch::Sender::new(0),
        }
    }

    /// Completes once the store holds the departures of this revision, or a later one.
    pub(crate) async fn departures_stored(&self, revision: u64) {
        let mut stored = self.stored_departures.subscribe();
        // The sender is borrowed here, so the channel is open.
        let _ = stored.wait_for(|stored| *stored >= revision).await;
    }

    /// Locks the records that are served to other daemons.
    pub(crate) fn record_cache(&self) -> MutexGuard<'_, RecordCache> {
        self.record_cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the view that combines the records into a configuration.
    pub(crate) fn view(&self) -> MutexGuard<'_, StoreView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts and logs a record that cannot be read and is passed over.
    pub(super) fn record_unreadable(&self, topic: Topic, key: &str) {
        self.shared.with(|instance, _, _| instance.record_unreadable_entry());
        warn!("record `{key}` of the {topic} cannot be read and is passed over: write it anew");
    }

    /// Passes the configuration of the view to the instance, once there is one.
    pub(crate) fn activate_config(&self) {
        let config = self.view().config();
        match config {
            Ok(Some(config)) => {
                self.shared.with(|instance, now, out| instance.install_config(now, config, out));
            }
            Ok(None) => {}
            Err(fault) => error!("cannot activate the configuration from the store: {fault}"),
        }
    }

    /// Notes the era of a position that was read from the store or from another daemon.
    pub(super) fn observe_era(&self, position: Offset) {
        let era = era_of(position);
        let came_back = self.era.send_if_modified(|known| match known.replace(era) {
            Some(before) if before > era => {
                *known = Some(before);
                false
            }
            before => before.is_some_and(|before| before < era),
        });
        if came_back {
            warn!(
                "the store came back from an older copy (era {}): the configuration in force stays \
                 until a later one is written, and own records are written again",
                era.0
            );
            self.shared.with(|instance, _, _| instance.record_store_restore());
        }
    }

    fn apply_records(&self, records: &[NewestRecord], next_offset: Offset) {
        self.observe_era(next_offset);
        let mut decoded = Vec::new();
        for record in newest_per_key(records) {
            decoded.push((record.offset, orders::decode(record)));
        }
        let now = self.shared.now().wall;
        let applied = self.view().apply_orders(now, decoded, next_offset);
        for fault in applied.unreadable {
            self.shared.with(|instance, _, _| instance.record_unreadable_entry());
            warn!("{fault}");
        }
        for part in applied.left_out {
            self.shared.with(|instance, _, _| instance.record_unreadable_entry());
            warn!("a part of the configuration is left out ({part}): write the configuration anew");
        }
        for outdated in applied.outdated {
            warn!("{outdated}");
        }
        for emptying in &applied.emptyings {
            self.log_emptying(emptying);
        }
    }

    /// Applies the newest record of each key. Failure domains without a record are not emptied.
    fn apply_all_records(&self, records: &[NewestRecord], end: Offset) {
        self.record_cache().insert_all(records, end);
        self.apply_records(records, end);
        let present: BTreeSet<FailureDomain> =
            records.iter().filter_map(orders::emptied_domain).collect();
        let taken_back = self.view().retain_emptied(&present, end);
        for emptying in &taken_back {
            self.log_emptying(emptying);
        }
    }

    fn log_emptying(&self, emptying: &StoredEmptying) {
        let domain = &emptying.domain;
        if !emptying.emptied {
            info!("failure domain `{domain}` is taken back: its backend servers get calls again");
            return;
        }
        let is_known = |instance: &Instance| {
            instance.membership().servers().iter().any(|view| view.domain == *domain)
        };
        match self.shared.read(is_known) {
            true => info!("failure domain `{domain}` is emptied: its backend servers get no calls"),
            false => warn!(
                "failure domain `{domain}` is emptied, but no backend server is known in it: check \
                 the name"
            ),
        }
    }

    /// Chooses the timeout of a long poll at random, so that readers whose connections have stalled
    /// do not all wait equally long.
    fn poll_timeout(&self) -> Duration {
        let relay_count = self.shared.read(|instance| instance.membership().relay_count());
        let relay_count = u32::try_from(relay_count).unwrap_or(u32::MAX);
        let longest = POLL_TIMEOUT_PER_READER
            .saturating_mul(relay_count)
            .clamp(MIN_POLL_TIMEOUT, MAX_POLL_TIMEOUT);
        rand::rng().random_range(MIN_POLL_TIMEOUT..=longest)
    }

    /// Completes once gossip shows that another daemon holds a later configuration.
    async fn until_behind(&self) {
        let mut changed = self.shared.changed();
        while !self.shared.read(Instance::is_behind) {
            if changed.changed().await.is_err() {
                // The instance is gone, so the daemon is stopping and no read follows.
                return std::future::pending().await;
            }
        }
    }

    /// Reads the newest record of each key, and the recorded states of moves if there are any move
    /// orders. Returns the offset to read on from.
    async fn read_all(&self) -> Result<Offset, StoreError> {
        let Newest { records, end } = self.store.newest(Topic::Orders).await?;
        if records.iter().any(orders::is_move) {
            let status = self.store.newest(Topic::Status).await?;
            for record in &status.records {
                match moves::decode(record) {
                    Some(recorded) => self.view().apply_recorded_move(recorded),
                    None => self.record_unreadable(Topic::Status, &record.key),
                }
            }
        }
        self.apply_all_records(&records, end);
        self.activate_config();
        Ok(end)
    }

    /// Waits until another daemon holds a later configuration, and fetches the records from any
    /// source. Reads the store directly if this daemon became a reader, or if the store has not
    /// been known to answer any daemon for a while.
    async fn read_when_behind(&self, from: Offset) -> Result<Offset, StoreError> {
        let peer_is_ahead = tokio::select! {
            () = self.until_behind() => true,
            () = self.until_direct_read_due() => false,
        };
        match peer_is_ahead {
            true => Ok(self.apply_read(&fetch::from_any(self, from).await?)),
            false => self.read_now(from).await,
        }
    }

    /// Reads the store, without waiting for new records.
    pub(super) async fn read_without_waiting(&self, from: Offset) -> Result<Read, StoreError> {
        let read = self.store.read(Topic::Orders, from, Duration::ZERO).await?;
        self.note_store_answer();
        Ok(read)
    }

    /// Reads the store without waiting for new records, and applies what there is.
    async fn read_now(&self, from: Offset) -> Result<Offset, StoreError> {
        let read = self.read_without_waiting(from).await?;
        Ok(self.apply_read(&read))
    }

    /// Completes once this daemon has to read the store: as a reader for its failure domain, or
    /// because the store has not been known to answer any daemon for a while.
    async fn until_direct_read_due(&self) {
        let members = self.shared.read(|instance| instance.membership().reachable_count());
        let spread = JITTER_PER_MEMBER.saturating_mul(u32::try_from(members).unwrap_or(u32::MAX));
        let silence_timeout =
            STORE_SILENCE_TIMEOUT + spread.mul_f64(rand::rng().random_range(0.0..=1.0));
        let started = self.shared.now().mono;
        loop {
            tokio::time::sleep(READER_CHECK_PERIOD).await;
            let now = self.shared.now();
            let (should_read, last_answer) = self.shared.read(|instance| {
                (instance.should_read_store(now), instance.membership().last_log_contact())
            });
            if should_read || now.mono.since(last_answer.unwrap_or(started)) >= silence_timeout {
                return;
            }
        }
    }

    /// Applies the records of a read; returns the offset to read on from.
    fn apply_read(&self, read: &Read) -> Offset {
        if !read.records.is_empty() {
            self.record_cache().insert(&read.records, read.next);
            self.apply_records(&read.records, read.next);
            self.activate_config();
        }
        read.next
    }

    /// Tells the instance that the store answered, which gossip passes on to other daemons.
    fn note_store_answer(&self) {
        self.shared.with(|instance, now, _| instance.record_store_contact(now));
    }

    /// Waits for records from `from` on with a long poll. Once another daemon holds a later
    /// configuration, the poll is replaced by a read that does not wait.
    async fn long_poll(&self, from: Offset) -> Result<Offset, StoreError> {
        let waiting = self.store.read(Topic::Orders, from, self.poll_timeout());
        let read = tokio::select! {
            read = waiting => read,
            () = self.until_behind() => {
                // Dropping the poll closes its connection, which may have stalled.
                self.store.read(Topic::Orders, from, Duration::ZERO).await
            }
        };
        let read = read?;
        self.note_store_answer();
        Ok(self.apply_read(&read))
    }
}

/// Keeps the configuration of the instance up to date with the store until the task is dropped.
pub(crate) async fn follow_store(sync: StoreSync) {
    let mut availability = StoreAvailability::default();
    let mut next = None;
    loop {
        let read = match next {
            None => sync.read_all().await,
            Some(from) if sync.shared.read(|i| i.should_read_store(sync.shared.now())) => {
                // A store that was away may have come back from an older copy. A poll that waits
                // for a record would show that only at its end.
                match availability.is_failing() {
                    true => sync.read_now(from).await,
                    false => sync.long_poll(from).await,
                }
            }
            Some(from) => sync.read_when_behind(from).await,
        };
        match read {
            Ok(offset) => {
                next = Some(offset);
                availability.succeeded();
                tokio::time::sleep(BATCH_PAUSE).await;
            }
            // The records to read next were trimmed or lost: read the newest of each key again.
            Err(StoreError::Trimmed | StoreError::CameBackOlder) => next = None,
            Err(error) => tokio::time::sleep(availability.failed(&error)).await,
        }
    }
}

/// Returns the last record of each key, in the order of `records`.
fn newest_per_key(records: &[NewestRecord]) -> Vec<&NewestRecord> {
    let mut newest: Vec<&NewestRecord> = Vec::new();
    for record in records.iter().rev() {
        if !newest.iter().any(|later| later.key == record.key) {
            newest.push(record);
        }
    }
    newest.reverse();
    newest
}
