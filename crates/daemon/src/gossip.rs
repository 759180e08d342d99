//! Datagrams of other daemons, and the timer of the instance.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::Mono;
use cyclamenmoor::Event;
use tokio::net::UdpSocket;

use crate::shared::Shared;

/// Largest datagram read, in bytes.
const DATAGRAM_BYTES: usize = 65_536;

/// Pause after a failed read of the socket.
const READ_PAUSE: Duration = Duration::from_millis(10);

/// Longest sleep between two looks at the timer.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// Hands datagrams to the instance until the task is dropped.
pub(crate) async fn receive(shared: Shared, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            tokio::time::sleep(READ_PAUSE).await;
            continue;
        };
        let bytes = buf[..len].to_vec();
        shared
            .with(|instance, now, out| instance.handle(now, Event::Datagram { from, bytes }, out));
    }
}

/// Wakes the instance when it asked for it, until the task is dropped.
pub(crate) async fn keep_time(shared: Shared) {
    loop {
        let now = shared.now().mono;
        let due = shared.next_wakeup();
        if due > now {
            let sleep = sleep_until(now, due);
            tokio::select! {
                () = tokio::time::sleep(sleep) => {}
                () = shared.rearmed() => {}
            }
            continue;
        }
        shared.with(|instance, now, out| instance.handle(now, Event::Wakeup, out));
        tokio::task::yield_now().await;
    }
}

fn sleep_until(now: Mono, due: Mono) -> Duration {
    due.since(now).min(LONGEST_SLEEP)
}
