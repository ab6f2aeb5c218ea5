//! How fast the engines of a pool are, learned from the requests that they answer.
//!
//! Two linear models are fitted online: the time to a first token by what has to be read before it
//! and by the batch, and the pause between two events of a stream by the batch. A deployment's
//! engines may read seven tokens in a millisecond or 150; whatever decides by a constant is wrong
//! on most of them. Observations are weighed down the older they are, so that a slower engine type
//! is learned within some hundred requests.

use bincode::{Decode, Encode};

use super::fit::{Fit, Prior};
use super::num;
use super::peers::FORGET_MS;
use super::upstreams::tag;
use crate::time::TimeMs;

/// Prior of the time to the first token of an empty prompt, in ms: the engines in use need 20 to 60.
const FIRST_MS: Prior = Prior {
    mean: 30.0,
    deviation: 30.0,
    least: 1.0,
    most: 2_000.0,
};

/// Prior of the time to read 1,000 tokens, in ms: 45 tokens a ms; engines in use read 38 to 92.
const READ_1000_MS: Prior = Prior {
    mean: 22.0,
    deviation: 30.0,
    least: 1.0,
    most: 1_000.0,
};

/// Prior of what each other request of a batch adds to a first token, in ms: a step of 3.8 to 4.6 ms
/// grows by 0.09 to 0.15 ms.
const CROWDING_MS: Prior = Prior {
    mean: 0.9,
    deviation: 1.0,
    least: 0.0,
    most: 50.0,
};

/// Prior of the pause between two events of a lone stream, in ms: three to six steps of about 4 ms.
const PAUSE_MS: Prior = Prior {
    mean: 20.0,
    deviation: 30.0,
    least: 0.5,
    most: 5_000.0,
};

/// Prior of what each other request of a batch adds to a pause, in ms.
const PAUSE_CROWDING_MS: Prior = Prior {
    mean: 0.6,
    deviation: 1.0,
    least: 0.0,
    most: 200.0,
};

/// How far times to a first token usually lie from what was expected, in ms.
const FIRST_NOISE_MS: f64 = 40.0;

/// How far pauses, averaged over a stream, usually lie from what was expected, in ms.
const PAUSE_NOISE_MS: f64 = 10.0;

/// Requests until what was learned counts for sizing; before, priors are as good.
const LEARNED_AFTER: u64 = 30;

/// How long a request holds its slot until any has ended, in ms.
const PRIOR_HELD_MS: f64 = 1_000.0;

/// A slot that is held for longer counts as held for this long.
const LONGEST_HELD_MS: u64 = 60_000;

/// Weight of the newest request in the mean time that slots are held.
const NEWEST_WEIGHT: f64 = 0.02;

/// What engines of one pool are taken to do now.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) struct Pace {
    /// First token of an empty prompt on an idle engine.
    pub first_ms: f64,
    pub read_tokens_per_ms: f64,
    /// Added to a first token by each other request of the batch.
    pub crowding_ms: f64,
    /// Between two events of a lone stream.
    pub pause_ms: f64,
    /// Added to a pause by each other request of the batch.
    pub pause_crowding_ms: f64,
    /// How long a request holds its slot, on average.
    pub held_ms: f64,
    /// Whether enough requests have been seen.
    pub is_learned: bool,
}

/// What is learned of the engines of one pool.
#[derive(Clone, Debug)]
pub(crate) struct EngineModel {
    first: Fit<3>,
    pause: Fit<2>,
    held_ms: f64,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            first: Fit::new([FIRST_MS, READ_1000_MS, CROWDING_MS], FIRST_NOISE_MS),
            pause: Fit::new([PAUSE_MS, PAUSE_CROWDING_MS], PAUSE_NOISE_MS),
            held_ms: PRIOR_HELD_MS,
        }
    }
}

impl EngineModel {
    /// Takes in a first token that came after `took_ms`, with so many tokens to read before it and
    /// so many other requests there when it was sent.
    pub fn note_first(&mut self, waiting_tokens: u64, running: u32, took_ms: u64) {
        let inputs = [1.0, num::real(waiting_tokens) / 1_000.0, f64::from(running)];
        self.first.note(inputs, num::real(took_ms));
    }

    /// Takes in the mean pause of a stream, with so many other requests there, and how long it held
    /// its slot.
    pub fn note_stream(&mut self, mean_pause_ms: f64, running: u32, held_ms: u64) {
        self.pause.note([1.0, f64::from(running)], mean_pause_ms);
        let held_ms = num::real(held_ms.min(LONGEST_HELD_MS));
        self.held_ms += NEWEST_WEIGHT * (held_ms - self.held_ms);
    }

    /// What is known now.
    pub fn pace(&self) -> Pace {
        let [first_ms, read_1000_ms, crowding_ms] = self.first.coefficients();
        let [pause_ms, pause_crowding_ms] = self.pause.coefficients();
        Pace {
            first_ms,
            read_tokens_per_ms: 1_000.0 / read_1000_ms,
            crowding_ms,
            pause_ms,
            pause_crowding_ms,
            held_ms: self.held_ms,
            is_learned: self.first.count() >= LEARNED_AFTER && self.pause.count() >= LEARNED_AFTER,
        }
    }
}

/// What peers have learned of engines.
///
/// With hundreds of nodes each sees two or three requests a second, and needs ten seconds until it
/// knows an engine's pace; the strongest know it within three. Until then all engines that are allowed
/// are paid for, and a node that takes the duties over would order all of them again.
#[derive(Debug, Default)]
pub(crate) struct PeerPaces {
    /// Sorted by pool and peer.
    told: Vec<Told>,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    pool: u64,
    /// The peer's incarnation.
    peer: u64,
    at: TimeMs,
    pace: Pace,
}

impl PeerPaces {
    /// Takes in what a peer has learned of the engines of a pool.
    pub fn note(&mut self, peer: u64, pool: u64, pace: Pace, now: TimeMs) {
        let told = Told {
            pool,
            peer,
            at: now,
            pace,
        };
        let found = (self.told).binary_search_by_key(&(pool, peer), |told| (told.pool, told.peer));
        match found {
            Ok(index) => self.told[index] = told,
            Err(index) => self.told.insert(index, told),
        }
    }

    /// Forgets what was told long ago.
    pub fn forget(&mut self, now: TimeMs) {
        self.told.retain(|told| now.since(told.at) < FORGET_MS);
    }

    /// The middle of what peers, and this node if it has, have learned of a pool's engines, figure by
    /// figure: one node with odd requests, or a foreign datagram, moves it little.
    pub fn middle(&self, pool: &str, own: Option<Pace>, now: TimeMs) -> Option<Pace> {
        let pool = tag(pool);
        let first = self.told.partition_point(|told| told.pool < pool);
        let of_pool = (self.told[first..].iter()).take_while(|told| told.pool == pool);
        let recent = of_pool.filter(|told| now.since(told.at) < FORGET_MS);
        let paces: Vec<Pace> = recent.map(|told| told.pace).chain(own).collect();
        let middle = |figure: fn(&Pace) -> f64| {
            let mut figures: Vec<f64> = paces.iter().map(figure).collect();
            figures.sort_by(f64::total_cmp);
            figures[figures.len() / 2]
        };
        (!paces.is_empty()).then(|| Pace {
            first_ms: middle(|pace| pace.first_ms),
            read_tokens_per_ms: middle(|pace| pace.read_tokens_per_ms),
            crowding_ms: middle(|pace| pace.crowding_ms),
            pause_ms: middle(|pace| pace.pause_ms),
            pause_crowding_ms: middle(|pace| pace.pause_crowding_ms),
            held_ms: middle(|pace| pace.held_ms),
            is_learned: true,
        })
    }
}

#[cfg(test)]
mod tests;
