//! Fetches records of the store from the source that answers first: a daemon of this failure
//! domain, another one, or the store itself.
//!
//! A link between instances may be slow and full. A transfer that has begun is therefore not cut
//! off as long as it goes on, and no second one begins beside it, which would only take its
//! bandwidth.

use std::time::Duration;

use cyclamen_distribution::{PeerRequest, PeerResponse};
use cyclamen_membership::Peer;
use cyclamen_platform::{Read, StoreError};
use cyclamen_types::Offset;
use futures::{FutureExt, future};
use log::warn;
use tokio::sync::watch;

use crate::peers;
use crate::store::StoreSync;
use crate::store::record_cache;

/// Delay after which the next source is queried in parallel, while the earlier ones have not begun
/// to answer.
const HEDGE_DELAY: Duration = Duration::from_millis(250);

/// The transfers from other daemons that have begun and not ended.
struct Transfers {
    running: watch::Sender<u32>,
}

/// A transfer under way; it has ended once this is dropped.
struct Transfer<'a>(&'a Transfers);

impl Transfers {
    fn new() -> Self {
        Self { running: watch::Sender::new(0) }
    }

    /// Notes that a source has begun to answer.
    fn begin(&self) -> Transfer<'_> {
        self.running.send_modify(|running| *running += 1);
        Transfer(self)
    }

    /// Completes after `delay`, and not while a transfer is under way.
    async fn until_idle(&self, delay: Duration) {
        tokio::time::sleep(delay).await;
        // The sender is borrowed here, so the channel is open.
        let _ = self.running.subscribe().wait_for(|running| *running == 0).await;
    }
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        self.0.running.send_modify(|running| *running -= 1);
    }
}

/// Fetches the records from `from` on from the source that answers first. It queries a daemon of
/// this failure domain, a daemon of it again, and then the store, each [`HEDGE_DELAY`] after the
/// previous one, unless one of them is answering.
///
/// # Errors
/// No source returned the records; the error is that of the last one.
pub(super) async fn from_any(sync: &StoreSync, from: Offset) -> Result<Read, StoreError> {
    let transfers = Transfers::new();
    let store = async {
        transfers.until_idle(2 * HEDGE_DELAY).await;
        sync.read_without_waiting(from).await
    };
    let attempts = [
        from_peer(sync, from, &transfers, Duration::ZERO).boxed(),
        from_peer(sync, from, &transfers, HEDGE_DELAY).boxed(),
        store.boxed(),
    ];
    let (read, _others) = future::select_ok(attempts).await?;
    Ok(read)
}

/// Requests the records from `from` on, after `delay`, from a daemon of this failure domain that
/// holds a later configuration, or else from one of its relays.
async fn from_peer(
    sync: &StoreSync,
    from: Offset,
    transfers: &Transfers,
    delay: Duration,
) -> Result<Read, StoreError> {
    transfers.until_idle(delay).await;
    let peer = sync.shared.read(|instance| {
        let mine = instance.ledger().version();
        let domain = &instance.membership().local_member().domain;
        let holds_more = |peer: &Peer<'_>| {
            peer.domain == domain
                && peer.applied_config.is_some_and(|applied| applied.version > mine)
        };
        let (membership, mut rng) = (instance.membership(), rand::rng());
        // Gossip lags behind: a daemon that reads the store may hold the configuration before its
        // own gossip says so.
        membership.choose_peer(&mut rng, holds_more).or_else(|| membership.choose_relay(&mut rng))
    });
    let unanswered = |why: &str| StoreError::Unanswered(why.into());
    let peer = peer.ok_or_else(|| unanswered("no daemon of the failure domain reads the store"))?;
    let mut transfer = None;
    let begin = || transfer = Some(transfers.begin());
    let request = PeerRequest::Stored { from };
    match peers::send_request(peer, &request, &sync.key, begin).await {
        Some(PeerResponse::Stored { records, next }) if next > from => {
            let records = record_cache::decompress_records(records).map_err(|why| {
                warn!("the records of the daemon at {peer} are not used: {why}");
                unanswered(&why.to_string())
            })?;
            Ok(Read { records, next })
        }
        _ => Err(unanswered("the peer returned no newer records in time")),
    }
}

#[cfg(test)]
mod tests;
