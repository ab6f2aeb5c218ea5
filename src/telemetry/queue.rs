//! A bounded queue between those who log and the output.
//!
//! Whoever reads standard output may stand still; a write to a full pipe would then hold up the
//! request that logs. Lines wait in a queue that a thread of its own writes out, and are left out
//! and counted when it is full.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

/// Lines that may wait: some seconds' worth at the bounds of volume, about 2 MB.
const QUEUED_LINES: usize = 4_096;

/// Lines that are written at once.
const BATCH_BYTES: usize = 64 * 1024;

/// The end of the queue for those who log.
#[derive(Debug)]
pub(super) struct Queue {
    lines: SyncSender<Vec<u8>>,
    left_out: Arc<AtomicU64>,
}

impl Queue {
    /// A queue that a thread writes to `out` for as long as the program runs.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let (sender, receiver) = sync_channel(QUEUED_LINES);
        let left_out = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&left_out);
        thread::spawn(move || drain(&receiver, &counted, out));
        Self {
            lines: sender,
            left_out,
        }
    }
}

impl Write for Queue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(buf.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.left_out.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn drain(lines: &Receiver<Vec<u8>>, left_out: &AtomicU64, mut out: impl Write) {
    while let Ok(first) = lines.recv() {
        let mut batch = first;
        while batch.len() < BATCH_BYTES
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
        }
        let count = left_out.swap(0, Ordering::Relaxed);
        if count > 0 {
            let line = serde_json::json!({
                "level": "warn", "event": "log_lines_left_out", "reason": "queue_full", "count": count,
            });
            batch.extend_from_slice(line.to_string().as_bytes());
            batch.push(b'\n');
        }
        // There is no one to tell if the output is gone.
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
