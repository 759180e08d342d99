//! Carries out the effects that need sockets.

use std::sync::Arc;

use cyclamen_distribution::Fetch;
use cyclamen_membership::MeshKey;
use cyclamenmoor::{AppendError, Effect, Event};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::log_client::LogClient;
use crate::peers;
use crate::shared::Shared;
use crate::store::{self, StoreSync};

/// What effects are carried out with.
#[derive(Clone)]
pub(crate) struct Carrier {
    pub(crate) shared: Shared,
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) log: LogClient,
    pub(crate) key: MeshKey,
    /// The store that keeps the configuration whole, where the daemon has one.
    pub(crate) store: Option<StoreSync>,
}

/// Carries out effects until the instance is dropped; what is under way then ends with it.
pub(crate) async fn carry(carrier: Carrier, mut effects: mpsc::UnboundedReceiver<Effect>) {
    let mut under_way = JoinSet::new();
    while let Some(effect) = effects.recv().await {
        while under_way.try_join_next().is_some() {}
        match effect {
            Effect::Send(datagram) => {
                // A datagram that cannot be sent is as good as one lost on the way.
                let _ = carrier.socket.send_to(&datagram.bytes, datagram.to).await;
            }
            Effect::Fetch(fetch) => {
                under_way.spawn(run_fetch(carrier.clone(), fetch));
            }
            Effect::Append { ticket, payload } => {
                let carrier = carrier.clone();
                under_way.spawn(async move {
                    let result = carrier.log.append(&payload).await;
                    carrier.tell(Event::Appended { ticket, result });
                });
            }
            Effect::Settle { ticket, id, verdict } => {
                let carrier = carrier.clone();
                under_way.spawn(async move {
                    let result = match &carrier.store {
                        Some(sync) => store::record_verdict(sync, &id, &verdict).await,
                        None => Err(AppendError::Unanswered),
                    };
                    carrier.tell(Event::Appended { ticket, result });
                });
            }
            Effect::Run(_) | Effect::Expire(_) | Effect::Changed => {}
        }
    }
}

async fn run_fetch(carrier: Carrier, fetch: Fetch) {
    match fetch {
        Fetch::Log { from, wait } => {
            let answer = carrier.log.read(from, wait).await;
            carrier.tell(Event::LogRead(answer));
        }
        Fetch::Peer { to, request } => {
            let response = peers::ask(to, &request, &carrier.key).await;
            carrier.tell(Event::PeerAnswer { from: to, response });
        }
    }
}

impl Carrier {
    fn tell(&self, event: Event) {
        self.shared.with(|instance, now, out| instance.handle(now, event, out));
    }
}
