//! What a witness says of requests that are settled, consented to, old or forgotten.

mod orders;

use super::*;
use crate::keys::{HostKey, Incarnation};
use crate::requests::id::{Draft, IdKey};
use crate::requests::outcome::Reason;
use crate::requests::{Call, Record, TeamTag, Work};

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

fn intent() -> Copy {
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
fn a_settled_id_is_never_consented_to() {
    // Symptom: a clerk was told `not_run`, sent the claim again under a new id, and it was paid twice.
    // Sequence: the home is paused; a node asks the witness and tells `not_run`; the home resumes.
    // Cause: a home that dispatches by its own view alone.
    let witness = Witness::default();
    assert_eq!(witness.settle(id(), TimeMs(1)), Settlement::NotRun);
    assert!(!witness.consent(intent(), TimeMs(1)));
    assert_eq!(witness.expire(TimeMs(ID_VALIDITY_MS)), 0);
    assert!(!witness.consent(intent(), TimeMs(ID_VALIDITY_MS)));
}

#[test]
fn a_settled_id_stays_settled_after_it_is_forgotten() {
    // Symptom: as above, after a pause of half an hour.
    // Sequence: the witness forgets the settled id by its age; the home resumes and asks consent.
    // Cause: an absent entry taken for one never settled.
    let witness = Witness::default();
    assert_eq!(witness.settle(id(), TimeMs(1)), Settlement::NotRun);
    assert_eq!(witness.expire(TimeMs(KEEP_MS)), 1);
    assert!(!witness.consent(intent(), TimeMs(KEEP_MS)));
}

#[test]
fn a_claim_that_ran_and_was_forgotten_is_not_said_to_have_not_run() {
    // Symptom: a clerk is told `not_run` of a claim that was paid, and claims again.
    // Sequence: the claim runs; its witness forgets it by its age; its home is gone; a caller that
    // comes back late asks.
    // Cause: an absent entry taken for a claim that was never consented to.
    let witness = Witness::default();
    let mut told = intent();
    told.call.deadline_ms = TimeMs(1);
    assert!(witness.consent(told, TimeMs(1)));
    assert_eq!(witness.expire(TimeMs(KEEP_MS)), 1);
    let late = TimeMs(KEEP_MS);
    assert_eq!(witness.settle(id(), late), Settlement::Forgotten);
    assert_eq!(witness.take_over(id(), late), Settlement::Forgotten);
    assert!(!witness.rule_out(id(), late));
}

#[test]
fn consent_rules_out_not_run() {
    let witness = Witness::default();
    assert!(witness.consent(intent(), TimeMs(1)));
    assert!(matches!(
        witness.settle(id(), TimeMs(1)),
        Settlement::MayRun(Some(_))
    ));
}

#[test]
fn a_report_that_takes_hours_keeps_its_standby() {
    // Symptom: a long report is lost with its home, twenty minutes after it began.
    // Sequence: the report runs on; the witness forgets it by the age of its id; the home dies.
    // Cause: an entry's age counted from its minting although the request still runs.
    let witness = Witness::default();
    let mut told = intent();
    told.call.deadline_ms = TimeMs(10 * KEEP_MS);
    witness.keep(told, TimeMs(1));
    assert_eq!(witness.expire(TimeMs(2 * KEEP_MS)), 0);
    assert_eq!(witness.expire(TimeMs(10 * KEEP_MS)), 1);
}
