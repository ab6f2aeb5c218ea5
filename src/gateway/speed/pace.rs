//! Learns how fast the engines of a pool are from the requests that they answer.
//!
//! Two linear models are fitted online: the time to first token over the tokens to prefill and the
//! batch size, and the gap between two events of a stream over the batch size. Engines of a
//! deployment may prefill 7 or 150 tokens per millisecond, so that no constant suits most of them.
//! Older observations weigh less, so that the model adapts to a slower engine type within some
//! hundred requests.

use bincode::{Decode, Encode};

use super::least_squares::{Prior, RecursiveLeastSquares};
use crate::gateway::num;
use crate::gateway::peers::PEER_EXPIRY_MS;
use crate::gateway::upstreams::tag;
use crate::time::TimeMs;

/// Prior of the time to first token of an empty prompt, in ms: deployed engines need 20 to 60.
const FIRST_TOKEN_MS_PRIOR: Prior = Prior {
    mean: 30.0,
    deviation: 30.0,
    min: 1.0,
    max: 2_000.0,
};

/// Prior of the time to prefill 1,000 tokens, in ms: 45 tokens per ms; deployed engines prefill 38
/// to 92.
const PREFILL_1000_MS_PRIOR: Prior = Prior {
    mean: 22.0,
    deviation: 30.0,
    min: 1.0,
    max: 1_000.0,
};

/// Prior of the increase of the time to first token per other request of the batch, in ms: a decode
/// step of 3.8 to 4.6 ms grows by 0.09 to 0.15 ms.
const CROWDING_MS_PRIOR: Prior = Prior {
    mean: 0.9,
    deviation: 1.0,
    min: 0.0,
    max: 50.0,
};

/// Prior of the gap between two events of a single stream, in ms: three to six decode steps of
/// about 4 ms.
const PAUSE_MS_PRIOR: Prior = Prior {
    mean: 20.0,
    deviation: 30.0,
    min: 0.5,
    max: 5_000.0,
};

/// Prior of the increase of the gap per other request of the batch, in ms.
const PAUSE_CROWDING_MS_PRIOR: Prior = Prior {
    mean: 0.6,
    deviation: 1.0,
    min: 0.0,
    max: 200.0,
};

/// Typical absolute residual of the time to first token, in ms.
const FIRST_TOKEN_NOISE_MS: f64 = 40.0;

/// Typical absolute residual of the mean gap of a stream, in ms.
const PAUSE_NOISE_MS: f64 = 10.0;

/// Requests until the model is used for sizing; with fewer, the priors are as accurate.
const MIN_OBSERVATIONS: u64 = 30;

/// Slot holding time assumed until a request has ended, in ms.
const DEFAULT_HELD_MS: f64 = 1_000.0;

/// Cap on the slot holding time that counts into the mean.
const MAX_HELD_MS: u64 = 60_000;

/// Weight of the newest request in the mean slot holding time.
const HELD_WEIGHT: f64 = 0.02;

/// Estimated speed of the engines of one pool.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) struct Pace {
    /// Time to first token of an empty prompt on an idle engine.
    pub first_ms: f64,
    pub read_tokens_per_ms: f64,
    /// Increase of the time to first token per other request of the batch.
    pub crowding_ms: f64,
    /// Gap between two events of a single stream.
    pub pause_ms: f64,
    /// Increase of the gap per other request of the batch.
    pub pause_crowding_ms: f64,
    /// Mean time that a request holds its slot.
    pub held_ms: f64,
    /// Whether the estimate rests on enough requests.
    pub is_learned: bool,
}

/// Online model of the engines of one pool.
#[derive(Clone, Debug)]
pub(crate) struct EngineModel {
    first: RecursiveLeastSquares<3>,
    pause: RecursiveLeastSquares<2>,
    held_ms: f64,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            first: RecursiveLeastSquares::new(
                [
                    FIRST_TOKEN_MS_PRIOR,
                    PREFILL_1000_MS_PRIOR,
                    CROWDING_MS_PRIOR,
                ],
                FIRST_TOKEN_NOISE_MS,
            ),
            pause: RecursiveLeastSquares::new(
                [PAUSE_MS_PRIOR, PAUSE_CROWDING_MS_PRIOR],
                PAUSE_NOISE_MS,
            ),
            held_ms: DEFAULT_HELD_MS,
        }
    }
}

impl EngineModel {
    /// Updates the model with a first token after `took_ms`; `waiting_tokens` were to be prefilled
    /// before it and `running` other requests were active when the request was sent.
    pub fn record_first_token(&mut self, waiting_tokens: u64, running: u32, took_ms: u64) {
        let inputs = [
            1.0,
            num::to_f64(waiting_tokens) / 1_000.0,
            f64::from(running),
        ];
        self.first.observe(inputs, num::to_f64(took_ms));
    }

    /// Updates the model with the mean gap of a stream, the number of other active requests, and
    /// the time that the stream held its slot.
    pub fn record_stream(&mut self, mean_pause_ms: f64, running: u32, held_ms: u64) {
        self.pause.observe([1.0, f64::from(running)], mean_pause_ms);
        let held_ms = num::to_f64(held_ms.min(MAX_HELD_MS));
        self.held_ms += HELD_WEIGHT * (held_ms - self.held_ms);
    }

    /// Returns the current estimate.
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
            is_learned: self.first.count() >= MIN_OBSERVATIONS
                && self.pause.count() >= MIN_OBSERVATIONS,
        }
    }
}

/// Engine speed estimates received from peers.
///
/// With hundreds of nodes, each node sees two or three requests a second and needs ten seconds to
/// learn an engine's speed; the nodes with the most capacity need three. Without the estimates of
/// its peers, a new lease holder would order the maximum number of engines until it has learned the
/// speed, and each of them is paid for.
#[derive(Debug, Default)]
pub(crate) struct PeerPaces {
    /// Sorted by pool and peer.
    estimates: Vec<PeerEstimate>,
}

#[derive(Clone, Copy, Debug)]
struct PeerEstimate {
    pool: u64,
    /// The peer's incarnation.
    peer: u64,
    received_at: TimeMs,
    pace: Pace,
}

impl PeerPaces {
    /// Stores a peer's estimate for the engines of a pool.
    pub fn record(&mut self, peer: u64, pool: u64, pace: Pace, now: TimeMs) {
        let estimate = PeerEstimate {
            pool,
            peer,
            received_at: now,
            pace,
        };
        let found = (self.estimates)
            .binary_search_by_key(&(pool, peer), |estimate| (estimate.pool, estimate.peer));
        match found {
            Ok(index) => self.estimates[index] = estimate,
            Err(index) => self.estimates.insert(index, estimate),
        }
    }

    /// Drops estimates older than `PEER_EXPIRY_MS`.
    pub fn forget(&mut self, now: TimeMs) {
        self.estimates
            .retain(|estimate| now.since(estimate.received_at) < PEER_EXPIRY_MS);
    }

    /// Returns the field-wise median of the peers' estimates for a pool and this node's own, if
    /// any. The median limits the effect of a node with atypical requests or of a forged datagram.
    pub fn median(&self, pool: &str, own: Option<Pace>, now: TimeMs) -> Option<Pace> {
        let pool = tag(pool);
        let first = self
            .estimates
            .partition_point(|estimate| estimate.pool < pool);
        let of_pool = (self.estimates[first..].iter()).take_while(|estimate| estimate.pool == pool);
        let recent = of_pool.filter(|estimate| now.since(estimate.received_at) < PEER_EXPIRY_MS);
        let paces: Vec<Pace> = recent.map(|estimate| estimate.pace).chain(own).collect();
        let median = |field: fn(&Pace) -> f64| {
            let mut values: Vec<f64> = paces.iter().map(field).collect();
            values.sort_by(f64::total_cmp);
            values[values.len() / 2]
        };
        (!paces.is_empty()).then(|| Pace {
            first_ms: median(|pace| pace.first_ms),
            read_tokens_per_ms: median(|pace| pace.read_tokens_per_ms),
            crowding_ms: median(|pace| pace.crowding_ms),
            pause_ms: median(|pace| pace.pause_ms),
            pause_crowding_ms: median(|pace| pace.pause_crowding_ms),
            held_ms: median(|pace| pace.held_ms),
            is_learned: true,
        })
    }
}

#[cfg(test)]
mod tests;
