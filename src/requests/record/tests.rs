use super::*;
use crate::keys::Incarnation;
use crate::requests::id::{IdFields, IdKey};
use crate::requests::outcome::{Finish, Reason};
use crate::requests::{TeamTag, Work};

fn record() -> Record {
    let draft = IdFields {
        issued_at_ms: TimeMs(0),
        home: Incarnation(1),
        witness: Incarnation(2),
        minter: Incarnation(1),
        sequence: 1,
    };
    let work = Work::Completion {
        model: "m".to_owned(),
        prompt: "p".to_owned(),
        max_tokens: 9,
        seed: 1,
    };
    let call = Call {
        team: "t".to_owned(),
        idempotent: true,
        latency_class: "interactive".to_owned(),
        deadline_ms: TimeMs(9),
        work,
    };
    Record::new(IdKey::derive(b"k").mint(draft, TeamTag::of("t")), call)
}

fn address() -> std::net::SocketAddr {
    ([127, 0, 0, 1], 9).into()
}

#[test]
fn later_outcome_does_not_replace_the_first() {
    // Guards against an outcome that replaces an earlier one: the witness settles an id while its
    // home ends it, and a caller that was told `not_run` would later find an answer.
    let record = record();
    assert!(record.end(Outcome::not_run(Reason::Settled, 0), TimeMs(1)));
    let late = Outcome::Completed {
        tokens: 1,
        finish: Finish::Stop,
    };
    assert!(!record.end(late, TimeMs(2)));
    assert_eq!(record.outcome(), Some(Outcome::not_run(Reason::Settled, 0)));
}

#[test]
fn attempt_that_did_not_start_leaves_the_request_undispatched() {
    let record = record();
    let first = record.begin_attempt(HostKey(1), address());
    assert!(record.is_dispatched());
    record.attempt_not_started(first.attempt);
    assert!(!record.is_dispatched());
    let lost = record.begin_attempt(HostKey(2), address());
    record.close_attempt(lost.attempt);
    let refused = record.begin_attempt(HostKey(3), address());
    record.attempt_not_started(refused.attempt);
    assert!(record.is_dispatched(), "the lost attempt may have started");
}

#[test]
fn copy_holds_answer_place_and_attempts() {
    let home = record();
    let place = home.begin_attempt(HostKey(1), address());
    home.offer(place.attempt, 0, "a");
    home.offer(place.attempt, 1, "b");
    let successor = Record::from_copy(&home.copy(0), TimeMs(5));
    assert_eq!(successor.text(), "ab");
    assert_eq!(successor.place(), Some(place));
    assert!(successor.is_dispatched());
    home.offer(place.attempt, 2, "c");
    successor.merge(&home.copy(1), TimeMs(6));
    assert_eq!(
        successor.read(1),
        Reading::Tokens(Chunk::new(1, ["b", "c"].into_iter()))
    );
}

#[tokio::test]
async fn later_order_does_not_replace_a_cancel() {
    let record = record();
    record.order(Order::Cancel);
    record.order(Order::Recompute { target: HostKey(1) });
    assert_eq!(record.next_order().await, Order::Cancel);
}
