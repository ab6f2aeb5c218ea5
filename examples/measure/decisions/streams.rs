//! A node's streams on the hosts of a failure domain that is reclaimed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use teaselline::keys::{DomainKey, HostKey, Incarnation, ModelKey};
use teaselline::reclaim::{
    Notice, Progress, ReclaimView, Settings, StreamKey, StreamOnHost, Target, plan,
};
use teaselline::time::TimeMs;

const NOW: TimeMs = TimeMs(1_000_000_000);
const NOTICE_MS: u64 = 10_000;
const NODES: u32 = 340;
const DOMAINS: u16 = 18;

/// Hosts of one failure domain: 5,100 in 18.
const NOTICES: u64 = 283;

/// A failure domain's hosts under notice, with this node's streams on them.
#[derive(Debug)]
pub struct Wave {
    notices: Vec<Notice>,
    streams: Vec<StreamOnHost>,
    targets: Vec<Target>,
}

impl Wave {
    pub fn new(streams: u32, targets: u64, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let notices = (0..NOTICES).map(|host| Notice {
            host: HostKey(host),
            domain: DomainKey(0),
            received_at_ms: NOW,
            leave_at_ms: NOW.after(NOTICE_MS),
            kv_bytes_per_second: 5e9,
            total_streams: 16,
            queued: 0,
        });
        let targets = (0..targets).map(|index| Target {
            host: HostKey(NOTICES + index),
            domain: DomainKey(1 + u16::try_from(index).unwrap_or(0) % (DOMAINS - 1)),
            models: vec![ModelKey(0)],
            free_slots: rng.random_range(0..6),
            queued: 0,
            kv_tokens_free: rng.random_range(0..100_000),
            kv_bytes_per_second: 5e9,
            prefill_tokens_per_second: 20_000.0,
        });
        let targets = targets.collect();
        let streams = (0..streams).map(|key| stream(&mut rng, key));
        Self {
            notices: notices.collect(),
            streams: streams.collect(),
            targets,
        }
    }

    /// One plan; the number of its moves.
    pub fn plan(&self) -> usize {
        let view = ReclaimView {
            node: Incarnation(1),
            node_rank: 0,
            nodes: NODES,
            notices: &self.notices,
            streams: &self.streams,
            targets: &self.targets,
            settings: Settings::default(),
        };
        plan(&view, NOW).moves.len()
    }
}

fn stream(rng: &mut SmallRng, key: u32) -> StreamOnHost {
    let prompt_tokens = rng.random_range(200..8_000);
    let generated_tokens = rng.random_range(0..1_000);
    StreamOnHost {
        stream: StreamKey(key),
        host: HostKey(rng.random_range(0..NOTICES)),
        model: ModelKey(0),
        prompt_tokens,
        generated_tokens,
        remaining_tokens_max: rng.random_range(1..2_000),
        tokens_per_second: 25.0,
        priority: rng.random_range(0..10),
        idempotent: rng.random_bool(0.9),
        kv_bytes: u64::from(prompt_tokens + generated_tokens) * 100_000,
        cached_on: None,
        progress: Progress::Running,
    }
}
