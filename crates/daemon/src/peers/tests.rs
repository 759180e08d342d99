//! Responses that arrive slowly, or stop arriving.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cyclamen_distribution::{PeerRequest, PeerResponse};
use cyclamen_membership::MeshKey;
use cyclamen_types::Offset;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use super::{PROGRESS_TIMEOUT, read_frame, send_request};

const KEY: MeshKey = MeshKey([3; 32]);

/// Pause of a slow peer after each part of its response.
const PART_PAUSE: Duration = Duration::from_millis(400);

/// Parts in which a response is sent. All of them take longer than [`PROGRESS_TIMEOUT`].
const PARTS: usize = 5;

fn response() -> PeerResponse {
    PeerResponse::Stored { records: Vec::new(), next: Offset(7) }
}

/// A peer that sends only so many of the parts of its response.
async fn peer(parts: usize) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _request: PeerRequest = read_frame(&mut stream, &KEY).await.expect("a request");
        send_slowly(&mut stream, parts).await;
        // The connection stays open without further bytes.
        std::future::pending::<()>().await;
    });
    address
}

async fn send_slowly(stream: &mut TcpStream, parts: usize) {
    let bytes = postcard::to_stdvec(&response()).expect("it can be encoded");
    let mut frame = u32::try_from(bytes.len()).expect("it is short").to_be_bytes().to_vec();
    frame.extend_from_slice(blake3::keyed_hash(&KEY.0, &bytes).as_bytes());
    frame.extend_from_slice(&bytes);
    for part in frame.chunks(frame.len().div_ceil(PARTS)).take(parts) {
        stream.write_all(part).await.expect("the caller reads");
        tokio::time::sleep(PART_PAUSE).await;
    }
}

#[tokio::test]
async fn request_response_over_a_slow_link() {
    let address = peer(PARTS).await;
    let mut begun = false;
    let request = PeerRequest::Stored { from: Offset(0) };
    let answered = send_request(address, &request, &KEY, || begun = true).await;
    assert_eq!(answered, Some(response()));
    assert!(begun);
}

#[tokio::test]
async fn request_response_that_stops() {
    let address = peer(2).await;
    let began = Instant::now();
    let request = PeerRequest::Stored { from: Offset(0) };
    let answered = send_request(address, &request, &KEY, || ()).await;
    assert_eq!(answered, None);
    assert!(began.elapsed() < 2 * PROGRESS_TIMEOUT, "given up after {:?}", began.elapsed());
}
