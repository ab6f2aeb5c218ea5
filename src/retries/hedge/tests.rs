//! Tests which calls are hedged and when.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{HedgeRequest, LatencyQuantile, hedge_at};
use crate::time::TimeMs;
use crate::upstreams::Delivery;

fn measure(seed: u64) -> Measured {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut quantile = LatencyQuantile::default();
    let mut slower = 0_u32;
    for call in 0..20_000 {
        let took_ms = rng.random_range(0..1_000);
        let above = quantile
            .estimate_ms()
            .is_some_and(|estimate| u64::from(took_ms) > estimate);
        slower += u32::from(call >= 10_000 && above);
        quantile.record(took_ms);
    }
    Measured { quantile, slower }
}

struct Measured {
    quantile: LatencyQuantile,
    slower: u32,
}

fn request() -> HedgeRequest {
    HedgeRequest {
        delivery: Delivery::Repeatable,
        sent_ms: TimeMs(5_000),
        expected_ms: 300,
        deadline_ms: TimeMs(20_000),
        other_occupancy: 0.5,
    }
}

#[test]
fn about_five_percent_of_calls_exceed_the_estimate() {
    let slower = measure(1).slower;
    assert!((300..=700).contains(&slower), "{slower} of 10,000 calls");
}

#[test]
fn only_short_repeatable_calls_with_time_and_spare_slots_are_hedged() {
    let quantile = measure(1).quantile;
    let at = request().sent_ms.after(quantile.estimate_ms().unwrap());
    assert_eq!(hedge_at(&request(), &quantile), Some(at));
    let never = [
        HedgeRequest {
            delivery: Delivery::AtMostOnce,
            ..request()
        },
        HedgeRequest {
            expected_ms: 60_000,
            deadline_ms: TimeMs(1_000_000),
            ..request()
        },
        HedgeRequest {
            deadline_ms: TimeMs(5_500),
            ..request()
        },
        HedgeRequest {
            other_occupancy: 0.95,
            ..request()
        },
    ];
    for request in never {
        assert_eq!(hedge_at(&request, &quantile), None);
    }
    assert_eq!(hedge_at(&request(), &LatencyQuantile::default()), None);
}
