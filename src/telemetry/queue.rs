//! A bounded queue between the logger and the thread that writes the output.
//!
//! If the reader of standard output stalls, a write to the full pipe blocks. Lines are queued for a
//! writer thread, so that requests never block on logging; a full queue drops and counts lines.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

/// Capacity of the queue: about 2 MB, or several seconds of lines at the rate limits.
const QUEUE_CAPACITY_LINES: usize = 4_096;

/// Batch size at which the writer thread stops adding lines and writes.
const BATCH_BYTES: usize = 64 * 1024;

/// The logger's end of the queue; writes never block.
#[derive(Debug)]
pub(super) struct Queue {
    lines: SyncSender<Vec<u8>>,
    dropped_lines: Arc<AtomicU64>,
}

impl Queue {
    /// Starts a thread that writes queued lines to `out` until a write fails or the queue is dropped.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let (sender, receiver) = sync_channel(QUEUE_CAPACITY_LINES);
        let dropped_lines = Arc::new(AtomicU64::new(0));
        let dropped = Arc::clone(&dropped_lines);
        thread::spawn(move || drain(&receiver, &dropped, out));
        Self {
            lines: sender,
            dropped_lines,
        }
    }
}

impl Write for Queue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(buf.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped_lines.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines in batches, each followed by a report of the lines dropped since the last.
fn drain(lines: &Receiver<Vec<u8>>, dropped_lines: &AtomicU64, mut out: impl Write) {
    while let Ok(first) = lines.recv() {
        let mut batch = first;
        while batch.len() < BATCH_BYTES
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
        }
        let count = dropped_lines.swap(0, Ordering::Relaxed);
        if count > 0 {
            let line = serde_json::json!({
                "level": "warn", "event": "log_lines_left_out", "reason": "queue_full", "count": count,
            });
            batch.extend_from_slice(line.to_string().as_bytes());
            batch.push(b'\n');
        }
        // A failed write cannot be logged: this thread writes the log.
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
