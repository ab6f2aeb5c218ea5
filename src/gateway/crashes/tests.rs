//! Bad parts of prompts, and losses without any, over many simulated nodes.

mod judge;
mod simulation;

use simulation::{Course, Losses, Outcome, Prompts, run};

/// Numbers of nodes of the simulated installations.
const SIZES: [usize; 4] = [9, 60, 195, 985];

/// Most requests with a bad part that may be sent once its fifth crash has had time to spread.
const MAX_LATE_SENDS: u32 = 3;

/// Plays a course at each size and checks what the operators promise.
fn check(course: &Course) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for nodes in SIZES {
        let outcome = run(course, nodes);
        println!("{outcome:?}");
        assert!(outcome.late_sends <= MAX_LATE_SENDS, "{outcome:?}");
        let (calm, later) = (outcome.calm.share(), outcome.later.share());
        assert!(later >= calm / 2.0, "{outcome:?}");
        outcomes.push(outcome);
    }
    outcomes
}

fn crashes_stop(course: &Course) {
    for outcome in check(course) {
        assert!(outcome.bad_crashes >= 1, "{outcome:?}");
    }
}

fn nothing_is_blocked(course: &Course) {
    for outcome in check(course) {
        assert_eq!(outcome.blocked_requests, 0, "{outcome:?}");
    }
}

/// Guards against a part of prompts that crashes one upstream after the other.
#[test]
fn bad_second_part_of_three_is_blocked_after_five_crashes() {
    crashes_stop(&Course::default());
}

#[test]
fn bad_first_part_of_two_is_blocked_after_five_crashes() {
    crashes_stop(&Course {
        prompts: Prompts::BadFirst,
        ..Course::default()
    });
}

#[test]
fn two_bad_parts_at_once_are_blocked_after_five_crashes_each() {
    crashes_stop(&Course {
        prompts: Prompts::TwoBad,
        ..Course::default()
    });
}

#[test]
fn bad_part_of_rare_requests_is_blocked_after_five_crashes() {
    crashes_stop(&Course {
        bad_interval_ms: 8_000,
        end_s: 160,
        ..Course::default()
    });
}

#[test]
fn bad_part_of_frequent_requests_is_blocked_after_five_crashes() {
    crashes_stop(&Course {
        bad_interval_ms: 100,
        ..Course::default()
    });
}

#[test]
fn bad_part_of_requests_that_are_sent_once_is_blocked_after_five_crashes() {
    crashes_stop(&Course {
        max_attempts: 1,
        ..Course::default()
    });
}

#[test]
fn bad_part_of_requests_that_wait_for_seconds_is_blocked_after_five_crashes() {
    crashes_stop(&Course {
        wait_ms: 2_500,
        ..Course::default()
    });
}

/// Guards against a started node, and one back from a cut, that send what the others have blocked.
#[test]
fn nodes_that_start_or_return_from_a_cut_know_a_blocked_part() {
    crashes_stop(&Course {
        has_cuts_and_starts: true,
        ..Course::default()
    });
}

/// Guards against a part that is blocked since it crashed with a bad one.
#[test]
fn rare_sound_first_part_beside_a_bad_part_goes_on() {
    crashes_stop(&Course {
        sound_interval_ms: 1_500,
        ..Course::default()
    });
}

#[test]
fn part_that_is_bad_in_one_model_goes_on_in_the_other() {
    crashes_stop(&Course {
        prompts: Prompts::BadInOneModel,
        ..Course::default()
    });
}

/// Guards against parts that are blocked for a request that comes again whole.
#[test]
fn request_that_comes_again_whole_blocks_no_part() {
    crashes_stop(&Course {
        prompts: Prompts::SameWhole,
        ..Course::default()
    });
}

#[test]
fn loss_of_a_failure_domain_blocks_nothing() {
    nothing_is_blocked(&Course::of_losses(Losses::Domain));
}

#[test]
fn two_failure_domains_lost_in_a_row_block_nothing() {
    nothing_is_blocked(&Course::of_losses(Losses::TwoDomains));
}

#[test]
fn loss_of_all_upstreams_at_once_blocks_nothing() {
    nothing_is_blocked(&Course::of_losses(Losses::All));
}

#[test]
fn crashes_without_a_bad_part_block_nothing() {
    nothing_is_blocked(&Course::of_losses(Losses::OneByOne));
}

#[test]
fn upstream_that_crashes_again_and_again_blocks_nothing() {
    nothing_is_blocked(&Course::of_losses(Losses::SameUpstream));
}
