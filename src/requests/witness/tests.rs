//! Tests of the witness table: settled, consented, expired and removed ids.

mod orders;

use super::*;
use crate::keys::{HostKey, Incarnation};
use crate::requests::id::{IdFields, IdKey};
use crate::requests::outcome::Reason;
use crate::requests::{Call, Record, TeamTag, Work};

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

fn dispatch_copy() -> Copy {
    let work = Work::Service {
        service: "claims".to_owned(),
        path: "deposits".to_owned(),
        body: b"keg 7".to_vec(),
    };
    let call = Call {
        team: "haulers".to_owned(),
        idempotent: false,
        latency_class: "interactive".to_owned(),
        deadline_ms: TimeMs(9_000),
        work,
    };
    let record = Record::new(id(), call);
    record.begin_attempt(HostKey(1), ([127, 0, 0, 1], 9).into());
    record.copy(0)
}

#[test]
fn settled_id_is_refused_consent() {
    // Guards against a home that dispatches without its witness: the home is paused, a node settles
    // the id at the witness and reports `not_run`, and the home resumes. If it dispatched, a claim
    // that a clerk has sent again under a new id would be paid twice.
    let witness = Witness::default();
    assert_eq!(witness.settle(id(), TimeMs(1)), Settlement::NotRun);
    assert!(!witness.consent(dispatch_copy(), TimeMs(1)));
    assert_eq!(witness.expire(TimeMs(ID_VALIDITY_MS)), 0);
    assert!(!witness.consent(dispatch_copy(), TimeMs(ID_VALIDITY_MS)));
}

#[test]
fn settled_id_is_refused_consent_after_its_entry_is_removed() {
    // Guards against a missing entry taken for an id that was never settled: the witness removes
    // the settled id's entry by its age, and the home resumes after half an hour and asks for
    // consent.
    let witness = Witness::default();
    assert_eq!(witness.settle(id(), TimeMs(1)), Settlement::NotRun);
    assert_eq!(witness.expire(TimeMs(ENTRY_TTL_MS)), 1);
    assert!(!witness.consent(dispatch_copy(), TimeMs(ENTRY_TTL_MS)));
}

#[test]
fn removed_claim_that_ran_is_not_reported_as_not_run() {
    // Guards against a missing entry taken for a claim without consent: the claim runs, its witness
    // removes the entry by its age, and the home is gone. A clerk that comes back late would be
    // told `not_run` and would send a claim again that was paid.
    let witness = Witness::default();
    let mut copy = dispatch_copy();
    copy.call.deadline_ms = TimeMs(1);
    assert!(witness.consent(copy, TimeMs(1)));
    assert_eq!(witness.expire(TimeMs(ENTRY_TTL_MS)), 1);
    let late = TimeMs(ENTRY_TTL_MS);
    assert_eq!(witness.settle(id(), late), Settlement::Expired);
    assert_eq!(witness.take_over(id(), late), Settlement::Expired);
    assert!(!witness.rule_out(id(), late));
}

#[test]
fn consented_id_is_never_settled_as_not_run() {
    let witness = Witness::default();
    assert!(witness.consent(dispatch_copy(), TimeMs(1)));
    assert!(matches!(
        witness.settle(id(), TimeMs(1)),
        Settlement::MayRun(Some(_))
    ));
}

#[test]
fn running_request_keeps_its_entry_past_the_entry_lifetime() {
    // Guards against an entry that expires by the age of its id while its request still runs: a
    // long report would be lost if its home failed twenty minutes after it began.
    let witness = Witness::default();
    let mut copy = dispatch_copy();
    copy.call.deadline_ms = TimeMs(10 * ENTRY_TTL_MS);
    witness.keep(copy, TimeMs(1));
    assert_eq!(witness.expire(TimeMs(2 * ENTRY_TTL_MS)), 0);
    assert_eq!(witness.expire(TimeMs(10 * ENTRY_TTL_MS)), 1);
}
