//! A bounded queue of lines and a thread that writes it, so that a slow reader holds up nobody.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// Lines that wait to be written at most.
const QUEUED_LINES: usize = 1_024;

/// Queues lines for the thread that writes them.
#[derive(Clone, Debug)]
pub struct BoundedWriter {
    tx: SyncSender<String>,
    lost: Arc<AtomicU64>,
}

impl BoundedWriter {
    /// Writes to `out` from a thread of its own, which ends with the last writer.
    ///
    /// # Errors
    /// No thread could be started.
    pub fn start(out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (tx, rx) = sync_channel(QUEUED_LINES);
        let lost = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&lost);
        std::thread::Builder::new()
            .name("lines".into())
            .spawn(move || write_lines(&rx, out, &counter))?;
        Ok(Self { tx, lost })
    }

    /// Queues a line without its line feed; one that finds the queue full is counted as lost.
    pub fn put(&self, line: String) {
        if self.tx.try_send(line).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Lines lost since the last call of this.
    pub fn take_lost(&self) -> u64 {
        self.lost.swap(0, Ordering::Relaxed)
    }
}

fn write_lines(rx: &Receiver<String>, mut out: impl Write, lost: &AtomicU64) {
    while let Ok(mut text) = rx.recv() {
        let mut lines = 1;
        text.push('\n');
        while let Ok(next) = rx.try_recv() {
            text += &next;
            text.push('\n');
            lines += 1;
        }
        if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
            lost.fetch_add(lines, Ordering::Relaxed);
        }
    }
}
