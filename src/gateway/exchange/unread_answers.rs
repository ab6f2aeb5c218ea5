//! Which of the answers that callers have not read is given up when they hold the memory: pure.
//!
//! An answer has run, so that it is kept for as long as nothing needs its memory, however slowly its caller reads. When an
//! answer of another caller waits for memory, those that make no progress go, the one without progress for
//! the longest first.

use crate::time::TimeMs;

/// An answer of which less than [`PROGRESS_BYTES`] were written in this time makes no progress.
const STALLED_MS: u64 = 1_000;

/// Least that has to be written to count as progress; a caller may read a byte now and then.
const PROGRESS_BYTES: usize = 16 * 1024;

/// Identifies an answer; later ones are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct UnreadKey(u64);

#[derive(Clone, Copy, Debug)]
struct Unread {
    key: UnreadKey,
    bytes: usize,
    /// Written since the last progress.
    written_bytes: usize,
    progress_at: TimeMs,
    is_given_up: bool,
}

/// The answers that have been read from upstreams and are not yet written.
#[derive(Debug, Default)]
pub(super) struct UnreadAnswers {
    /// Sorted by key.
    answers: Vec<Unread>,
    bytes: usize,
    last: u64,
}

impl UnreadAnswers {
    /// Records an answer that is to be written.
    pub fn enter(&mut self, bytes: usize, now: TimeMs) -> UnreadKey {
        self.last += 1;
        let key = UnreadKey(self.last);
        self.answers.push(Unread {
            key,
            bytes,
            written_bytes: 0,
            progress_at: now,
            is_given_up: false,
        });
        self.bytes += bytes;
        key
    }

    /// Records bytes that were passed to the system for an answer's caller.
    pub fn record_write(&mut self, key: UnreadKey, bytes: usize, now: TimeMs) {
        let Ok(index) = self.index(key) else {
            return;
        };
        let answer = &mut self.answers[index];
        answer.written_bytes += bytes;
        if answer.written_bytes >= PROGRESS_BYTES {
            answer.written_bytes = 0;
            answer.progress_at = now;
        }
    }

    /// Removes an answer that has been written, or whose connection has ended.
    pub fn leave(&mut self, key: UnreadKey) {
        if let Ok(index) = self.index(key) {
            self.bytes -= self.answers.remove(index).bytes;
        }
    }

    /// Whether a further answer of this length has room.
    pub fn has_room(&self, answer_bytes: usize, max_bytes: usize) -> bool {
        self.bytes == 0 || self.bytes.saturating_add(answer_bytes) <= max_bytes
    }

    /// Returns the answer that is given up for others, and records that it is.
    pub fn give_up(&mut self, now: TimeMs) -> Option<UnreadKey> {
        let stalled = self
            .answers
            .iter_mut()
            .filter(|answer| !answer.is_given_up && now.since(answer.progress_at) >= STALLED_MS);
        let longest = stalled.min_by_key(|answer| answer.progress_at)?;
        longest.is_given_up = true;
        Some(longest.key)
    }

    fn index(&self, key: UnreadKey) -> Result<usize, usize> {
        self.answers.binary_search_by_key(&key, |answer| answer.key)
    }
}

#[cfg(test)]
mod tests;
