use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::*;

/// Engine types: prefill rate in tokens per ms, time to first token when idle, its increase per
/// request of the batch, and gap between events.
const TYPES: [(f64, f64, f64, f64); 5] = [
    (7.0, 90.0, 2.0, 60.0),
    (25.0, 40.0, 1.0, 25.0),
    (57.0, 25.0, 0.9, 15.0),
    (92.0, 60.0, 0.4, 18.0),
    (150.0, 20.0, 0.2, 8.0),
];

/// Returns a model fitted to requests of one engine type with up to 20 % noise, some of them
/// stalled.
fn learned(engine: (f64, f64, f64, f64), requests: usize, seed: u64) -> EngineModel {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut model = EngineModel::default();
    for index in 0..requests {
        let (tokens, running) = (rng.random_range(100..20_000), rng.random_range(0..30));
        let noise = rng.random_range(0.8..1.2);
        let stalled = if index % 25 == 24 { 10.0 } else { 1.0 };
        let took_ms = actual_first_token_ms(engine, tokens, running) * noise * stalled;
        model.record_first_token(tokens, running, num::round_to_u64(took_ms));
        let pause_ms = engine.3 * (1.0 + 0.04 * f64::from(running)) * noise;
        model.record_stream(pause_ms, running, 2_000);
    }
    model
}

fn actual_first_token_ms(engine: (f64, f64, f64, f64), tokens: u64, running: u32) -> f64 {
    engine.1 + num::to_f64(tokens) / engine.0 + engine.2 * f64::from(running)
}

/// Guards against requests queueing at one engine while others are idle, and against paying for too
/// many engines, in a deployment whose engines are faster or slower than the priors: the decisions
/// must follow the speed learned from answered requests.
#[test]
fn first_token_is_predicted_within_a_fifth_after_200_requests() {
    for (index, engine) in TYPES.into_iter().enumerate() {
        let pace = learned(engine, 200, index as u64).pace();
        assert!(pace.is_learned);
        let mut errors: Vec<f64> = (1..=20_u32)
            .map(|step| {
                let (tokens, running) = (u64::from(step) * 900, step);
                let read_ms = num::to_f64(tokens) / pace.read_tokens_per_ms;
                let expected = pace.first_ms + read_ms + pace.crowding_ms * f64::from(running);
                let actual_first_token_ms = actual_first_token_ms(engine, tokens, running);
                (expected - actual_first_token_ms).abs() / actual_first_token_ms
            })
            .collect();
        errors.sort_by(f64::total_cmp);
        assert!(errors[10] < 0.2, "{engine:?}: {pace:?}");
    }
}

#[test]
fn event_gap_and_its_growth_are_learned() {
    for engine in TYPES {
        let pace = learned(engine, 300, 3).pace();
        let (found, actual_ms) = (
            pace.pause_ms + 20.0 * pace.pause_crowding_ms,
            engine.3 * 1.8,
        );
        assert!(
            (found - actual_ms).abs() / actual_ms < 0.2,
            "{engine:?}: {pace:?}"
        );
    }
}

#[test]
fn model_adapts_to_another_engine_type() {
    let mut model = learned(TYPES[3], 500, 5);
    let mut rng = SmallRng::seed_from_u64(9);
    for _ in 0..600 {
        let (tokens, running) = (rng.random_range(100..20_000), rng.random_range(0..30));
        let took_ms = actual_first_token_ms(TYPES[1], tokens, running);
        model.record_first_token(tokens, running, num::round_to_u64(took_ms));
    }
    let pace = model.pace();
    assert!((20.0..32.0).contains(&pace.read_tokens_per_ms), "{pace:?}");
}

#[test]
fn extreme_observations_leave_a_usable_pace() {
    let mut model = EngineModel::default();
    assert!(!model.pace().is_learned);
    for took_ms in [0, 0, u64::MAX, 0] {
        model.record_first_token(0, 0, took_ms);
        model.record_first_token(u64::MAX, u32::MAX, took_ms);
        model.record_stream(f64::NAN, 0, took_ms);
        model.record_stream(0.0, u32::MAX, took_ms);
    }
    let pace = model.pace();
    for value in [pace.first_ms, pace.read_tokens_per_ms, pace.pause_ms] {
        assert!(value.is_finite() && value > 0.0, "{pace:?}");
    }
}

/// Guards against a new lease holder ordering all engines that are allowed. With 195 nodes of two
/// requests a second each, the new holder has seen twenty and its own estimate is not learned yet.
#[test]
fn median_of_peer_estimates_ignores_an_outlier() {
    let mut peers = PeerPaces::default();
    assert_eq!(peers.median("p", None, TimeMs(0)), None);
    for peer in 0..9 {
        let pace = learned(TYPES[2], 60, peer).pace();
        peers.record(peer, tag("p"), pace, TimeMs(1_000));
    }
    let atypical = Pace {
        read_tokens_per_ms: 1e9,
        first_ms: 2_000.0,
        ..learned(TYPES[2], 60, 9).pace()
    };
    peers.record(9, tag("p"), atypical, TimeMs(1_000));
    let median = peers
        .median("p", None, TimeMs(1_500))
        .expect("peers have estimates");
    assert!(
        (40.0..80.0).contains(&median.read_tokens_per_ms),
        "{median:?}"
    );
    assert!(median.first_ms < 100.0, "{median:?}");
    assert_eq!(peers.median("other", None, TimeMs(1_500)), None);
    peers.forget(TimeMs(1_000 + PEER_EXPIRY_MS));
    assert_eq!(
        peers.median("p", None, TimeMs(1_000 + PEER_EXPIRY_MS)),
        None
    );
}

#[test]
fn nan_estimate_does_not_affect_the_median() {
    let mut peers = PeerPaces::default();
    let valid = learned(TYPES[2], 60, 1).pace();
    let invalid = Pace {
        read_tokens_per_ms: f64::NAN,
        ..valid
    };
    for (peer, pace) in [valid, valid, invalid].into_iter().enumerate() {
        peers.record(peer as u64, tag("p"), pace, TimeMs(1_000));
    }
    let median = peers
        .median("p", None, TimeMs(1_500))
        .expect("peers have estimates");
    assert!(median.read_tokens_per_ms.is_finite());
}
