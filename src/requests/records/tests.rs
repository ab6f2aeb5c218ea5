use super::*;
use crate::keys::{HostKey, Incarnation};
use crate::requests::id::{Draft, IdKey};
use crate::requests::outcome::{Failure, Finish};
use crate::requests::record::Reading;
use crate::requests::{Outcome, TeamTag, Work};

fn id() -> RequestId {
    let draft = Draft {
        issued_at_ms: TimeMs(0),
        home: Incarnation(1),
        witness: Incarnation(2),
        minter: Incarnation(1),
        sequence: 1,
    };
    IdKey::derive(b"k").mint(draft, TeamTag(1))
}

fn call(prompt: &str) -> Call {
    let work = Work::Completion {
        model: "m".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens: 9,
        seed: 1,
    };
    Call {
        team: "t".to_owned(),
        idempotent: true,
        latency_class: "interactive".to_owned(),
        deadline_ms: TimeMs(9),
        work,
    }
}

fn answered(records: &Records) {
    let Entry::New(record) = records.enter(id(), &call("reel 3"), TimeMs(0), || true) else {
        panic!("the id is new");
    };
    let place = record.begin_attempt(HostKey(1), ([127, 0, 0, 1], 9).into());
    record.offer(place.attempt, 0, "frame 7");
    record.end(
        Outcome::Completed {
            tokens: 1,
            finish: Finish::Stop,
        },
        TimeMs(10),
    );
}

#[test]
fn a_resend_after_the_answer_was_dropped_neither_runs_nor_reads_as_empty() {
    // Symptom: an empty answer, or a second run, for a caller who comes back after an hour.
    // Sequence: the answer is dropped for want of memory; the caller sends the id again.
    // Cause: the record forgotten with its answer, or its outcome kept as if the answer were there.
    let records = Records::default();
    answered(&records);
    assert_eq!(records.expire(TimeMs(10 + KEEP_ANSWER_MS)), 0);
    let Entry::Known(record) =
        records.enter(id(), &call("reel 3"), TimeMs(10 + KEEP_ANSWER_MS), || true)
    else {
        panic!("the id is known");
    };
    assert_eq!(
        record.read(0),
        Reading::End(Outcome::Failed(Failure::AnswerExpired))
    );
    let other = records.enter(id(), &call("reel 4"), TimeMs(10 + KEEP_ANSWER_MS), || true);
    assert!(
        matches!(other, Entry::OtherCall),
        "the fingerprint outlives the prompt"
    );
}

#[test]
fn a_record_is_forgotten_only_when_its_id_can_no_longer_start() {
    let records = Records::default();
    answered(&records);
    assert_eq!(records.expire(TimeMs(ID_VALIDITY_MS)), 0);
    let late = TimeMs(ID_VALIDITY_MS + KEEP_AFTER_VALIDITY_MS);
    assert_eq!(records.expire(late), 1);
    assert!(matches!(
        records.enter(id(), &call("reel 3"), late, || true),
        Entry::Expired
    ));
}

#[test]
fn a_node_that_has_left_lets_no_new_call_in() {
    // Symptom: a claim runs at a node that has left, and at its heir.
    // Sequence: a thread finds that the node still takes calls and is held up; the node leaves and
    // hands over what it sees; the thread goes on and lets the call in.
    // Cause: leaving and letting in decided at two moments.
    let records = Records::default();
    let closed = records.enter(id(), &call("reel 3"), TimeMs(0), || false);
    assert!(matches!(closed, Entry::Closed));
    assert!(records.is_empty());
}
