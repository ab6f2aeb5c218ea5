use super::super::id::{IdFields, IdKey};
use super::*;
use crate::keys::Incarnation;
use crate::requests::TeamTag;

fn id(issued_at_ms: u64) -> RequestId {
    let draft = IdFields {
        issued_at_ms: TimeMs(issued_at_ms),
        home: Incarnation(1),
        witness: Incarnation(2),
        minter: Incarnation(1),
        sequence: 1,
    };
    IdKey::derive(b"a key of these tests").mint(draft, TeamTag::of("pubs"))
}

fn refused() -> Step {
    Step::End(Outcome::NotRun(not_run(Reason::Settled, 500)))
}

#[test]
fn only_a_holder_that_did_not_run_is_superseded() {
    let now = TimeMs(1_000_000);
    let holder = id(999_000);
    assert_eq!(
        action_after_lost_claim(&holder, &refused(), 0, now),
        HolderAction::Supersede
    );
    let others = [
        Step::End(Outcome::Unknown(UnknownReason::HomeGone)),
        Step::End(Outcome::Cancelled),
        Step::OtherCall,
        Step::Elsewhere,
    ];
    for first in others {
        assert_eq!(
            action_after_lost_claim(&holder, &first, 0, now),
            HolderAction::Answer
        );
    }
    assert_eq!(
        action_after_lost_claim(&holder, &refused(), MAX_CLAIM_ROUNDS - 1, now),
        HolderAction::Answer
    );
}

#[test]
fn not_run_of_an_expired_holder_is_reported_as_unknown() {
    // Guards against trust in a witness whose entry has expired: a call runs, its home fails, its
    // witness removes the entry, and the key is sent again. The witness would report that the id
    // never ran, and the call would run twice, a quarter of an hour apart.
    let now = TimeMs(10_000_000);
    let holder = id(now.0 - CLAIM_TTL_MS - CLOCK_SKEW_MS);
    let next = action_after_lost_claim(&holder, &refused(), 0, now);
    assert_eq!(next, HolderAction::Unknown(UnknownReason::RecordExpired));
}

#[test]
fn not_run_after_a_silent_claimer_is_reported_as_unknown() {
    let refusal = not_run(Reason::LogUnavailable, LOG_RETRY_MS);
    let claimed = ClaimResult::NotRun(id(1), refusal);
    assert_eq!(with_silent_claimer(claimed.clone(), false), claimed);
    let uncertain = with_silent_claimer(claimed, true);
    assert_eq!(
        uncertain,
        ClaimResult::Unknown(id(1), UnknownReason::NoAnswer)
    );
    let won = ClaimResult::Won(id(1));
    assert_eq!(with_silent_claimer(won.clone(), true), won);
}
