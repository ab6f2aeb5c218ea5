//! Engines in fast time: slots, prompt computing one after another, a limited prefix cache, load
//! reports and cache events.

use std::collections::{BTreeMap, HashMap, VecDeque};

use teaselline::blackboard::LoadReport;
use teaselline::routing::chain::BLOCK_TOKENS;
use teaselline::time::TimeMs;
use teaselline::upstreams::{CacheEvent, CacheEventKind};

pub const SLOTS: u32 = 16;
pub const PREFILL_TOKENS_PER_SECOND: f64 = 8_000.0;
pub const TOKEN_MS: u64 = 30;
pub const CACHE_BLOCKS: usize = 1_000;

/// Blocks in the order of their last use, the deepest of a chain first to go.
#[derive(Default)]
pub struct PrefixCache {
    by_use: BTreeMap<u64, u64>,
    uses: HashMap<u64, u64>,
    clock: u64,
}

impl PrefixCache {
    pub fn cached_blocks(&self, blocks: &[u64]) -> u64 {
        blocks
            .iter()
            .take_while(|block| self.uses.contains_key(block))
            .count() as u64
    }

    /// Stores a chain; gives the blocks stored and evicted.
    fn store(&mut self, blocks: &[u64]) -> Vec<(CacheEventKind, u64)> {
        let mut changes = Vec::new();
        for block in blocks.iter().rev() {
            self.clock += 1;
            match self.uses.insert(*block, self.clock) {
                Some(before) => {
                    self.by_use.remove(&before);
                }
                None => changes.push((CacheEventKind::Stored, *block)),
            }
            self.by_use.insert(self.clock, *block);
        }
        while self.uses.len() > CACHE_BLOCKS {
            let (_, block) = self.by_use.pop_first().unwrap();
            self.uses.remove(&block);
            changes.push((CacheEventKind::Evicted, block));
        }
        changes
    }
}

/// A request on an engine.
#[derive(Clone)]
pub struct Job {
    pub request: usize,
    pub blocks: Vec<u64>,
    pub prompt_tokens: u64,
    pub answer_tokens: u64,
}

/// What an engine does with a job that starts.
pub struct Started {
    pub job: Job,
    pub cached_tokens: u64,
    pub first_token_ms: TimeMs,
    pub ends_ms: TimeMs,
}

#[derive(Default)]
pub struct Engine {
    pub cache: PrefixCache,
    pub running: u32,
    pub queue: VecDeque<Job>,
    pub prefill_free_ms: u64,
    pub computed_tokens: u64,
    reports: VecDeque<LoadReport>,
    pub events: Vec<CacheEvent>,
}

impl Engine {
    pub fn push(&mut self, job: Job) {
        self.queue.push_back(job);
    }

    /// Starts the next job if a slot is free.
    pub fn start_next(&mut self, now: TimeMs) -> Option<Started> {
        if self.running >= SLOTS {
            return None;
        }
        let job = self.queue.pop_front()?;
        self.running += 1;
        let cached_tokens = self.cache.cached_blocks(&job.blocks) * BLOCK_TOKENS;
        let uncached = job.prompt_tokens.saturating_sub(cached_tokens);
        self.computed_tokens += uncached;
        let prefill_ms = (uncached as f64 * 1_000.0 / PREFILL_TOKENS_PER_SECOND).ceil() as u64;
        let computed_ms = self.prefill_free_ms.max(now.0) + prefill_ms;
        self.prefill_free_ms = computed_ms;
        for (kind, block) in self.cache.store(&job.blocks) {
            let sequence = self.events.len() as u64;
            self.events.push(CacheEvent {
                sequence,
                kind,
                block,
                as_of_ms: now,
            });
        }
        Some(Started {
            cached_tokens,
            first_token_ms: TimeMs(computed_ms + TOKEN_MS),
            ends_ms: TimeMs(computed_ms + TOKEN_MS * job.answer_tokens),
            job,
        })
    }

    pub fn report(&self, now: TimeMs) -> LoadReport {
        LoadReport {
            as_of_ms: now,
            running: self.running,
            queued: self.queue.len() as u32,
            slots: SLOTS,
            tokens_per_second: 0.0,
            kv_tokens_used: 0,
            kv_tokens_capacity: CACHE_BLOCKS as u64 * BLOCK_TOKENS,
        }
    }

    /// Notes a report and gives the one that is `lag_ms` old.
    pub fn late_report(&mut self, now: TimeMs, lag_ms: u64) -> Option<LoadReport> {
        let report = self.report(now);
        self.reports.push_back(report);
        let mut late = None;
        while self
            .reports
            .front()
            .is_some_and(|held| now.since(held.as_of_ms) >= lag_ms)
        {
            late = self.reports.pop_front();
        }
        late
    }
}
