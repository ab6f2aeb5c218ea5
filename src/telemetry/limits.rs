//! Rate limits of log lines per kind, with counts of the lines dropped.
//!
//! Under overload or attack, a log line for each request would cost more than serving it. Successful
//! requests have a lower limit than other lines, because failures are needed for diagnosis.

/// Maximum lines per second for successful requests.
const MAX_SUCCESS_LINES_PER_S: u32 = 60;

/// Maximum lines per second for each other kind.
const MAX_OTHER_LINES_PER_S: u32 = 120;

/// The kind of the line that ends a successful request.
pub(super) const SUCCESS_KIND: &str = "request_ended/answered";

/// Counters of one kind of line in the current second.
#[derive(Clone, Debug, PartialEq, Eq)]
struct KindCounters {
    name: String,
    second: u64,
    lines: u32,
    dropped_lines: u64,
}

/// Fixed-window rate limiter with a window of one second per kind of line.
#[derive(Debug, Default)]
pub(super) struct RateLimits {
    /// Sorted by name.
    kinds: Vec<KindCounters>,
}

impl RateLimits {
    /// Counts a line of the kind `name` and returns whether it is within the limit.
    pub fn admit(&mut self, name: &str, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        let found = self
            .kinds
            .binary_search_by(|kind| kind.name.as_str().cmp(name));
        let index = found.unwrap_or_else(|index| {
            let kind = KindCounters {
                name: name.to_owned(),
                second,
                lines: 0,
                dropped_lines: 0,
            };
            self.kinds.insert(index, kind);
            index
        });
        let kind = &mut self.kinds[index];
        if kind.second != second {
            kind.second = second;
            kind.lines = 0;
        }
        let max_lines = if name == SUCCESS_KIND {
            MAX_SUCCESS_LINES_PER_S
        } else {
            MAX_OTHER_LINES_PER_S
        };
        if kind.lines >= max_lines {
            kind.dropped_lines += 1;
            return false;
        }
        kind.lines += 1;
        true
    }

    /// Returns the number of dropped lines of each kind with drops, and resets the counts.
    pub fn take_dropped_counts(&mut self) -> Vec<(String, u64)> {
        let kinds = self.kinds.iter_mut().filter(|kind| kind.dropped_lines > 0);
        kinds
            .map(|kind| (kind.name.clone(), std::mem::take(&mut kind.dropped_lines)))
            .collect()
    }
}

#[cfg(test)]
mod tests;
