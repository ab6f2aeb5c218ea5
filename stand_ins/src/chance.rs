//! Seeded chance: what goes wrong is the same in each run with the same seed.

use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};

#[derive(Debug)]
pub(crate) struct Chance(Mutex<SmallRng>);

impl Chance {
    pub fn new(seed: u64) -> Self {
        Self(Mutex::new(SmallRng::seed_from_u64(seed)))
    }

    /// Whether something of this probability happens now.
    pub fn happens(&self, probability: f64) -> bool {
        self.0.lock().random_bool(probability.clamp(0.0, 1.0))
    }
}
