//! The load report, with a lag.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::number::float;

/// Samples closer together than this are merged.
const SAMPLE_MS: u64 = 10;
const MAX_SAMPLES: usize = 2048;
const RATE_WINDOW_MS: u64 = 1000;

/// What an engine reports about its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// When this was so.
    pub as_of_ms: u64,
    /// Streams that run.
    pub running: usize,
    /// Streams that wait.
    pub queued: usize,
    /// Streams that may run at once.
    pub slots: usize,
    /// Tokens generated per second, over the last second.
    pub tokens_per_second: f64,
    /// Tokens that streams and cache hold.
    pub kv_tokens_used: u64,
    /// Tokens that there is room for.
    pub kv_tokens_capacity: u64,
    /// Whether the engine takes no new streams.
    pub leaving: bool,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sample {
    pub at_ms: u64,
    pub running: usize,
    pub queued: usize,
    pub kv_tokens_used: u64,
    /// Generated since the engine's start.
    pub generated_tokens: u64,
}

#[derive(Debug)]
pub(crate) struct LoadHistory {
    slots: usize,
    kv_tokens_capacity: u64,
    samples: VecDeque<Sample>,
}

impl LoadHistory {
    pub fn new(slots: usize, kv_tokens_capacity: u64) -> Self {
        Self {
            slots,
            kv_tokens_capacity,
            samples: VecDeque::from([Sample::default()]),
        }
    }

    pub fn sample(&mut self, sample: Sample) {
        match self.samples.back_mut() {
            Some(last) if sample.at_ms < last.at_ms + SAMPLE_MS => {
                *last = Sample {
                    at_ms: last.at_ms,
                    ..sample
                };
            }
            _ => self.samples.push_back(sample),
        }
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// The load as it was at `as_of_ms`.
    pub fn report(&self, as_of_ms: u64, leaving: bool) -> Load {
        let then = self.at(as_of_ms);
        let before = self.at(as_of_ms.saturating_sub(RATE_WINDOW_MS));
        let generated = then.generated_tokens - before.generated_tokens;
        Load {
            as_of_ms,
            running: then.running,
            queued: then.queued,
            slots: self.slots,
            tokens_per_second: float(generated) * 1000.0 / float(RATE_WINDOW_MS),
            kv_tokens_used: then.kv_tokens_used,
            kv_tokens_capacity: self.kv_tokens_capacity,
            leaving,
        }
    }

    fn at(&self, at_ms: u64) -> Sample {
        let after = self.samples.partition_point(|sample| sample.at_ms <= at_ms);
        self.samples[after.saturating_sub(1)]
    }
}
