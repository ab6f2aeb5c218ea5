//! What a script saw, line by line, in the order of time.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    pub fn note(&self, line: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock(), "{at:9.3} {line}");
    }
}
