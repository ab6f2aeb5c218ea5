//! KV cache that has left a stream, and the link that it is moved over.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::text::prompt_tokens;
use crate::number::{float, whole};

/// An exported cache, as engines hand it to each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Kv {
    pub handle: String,
    pub bytes: u64,
    pub tokens: u64,
    pub position: u64,
    /// The text that it covers.
    pub text: String,
    pub at_ms: u64,
}

#[derive(Debug, Default)]
pub(crate) struct KvStore {
    kept: HashMap<String, Kv>,
    made: u64,
    link_free_ms: u64,
}

impl KvStore {
    /// The number of the next handle.
    pub fn next_number(&mut self) -> u64 {
        self.made += 1;
        self.made
    }

    pub fn keep(&mut self, kv: Kv) {
        self.kept.insert(kv.handle.clone(), kv);
    }

    pub fn get(&self, handle: &str) -> Option<Kv> {
        self.kept.get(handle).cloned()
    }

    /// How many tokens of `text` the cache under `handle` covers.
    pub fn covered_tokens(&self, handle: &str, text: &[u8]) -> u64 {
        let Some(kv) = self.kept.get(handle) else {
            return 0;
        };
        let covered = kv.text.as_bytes();
        match () {
            () if text.starts_with(covered) => prompt_tokens(covered.len()),
            () if covered.starts_with(text) => prompt_tokens(text.len()),
            () => 0,
        }
    }

    /// Takes the link for a transfer after those under way; gives the time it ends.
    pub fn reserve_link(&mut self, bytes: u64, bytes_per_second: f64, now_ms: u64) -> u64 {
        let takes_ms = whole((float(bytes) * 1000.0 / bytes_per_second).ceil());
        self.link_free_ms = self.link_free_ms.max(now_ms) + takes_ms;
        self.link_free_ms
    }

    pub fn purge(&mut self, before_ms: u64) {
        self.kept.retain(|_, kv| kv.at_ms >= before_ms);
    }
}
