//! Tests of the log queue.

use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};

use super::*;

/// An output whose every write blocks until the test permits it.
struct BlockedOutput {
    permits: std::sync::mpsc::Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let closed = |_error| io::Error::from(io::ErrorKind::BrokenPipe);
        self.permits.recv().map_err(closed)?;
        self.written
            .send(buf.to_vec())
            .map_err(|_error| io::ErrorKind::BrokenPipe)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against all requests of a node blocking when the reader of its standard output stops
/// reading: the pipe fills up, and threads that serve requests would block in writing log lines.
#[test]
fn stalled_output_does_not_block_logging() {
    let (permits, permit_receiver) = channel();
    let (written, batches) = channel();
    let mut queue = Queue::start(BlockedOutput {
        permits: permit_receiver,
        written,
    });
    let started = Instant::now();
    for _ in 0..10_000 {
        queue
            .write_all(b"{\"event\":\"x\"}\n")
            .expect("a line is queued or dropped");
    }
    assert!(started.elapsed() < Duration::from_secs(5));
    for _ in 0..200 {
        permits.send(()).expect("the writer thread is running");
    }
    let timeout = Duration::from_secs(10);
    let mut text = String::new();
    while !text.contains("log_lines_left_out") {
        let batch = batches
            .recv_timeout(timeout)
            .expect("the writer thread writes a batch");
        text.push_str(&String::from_utf8_lossy(&batch));
    }
    let kept = text
        .lines()
        .filter(|line| line.contains("\"event\":\"x\""))
        .count();
    assert!(
        kept <= QUEUE_CAPACITY_LINES + BATCH_BYTES / 14 + 2,
        "{kept}"
    );
    assert!(text.contains("queue_full"));
}
