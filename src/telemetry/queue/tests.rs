use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};

use super::*;

/// An output that stands still until it is told to go on.
struct Stuck {
    go_on: std::sync::mpsc::Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let gone = |_error| io::Error::from(io::ErrorKind::BrokenPipe);
        self.go_on.recv().map_err(gone)?;
        self.written
            .send(buf.to_vec())
            .map_err(|_error| io::ErrorKind::BrokenPipe)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Symptom: all requests of a node stand still.
/// Sequence: whoever reads its standard output stops reading; the pipe fills up.
/// Cause: the thread that answers requests wrote log lines itself.
#[test]
fn a_reader_that_stands_still_holds_up_nothing() {
    let (go_on, stuck) = channel();
    let (written, read) = channel();
    let mut queue = Queue::start(Stuck {
        go_on: stuck,
        written,
    });
    let started = Instant::now();
    for _ in 0..10_000 {
        queue
            .write_all(b"{\"event\":\"x\"}\n")
            .expect("queued or left out");
    }
    assert!(started.elapsed() < Duration::from_secs(5));
    for _ in 0..200 {
        go_on.send(()).expect("the writer waits");
    }
    let patience = Duration::from_secs(10);
    let mut text = String::new();
    while !text.contains("log_lines_left_out") {
        let batch = read.recv_timeout(patience).expect("lines are written");
        text.push_str(&String::from_utf8_lossy(&batch));
    }
    let kept = text
        .lines()
        .filter(|line| line.contains("\"event\":\"x\""))
        .count();
    assert!(kept <= QUEUED_LINES + BATCH_BYTES / 14 + 2, "{kept}");
    assert!(text.contains("queue_full"));
}
