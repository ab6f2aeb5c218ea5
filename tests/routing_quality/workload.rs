//! Conversations that grow behind shared instructions, and questions about shared documents.

use rand::Rng;
use rand::rngs::SmallRng;
use teaselline::routing::chain::BLOCK_TOKENS;
use teaselline::time::TimeMs;

/// What callers do.
#[derive(Clone, Copy)]
pub struct Workload {
    pub conversations: usize,
    /// Different instructions at the front of conversations.
    pub instructions: u64,
    pub instruction_tokens: u64,
    /// Different documents that single questions are asked about.
    pub documents: u64,
    pub document_tokens: u64,
    /// Part of the conversations that are single questions.
    pub questions: f64,
    pub think_ms: u64,
    /// One in so many times all callers start anew together; 0 for never.
    pub burst_every_ms: u64,
}

impl Default for Workload {
    fn default() -> Self {
        Self {
            conversations: 280,
            instructions: 5,
            instruction_tokens: 1_024,
            documents: 20,
            document_tokens: 2_048,
            questions: 0.3,
            think_ms: 4_000,
            burst_every_ms: 0,
        }
    }
}

/// One request of a caller.
#[derive(Clone)]
pub struct Turn {
    pub at_ms: TimeMs,
    pub conversation: usize,
    pub node: usize,
    pub key: u64,
    pub blocks: Vec<u64>,
    pub prompt_tokens: u64,
    pub answer_tokens: u64,
}

/// A caller that asks one request after another.
pub struct Caller {
    key: u64,
    shared: (u64, u64),
    prompt_tokens: u64,
    turns_left: u32,
}

impl Caller {
    pub fn new(workload: &Workload, rng: &mut SmallRng) -> Self {
        let question = rng.random_bool(workload.questions);
        // Some instructions and documents are used far more than others.
        let skewed = |most: u64, rng: &mut SmallRng| {
            let draw: f64 = rng.random();
            (draw * draw * most as f64) as u64
        };
        let (shared, turns_left) = if question {
            let document = 1_000 + skewed(workload.documents, rng);
            ((document, workload.document_tokens), 1)
        } else {
            let instruction = skewed(workload.instructions, rng);
            (
                (instruction, workload.instruction_tokens),
                rng.random_range(3..=10),
            )
        };
        Self {
            key: rng.random(),
            shared,
            prompt_tokens: shared.1,
            turns_left,
        }
    }

    pub fn ended(&self) -> bool {
        self.turns_left == 0
    }

    pub fn next(&mut self, at_ms: TimeMs, index: usize, nodes: usize, rng: &mut SmallRng) -> Turn {
        self.turns_left -= 1;
        self.prompt_tokens += rng.random_range(50..=400);
        let answer_tokens = rng.random_range(50..=250);
        let turn = Turn {
            at_ms,
            conversation: index,
            node: rng.random_range(0..nodes),
            key: self.key,
            blocks: self.blocks(),
            prompt_tokens: self.prompt_tokens,
            answer_tokens,
        };
        // The answer becomes part of the next prompt.
        self.prompt_tokens += answer_tokens;
        turn
    }

    fn blocks(&self) -> Vec<u64> {
        let shared = self.shared.1 / BLOCK_TOKENS;
        let block = |depth: u64| {
            let seed = if depth < shared {
                self.shared.0
            } else {
                self.key
            };
            twox_hash::XxHash3_64::oneshot_with_seed(seed, &depth.to_le_bytes())
        };
        (0..self.prompt_tokens / BLOCK_TOKENS).map(block).collect()
    }
}
