//! What the metrics of one sample look like on the wire.

use std::net::UdpSocket;
use std::time::Duration;

use crate::bench::{self, Bench};
use cyclamen_daemon::metrics::Metrics;
use cyclamenmoor::{Instance, StateDump};

/// Silence after which a sample counts as whole; it was sent before the wait begins.
const SILENCE: Duration = Duration::from_millis(200);

/// All lines that a receiver got, in order of name.
fn lines(receiver: &UdpSocket) -> Vec<String> {
    receiver.set_read_timeout(Some(SILENCE)).expect("a timeout");
    let mut lines = Vec::new();
    let mut buf = [0; 65_536];
    while let Ok(len) = receiver.recv(&mut buf) {
        let text = String::from_utf8_lossy(&buf[..len]).into_owned();
        lines.extend(text.lines().map(String::from));
    }
    lines.sort();
    lines
}

async fn dump() -> StateDump {
    let bench = Bench::start().await;
    let dump = bench.running.shared.read(Instance::dump);
    bench.stop().await;
    dump
}

#[tokio::test]
async fn metrics_one_sample() {
    let receiver = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let mut settings = bench::settings(([127, 0, 0, 1], 9).into());
    settings.metrics = Some(receiver.local_addr().expect("its address"));
    let mut metrics = Metrics::new(&settings);
    let mut dump = dump().await;
    dump.ready = true;
    dump.relay = true;
    dump.router.calls = 40;
    dump.router.refused = 3;
    dump.membership.bytes_sent = 900;
    dump.membership.bytes_received = 0;
    dump.distribution.log_reads = 0;
    metrics.send(&dump);
    insta::assert_snapshot!("first", lines(&receiver).join("\n"));
    dump.router.calls = 47;
    metrics.send(&dump);
    let second = lines(&receiver);
    let counters: Vec<&String> = second.iter().filter(|line| line.contains("|c")).collect();
    assert_eq!(counters.len(), 1, "only what grew: {counters:?}");
    assert!(counters[0].starts_with("cyclamen.calls:7|c"), "{counters:?}");
}

#[tokio::test]
async fn metrics_off_by_default() {
    let receiver = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let settings = bench::settings(([127, 0, 0, 1], 9).into());
    Metrics::new(&settings).send(&dump().await);
    assert!(lines(&receiver).is_empty());
}
