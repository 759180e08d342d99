//! Carries out the effects of the instance that need sockets.
//!
//! Datagrams are sent in place. Fetches, appends to the log and verdicts run as tasks of their own,
//! and their results come back to the instance as events.

use std::sync::Arc;

use cyclamen_distribution::Fetch;
use cyclamen_membership::MeshKey;
use cyclamenmoor::{AppendError, Effect, Event};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::log_client::LogClient;
use crate::peers;
use crate::shared::SharedInstance;
use crate::store::{self, StoreSync};

/// The clients and sockets with which effects are carried out.
#[derive(Clone)]
pub(crate) struct EffectRunner {
    pub(crate) shared: SharedInstance,
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) log: LogClient,
    pub(crate) key: MeshKey,
    /// The platform's store, if the settings name one.
    pub(crate) store: Option<StoreSync>,
}

/// Carries out effects until the task is aborted. Effects that are still running are cancelled with
/// it.
pub(crate) async fn run(runner: EffectRunner, mut effects: mpsc::UnboundedReceiver<Effect>) {
    let mut running = JoinSet::new();
    while let Some(effect) = effects.recv().await {
        while running.try_join_next().is_some() {}
        match effect {
            Effect::Send(datagram) => {
                // Gossip tolerates lost datagrams, so a send error is treated as a loss.
                let _ = runner.socket.send_to(&datagram.bytes, datagram.to).await;
            }
            Effect::Fetch(fetch) => {
                running.spawn(run_fetch(runner.clone(), fetch));
            }
            Effect::Append { ticket, payload } => {
                let runner = runner.clone();
                running.spawn(async move {
                    let result = runner.log.append(&payload).await;
                    runner.handle(Event::Appended { ticket, result });
                });
            }
            Effect::WriteVerdict { ticket, id, verdict } => {
                let runner = runner.clone();
                running.spawn(async move {
                    let result = match &runner.store {
                        Some(sync) => store::record_verdict(sync, &id, &verdict).await,
                        None => Err(AppendError::Unanswered),
                    };
                    runner.handle(Event::Appended { ticket, result });
                });
            }
            // `SharedInstance::with` carries these out itself and never sends them here.
            Effect::RunQueued(_) | Effect::RefuseQueued(_) | Effect::Changed => {}
        }
    }
}

async fn run_fetch(runner: EffectRunner, fetch: Fetch) {
    match fetch {
        Fetch::Log { from, wait } => {
            let answer = runner.log.read(from, wait).await;
            runner.handle(Event::LogRead(answer));
        }
        Fetch::Peer { to, request } => {
            let response = peers::send_request(to, &request, &runner.key, || ()).await;
            runner.handle(Event::PeerResponse { from: to, response });
        }
    }
}

impl EffectRunner {
    fn handle(&self, event: Event) {
        self.shared.with(|instance, now, out| instance.handle(now, event, out));
    }
}
