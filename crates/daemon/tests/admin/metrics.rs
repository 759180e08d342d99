//! Tests of the datagrams that a statsd receiver gets.

use std::net::UdpSocket;
use std::time::Duration;

use crate::harness::{self, Harness};
use cyclamen_daemon::metrics::StatsdMetrics;
use cyclamenmoor::{Instance, StateDump};

/// The receiver has the whole sample once no datagram arrives for this long. The sample is sent
/// before the receiver starts to read.
const QUIET_TIME: Duration = Duration::from_millis(200);

/// All lines that a receiver got, sorted.
fn received_lines(receiver: &UdpSocket) -> Vec<String> {
    receiver.set_read_timeout(Some(QUIET_TIME)).expect("a timeout");
    let mut lines = Vec::new();
    let mut buf = [0; 65_536];
    while let Ok(len) = receiver.recv(&mut buf) {
        let text = String::from_utf8_lossy(&buf[..len]).into_owned();
        lines.extend(text.lines().map(String::from));
    }
    lines.sort();
    lines
}

/// The state dump of a daemon that has just become ready.
async fn dump() -> StateDump {
    let harness = Harness::start().await;
    let dump = harness.running.shared.read(Instance::dump);
    harness.stop().await;
    dump
}

#[tokio::test]
async fn metrics_two_samples() {
    let receiver = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let mut settings = harness::settings(([127, 0, 0, 1], 9).into());
    settings.statsd = Some(receiver.local_addr().expect("its address"));
    let mut metrics = StatsdMetrics::new(&settings);
    let mut dump = dump().await;
    dump.ready = true;
    dump.relay = true;
    dump.router.calls = 40;
    dump.router.refused = 3;
    dump.membership.bytes_sent = 900;
    dump.membership.bytes_received = 0;
    dump.distribution.log_reads = 0;
    metrics.send_sample(&dump);
    insta::assert_snapshot!("first", received_lines(&receiver).join("\n"));
    dump.router.calls = 47;
    metrics.send_sample(&dump);
    let second = received_lines(&receiver);
    let counters: Vec<&String> = second.iter().filter(|line| line.contains("|c")).collect();
    assert_eq!(counters.len(), 1, "only what grew: {counters:?}");
    assert!(counters[0].starts_with("cyclamen.calls:7|c"), "{counters:?}");
}

#[tokio::test]
async fn metrics_off_by_default() {
    let receiver = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let settings = harness::settings(([127, 0, 0, 1], 9).into());
    StatsdMetrics::new(&settings).send_sample(&dump().await);
    assert!(received_lines(&receiver).is_empty());
}
