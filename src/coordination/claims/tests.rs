mod every_order;
mod log_faults;
mod views;

use super::{CLAIM_TTL_MS, Claim, ClaimKey, ClaimTable, Holder, choose_claimer, interval_ms};
use crate::coordination::follower::Fold;
use crate::coordination::log::Record;
use crate::keys::Incarnation;
use crate::time::TimeMs;

const KEY: ClaimKey = ClaimKey(7);

fn claim(id: &str, supersedes: Option<&str>) -> Claim {
    Claim {
        key: KEY,
        id: id.to_owned(),
        supersedes: supersedes.map(str::to_owned),
    }
}

fn record(offset: u64, at_ms: TimeMs, claims: &[Claim]) -> Record {
    Record {
        offset,
        at_ms,
        writer: format!("writer-{offset}"),
        sequence: 1,
        payload: serde_json::to_string(claims).expect("claims have a JSON form"),
    }
}

fn table_of(claims: &[(u64, Claim)]) -> ClaimTable {
    let mut table = ClaimTable::new(0);
    for (offset, (at_ms, claim)) in (1..).zip(claims) {
        table.apply(&record(offset, TimeMs(*at_ms), std::slice::from_ref(claim)));
    }
    table
}

fn winner(table: &ClaimTable) -> Option<&str> {
    match table.holder(KEY) {
        Holder::Request { winner, .. } => Some(winner),
        Holder::Free | Holder::Uncertain => None,
    }
}

#[test]
fn first_claim_wins() {
    let table = table_of(&[(1, claim("a", None)), (2, claim("b", None))]);
    assert_eq!(winner(&table), Some("a"));
}

/// Guards against a call that runs twice because of a stale view of the winner: two requests
/// supersede the same winner that did not run, or one supersedes a request that has itself been
/// superseded.
#[test]
fn only_the_current_winner_can_be_superseded() {
    let both = [
        (1, claim("a", None)),
        (2, claim("b", Some("a"))),
        (3, claim("c", Some("a"))),
    ];
    assert_eq!(winner(&table_of(&both)), Some("b"));
    let late_copy = [
        (1, claim("a", None)),
        (2, claim("b", Some("a"))),
        (3, claim("a", None)),
    ];
    assert_eq!(winner(&table_of(&late_copy)), Some("b"));
}

#[test]
fn claim_expires_by_the_log_clock() {
    let next = |at_ms| table_of(&[(5, claim("a", None)), (at_ms, claim("b", None))]);
    assert_eq!(winner(&next(CLAIM_TTL_MS + 4)), Some("a"));
    assert_eq!(winner(&next(CLAIM_TTL_MS + 5)), Some("b"));
    let others = claim("c", None);
    let other_key = Claim {
        key: ClaimKey(8),
        ..others
    };
    let table = table_of(&[(5, claim("a", None)), (CLAIM_TTL_MS + 5, other_key)]);
    assert_eq!(table.len(), 1);
}

/// Guards against a call that runs twice: its home is paused and claims again, while the key
/// expires and another request claims it. A repeated claim must not extend the time to start.
#[test]
fn repeated_claim_does_not_extend_the_time_to_live() {
    let table = table_of(&[
        (5, claim("a", None)),
        (CLAIM_TTL_MS, claim("a", None)),
        (CLAIM_TTL_MS + 5, claim("b", None)),
    ]);
    assert_eq!(winner(&table), Some("b"));
}

#[test]
fn keys_of_different_teams_differ() {
    assert_ne!(ClaimKey::of("a", "bc"), ClaimKey::of("ab", "c"));
    assert_eq!(ClaimKey::of("a", "bc"), ClaimKey::of("a", "bc"));
}

/// Guards against appends rejected by the log because more claimers append than the budget allows.
#[test]
fn claims_of_340_nodes_take_80_appends_per_second() {
    let nodes: Vec<Incarnation> = (0..340).map(Incarnation).collect();
    let mut claimers: Vec<(u8, Incarnation)> = (0..5_000)
        .map(|key| ClaimKey::of("team", &format!("key-{key}")))
        .filter_map(|key| Some((key.partition(), choose_claimer(key, &nodes, 0)?)))
        .collect();
    claimers.sort_unstable();
    claimers.dedup();
    assert_eq!(claimers.len(), 16);
    let a_second = 1_000 / interval_ms(1);
    assert_eq!(claimers.len() as u64 * a_second, 80);
    assert_eq!(interval_ms(5), 5 * interval_ms(1));
}
