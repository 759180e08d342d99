//! TCP options of connections. They detect dead connections (those whose peer or network path
//! vanished without closing them, which nothing but a timeout reveals) and disable Nagle's
//! algorithm.

use std::time::Duration;

use log::warn;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time before the first keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 1;

/// Longest time for sent bytes to be acknowledged (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(800);

/// Makes the operating system close the connection once its peer stops responding, and send small
/// segments without delay. A failure is logged and otherwise ignored.
pub(super) fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let result = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(error) = result {
        warn!("cannot detect a dead peer on a connection ({error}); its calls may wait longer");
    }
}
