//! Long streams, as reports and ledgers are: what a reclaim, a stop or a crash has to move.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use teaselline::client::call::{Call, CallContent};

/// Text that prompts are filled up with, four bytes to a token.
const FILLING: &str = "reel 14, frame 0127: scratch along the left edge, emulsion lifted; ";

/// What streams are asked for.
#[derive(Clone, Debug)]
pub struct Streams {
    /// How many.
    pub count: usize,
    /// Tokens of the shortest and of the longest prompt.
    pub prompt_tokens: (u32, u32),
    /// Tokens of the shortest and of the longest answer.
    pub answer_tokens: (u32, u32),
    /// Part of them that is marked non-idempotent.
    pub non_idempotent_part: f64,
    /// The latency class.
    pub latency_class: &'static str,
    /// Seeds the sizes.
    pub seed: u64,
}

impl Streams {
    /// The calls, each with a prompt of its own.
    pub fn calls(&self) -> Vec<Call> {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        (0..self.count)
            .map(|index| self.call(index, &mut rng))
            .collect()
    }

    fn call(&self, index: usize, rng: &mut SmallRng) -> Call {
        let (least, most) = self.prompt_tokens;
        let prompt_bytes = rng.random_range(least..=most) as usize * 4;
        let mut prompt = format!("Damage report {index} of run {}. ", self.seed);
        while prompt.len() < prompt_bytes {
            prompt.push_str(FILLING);
        }
        prompt.truncate(prompt_bytes);
        let (least, most) = self.answer_tokens;
        let content = CallContent::Completion {
            model: "newsreel-damage".to_owned(),
            prompt,
            max_tokens: rng.random_range(least..=most),
            latency_class: Some(self.latency_class.to_owned()),
        };
        Call::new(content).with_idempotent(!rng.random_bool(self.non_idempotent_part))
    }
}
