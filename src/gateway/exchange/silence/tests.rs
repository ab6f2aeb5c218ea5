use super::*;

const SILENCE: Silence = Silence {
    since: TimeMs(1_000),
    alive_after_ms: 1_200,
    unproven_after_ms: 1_800,
    give_up_after_ms: None,
};

fn found(standing: Standing) -> Alternative {
    Alternative {
        standing: Some(standing),
        obstacle: None,
    }
}

fn decided(alternative: Alternative, after_ms: u64) -> Decision {
    decide(&SILENCE, alternative, SILENCE.since.after(after_ms))
}

/// Guards against a request that is broken off for a silence although nothing better is to be had.
#[test]
fn request_without_an_alternative_waits_however_long_the_silence_lasts() {
    let nothing = Alternative {
        standing: None,
        obstacle: None,
    };
    let barred = Alternative {
        obstacle: Some("attempts_used"),
        ..found(Standing::Alive)
    };
    for after_ms in [0, 1_200, 1_800, 60_000] {
        assert_eq!(decided(nothing, after_ms), Decision::Wait("no_upstream"));
        let doubtful = found(Standing::Doubtful);
        assert_eq!(decided(doubtful, after_ms), Decision::Wait("all_doubtful"));
        assert_eq!(decided(barred, after_ms), Decision::Wait("attempts_used"));
    }
}

/// Guards against a request that waits for a lost upstream while another has shown that it runs.
#[test]
fn request_leaves_for_an_upstream_that_is_alive_before_one_that_is_unproven() {
    let (alive, unproven) = (found(Standing::Alive), found(Standing::Unproven));
    assert_eq!(decided(alive, 1_199), Decision::Wait("unproven"));
    assert_eq!(decided(alive, 1_200), Decision::Leave);
    assert_eq!(decided(unproven, 1_799), Decision::Wait("unproven"));
    assert_eq!(decided(unproven, 1_800), Decision::Leave);
}

/// Guards against a call that is held to its deadline although its caller could send it again, and against one that is given
/// up while no upstream would take it.
#[test]
fn call_is_given_up_for_its_caller_only_if_an_upstream_may_be_sound() {
    let silence = Silence {
        give_up_after_ms: Some(2_000),
        ..SILENCE
    };
    let barred = |standing| Alternative {
        obstacle: Some("over_budget"),
        ..found(standing)
    };
    let decided = |standing, after_ms| {
        let now = silence.since.after(after_ms);
        decide(&silence, barred(standing), now)
    };
    assert_eq!(
        decided(Standing::Unproven, 1_999),
        Decision::Wait("over_budget")
    );
    assert_eq!(decided(Standing::Unproven, 2_000), Decision::Leave);
    assert_eq!(
        decided(Standing::Doubtful, 2_000),
        Decision::Wait("all_doubtful")
    );
}

/// Guards against upstreams that count as alive for what they sent at the start of a pause of all.
#[test]
fn sign_of_life_counts_only_in_the_second_half_of_a_silence() {
    let now = SILENCE.since.after(1_200);
    assert_eq!(proof_since(SILENCE.since, now), SILENCE.since.after(600));
}
