//! Requests between daemons over TCP, one request and one response per connection.
//!
//! Each message is sent in a frame: the length of the message (u32, big endian), its BLAKE3
//! hash keyed with the mesh key (32 bytes), and the message, encoded with postcard. A frame whose
//! hash does not match is dropped together with its connection.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_distribution::{PeerRequest, PeerResponse};
use cyclamen_membership::MeshKey;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::shared::SharedInstance;
use crate::store::StoreSync;

/// Largest message accepted in a frame, in bytes.
const MAX_FRAME_BYTES: u32 = 16 * 1024 * 1024;

/// Timeout of a whole exchange, from connecting to the last byte of the response.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time without progress: until a connection is open, and until further bytes of a response
/// arrive.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a failed accept, so that a persistent error does not busy-loop.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Size of the length of a message, in bytes.
const LEN_BYTES: usize = 4;

/// Size of the keyed hash, in bytes.
const HASH_BYTES: usize = 32;

/// Answers requests of peers until the task is dropped. With a `store`, the records read from it
/// are served as well.
pub(crate) async fn serve(
    shared: SharedInstance,
    store: Option<StoreSync>,
    listener: TcpListener,
    key: MeshKey,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
            continue;
        };
        let exchange = serve_connection(shared.clone(), store.clone(), stream, key.clone());
        tokio::spawn(tokio::time::timeout(EXCHANGE_TIMEOUT, exchange));
    }
}

/// Sends a request to a peer; `None` if there is no valid response within [`EXCHANGE_TIMEOUT`], or
/// no progress for [`PROGRESS_TIMEOUT`]. Calls `on_response` when the response begins to arrive.
pub(crate) async fn send_request(
    to: SocketAddr,
    request: &PeerRequest,
    key: &MeshKey,
    on_response: impl FnOnce(),
) -> Option<PeerResponse> {
    let exchange = async {
        let connect = TcpStream::connect(to);
        let mut stream = tokio::time::timeout(PROGRESS_TIMEOUT, connect).await.ok()?.ok()?;
        write_frame(&mut stream, request, key).await?;
        tokio::time::timeout(PROGRESS_TIMEOUT, stream.readable()).await.ok()?.ok()?;
        on_response();
        read_frame(&mut stream, key).await
    };
    tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await.ok()?
}

/// Tells the instance on drop that the transfer of a snapshot is over, whether it was sent or its
/// connection broke. The instance limits the number of transfers.
struct SnapshotTransfer(SharedInstance);

impl Drop for SnapshotTransfer {
    fn drop(&mut self) {
        self.0.with(|instance, _, _| instance.snapshot_transfer_ended());
    }
}

async fn serve_connection(
    shared: SharedInstance,
    store: Option<StoreSync>,
    mut stream: TcpStream,
    key: MeshKey,
) -> Option<()> {
    let request: PeerRequest = read_frame(&mut stream, &key).await?;
    let response = match (&request, &store) {
        (PeerRequest::Stored { from }, Some(sync)) => sync.record_cache().response_since(*from),
        _ => shared.with(|instance, now, _| instance.answer_peer(now, &request)),
    };
    let is_snapshot = matches!(response, PeerResponse::Snapshot { .. });
    let _transfer = is_snapshot.then(|| SnapshotTransfer(shared.clone()));
    write_frame(&mut stream, &response, &key).await
}

async fn write_frame<T: Serialize>(stream: &mut TcpStream, value: &T, key: &MeshKey) -> Option<()> {
    let bytes = postcard::to_stdvec(value).ok()?;
    let len = u32::try_from(bytes.len()).ok()?;
    stream.write_u32(len).await.ok()?;
    stream.write_all(blake3::keyed_hash(&key.0, &bytes).as_bytes()).await.ok()?;
    stream.write_all(&bytes).await.ok()?;
    stream.flush().await.ok()
}

async fn read_frame<T: DeserializeOwned>(stream: &mut TcpStream, key: &MeshKey) -> Option<T> {
    let len = read_bytes(stream, LEN_BYTES).await?;
    let len = u32::from_be_bytes(len.try_into().ok()?);
    if len > MAX_FRAME_BYTES {
        return None;
    }
    let hash: [u8; HASH_BYTES] = read_bytes(stream, HASH_BYTES).await?.try_into().ok()?;
    let bytes = read_bytes(stream, len as usize).await?;
    if blake3::keyed_hash(&key.0, &bytes) != blake3::Hash::from(hash) {
        return None;
    }
    postcard::from_bytes(&bytes).ok()
}

/// Reads this many bytes; `None` once nothing arrives for [`PROGRESS_TIMEOUT`], or if there are
/// fewer.
async fn read_bytes(stream: &mut TcpStream, count: usize) -> Option<Vec<u8>> {
    let mut rest = stream.take(count as u64);
    let mut bytes = Vec::new();
    while bytes.len() < count {
        let read = tokio::time::timeout(PROGRESS_TIMEOUT, rest.read_buf(&mut bytes));
        if read.await.ok()?.ok()? == 0 {
            return None;
        }
    }
    Some(bytes)
}

#[cfg(test)]
mod tests;
