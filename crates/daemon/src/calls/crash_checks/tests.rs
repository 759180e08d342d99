//! Tests of the check for a crash: servers that are gone, sound, or silent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;

use crate::calls::crash_checks::CrashChecks;
use crate::calls::pool::{Pool, PoolLimits};

/// Longest time that a check may hold up the retry of a call.
const MAX_CHECK_TIME: Duration = Duration::from_millis(200);

/// Connections that surely fill the backlog of a listener that accepts none.
const BACKLOG_FILLERS: usize = 8;

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn has_crashed(address: SocketAddr) -> bool {
    let pool = Pool::new(PoolLimits { connections: 4, buffer_bytes: 8_192 });
    let server = "dvere-1".try_into().expect("a name");
    let checks = CrashChecks::default();
    let began = Instant::now();
    let (first, second) = tokio::join!(
        checks.has_crashed(&pool, &server, address),
        checks.has_crashed(&pool, &server, address),
    );
    assert!(began.elapsed() < MAX_CHECK_TIME, "{:?}", began.elapsed());
    assert_eq!(first, second);
    first
}

#[tokio::test]
async fn has_crashed_if_refused() {
    let listener = TcpListener::bind(loopback()).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    assert!(has_crashed(address).await);
}

#[tokio::test]
async fn has_crashed_not_if_it_listens() {
    let listener = TcpListener::bind(loopback()).await.expect("a free port");
    assert!(!has_crashed(listener.local_addr().expect("an address")).await);
}

#[tokio::test]
async fn has_crashed_not_if_silent() {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(loopback()).expect("a free port");
    let listener = socket.listen(1).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut fillers = JoinSet::new();
    for _ in 0..BACKLOG_FILLERS {
        fillers.spawn(TcpStream::connect(address));
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert!(!has_crashed(address).await);
}
