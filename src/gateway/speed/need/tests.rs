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
    min_engines(load, pace, &ENGINE, &TARGETS, 24)
}

#[test]
fn need_grows_with_load_and_with_slower_engines() {
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

/// Guards against half of the answers being late for 20 s after engines were released while the
/// active prompts fill the cache of those that remain. If only compute time counts, prefixes that
/// no longer fit are prefilled again and again.
#[test]
fn active_prompts_have_to_fit_into_the_cache() {
    let many_prefixes = Load {
        shared_tokens: 5_200_000.0,
        ..load(0.3)
    };
    assert!(need(&many_prefixes, &PACE) >= 12);
}

#[test]
fn unsustainable_load_needs_the_maximum() {
    assert_eq!(need(&load(100.0), &PACE), 24);
    let none = Load {
        rates: Rates::default(),
        shared_tokens: 0.0,
    };
    assert_eq!(need(&none, &PACE), 1);
}

#[test]
fn peak_is_the_highest_need_of_the_window() {
    let mut peak = Peak::default();
    assert_eq!(peak.record(9, TimeMs(1_000)), 9);
    assert_eq!(peak.record(4, TimeMs(2_000)), 9);
    assert_eq!(peak.record(6, TimeMs(3_000)), 9);
    assert_eq!(peak.record(5, TimeMs(1_000 + PEAK_WINDOW_MS)), 6);
    assert_eq!(peak.record(2, TimeMs(4_000 + PEAK_WINDOW_MS)), 5);
}

#[test]
fn engine_with_a_limit_counts_in_part() {
    let need = |limits: &[f64]| min_engines_with_limits(10, 40.0, limits.iter().copied(), 20);
    assert_eq!(need(&[]), 10);
    // Each of ten engines gets four requests a second.
    assert_eq!(need(&[1.0]), 11);
    assert_eq!(need(&[1.0, 1.0, 1.0, 1.0]), 13);
    assert_eq!(need(&[4.0, 50.0]), 10);
    assert_eq!(need(&[0.0; 30]), 20);
    assert_eq!(min_engines_with_limits(1, 0.0, [0.0].into_iter(), 20), 2);
}

/// Guards against a fleet that is too small because its engines are slower than the mean of the
/// requests that the model was learned from.
#[test]
fn slower_engines_add_to_the_need() {
    let needed =
        |time_factors: &[f64]| min_engines_with_speeds(10, time_factors.iter().copied(), 24);
    assert_eq!(needed(&[]), 10);
    assert_eq!(needed(&[1.0; 8]), 10);
    assert_eq!(needed(&[2.0; 8]), 20);
    assert_eq!(needed(&[4.0; 8]), 24);
    assert_eq!(needed(&[1.04; 8]), 11, "a part of an engine is rounded up");
    assert_eq!(needed(&[1.2, 1.2, 0.9, 0.9]), 11);
}

/// Guards against fast engines being released that are needed for their cache memory or slots, or
/// under a load for which even the most engines are too few.
#[test]
fn faster_engines_release_none() {
    for least in [1, 10, 24] {
        for time_factors in [[0.5; 4], [0.55, 1.2, 0.55, 1.2]] {
            let needed = min_engines_with_speeds(least, time_factors.into_iter(), 24);
            assert_eq!(needed, least, "{time_factors:?}");
        }
    }
}

#[test]
fn small_differences_in_speed_change_no_need() {
    let time_factors = [0.97, 1.04, 1.02, 0.99];
    assert_eq!(
        min_engines_with_speeds(10, time_factors.into_iter(), 24),
        10
    );
}
