//! Connections that went silent: only a timeout of our own shows them.

use std::time::Duration;

use log::warn;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Silence after which the other side is asked whether it is there.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Unanswered probes, one second apart, after which a connection is given up.
const PROBES: u32 = 1;

/// Longest time for sent bytes to be acknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(800);

/// Has the system close a connection whose other side does not answer any more, and send small
/// messages at once.
pub(super) fn guard(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive =
        TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_AFTER).with_retries(PROBES);
    let set = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(error) = set {
        warn!("a connection is not guarded against silence ({error}): its calls may wait longer");
    }
}
