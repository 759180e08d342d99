//! SharedInstance access to the instance: its lock, its clocks and the dispatch of its effects.
//!
//! [`SharedInstance::with`] passes an event to the instance. Effects that concern queued calls and
//! waiting tasks are carried out here; all others are sent to the task that owns the sockets.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use cyclamen_routing::CallId;
use cyclamen_types::{FastMap, Mono, Now, Wall};
use cyclamenmoor::{Effect, Effects, Instance};
use tokio::sync::{Notify, mpsc, oneshot, watch};

/// The result of waiting for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotOutcome {
    /// The call has a slot and runs.
    Run,
    /// The call waited too long and is not run.
    Expired,
}

/// The instance, shared by the tasks of one daemon. Its lock is never held across an `await`.
#[derive(Clone)]
pub struct SharedInstance(Arc<SharedState>);

struct SharedState {
    state: Mutex<LockedState>,
    started: Instant,
    wakeup_moved: Notify,
    changed: watch::Sender<u64>,
    effects: mpsc::UnboundedSender<Effect>,
}

struct LockedState {
    instance: Instance,
    effects: Effects,
    waiting: FastMap<CallId, oneshot::Sender<SlotOutcome>>,
}

impl SharedInstance {
    /// Wraps `instance`. Effects that need sockets are sent to `effects`; `started` is the origin
    /// of the monotonic clock.
    pub(crate) fn new(
        instance: Instance,
        started: Instant,
        effects: mpsc::UnboundedSender<Effect>,
    ) -> Self {
        let state = LockedState { instance, effects: Effects::new(), waiting: FastMap::default() };
        Self(Arc::new(SharedState {
            state: Mutex::new(state),
            started,
            wakeup_moved: Notify::new(),
            changed: watch::Sender::new(0),
            effects,
        }))
    }

    /// Reads the clocks. Read them once per event, so that the whole event is
    /// handled at one time.
    pub fn now(&self) -> Now {
        now(self.0.started)
    }

    /// Calls `f` with the instance and the current time, and carries out the effects that `f`
    /// pushes. Wakes the timer if the next wakeup has become earlier.
    pub fn with<R>(&self, f: impl FnOnce(&mut Instance, Now, &mut Effects) -> R) -> R {
        let mut guard = self.lock();
        let state = &mut *guard;
        let before = state.instance.next_wakeup();
        let result = f(&mut state.instance, self.now(), &mut state.effects);
        self.dispatch_effects(state);
        if state.instance.next_wakeup() < before {
            self.0.wakeup_moved.notify_one();
        }
        result
    }

    /// Calls `f` with the instance, to read from it.
    pub fn read<R>(&self, f: impl FnOnce(&Instance) -> R) -> R {
        f(&self.lock().instance)
    }

    /// Registers a call before its admission. If the call is queued, the receiver gets the result
    /// of the wait once the call may run or has expired.
    pub fn wait_for_slot(&self, call: CallId) -> oneshot::Receiver<SlotOutcome> {
        let (tx, rx) = oneshot::channel();
        self.lock().waiting.insert(call, tx);
        rx
    }

    /// Removes the registration of a call that was refused or has ended; does nothing if it is gone
    /// already.
    pub fn cancel_slot_wait(&self, call: CallId) {
        self.lock().waiting.remove(&call);
    }

    /// Returns a receiver that is notified whenever the instance emits [`Effect::Changed`], for
    /// example for a new configuration version, a new state of a move, or readiness.
    pub fn changed(&self) -> watch::Receiver<u64> {
        self.0.changed.subscribe()
    }

    /// The time at which the instance is to get its next wakeup event.
    pub(crate) fn next_wakeup(&self) -> Mono {
        self.lock().instance.next_wakeup()
    }

    /// Waits until the next wakeup has become earlier.
    pub(crate) async fn next_wakeup_moved(&self) {
        self.0.wakeup_moved.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, LockedState> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn dispatch_effects(&self, state: &mut LockedState) {
        for effect in state.effects.drain(..) {
            match effect {
                Effect::RunQueued(calls) => {
                    send_outcome(&mut state.waiting, &calls, SlotOutcome::Run);
                }
                Effect::RefuseQueued(calls) => {
                    send_outcome(&mut state.waiting, &calls, SlotOutcome::Expired);
                }
                Effect::Changed => self.0.changed.send_modify(|count| *count += 1),
                other => {
                    // The receiver is dropped only when the daemon has stopped.
                    let _ = self.0.effects.send(other);
                }
            }
        }
    }
}

/// Reads the monotonic clock, in microseconds since `started`, and the wall clock, in milliseconds
/// since the Unix epoch.
pub(crate) fn now(started: Instant) -> Now {
    let mono = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let wall = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
    Now { mono: Mono(mono), wall: Wall(wall) }
}

fn send_outcome(
    waiting: &mut FastMap<CallId, oneshot::Sender<SlotOutcome>>,
    calls: &[CallId],
    outcome: SlotOutcome,
) {
    for call in calls {
        let Some(tx) = waiting.remove(call) else {
            continue;
        };
        // A cancelled call has dropped its receiver. Its own guard releases its slot.
        let _ = tx.send(outcome);
    }
}
