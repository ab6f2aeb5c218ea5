use super::*;

const PACE: Pace = Pace {
    first_ms: 40.0,
    read_tokens_per_ms: 90.0,
    crowding_ms: 0.5,
    pause_ms: 20.0,
    pause_crowding_ms: 0.7,
    held_ms: 1_500.0,
    is_learned: true,
};

const ENGINE: Engine = Engine {
    slots: 64,
    cache_tokens: 600_000,
    copy_tokens_per_ms: None,
};

const TARGETS: Targets = Targets {
    first_ms: 500.0,
    pause_ms: 500.0,
};

fn load(factor: f64) -> Load {
    Load {
        rates: Rates {
            pool: 1,
            read_tokens_per_s: 220_000.0 * factor,
            events_per_s: 2_500.0 * factor,
            requests_per_s: 78.0 * factor,
            own_tokens_per_s: 200_000.0 * factor,
        },
        shared_tokens: 900_000.0,
    }
}

fn need(load: &Load, pace: &Pace) -> u32 {
    least_engines(load, pace, &ENGINE, &TARGETS, 24)
}

#[test]
fn more_is_needed_for_more_load_and_for_slower_engines() {
    let needs = [0.3, 1.0, 2.0, 4.0].map(|factor| need(&load(factor), &PACE));
    assert!(needs.is_sorted(), "{needs:?}");
    assert!(needs[0] < needs[3], "{needs:?}");
    let slow = Pace {
        read_tokens_per_ms: 30.0,
        ..PACE
    };
    assert!(need(&load(1.0), &slow) > need(&load(1.0), &PACE));
    let heavy_batch = Pace {
        pause_ms: 60.0,
        pause_crowding_ms: 3.0,
        ..PACE
    };
    assert!(need(&load(1.0), &heavy_batch) > need(&load(1.0), &PACE));
}

/// Symptom: for 20 s half of the answers come late.
/// Sequence: engines are let go while the prompts in use fill what is left of their memory.
/// Cause: only time was counted, and parts that no longer fit are read again and again.
#[test]
fn prompts_in_use_have_to_fit_into_memory() {
    let many_parts = Load {
        shared_tokens: 5_200_000.0,
        ..load(0.3)
    };
    assert!(need(&many_parts, &PACE) >= 12);
}

#[test]
fn what_no_number_of_engines_bears_asks_for_all() {
    assert_eq!(need(&load(100.0), &PACE), 24);
    let none = Load {
        rates: Rates::default(),
        shared_tokens: 0.0,
    };
    assert_eq!(need(&none, &PACE), 1);
}

#[test]
fn the_highest_need_of_the_last_moments_counts() {
    let mut peak = Peak::default();
    assert_eq!(peak.note(9, TimeMs(1_000)), 9);
    assert_eq!(peak.note(4, TimeMs(2_000)), 9);
    assert_eq!(peak.note(6, TimeMs(3_000)), 9);
    assert_eq!(peak.note(5, TimeMs(1_000 + HOLD_MS)), 6);
    assert_eq!(peak.note(2, TimeMs(4_000 + HOLD_MS)), 5);
}

#[test]
fn engines_that_name_a_limit_count_for_what_they_take() {
    let need = |limits: &[f64]| beside_limited(10, 40.0, limits.iter().copied(), 20);
    assert_eq!(need(&[]), 10);
    // Each of ten gets four a second.
    assert_eq!(need(&[1.0]), 11);
    assert_eq!(need(&[1.0, 1.0, 1.0, 1.0]), 13);
    assert_eq!(need(&[4.0, 50.0]), 10);
    assert_eq!(need(&[0.0; 30]), 20);
    assert_eq!(beside_limited(1, 0.0, [0.0].into_iter(), 20), 2);
}
