//! The instance behind its lock, with the clocks and the effects it pushes.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use cyclamen_routing::CallId;
use cyclamen_types::{FastMap, Mono, Now, Wall};
use cyclamenmoor::{Effect, Effects, Instance};
use tokio::sync::{Notify, mpsc, oneshot, watch};

/// What becomes of a call that waited for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotTurn {
    /// Its slot is free.
    Run,
    /// It waited too long: not run.
    Expired,
}

/// The instance, shared by the tasks of one daemon. Its lock is never held across an await.
#[derive(Clone)]
pub struct Shared(Arc<Inner>);

struct Inner {
    core: Mutex<Core>,
    started: Instant,
    rearm: Notify,
    changed: watch::Sender<u64>,
    effects: mpsc::UnboundedSender<Effect>,
}

struct Core {
    instance: Instance,
    effects: Effects,
    waiting: FastMap<CallId, oneshot::Sender<SlotTurn>>,
}

impl Shared {
    /// Shares an instance; effects that need sockets go to `effects`.
    pub(crate) fn new(
        instance: Instance,
        started: Instant,
        effects: mpsc::UnboundedSender<Effect>,
    ) -> Self {
        let core = Core { instance, effects: Effects::new(), waiting: FastMap::default() };
        Self(Arc::new(Inner {
            core: Mutex::new(core),
            started,
            rearm: Notify::new(),
            changed: watch::Sender::new(0),
            effects,
        }))
    }

    /// The time, read once for one event.
    pub fn now(&self) -> Now {
        now(self.0.started)
    }

    /// Runs `f` on the instance and carries out the effects it pushed.
    pub fn with<R>(&self, f: impl FnOnce(&mut Instance, Now, &mut Effects) -> R) -> R {
        let mut guard = self.lock();
        let core = &mut *guard;
        let before = core.instance.next_wakeup();
        let result = f(&mut core.instance, self.now(), &mut core.effects);
        self.carry_out(core);
        if core.instance.next_wakeup() < before {
            self.0.rearm.notify_one();
        }
        result
    }

    /// Runs `f` on the instance without effects.
    pub fn read<R>(&self, f: impl FnOnce(&Instance) -> R) -> R {
        f(&self.lock().instance)
    }

    /// Lets a queued call wait: the receiver hears when it runs, or that it does not.
    pub fn wait_for_slot(&self, call: CallId) -> oneshot::Receiver<SlotTurn> {
        let (tx, rx) = oneshot::channel();
        self.lock().waiting.insert(call, tx);
        rx
    }

    /// Forgets a queued call that was cancelled.
    pub fn forget_wait(&self, call: CallId) {
        self.lock().waiting.remove(&call);
    }

    /// Changes whenever the configuration version, a move or the readiness does.
    pub fn changed(&self) -> watch::Receiver<u64> {
        self.0.changed.subscribe()
    }

    /// When the instance wants to be woken.
    pub(crate) fn next_wakeup(&self) -> Mono {
        self.lock().instance.next_wakeup()
    }

    /// Waits until the next wakeup became earlier.
    pub(crate) async fn rearmed(&self) {
        self.0.rearm.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, Core> {
        self.0.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn carry_out(&self, core: &mut Core) {
        for effect in core.effects.drain(..) {
            match effect {
                Effect::Run(calls) => tell(&mut core.waiting, &calls, SlotTurn::Run),
                Effect::Expire(calls) => tell(&mut core.waiting, &calls, SlotTurn::Expired),
                Effect::Changed => self.0.changed.send_modify(|count| *count += 1),
                other => {
                    // The receiver is gone only once the daemon has stopped.
                    let _ = self.0.effects.send(other);
                }
            }
        }
    }
}

/// The time since `started`, and the wall clock.
pub(crate) fn now(started: Instant) -> Now {
    let mono = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let wall = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
    Now { mono: Mono(mono), wall: Wall(wall) }
}

fn tell(
    waiting: &mut FastMap<CallId, oneshot::Sender<SlotTurn>>,
    calls: &[CallId],
    turn: SlotTurn,
) {
    for call in calls {
        let Some(tx) = waiting.remove(call) else {
            continue;
        };
        // A cancelled call has dropped its receiver; its slot is released by its own guard.
        let _ = tx.send(turn);
    }
}
