//! Tests of what a caller does next.

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{Attempt, End, Event, Limits, Progress, Step, UNKNOWN_ASKS, decide};
use crate::client::wire::{Refusal, RefusalOutcome};
use crate::time::TimeMs;

const NOW: TimeMs = TimeMs(1_000);
const LIMITS: Limits = Limits {
    failures: 4,
    resends: 2,
    give_up_at_ms: TimeMs(10_000),
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
    progress.note(event, &step);
    step
}

fn attempt(step: &Step) -> Option<Attempt> {
    match step {
        Step::Try { what, .. } => Some(*what),
        Step::End(_) => None,
    }
}

/// All events after which the first attempt may have run.
fn doubtful() -> Vec<Event> {
    vec![
        Event::Broken { accepted: false },
        Event::Broken { accepted: true },
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

/// Symptom: a deposit is paid twice. Sequence: the connection breaks or the node says `unknown`,
/// the caller sends the call under a new id, and the first one did run. Cause: a new id where the
/// first one was not refused as not run.
#[test]
fn a_call_that_may_have_run_never_gets_a_new_id() {
    for first in doubtful() {
        for second in doubtful() {
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

/// Symptom: a request is sent many times over by one caller. Sequence: every node refuses or breaks.
/// Cause: a loop without a bound on failures, resends or time.
#[test]
fn every_event_ends_if_it_goes_on() {
    let mut events = doubtful();
    events.push(refused(RefusalOutcome::NotRun, Some(0)));
    for repeatable in [false, true] {
        for first in &events {
            for second in &events {
                let mut progress = Progress::new(LIMITS, repeatable);
                let steps = (0..100).map(|count| {
                    let event = if count % 2 == 0 { first } else { second };
                    let now = TimeMs(NOW.0 + 200 * count);
                    let step = decide(&progress, event, now, &mut SmallRng::seed_from_u64(1));
                    progress.note(event, &step);
                    step
                });
                let ended = steps.into_iter().any(|step| matches!(step, Step::End(_)));
                assert!(ended, "{first:?} {second:?}");
            }
        }
    }
}

#[test]
fn a_call_that_did_not_run_gets_a_new_id_and_waits_as_asked() {
    let mut progress = Progress::new(LIMITS, false);
    let event = refused(RefusalOutcome::NotRun, Some(400));
    match next(&mut progress, &event) {
        Step::Try {
            what: Attempt::SendUnderNewId,
            pause_ms: 400..=600,
        } => {}
        other => panic!("{other:?}"),
    }
    assert_eq!(
        attempt(&next(&mut progress, &event)),
        Some(Attempt::SendUnderNewId)
    );
    let Step::End(end) = next(&mut progress, &event) else {
        panic!("a third new id");
    };
    assert!(end.is_not_run());
}

/// Symptom: an answer that is there is told as unknown. Sequence: the node asked is cut off from
/// the home, says `unknown`, and a moment later another node has the outcome. Cause: taking the
/// first `unknown` for the last word.
#[test]
fn unknown_is_asked_again_before_it_is_told() {
    let mut progress = Progress::new(LIMITS, false);
    let event = refused(RefusalOutcome::Unknown, None);
    for _ in 0..UNKNOWN_ASKS {
        assert_eq!(attempt(&next(&mut progress, &event)), Some(Attempt::Resume));
    }
    let Step::End(end) = next(&mut progress, &event) else {
        panic!("asked once more");
    };
    assert!(end.is_unknown());
}

/// Symptom: an answer whose beginning and end are of two runs. Sequence: tokens come, home and witness
/// are lost, and the call goes on under a new id from the position reached. Cause: a new id, and with
/// it another seed, for a call that has been answered in part.
#[test]
fn a_call_that_is_answered_in_part_never_gets_a_new_id() {
    for outcome in [RefusalOutcome::Unknown, RefusalOutcome::NotRun] {
        let mut progress = Progress::new(LIMITS, true);
        progress.note_news();
        for _ in 0..=UNKNOWN_ASKS {
            let step = next(&mut progress, &refused(outcome, None));
            assert_ne!(attempt(&step), Some(Attempt::SendUnderNewId));
        }
    }
}

#[test]
fn an_unknown_end_is_repeated_where_that_does_no_harm() {
    let mut progress = Progress::new(LIMITS, true);
    let event = refused(RefusalOutcome::Unknown, None);
    let taken: Vec<_> = (0..4)
        .map(|_| attempt(&next(&mut progress, &event)))
        .collect();
    assert_eq!(taken.last(), Some(&Some(Attempt::SendUnderNewId)));
}

#[test]
fn a_stream_that_breaks_is_resumed_and_news_start_the_count_anew() {
    let mut progress = Progress::new(LIMITS, false);
    let event = Event::Broken { accepted: true };
    for _ in 0..20 {
        assert_eq!(attempt(&next(&mut progress, &event)), Some(Attempt::Resume));
        progress.note_news();
    }
    for _ in 1..LIMITS.failures {
        assert_eq!(attempt(&next(&mut progress, &event)), Some(Attempt::Resume));
    }
    assert_eq!(next(&mut progress, &event), Step::End(End::GaveUp));
}

#[test]
fn nothing_is_sent_for_a_request_that_is_only_asked_for() {
    let mut events = doubtful();
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
fn a_call_of_which_tokens_have_come_keeps_its_id() {
    // Symptom: an answer that begins with two tokens of another one.
    // Sequence: tokens of a stream come; its home dies and the outcome is unknown; the caller sends
    // the repeatable call under a new id and goes on from the position reached.
    // Cause: another id is sampled with another seed, so its answer does not go on from there.
    let mut progress = Progress::new(LIMITS, true);
    progress.note_news();
    let mut resends = 0;
    loop {
        match next(&mut progress, &refused(RefusalOutcome::Unknown, None)) {
            Step::Try {
                what: Attempt::Send,
                ..
            } => resends += 1,
            Step::Try { what, .. } => assert_eq!(what, Attempt::Resume),
            Step::End(end) => {
                assert!(matches!(end, End::Refused(_)), "{end:?}");
                break;
            }
        }
    }
    assert_eq!(resends, LIMITS.resends);
    let step = next(&mut progress, &refused(RefusalOutcome::NotRun, None));
    assert!(matches!(step, Step::End(_)), "{step:?}");
}
