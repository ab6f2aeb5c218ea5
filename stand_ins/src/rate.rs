//! A token bucket.

use std::time::Instant;

use crate::number::whole;

#[derive(Debug)]
pub(crate) struct Bucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    pub fn new(per_second: f64, burst: f64) -> Self {
        Self {
            per_second,
            burst,
            tokens: burst,
            filled: Instant::now(),
        }
    }

    pub fn set(&mut self, per_second: f64, burst: f64) {
        self.fill();
        (self.per_second, self.burst) = (per_second, burst);
    }

    /// Takes a token; the error is the time in milliseconds until there is one.
    pub fn take(&mut self) -> Result<(), u64> {
        self.fill();
        if self.tokens < 1.0 {
            return Err(whole(
                ((1.0 - self.tokens) / self.per_second * 1000.0).ceil(),
            ));
        }
        self.tokens -= 1.0;
        Ok(())
    }

    fn fill(&mut self) {
        let passed = self.filled.elapsed().as_secs_f64();
        self.filled = Instant::now();
        self.tokens = (self.tokens + passed * self.per_second).min(self.burst);
    }
}
