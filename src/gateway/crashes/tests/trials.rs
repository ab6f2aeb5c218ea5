//! Requests that are let through the block of a part, over fleets of nodes.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::*;

const PART: Subject = 5 << 32;

/// Numbers of nodes of the fleets.
const FLEETS: [usize; 4] = [1, 9, 60, 985];

/// Step of the play, and time that a report takes.
const STEP_MS: u64 = 10;
const REPORT_MS: u64 = 120;

/// Time from the send of a request to its answer or crash.
const RUN_MS: u64 = 200;

/// Longest wait for the first trial of a blocked part.
const MAX_WAIT_MS: u64 = 30_000;

/// Most trials of a bad part in the first five minutes: three that are due, and some by nodes that
/// have not learned of each other's.
const MAX_TRIALS: usize = 6;

fn of_part(content: u64) -> Subjects {
    Subjects::new(content, 1, [PART])
}

fn crash_of(content: u64) -> Crash {
    Crash {
        subjects: of_part(content),
        ..crash(content, content)
    }
}

/// Nodes that know of three crashes under a part of which no answer is known; it is blocked at the
/// returned time.
fn blocked_fleet(nodes: usize) -> (Vec<Crashes>, TimeMs) {
    let blocked_at = TimeMs(1_500 + SETTLE_MS);
    let fleet = (0..nodes).map(|_own| {
        let mut node = Crashes::default();
        for content in 1..=3 {
            record(&mut node, crash_of(content), content * 500);
        }
        assert_eq!(node.refusal(&of_part(9), blocked_at), Some(Blame::Part));
        node
    });
    (fleet.collect(), blocked_at)
}

/// Guards against a new part that is blocked for as long as its requests come.
#[test]
fn block_of_a_part_that_is_new_is_tested_and_lifted() {
    let (mut fleet, blocked_at) = blocked_fleet(1);
    let node = &mut fleet[0];
    let mut times = (0..MAX_WAIT_MS).step_by(100);
    let passed = times.find(|passed_ms| {
        node.refusal(&of_part(9), blocked_at.after(*passed_ms))
            .is_none()
    });
    let now = blocked_at.after(passed.expect("a request is let through"));
    assert_eq!(node.refusal(&of_part(8), now.after(1)), Some(Blame::Part));
    let told = node.record_answer(&of_part(9), now.after(RUN_MS));
    assert!(told.iter().any(|sound| sound.subject == PART));
    assert_eq!(node.refusal(&of_part(8), now.after(RUN_MS + 1)), None);
}

/// What the requests of a blocked part came to.
#[derive(Debug, Default)]
struct Played {
    trials: usize,
    /// When the first trial was answered, from the block on.
    lifted_ms: Option<u64>,
}

/// What a node learns of a trial.
#[derive(Clone, Copy, Debug)]
enum Report {
    Begun,
    Crashed(Crash),
    Sound(AgedSound),
}

/// Sends requests of a blocked part to random nodes. One that is let through crashes its upstream
/// if the part is bad, and is answered otherwise.
fn play(nodes: usize, interval_ms: u64, is_bad: bool, end_ms: u64) -> Played {
    let (mut fleet, blocked_at) = blocked_fleet(nodes);
    for (own, node) in (1_u64..).zip(&mut fleet) {
        node.set_seat(Seat { own, nodes });
    }
    let mut random = SmallRng::seed_from_u64(nodes as u64 * 10 + interval_ms);
    let mut reports: Vec<(TimeMs, Report)> = Vec::new();
    let mut played = Played::default();
    for passed_ms in (0..end_ms / STEP_MS).map(|step| step * STEP_MS) {
        let now = blocked_at.after(passed_ms);
        let (due, later) = reports.into_iter().partition(|(at, _report)| *at <= now);
        reports = later;
        for (_at, report) in due {
            for node in &mut fleet {
                learn(node, report, now);
            }
        }
        if passed_ms % interval_ms != 0 || played.lifted_ms.is_some() {
            continue;
        }
        let content = 1_000 + passed_ms;
        let node = &mut fleet[random.random_range(0..nodes)];
        if node.refusal(&of_part(content), now).is_some() {
            continue;
        }
        played.trials += 1;
        assert_eq!(node.take_trials(), [PART]);
        let known_at = now.after(REPORT_MS);
        reports.push((known_at, Report::Begun));
        let ended = if is_bad {
            Report::Crashed(crash_of(content))
        } else {
            played.lifted_ms = Some(passed_ms + RUN_MS);
            let sound = AgedSound {
                subject: PART,
                age_ms: 0,
            };
            Report::Sound(sound)
        };
        reports.push((known_at.after(RUN_MS), ended));
    }
    println!("{nodes} nodes, a request each {interval_ms} ms: {played:?}");
    played
}

fn learn(node: &mut Crashes, report: Report, now: TimeMs) {
    match report {
        Report::Begun => node.record_trial(PART, now),
        Report::Crashed(crash) => node.record_reported(crash, 0.5, 1, now),
        Report::Sound(sound) => node.record_told(sound, now),
    }
}

/// Guards against a bad part that crashes an upstream for each node of a fleet that tests its block.
#[test]
fn bad_part_costs_a_fleet_few_trials_at_any_size() {
    for nodes in FLEETS {
        for interval_ms in [20, 1_000] {
            let played = play(nodes, interval_ms, true, 300_000);
            assert!((1..=MAX_TRIALS).contains(&played.trials), "{played:?}");
        }
    }
}

#[test]
fn sound_part_is_tested_soon_in_a_fleet_of_any_size() {
    for nodes in FLEETS {
        for interval_ms in [20, 1_000] {
            let played = play(nodes, interval_ms, false, MAX_WAIT_MS);
            assert!(played.lifted_ms.is_some(), "{played:?}");
        }
    }
}

/// Guards against trials with a request that crashes upstreams for its own content.
#[test]
fn request_whose_content_crashed_an_upstream_tests_no_block() {
    let (mut fleet, blocked_at) = blocked_fleet(1);
    let later = blocked_at.after(MAX_WAIT_MS);
    assert_eq!(fleet[0].refusal(&of_part(1), later), Some(Blame::Part));
    assert_eq!(fleet[0].refusal(&of_part(9), later), None);
}

/// Guards against trials that are used up before their requests are about to be sent.
#[test]
fn request_that_is_not_sent_yet_begins_no_trial() {
    let (mut fleet, blocked_at) = blocked_fleet(1);
    let (node, later) = (&mut fleet[0], blocked_at.after(MAX_WAIT_MS));
    for _check in 0..3 {
        assert_eq!(node.refusal_for_now(&of_part(9), later), None);
    }
    assert!(node.take_trials().is_empty());
    assert_eq!(node.refusal(&of_part(9), later), None);
    assert_eq!(node.take_trials(), [PART]);
    assert_eq!(node.refusal_for_now(&of_part(8), later), Some(Blame::Part));
}

/// Guards against a started node that tests at once each part that the others have just tested.
#[test]
fn node_that_learns_of_an_old_block_awaits_the_next_trial() {
    let (fleet, blocked_at) = blocked_fleet(1);
    let later = blocked_at.after(MAX_WAIT_MS);
    let mut started = Crashes::default();
    for block in fleet[0].reported_blocks(later) {
        started.record_block(block, 0.5, 9, later);
    }
    assert_eq!(
        started.refusal(&of_part(9), later.after(1)),
        Some(Blame::Part)
    );
}

/// Guards against a bad part that costs as many trials as it has routes.
#[test]
fn part_that_is_blocked_on_several_routes_is_tested_once() {
    let (here, elsewhere) = (PART + 1, PART + 2);
    let on = |content, part| Subjects::new(content, 1, [part]);
    let mut node = Crashes::default();
    let blocked_at = TimeMs(1_000);
    for part in [here, elsewhere] {
        assert!(node.block(part, blocked_at, blocked_at));
    }
    let later = blocked_at.after(MAX_WAIT_MS);
    assert_eq!(node.refusal(&on(9, here), later), None);
    let soon = later.after(1_000);
    assert_eq!(node.refusal(&on(8, elsewhere), soon), Some(Blame::Part));
    node.record_answer(&on(9, here), soon);
    assert_eq!(node.refusal(&on(8, elsewhere), soon.after(1)), None);
}

/// Guards against a bad part that each node tests that does not block it on the route of a peer's test.
#[test]
fn test_of_a_part_on_another_route_of_a_peer_counts() {
    let (here, elsewhere) = (PART + 1, PART + 2);
    let mut node = Crashes::default();
    let blocked_at = TimeMs(1_000);
    assert!(node.block(here, blocked_at, blocked_at));
    let later = blocked_at.after(MAX_WAIT_MS);
    node.record_trial(elsewhere, later);
    let of_part = Subjects::new(9, 1, [here]);
    assert_eq!(
        node.refusal(&of_part, later.after(1_000)),
        Some(Blame::Part)
    );
}
