//! One failure a test, in fleets at a multiple of the limit or within it.

use super::course::{Course, Faults, Outcome, Spread};
use super::fleet::Fleet;
use super::load::{
    MAX_USED_FRACTION, MIN_RATE_FRACTION, conformant, course, is_admitted, limit_holds_and_is_used,
};
use super::*;

const NODES: usize = 60;

/// Time until peers take a silent node for down.
const NOTICED_MS: u64 = 1_000;

const COURSE_MS: u64 = 20_000;

/// The end of a failure that lasts.
const NEVER: u64 = u64::MAX;

fn excess(faults: Faults) -> Course {
    Course {
        duration_ms: COURSE_MS,
        faults,
        ..course(NODES, 7.5, &[0.2, 0.04, 0.003])
    }
}

/// Runs a course of excess; the team has to use its rate from `settled_ms` on.
fn holds(faults: Faults, settled_ms: u64) -> Outcome {
    let course = excess(faults);
    let (outcome, team) = Fleet::new(course.clone()).run();
    let used = outcome.used_fraction(&team, 0);
    let rate = outcome.rate_fraction(&team, settled_ms, COURSE_MS);
    assert!(used <= MAX_USED_FRACTION, "{course:?}: {used} used");
    assert!(rate >= MIN_RATE_FRACTION, "{course:?}: {rate} of the rate");
    assert!(outcome.longest_wait_ms <= ANSWER_TIMEOUT_MS, "{course:?}");
    outcome
}

/// Guards against a team that is refused, or admitted without a limit, once its owner is gone.
#[test]
fn death_of_the_owner_leaves_the_limit_in_force() {
    let outcome = holds(
        Faults {
            owner_silent: (4_000, NEVER),
            successor: (4_000 + NOTICED_MS, NEVER),
            ..Faults::default()
        },
        4_000 + NOTICED_MS + LEASE_MS,
    );
    assert!(outcome.fallbacks > 0);
}

/// Guards against an owner that goes on, after it was frozen, with what it granted before.
#[test]
fn owner_that_was_frozen_grants_nothing_twice() {
    holds(
        Faults {
            owner_silent: (4_000, 7_000),
            successor: (4_000 + NOTICED_MS, 7_500),
            ..Faults::default()
        },
        7_500 + LEASE_MS,
    );
}

/// Guards against a team within its limit that is refused by an owner which lost the refill of its freeze.
#[test]
fn frozen_owner_refuses_no_team_within_its_limit() {
    for nodes in [4, NODES] {
        for seed in 1..=8 {
            is_admitted(&Course {
                duration_ms: COURSE_MS,
                faults: Faults {
                    owner_silent: (4_000, 7_000),
                    successor: (4_000 + NOTICED_MS, 7_500),
                    ..Faults::default()
                },
                seed,
                ..conformant(nodes, &[0.02], Spread::Even)
            });
        }
    }
}

/// Guards against a second burst at an owner that was frozen while a team that had been idle spent its first.
#[test]
fn frozen_owner_grants_no_second_burst() {
    for nodes in [4, NODES] {
        for begins_at_ms in [5_200, 6_000, 6_500, 6_800] {
            for times in [2.0, 7.5] {
                for seed in 1..=2 {
                    let course = Course {
                        duration_ms: COURSE_MS,
                        begins_at_ms,
                        faults: Faults {
                            owner_silent: (4_000, 7_000),
                            successor: (4_000 + NOTICED_MS, 7_500),
                            ..Faults::default()
                        },
                        seed,
                        ..course(nodes, times, &[0.2, 0.04, 0.003])
                    };
                    let (outcome, team) = Fleet::new(course.clone()).run();
                    let used = outcome.used_fraction(&team, 0);
                    assert!(used <= MAX_USED_FRACTION, "{course:?}: {used} used");
                }
            }
        }
    }
}

/// Guards against an owner whose grants do not arrive while its own view shows nothing wrong.
#[test]
fn nodes_that_receive_no_grants_spend_their_parts() {
    let outcome = holds(
        Faults {
            cut_from: Some(NODES / 2),
            ..Faults::default()
        },
        4_000,
    );
    assert!(outcome.fallbacks > 0);
}

/// Guards against requests that wait for an owner that is slower than callers bear.
#[test]
fn slow_owner_delays_no_request_beyond_the_timeout() {
    holds(
        Faults {
            answer_delay_ms: 200,
            ..Faults::default()
        },
        4_000,
    );
}

/// Guards against two owners that each grant the whole limit.
///
/// Beyond one owner's grants they may spend a bucket, its overdraft, and the rate for the delay of reports.
#[test]
fn two_owners_exceed_one_by_a_bucket_and_the_delay_of_reports() {
    let course = excess(Faults {
        has_two_owners: true,
        ..Faults::default()
    });
    let (outcome, team) = Fleet::new(course).run();
    let rate_per_s = team.rate_per_s.expect("a limit");
    let delay_s = 0.25;
    let more = rate_per_s * (0.5 + 0.25 + delay_s);
    let allowance = WINDOW.allowance(rate_per_s, team.burst);
    let used = outcome.used_fraction(&team, 0);
    assert!(used <= MAX_USED_FRACTION + more / allowance, "{used}");
    let rate = outcome.rate_fraction(&team, 12_000, COURSE_MS);
    assert!((MIN_RATE_FRACTION..=1.1).contains(&rate), "{rate}");
}

/// Guards against a second burst when all nodes start at once beyond the limit.
#[test]
fn fleet_that_starts_beyond_the_limit_stays_within_it() {
    holds(
        Faults {
            is_start: true,
            ..Faults::default()
        },
        2_000,
    );
}

/// Guards against credit of the former limit that is spent after the limit was lowered.
#[test]
fn lowered_limit_binds_within_a_lease() {
    let course = excess(Faults {
        lowered_at: Some(4_000),
        ..Faults::default()
    });
    let (outcome, team) = Fleet::new(course).run();
    let used = outcome.used_fraction(&team, 4_000);
    assert!(used <= MAX_USED_FRACTION, "{used}");
    let rate = outcome.rate_fraction(&team, 10_000, COURSE_MS);
    assert!(rate >= MIN_RATE_FRACTION, "{rate}");
}

/// Guards against credit that is lost with an answer, and requests that are refused for it.
#[test]
fn lost_answers_neither_refuse_a_team_within_its_limit_nor_waste_it() {
    let faults = Faults {
        lost_answers: 0.05,
        ..Faults::default()
    };
    limit_holds_and_is_used(&Course {
        faults,
        ..course(NODES, 7.5, &[0.2, 0.04, 0.003])
    });
    is_admitted(&Course {
        faults,
        ..conformant(NODES, &[0.1, 2.0], Spread::Clumped)
    });
}
