//! Tracks streams sent to an upstream since the upstream's last load report.

use crate::time::TimeMs;

/// Width of a bucket.
const BUCKET_MS: u64 = 125;
/// Number of buckets; they cover 4 s, twice the expected lag of load reports.
const BUCKETS: usize = 32;

/// Smoothing factor of `first_token_excess_ms`: the weight of the newest first token.
const EXCESS_SMOOTHING: f64 = 0.5;
/// Time constant of the exponential decay of `first_token_excess_ms`.
const EXCESS_DECAY_MS: f64 = 2_000.0;

/// Streams opened and closed recently, and prefill work still to be done.
///
/// A load report arrives late, so it lacks the streams that this node opened and closed after the
/// report's time. Without them, a burst of requests would all go to the host that looked idle two
/// seconds ago.
#[derive(Clone, Copy, Debug)]
pub struct UnreportedLoad {
    // Streams opened minus streams closed per bucket; a ring indexed by bucket number.
    net_streams: [i16; BUCKETS],
    newest_bucket: u64,
    prefill_ms: f64,
    prefill_as_of_ms: TimeMs,
    // Smoothed excess of the time to first token over the expected one, and when it was last
    // updated.
    excess_ms: f64,
    excess_as_of_ms: TimeMs,
}

impl Default for UnreportedLoad {
    fn default() -> Self {
        Self {
            net_streams: [0; BUCKETS],
            newest_bucket: 0,
            prefill_ms: 0.0,
            prefill_as_of_ms: TimeMs(0),
            excess_ms: 0.0,
            excess_as_of_ms: TimeMs(0),
        }
    }
}

impl UnreportedLoad {
    /// Records an opened stream and the prefill time that is expected for it.
    pub fn record_open(&mut self, prefill_ms: f64, now: TimeMs) {
        self.add_net_streams(1, now);
        self.prefill_ms = self.prefill_backlog_ms(now) + prefill_ms;
        self.prefill_as_of_ms = now;
    }

    /// Records by how much a time to first token exceeded the expected one.
    ///
    /// A first token reflects the host's present load, including requests of other nodes; the
    /// host's own report arrives later.
    pub fn record_first_token(&mut self, excess_ms: f64, now: TimeMs) {
        let previous_ms = self.first_token_excess_ms(now);
        self.excess_ms = previous_ms + (excess_ms.max(0.0) - previous_ms) * EXCESS_SMOOTHING;
        self.excess_as_of_ms = now;
    }

    /// Returns the current excess of the time to first token over the expected one.
    #[must_use]
    pub fn first_token_excess_ms(&self, now: TimeMs) -> f64 {
        let age_ms = duration_as_f64(now.since(self.excess_as_of_ms));
        self.excess_ms * (-age_ms / EXCESS_DECAY_MS).exp()
    }

    /// Records that a stream has ended.
    pub fn record_close(&mut self, now: TimeMs) {
        self.add_net_streams(-1, now);
    }

    /// Records the streams that another node opened minus those it closed, at a given time.
    pub fn record_net_streams(&mut self, net: i16, at_ms: TimeMs) {
        self.add_net_streams(net, at_ms);
    }

    /// Returns the streams opened minus the streams closed after `as_of_ms`.
    #[must_use]
    pub fn net_streams_since(&self, as_of_ms: TimeMs) -> i32 {
        let oldest_kept = self.newest_bucket.saturating_sub(BUCKETS as u64 - 1);
        let first = (bucket(as_of_ms) + 1).max(oldest_kept);
        (first..=self.newest_bucket)
            .map(|bucket| i32::from(self.net_streams[ring_index(bucket)]))
            .sum()
    }

    /// Returns the remaining prefill time, assuming that the host runs nothing else.
    #[must_use]
    pub fn prefill_backlog_ms(&self, now: TimeMs) -> f64 {
        let done_ms = duration_as_f64(now.since(self.prefill_as_of_ms));
        (self.prefill_ms - done_ms).max(0.0)
    }

    fn add_net_streams(&mut self, change: i16, now: TimeMs) {
        let bucket = bucket(now).max(self.newest_bucket);
        let passed = bucket - self.newest_bucket;
        if passed >= BUCKETS as u64 {
            self.net_streams = [0; BUCKETS];
        } else {
            for expired in self.newest_bucket + 1..=bucket {
                self.net_streams[ring_index(expired)] = 0;
            }
        }
        self.newest_bucket = bucket;
        let bucket_net = &mut self.net_streams[ring_index(bucket)];
        *bucket_net = bucket_net.saturating_add(change);
    }
}

fn bucket(at: TimeMs) -> u64 {
    at.0 / BUCKET_MS
}

fn ring_index(bucket: u64) -> usize {
    usize::try_from(bucket % BUCKETS as u64).unwrap_or_default()
}

fn duration_as_f64(duration_ms: u64) -> f64 {
    // Relevant durations are far below 2^32 ms; longer ones saturate.
    f64::from(u32::try_from(duration_ms).unwrap_or(u32::MAX))
}

#[cfg(test)]
mod tests;
