use super::*;
use crate::keys::{HostKey, Incarnation};
use crate::requests::id::{IdFields, IdKey};
use crate::requests::outcome::{Failure, Finish};
use crate::requests::record::Reading;
use crate::requests::{Outcome, TeamTag, Work};

fn id() -> RequestId {
    let draft = IdFields {
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
    let Entry::New(record) = records.get_or_insert(id(), &call("reel 3"), TimeMs(0), || true)
    else {
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
fn resend_after_the_answer_was_dropped_ends_as_answer_expired() {
    // Guards against a record that is removed together with its answer, or whose outcome is kept as
    // if the answer were still there: an answer is dropped to free memory, and a caller that sends
    // the id again after an hour would get a second run or an empty answer.
    let records = Records::default();
    answered(&records);
    assert_eq!(records.expire(TimeMs(10 + ANSWER_RETENTION_MS)), 0);
    let Entry::Known(record) = records.get_or_insert(
        id(),
        &call("reel 3"),
        TimeMs(10 + ANSWER_RETENTION_MS),
        || true,
    ) else {
        panic!("the id is known");
    };
    assert_eq!(
        record.read(0),
        Reading::End(Outcome::Failed(Failure::AnswerExpired))
    );
    let other = records.get_or_insert(
        id(),
        &call("reel 4"),
        TimeMs(10 + ANSWER_RETENTION_MS),
        || true,
    );
    assert!(
        matches!(other, Entry::OtherCall),
        "the fingerprint outlives the prompt"
    );
}

#[test]
fn record_is_removed_only_after_its_id_has_expired() {
    let records = Records::default();
    answered(&records);
    assert_eq!(records.expire(TimeMs(ID_VALIDITY_MS)), 0);
    let late = TimeMs(ID_VALIDITY_MS + OUTCOME_RETENTION_MS);
    assert_eq!(records.expire(late), 1);
    assert!(matches!(
        records.get_or_insert(id(), &call("reel 3"), late, || true),
        Entry::Expired
    ));
}

#[test]
fn closed_table_accepts_no_new_call() {
    // Guards against a phase check outside the shard's lock: a thread finds that the node accepts
    // calls and is delayed; the node leaves and hands over the requests that it sees; the thread
    // then inserts the call, which would run both on this node and at its successor.
    let records = Records::default();
    let closed = records.get_or_insert(id(), &call("reel 3"), TimeMs(0), || false);
    assert!(matches!(closed, Entry::Closed));
    assert!(records.is_empty());
}
