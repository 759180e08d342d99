//! TCP options of connections. They disable Nagle's algorithm, and detect dead connections: those
//! whose peer or network path vanished without closing them, which nothing but a timeout reveals.
//!
//! A connection to a server or daemon that is gone has to be given up soon, so that its calls can
//! go elsewhere. A connection that was accepted is given up late: its peer may only be slow to
//! read, or its packets may wait in a full link, and answers that are ready would be lost with it.

use std::time::Duration;

use log::warn;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How soon a connection whose peer does not respond is closed.
struct Detection {
    /// Idle time before the first keepalive probe, and the interval between probes.
    keepalive_interval: Duration,
    /// Unanswered keepalive probes after which the connection is closed.
    keepalive_probes: u32,
    /// Longest time for sent bytes to be acknowledged, or for a peer to read nothing while bytes
    /// wait to be sent (`TCP_USER_TIMEOUT`).
    unacknowledged_timeout: Duration,
}

/// For connections that this daemon opened.
const OPENED: Detection = Detection {
    keepalive_interval: Duration::from_secs(1),
    keepalive_probes: 1,
    unacknowledged_timeout: Duration::from_millis(800),
};

/// For connections that this daemon accepted.
const ACCEPTED: Detection = Detection {
    keepalive_interval: Duration::from_secs(5),
    keepalive_probes: 2,
    unacknowledged_timeout: Duration::from_secs(10),
};

/// Sets the options of a connection that this daemon opened.
pub(super) fn set_opened(stream: &TcpStream) {
    set(stream, &OPENED);
}

/// Sets the options of a connection that this daemon accepted.
pub(super) fn set_accepted(stream: &TcpStream) {
    set(stream, &ACCEPTED);
}

/// A failure is logged and otherwise ignored.
fn set(stream: &TcpStream, detection: &Detection) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(detection.keepalive_interval)
        .with_interval(detection.keepalive_interval)
        .with_retries(detection.keepalive_probes);
    let result = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(detection.unacknowledged_timeout)));
    if let Err(error) = result {
        warn!("cannot detect a dead peer on a connection ({error}); its calls may wait longer");
    }
}
