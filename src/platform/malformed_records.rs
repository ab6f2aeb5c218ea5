//! Remembers which records that cannot be decoded were logged.
//!
//! Such a record stays in the store, and each read of all keys returns it again. It is logged when it
//! becomes odd, or odd in another way.

use super::store::Topic;
use crate::gateway::upstreams::tag;

/// Most keys that are remembered, 16 bytes each. Records under further keys are counted and not logged.
const MAX_KEYS: usize = 8_192;

/// Whether a record that cannot be decoded is to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reporting {
    Log,
    /// It was logged before with the same reason.
    Known,
    /// Too many keys are remembered. True for the first record that is left out for that.
    LeftOut {
        is_first: bool,
    },
}

/// The keys whose records were logged, and with which reason.
#[derive(Debug, Default)]
pub(super) struct MalformedRecords {
    /// Hashes of topic and key, and of the reason; sorted.
    by_key: Vec<(u64, u64)>,
    leaves_out: bool,
}

impl MalformedRecords {
    /// Records that a record cannot be decoded; returns whether to log that.
    pub fn report(&mut self, topic: Topic, key: &str, reason: &str) -> Reporting {
        let reason = tag(reason);
        let key = key_tag(topic, key);
        match self.find(key) {
            Ok(index) if self.by_key[index].1 == reason => Reporting::Known,
            Ok(index) => {
                self.by_key[index].1 = reason;
                Reporting::Log
            }
            Err(_index) if self.by_key.len() >= MAX_KEYS => {
                let is_first = !std::mem::replace(&mut self.leaves_out, true);
                Reporting::LeftOut { is_first }
            }
            Err(index) => {
                self.by_key.insert(index, (key, reason));
                Reporting::Log
            }
        }
    }

    /// Records that the record under a key could be decoded, or that the key is gone.
    pub fn record_sound(&mut self, topic: Topic, key: &str) {
        if self.by_key.is_empty() {
            return;
        }
        if let Ok(index) = self.find(key_tag(topic, key)) {
            self.by_key.remove(index);
            self.leaves_out = false;
        }
    }

    fn find(&self, key: u64) -> Result<usize, usize> {
        self.by_key
            .binary_search_by_key(&key, |(key, _reason)| *key)
    }
}

fn key_tag(topic: Topic, key: &str) -> u64 {
    tag(&format!("{}/{key}", topic.label()))
}

#[cfg(test)]
mod tests;
