//! What this node has sent to an upstream since the upstream's last load report.

use crate::time::TimeMs;

/// Width of one bucket.
const BUCKET_MS: u64 = 125;
/// Buckets kept: 4 s, twice the lag of load reports that the design expects.
const BUCKETS: usize = 32;

/// Weight of the newest first token.
const EXCESS_STEP: f64 = 0.5;
/// Over so long what a first token told fades.
const EXCESS_FADES_MS: f64 = 2_000.0;

/// Streams opened and closed lately, and prompt computing still to be done.
///
/// A load report is late, so the streams that this node opened and closed after the report's time
/// are not in it. Without them a burst of requests would all go to the host that looked idle two
/// seconds ago.
#[derive(Clone, Copy, Debug)]
pub struct SentSince {
    // Streams opened less streams closed, by bucket; a ring indexed by the bucket's number.
    balance: [i16; BUCKETS],
    newest_bucket: u64,
    prefill_ms: f64,
    prefill_as_of_ms: TimeMs,
    // How much longer than expected first tokens took, and when that was last seen.
    excess_ms: f64,
    excess_as_of_ms: TimeMs,
}

impl Default for SentSince {
    fn default() -> Self {
        Self {
            balance: [0; BUCKETS],
            newest_bucket: 0,
            prefill_ms: 0.0,
            prefill_as_of_ms: TimeMs(0),
            excess_ms: 0.0,
            excess_as_of_ms: TimeMs(0),
        }
    }
}

impl SentSince {
    /// Notes a stream that was opened, with the prompt computing that it is expected to take.
    pub fn note_open(&mut self, prefill_ms: f64, now: TimeMs) {
        self.add(1, now);
        self.prefill_ms = self.prefill_backlog_ms(now) + prefill_ms;
        self.prefill_as_of_ms = now;
    }

    /// Notes how long a first token took beyond the time that its prompt was expected to take.
    ///
    /// A first token tells of this moment what the host's report tells only later, other nodes'
    /// requests included.
    pub fn note_first_token(&mut self, excess_ms: f64, now: TimeMs) {
        let held_ms = self.excess_ms(now);
        self.excess_ms = held_ms + (excess_ms.max(0.0) - held_ms) * EXCESS_STEP;
        self.excess_as_of_ms = now;
    }

    /// How much longer than expected first tokens take there now.
    #[must_use]
    pub fn excess_ms(&self, now: TimeMs) -> f64 {
        let age_ms = millis(now.since(self.excess_as_of_ms));
        self.excess_ms * (-age_ms / EXCESS_FADES_MS).exp()
    }

    /// Notes a stream that has ended.
    pub fn note_close(&mut self, now: TimeMs) {
        self.add(-1, now);
    }

    /// Notes streams that another node opened less those that it closed, at a time of its own.
    pub fn note_net(&mut self, net: i16, at_ms: TimeMs) {
        self.add(net, at_ms);
    }

    /// Streams opened less streams closed after `as_of_ms`.
    #[must_use]
    pub fn balance_since(&self, as_of_ms: TimeMs) -> i32 {
        let oldest_kept = self.newest_bucket.saturating_sub(BUCKETS as u64 - 1);
        let first = (bucket(as_of_ms) + 1).max(oldest_kept);
        (first..=self.newest_bucket)
            .map(|bucket| i32::from(self.balance[slot(bucket)]))
            .sum()
    }

    /// Prompt computing sent and not done yet, if the host does nothing else.
    #[must_use]
    pub fn prefill_backlog_ms(&self, now: TimeMs) -> f64 {
        let done_ms = millis(now.since(self.prefill_as_of_ms));
        (self.prefill_ms - done_ms).max(0.0)
    }

    fn add(&mut self, change: i16, now: TimeMs) {
        let bucket = bucket(now).max(self.newest_bucket);
        let passed = bucket - self.newest_bucket;
        if passed >= BUCKETS as u64 {
            self.balance = [0; BUCKETS];
        } else {
            for emptied in self.newest_bucket + 1..=bucket {
                self.balance[slot(emptied)] = 0;
            }
        }
        self.newest_bucket = bucket;
        let held = &mut self.balance[slot(bucket)];
        *held = held.saturating_add(change);
    }
}

fn bucket(at: TimeMs) -> u64 {
    at.0 / BUCKET_MS
}

fn slot(bucket: u64) -> usize {
    usize::try_from(bucket % BUCKETS as u64).unwrap_or_default()
}

fn millis(duration_ms: u64) -> f64 {
    // Durations that matter here are far below 2^32 ms.
    f64::from(u32::try_from(duration_ms).unwrap_or(u32::MAX))
}

#[cfg(test)]
mod tests;
