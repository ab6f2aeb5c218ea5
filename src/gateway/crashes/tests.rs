//! Crashes at one node; bad parts of prompts, and losses without any, over many simulated nodes.

mod course;
mod judge;
mod simulation;
mod trials;

use course::{Course, Losses, Outcome, Prompts};
use simulation::run;

use super::trials::FIRST_TRIAL_OF_SOUND_MS;
use super::*;

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

/// Guards against connections that break for the network's sake and count as crashes.
#[test]
fn broken_connections_to_upstreams_that_run_on_block_nothing() {
    nothing_is_blocked(&Course {
        max_attempts: 2,
        end_s: 40,
        ..Course::of_losses(Losses::Resets)
    });
}

#[test]
fn upstream_that_crashes_again_and_again_blocks_nothing() {
    nothing_is_blocked(&Course::of_losses(Losses::SameUpstream));
}

fn crash(content: u64, upstream: u64) -> Crash {
    Crash {
        subjects: Subjects::new(content, content % 16, []),
        upstream,
        address: upstream,
        domain: upstream,
        ran_ms: 10,
    }
}

fn record(crashes: &mut Crashes, crash: Crash, at_ms: u64) -> bool {
    crashes.record(crash, TimeMs(at_ms), TimeMs(at_ms))
}

fn is_blocked(crashes: &mut Crashes, content: u64, now_ms: u64) -> bool {
    let subjects = Subjects::new(content, content % 16, []);
    crashes.refusal(&subjects, TimeMs(now_ms)) == Some(Blame::Content)
}

/// Guards against a request that crashes all upstreams of a pool.
///
/// The request crashes the upstream that runs it, and its caller retries it on any node. Crashes
/// must be counted by request content, and shared among the nodes, since each node sees only some
/// of them.
#[test]
fn request_that_crashed_three_upstreams_is_blocked() {
    let mut crashes = Crashes::default();
    assert!(record(&mut crashes, crash(1, 10), 1_000));
    assert!(record(&mut crashes, crash(1, 11), 1_100));
    assert!(!is_blocked(&mut crashes, 1, 1_200));
    assert!(record(&mut crashes, crash(1, 12), 1_200));
    assert!(is_blocked(&mut crashes, 1, 1_200));
    assert!(!is_blocked(&mut crashes, 2, 1_300));
}

#[test]
fn each_upstream_counts_once() {
    let mut crashes = Crashes::default();
    for _ in 0..5 {
        record(&mut crashes, crash(1, 10), 1_000);
    }
    assert!(!is_blocked(&mut crashes, 1, 1_000));
}

#[test]
fn answer_clears_the_crashes_of_a_request() {
    let mut crashes = Crashes::default();
    for upstream in 0..3 {
        record(&mut crashes, crash(1, upstream), 1_000);
    }
    crashes.record_answer(&Subjects::new(1, 1, []), TimeMs(1_001));
    assert!(!is_blocked(&mut crashes, 1, 1_002));
    record(&mut crashes, crash(1, 20), 1_003);
    assert!(!is_blocked(&mut crashes, 1, 1_004));
}

/// Guards against a request that one node has seen answered and all others refuse for good.
#[test]
fn answer_at_one_node_clears_the_request_at_all_nodes() {
    let (mut answering, mut other) = (Crashes::default(), Crashes::default());
    for upstream in 0..3 {
        for node in [&mut answering, &mut other] {
            record(node, crash(1, upstream), 1_000);
        }
    }
    let reports = answering.record_answer(&Subjects::new(1, 1, []), TimeMs(1_001));
    assert!(is_blocked(&mut other, 1, 1_002));
    for report in reports {
        other.record_told(report, TimeMs(1_003));
    }
    assert!(!is_blocked(&mut other, 1, 1_004));
    let repeated = answering.record_answer(&Subjects::new(1, 1, []), TimeMs(1_005));
    assert!(repeated.is_empty(), "it is reported once");
}

#[test]
fn crashes_expire_and_are_bounded() {
    let mut crashes = Crashes::default();
    for content in 0..5_000 {
        record(&mut crashes, crash(content, 1), 1_000);
    }
    assert_eq!(crashes.len(), MAX_CRASHES);
    assert_eq!(crashes.dropped(), 5_000 - MAX_CRASHES as u64);
    record(&mut crashes, crash(1, 1), 1_000 + RETENTION_MS);
    assert_eq!(crashes.len(), 1);
}

/// Guards against one team's crashes that push out all others.
#[test]
fn crashes_of_one_team_are_bounded() {
    let mut crashes = Crashes::default();
    record(&mut crashes, crash(1, 1), 1_000);
    for content in 0..5_000 {
        record(&mut crashes, crash(content * 16, 1), 1_001);
    }
    assert_eq!(crashes.len(), MAX_CRASHES_PER_TEAM + 1);
}

#[test]
fn reported_blocks_keep_their_age() {
    let (mut source, mut restarted) = (Crashes::default(), Crashes::default());
    for upstream in 0..3 {
        record(&mut source, crash(1, upstream), 1_000);
    }
    record(&mut source, crash(2, 0), 1_000);
    let reported = source.reported_blocks(TimeMs(31_000));
    assert_eq!(reported.len(), 1);
    assert_eq!(reported[0].age_ms, 30_000);
    for block in &reported {
        restarted.record_block(*block, 0.5, 9, TimeMs(31_000));
    }
    // Without the age, reports among restarting nodes would keep the block for good.
    assert!(
        restarted
            .reported_blocks(TimeMs(1_000 + RETENTION_MS))
            .is_empty()
    );
    assert!(is_blocked(&mut restarted, 1, 31_000));
}

/// Guards against a block that ends while its requests still come.
#[test]
fn refused_requests_renew_a_block() {
    let mut crashes = Crashes::default();
    for upstream in 0..3 {
        record(&mut crashes, crash(1, upstream), 1_000);
    }
    for step in 1..10 {
        assert!(is_blocked(&mut crashes, 1, step * (RETENTION_MS - 1)));
    }
    assert!(!is_blocked(&mut crashes, 1, 10 * RETENTION_MS));
}

#[test]
fn answer_that_went_on_lifts_the_block_of_its_part() {
    let mut crashes = Crashes::default();
    let of_part = |content| Subjects::new(content, 1, [5]);
    for id in 1..=3 {
        let under_part = Crash {
            subjects: of_part(id),
            ..crash(id, id)
        };
        record(&mut crashes, under_part, id * 500);
    }
    let now = TimeMs(1_500 + SETTLE_MS);
    assert_eq!(crashes.refusal(&of_part(9), now), Some(Blame::Part));
    let told = crashes.record_sound(&of_part(8), now.after(1));
    assert_eq!(told.len(), 1);
    assert_eq!(crashes.refusal(&of_part(9), now.after(2)), None);
}

/// Guards against a sound part that is blamed because it stands behind the bad one.
#[test]
fn bad_part_before_a_sound_one_is_blamed() {
    let (bad, sound) = (5, 6);
    let mut crashes = Crashes::default();
    crashes.record_sound(&Subjects::new(100, 1, [sound]), TimeMs(100));
    for id in 1..=6 {
        let under_both = Crash {
            subjects: Subjects::new(id, 1, [bad, sound]),
            ..crash(id, id)
        };
        record(&mut crashes, under_both, id * 500);
    }
    let now = TimeMs(3_000 + SETTLE_MS);
    let blame = crashes.refusal(&Subjects::new(9, 1, [bad]), now);
    assert_eq!(blame, Some(Blame::Part));
    assert_eq!(crashes.refusal(&Subjects::new(8, 1, [sound]), now), None);
}

/// Guards against a part that crashes upstreams anew on each route that it comes on.
#[test]
fn part_that_is_blocked_on_one_route_is_blocked_on_another_at_its_first_crash() {
    let (here, elsewhere, other) = (0x5_0000_0001, 0x5_0000_0002, 0x6_0000_0002);
    let mut crashes = Crashes::default();
    let under = |part, id| Crash {
        subjects: Subjects::new(id, 1, [part]),
        ..crash(id, id)
    };
    for id in 1..=3 {
        record(&mut crashes, under(here, id), id * 500);
    }
    let blocked_at = TimeMs(1_500 + SETTLE_MS);
    let refusal =
        |crashes: &mut Crashes, part, now| crashes.refusal(&Subjects::new(99, 1, [part]), now);
    assert_eq!(refusal(&mut crashes, here, blocked_at), Some(Blame::Part));
    assert_eq!(refusal(&mut crashes, elsewhere, blocked_at), None);
    record(&mut crashes, under(elsewhere, 10), 3_000);
    record(&mut crashes, under(other, 11), 3_000);
    let later = TimeMs(3_000 + SETTLE_MS);
    assert_eq!(refusal(&mut crashes, elsewhere, later), Some(Blame::Part));
    assert_eq!(refusal(&mut crashes, other, later), None);
}

/// Guards against a sound part that is blamed once and stays blocked for as long as its requests come.
#[test]
fn block_of_a_part_that_was_sound_lets_a_request_through_after_a_second() {
    let mut crashes = Crashes::default();
    let of_part = |content, part| Subjects::new(content, 1, [part]);
    let (was_sound, never_sound) = (5 << 32, 6 << 32);
    crashes.record_sound(&of_part(100, was_sound), TimeMs(1));
    for id in 1..=6 {
        for part in [was_sound, never_sound] {
            let under_part = Crash {
                subjects: of_part(id + part, part),
                ..crash(id + part, id + part)
            };
            record(&mut crashes, under_part, id * 500);
        }
    }
    let blocked_at = 3_000 + SETTLE_MS;
    let mut passed = |part, now_ms| crashes.refusal(&of_part(9, part), TimeMs(now_ms)).is_none();
    assert!(!passed(was_sound, blocked_at));
    assert!(!passed(was_sound, blocked_at + FIRST_TRIAL_OF_SOUND_MS - 1));
    assert!(passed(was_sound, blocked_at + FIRST_TRIAL_OF_SOUND_MS));
    assert!(!passed(was_sound, blocked_at + FIRST_TRIAL_OF_SOUND_MS + 1));
    assert!(!passed(
        was_sound,
        blocked_at + 4 * FIRST_TRIAL_OF_SOUND_MS - 1
    ));
    assert!(passed(was_sound, blocked_at + 4 * FIRST_TRIAL_OF_SOUND_MS));
    assert!(!passed(
        never_sound,
        blocked_at + 10 * FIRST_TRIAL_OF_SOUND_MS
    ));
}

#[test]
fn few_nodes_report_a_sound_part_early() {
    let early = |nodes: usize| {
        let draws =
            (0..nodes).map(|index| num::to_f64(index as u64 + 1) / num::to_f64(nodes as u64));
        draws
            .filter(|draw| tell_delay_ms(*draw, nodes) < 100)
            .count()
    };
    assert!(early(9) <= 3);
    assert!(early(985) <= 9);
}
