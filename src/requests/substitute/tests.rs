//! Tests of runs under another id than the caller's.

use super::{may_substitute, outcome_under_caller_id};
use crate::requests::core::Phase;
use crate::requests::outcome::{Failure, Finish, Reason, UnknownReason};
use crate::requests::{Call, Outcome, Step, Work};
use crate::time::TimeMs;

const DEADLINE: TimeMs = TimeMs(2_500);

fn call(idempotent: bool) -> Call {
    Call {
        team: "pubs".to_owned(),
        idempotent,
        latency_class: "clerk".to_owned(),
        deadline_ms: DEADLINE,
        work: Work::Service {
            service: "tracking".to_owned(),
            path: "deposits".to_owned(),
            body: b"keg 12".to_vec(),
        },
    }
}

fn unanswered() -> Step {
    Step::End(Outcome::Unknown(UnknownReason::NoAnswer))
}

// Guards against a refusal of the substitute that is read as the refusal of the caller's id, which
// may run at its home.
#[test]
fn ends_of_a_substitute_without_an_answer_are_unknown_under_the_callers_id() {
    let ends = [
        Outcome::not_run(Reason::Deadline, 0),
        Outcome::not_run(Reason::Overloaded, 500),
        Outcome::not_run(Reason::NoUpstream, 500),
        Outcome::Failed(Failure::Deadline),
        Outcome::Failed(Failure::Upstream),
        Outcome::Unknown(UnknownReason::MayRunElsewhere),
        Outcome::Cancelled,
    ];
    for end in ends {
        let told = outcome_under_caller_id(end.clone());
        assert_eq!(told, Outcome::Unknown(UnknownReason::NoAnswer), "{end:?}");
    }
}

#[test]
fn answers_of_a_substitute_are_answers_to_the_call() {
    let answers = [
        Outcome::Completed {
            tokens: 3,
            finish: Finish::Stop,
        },
        Outcome::Answered {
            status: 200,
            body: b"paid".to_vec(),
        },
    ];
    for answer in answers {
        assert_eq!(outcome_under_caller_id(answer.clone()), answer);
    }
}

// Guards against a second run of a call that must not run twice.
#[test]
fn only_an_unanswered_idempotent_call_is_substituted() {
    let now = TimeMs(0);
    assert!(may_substitute(
        &call(true),
        &unanswered(),
        Phase::Serving,
        now
    ));
    assert!(!may_substitute(
        &call(false),
        &unanswered(),
        Phase::Serving,
        now
    ));
    let decided = [
        Step::End(Outcome::not_run(Reason::Settled, 500)),
        Step::End(Outcome::Unknown(UnknownReason::RecordExpired)),
        Step::OtherCall,
        Step::Elsewhere,
    ];
    for first in decided {
        assert!(
            !may_substitute(&call(true), &first, Phase::Serving, now),
            "{first:?}"
        );
    }
    for phase in [Phase::Leaving, Phase::Left] {
        assert!(
            !may_substitute(&call(true), &unanswered(), phase, now),
            "{phase:?}"
        );
    }
}

// Guards against a substitute that can only be refused, since the search for the home has used up
// the deadline.
#[test]
fn call_past_its_deadline_is_not_substituted() {
    let first = unanswered();
    let before = TimeMs(DEADLINE.0 - 1);
    assert!(may_substitute(&call(true), &first, Phase::Serving, before));
    assert!(!may_substitute(
        &call(true),
        &first,
        Phase::Serving,
        DEADLINE
    ));
}
