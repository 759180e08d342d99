//! Requests between daemons: one per TCP connection, postcard under a keyed hash.
//!
//! A frame is its length (u32, big endian), 32 bytes of keyed hash, and the postcard bytes.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_distribution::{PeerRequest, PeerResponse};
use cyclamen_membership::MeshKey;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::shared::Shared;
use crate::store::StoreSync;

/// Largest frame, in bytes.
const FRAME_BYTES: u32 = 16 * 1024 * 1024;

/// Longest time for a whole exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes of the keyed hash.
const HASH_BYTES: usize = 32;

/// Answers peers until the task is dropped.
pub(crate) async fn serve(
    shared: Shared,
    store: Option<StoreSync>,
    listener: TcpListener,
    key: MeshKey,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let exchange = answer(shared.clone(), store.clone(), stream, key.clone());
        tokio::spawn(tokio::time::timeout(EXCHANGE_TIMEOUT, exchange));
    }
}

/// Asks a peer; `None` when it does not answer in time.
pub(crate) async fn ask(
    to: SocketAddr,
    request: &PeerRequest,
    key: &MeshKey,
) -> Option<PeerResponse> {
    let exchange = async {
        let mut stream = TcpStream::connect(to).await.ok()?;
        write_frame(&mut stream, request, key).await?;
        read_frame(&mut stream, key).await
    };
    tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await.ok()?
}

/// Gives the transfer back when a snapshot was sent, or its connection broke.
struct Transfer(Shared);

impl Drop for Transfer {
    fn drop(&mut self) {
        self.0.with(|instance, _, _| instance.served());
    }
}

async fn answer(
    shared: Shared,
    store: Option<StoreSync>,
    mut stream: TcpStream,
    key: MeshKey,
) -> Option<()> {
    let request: PeerRequest = read_frame(&mut stream, &key).await?;
    let response = match (&request, &store) {
        (PeerRequest::Stored { from }, Some(sync)) => sync.record_cache().response_since(*from),
        _ => shared.with(|instance, now, _| instance.serve(now, &request)),
    };
    let held = matches!(response, PeerResponse::Snapshot { .. });
    let _transfer = held.then(|| Transfer(shared.clone()));
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
    let len = stream.read_u32().await.ok()?;
    if len > FRAME_BYTES {
        return None;
    }
    let mut hash = [0; HASH_BYTES];
    stream.read_exact(&mut hash).await.ok()?;
    let mut bytes = Vec::new();
    stream.take(u64::from(len)).read_to_end(&mut bytes).await.ok()?;
    if blake3::keyed_hash(&key.0, &bytes) != blake3::Hash::from(hash) {
        return None;
    }
    postcard::from_bytes(&bytes).ok()
}
