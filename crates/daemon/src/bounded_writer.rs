//! Writes lines from a thread of its own, fed by a bounded queue, so that a slow reader of the
//! output does not block the daemon. Lines that do not fit into the queue are dropped and counted.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// Largest number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 1_024;

/// Queues lines for the thread that writes them. Clones share the queue and the counter.
#[derive(Clone, Debug)]
pub struct BoundedWriter {
    sender: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl BoundedWriter {
    /// Starts a thread that writes to `out`. It ends when the last clone of the writer is dropped.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        std::thread::Builder::new()
            .name("lines".into())
            .spawn(move || write_lines(&receiver, out, &counter))?;
        Ok(Self { sender, dropped })
    }

    /// Queues a line, given without its line feed. If the queue is full, the line is dropped and
    /// counted.
    pub fn queue_line(&self, line: String) {
        if self.sender.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of lines dropped since the last call, and resets it. A line is dropped if
    /// the queue is full or its write fails.
    pub fn take_dropped_count(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }
}

fn write_lines(receiver: &Receiver<String>, mut out: impl Write, dropped: &AtomicU64) {
    while let Ok(mut text) = receiver.recv() {
        let mut lines = 1;
        text.push('\n');
        while let Ok(next) = receiver.try_recv() {
            text += &next;
            text.push('\n');
            lines += 1;
        }
        if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
            dropped.fetch_add(lines, Ordering::Relaxed);
        }
    }
}
