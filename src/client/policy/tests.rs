//! Tests of the retry policy.

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{Attempt, End, Event, Limits, MAX_UNKNOWN_QUERIES, Progress, Step, decide};
use crate::client::wire::{Refusal, RefusalOutcome};
use crate::time::TimeMs;

const NOW: TimeMs = TimeMs(1_000);
const LIMITS: Limits = Limits {
    max_failures: 4,
    max_resends: 2,
    retry_until_ms: TimeMs(10_000),
};

fn refused(outcome: RefusalOutcome, retry_after_ms: Option<u64>) -> Event {
    Event::Refused(Refusal {
        outcome,
        reason: None,
        error: None,
        retry_after_ms,
    })
}

fn next(progress: &mut Progress, event: &Event) -> Step {
    let step = decide(progress, event, NOW, &mut SmallRng::seed_from_u64(1));
    progress.record(event, &step);
    step
}

fn attempt(step: &Step) -> Option<Attempt> {
    match step {
        Step::Try { attempt, .. } => Some(*attempt),
        Step::End(_) => None,
    }
}

/// All events after which the request may have run.
fn possibly_run() -> Vec<Event> {
    vec![
        Event::Broken { is_accepted: false },
        Event::Broken { is_accepted: true },
        Event::NoSuchRequest,
        Event::Unsent,
        Event::Running {
            retry_after_ms: None,
        },
        refused(RefusalOutcome::Unknown, None),
        refused(RefusalOutcome::Failed, None),
        refused(RefusalOutcome::Cancelled, None),
    ]
}

/// Guards against a call that runs twice: the connection breaks or the node responds `unknown`, and
/// the caller retries under a new id although the first request was not refused as `not_run`.
#[test]
fn call_that_may_have_run_keeps_its_id() {
    for first in possibly_run() {
        for second in possibly_run() {
            let mut progress = Progress::new(LIMITS, false);
            for event in [&first, &second, &first, &second, &first] {
                let step = next(&mut progress, event);
                assert_ne!(
                    attempt(&step),
                    Some(Attempt::SendUnderNewId),
                    "{first:?} {second:?}"
                );
            }
        }
    }
}

/// Guards against endless retries when every node refuses or fails: failures, resends and time must
/// all be bounded.
#[test]
fn repeated_events_end_the_call() {
    let mut events = possibly_run();
    events.push(refused(RefusalOutcome::NotRun, Some(0)));
    for is_idempotent in [false, true] {
        for first in &events {
            for second in &events {
                let mut progress = Progress::new(LIMITS, is_idempotent);
                let steps = (0..100).map(|count| {
                    let event = if count % 2 == 0 { first } else { second };
                    let now = TimeMs(NOW.0 + 200 * count);
                    let step = decide(&progress, event, now, &mut SmallRng::seed_from_u64(1));
                    progress.record(event, &step);
                    step
                });
                let ended = steps.into_iter().any(|step| matches!(step, Step::End(_)));
                assert!(ended, "{first:?} {second:?}");
            }
        }
    }
}

#[test]
fn call_that_did_not_run_is_retried_under_new_id_after_requested_delay() {
    let mut progress = Progress::new(LIMITS, false);
    let event = refused(RefusalOutcome::NotRun, Some(400));
    match next(&mut progress, &event) {
        Step::Try {
            attempt: Attempt::SendUnderNewId,
            delay_ms: 400..=600,
        } => {}
        other => panic!("{other:?}"),
    }
    assert_eq!(
        attempt(&next(&mut progress, &event)),
        Some(Attempt::SendUnderNewId)
    );
    let Step::End(end) = next(&mut progress, &event) else {
        panic!("expected the end after two new ids");
    };
    assert!(end.is_not_run());
}

/// Guards against reporting `unknown` for a request whose outcome is recorded: the queried node is
/// partitioned from the home node, and another node has the outcome shortly after.
#[test]
fn unknown_outcome_is_queried_again_before_it_is_reported() {
    let mut progress = Progress::new(LIMITS, false);
    let event = refused(RefusalOutcome::Unknown, None);
    for _ in 0..MAX_UNKNOWN_QUERIES {
        assert_eq!(attempt(&next(&mut progress, &event)), Some(Attempt::Resume));
    }
    let Step::End(end) = next(&mut progress, &event) else {
        panic!("expected the end after the last query");
    };
    assert!(end.is_unknown());
}

/// Guards against a response made of two runs: tokens arrive, home and witness are lost, and the
/// call continues under a new id from the position reached. A new id has another sampling seed.
#[test]
fn partly_received_call_gets_no_new_id() {
    for outcome in [RefusalOutcome::Unknown, RefusalOutcome::NotRun] {
        let mut progress = Progress::new(LIMITS, true);
        progress.record_progress();
        for _ in 0..=MAX_UNKNOWN_QUERIES {
            let step = next(&mut progress, &refused(outcome, None));
            assert_ne!(attempt(&step), Some(Attempt::SendUnderNewId));
        }
    }
}

#[test]
fn unknown_outcome_of_idempotent_call_is_retried_under_new_id() {
    let mut progress = Progress::new(LIMITS, true);
    let event = refused(RefusalOutcome::Unknown, None);
    let attempts: Vec<_> = (0..4)
        .map(|_| attempt(&next(&mut progress, &event)))
        .collect();
    assert_eq!(attempts.last(), Some(&Some(Attempt::SendUnderNewId)));
}

#[test]
fn broken_stream_is_resumed_and_progress_resets_failures() {
    let mut progress = Progress::new(LIMITS, false);
    let event = Event::Broken { is_accepted: true };
    for _ in 0..20 {
        assert_eq!(attempt(&next(&mut progress, &event)), Some(Attempt::Resume));
        progress.record_progress();
    }
    for _ in 1..LIMITS.max_failures {
        assert_eq!(attempt(&next(&mut progress, &event)), Some(Attempt::Resume));
    }
    assert_eq!(
        next(&mut progress, &event),
        Step::End(End::RetriesExhausted)
    );
}

#[test]
fn resume_only_query_sends_no_call() {
    let mut events = possibly_run();
    events.push(refused(RefusalOutcome::NotRun, None));
    for event in events {
        let mut progress = Progress::resuming(LIMITS);
        let step = next(&mut progress, &event);
        assert!(
            matches!(attempt(&step), None | Some(Attempt::Resume)),
            "{event:?}"
        );
    }
}

#[test]
fn partly_received_idempotent_call_is_resent_under_its_id() {
    // Guards against a response that begins with two tokens of another one: tokens arrive, the home
    // node is lost, the outcome is unknown, and the idempotent call is resent under a new id. The new
    // id is sampled with another seed, so its response does not continue the received tokens.
    let mut progress = Progress::new(LIMITS, true);
    progress.record_progress();
    let mut resends = 0;
    loop {
        match next(&mut progress, &refused(RefusalOutcome::Unknown, None)) {
            Step::Try {
                attempt: Attempt::Send,
                ..
            } => resends += 1,
            Step::Try { attempt, .. } => assert_eq!(attempt, Attempt::Resume),
            Step::End(end) => {
                assert!(matches!(end, End::Refused(_)), "{end:?}");
                break;
            }
        }
    }
    assert_eq!(resends, LIMITS.max_resends);
    let step = next(&mut progress, &refused(RefusalOutcome::NotRun, None));
    assert!(matches!(step, Step::End(_)), "{step:?}");
}
