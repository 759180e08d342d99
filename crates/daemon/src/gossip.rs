//! Passes gossip datagrams of other daemons and timer wakeups to the instance.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::Mono;
use cyclamenmoor::Event;
use tokio::net::UdpSocket;

use crate::shared::SharedInstance;

/// Size of the receive buffer, in bytes; no UDP datagram is larger.
const RECEIVE_BUFFER_BYTES: usize = 65_536;

/// Pause after a failed read of the socket, so that a persistent error does not busy-loop.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Longest sleep before the next wakeup time is read again.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Passes datagrams to the instance until the task is dropped.
pub(crate) async fn receive(shared: SharedInstance, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            tokio::time::sleep(RECEIVE_ERROR_PAUSE).await;
            continue;
        };
        let bytes = buf[..len].to_vec();
        shared
            .with(|instance, now, out| instance.handle(now, Event::Datagram { from, bytes }, out));
    }
}

/// Sends the instance its wakeup events when they are due, until the task is dropped.
pub(crate) async fn run_timer(shared: SharedInstance) {
    loop {
        let now = shared.now().mono;
        let due = shared.next_wakeup();
        if due > now {
            let sleep = sleep_duration(now, due);
            tokio::select! {
                () = tokio::time::sleep(sleep) => {}
                () = shared.next_wakeup_moved() => {}
            }
            continue;
        }
        shared.with(|instance, now, out| instance.handle(now, Event::Wakeup, out));
        tokio::task::yield_now().await;
    }
}

fn sleep_duration(now: Mono, due: Mono) -> Duration {
    due.since(now).min(MAX_SLEEP)
}
