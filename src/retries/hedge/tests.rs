//! Which calls are hedged, and when.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{HedgeAsk, SlowMark, hedge_at};
use crate::time::TimeMs;
use crate::upstreams::Delivery;

fn mark(seed: u64) -> SmallRngMark {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut mark = SlowMark::default();
    let mut slower = 0_u32;
    for call in 0..20_000 {
        let took_ms = rng.random_range(0..1_000);
        let above = mark.mark_ms().is_some_and(|mark| u64::from(took_ms) > mark);
        slower += u32::from(call >= 10_000 && above);
        mark.note(took_ms);
    }
    SmallRngMark { mark, slower }
}

struct SmallRngMark {
    mark: SlowMark,
    slower: u32,
}

fn ask() -> HedgeAsk {
    HedgeAsk {
        delivery: Delivery::Repeatable,
        sent_ms: TimeMs(5_000),
        expected_ms: 300,
        deadline_ms: TimeMs(20_000),
        other_filled: 0.5,
    }
}

#[test]
fn about_five_in_a_hundred_calls_are_slower_than_the_mark() {
    let slower = mark(1).slower;
    assert!((300..=700).contains(&slower), "{slower} of 10,000");
}

#[test]
fn only_short_repeatable_calls_with_time_and_room_are_hedged() {
    let slow = mark(1).mark;
    let at = ask().sent_ms.after(slow.mark_ms().unwrap());
    assert_eq!(hedge_at(&ask(), &slow), Some(at));
    let never = [
        HedgeAsk {
            delivery: Delivery::AtMostOnce,
            ..ask()
        },
        HedgeAsk {
            expected_ms: 60_000,
            deadline_ms: TimeMs(1_000_000),
            ..ask()
        },
        HedgeAsk {
            deadline_ms: TimeMs(5_500),
            ..ask()
        },
        HedgeAsk {
            other_filled: 0.95,
            ..ask()
        },
    ];
    for ask in never {
        assert_eq!(hedge_at(&ask, &slow), None);
    }
    assert_eq!(hedge_at(&ask(), &SlowMark::default()), None);
}
