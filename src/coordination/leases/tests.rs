mod schedules;

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{
    Action, DURATION_MS, DecisionContext, FencingToken, LeaseEntry, LeaseRequest, LeaseTable,
    Leases, LocalLease, MAX_DURATION_MS,
};
use crate::coordination::budget::AppendBudget;
use crate::coordination::fakes::FakeLog;
use crate::coordination::follower::{Fold, Gap};
use crate::coordination::log::Record;
use crate::keys::Incarnation;
use crate::time::{Clock, TimeMs};

const NAME: &str = "placement/hala-a";
const A: Incarnation = Incarnation(0xa);
const B: Incarnation = Incarnation(0xb);

fn record(offset: u64, at_ms: u64, entry: LeaseEntry) -> Record {
    Record {
        offset,
        at_ms: TimeMs(at_ms),
        writer: entry.holder.to_string(),
        sequence: offset,
        payload: serde_json::to_string(&[entry]).expect("entries have a JSON form"),
    }
}

fn entry(holder: Incarnation, send: u64, request: LeaseRequest) -> LeaseEntry {
    LeaseEntry {
        name: NAME.to_owned(),
        holder,
        send,
        request,
    }
}

fn acquire(holder: Incarnation) -> LeaseEntry {
    let duration_ms = DURATION_MS;
    entry(holder, 1, LeaseRequest::Acquire { duration_ms })
}

fn renew(holder: Incarnation, send: u64, fencing: u64, ends_ms: u64) -> LeaseEntry {
    let request = LeaseRequest::Renew {
        fencing: FencingToken(fencing),
        duration_ms: DURATION_MS,
        ends_ms: TimeMs(ends_ms),
    };
    entry(holder, send, request)
}

fn holder_of(table: &LeaseTable) -> (Option<Incarnation>, u64) {
    let lease = table.lease(NAME).expect("there was a lease");
    (lease.holder, lease.fencing.0)
}

fn context(now_ms: u64) -> DecisionContext {
    DecisionContext {
        now: TimeMs(now_ms),
        staleness_ms: Some(0),
        rank: 0,
        is_wanted: true,
    }
}

fn sent(action: Action) -> LeaseEntry {
    match action {
        Action::Send(entry) => entry,
        Action::Wait { until_ms } => panic!("no entry is due until {until_ms:?}"),
    }
}

#[test]
fn first_of_two_acquisitions_holds_until_expiry() {
    let mut table = LeaseTable::new();
    table.apply(&record(1, 1_000, acquire(A)));
    table.apply(&record(2, 1_001, acquire(B)));
    assert_eq!(holder_of(&table), (Some(A), 1));
    table.apply(&record(3, 1_000 + DURATION_MS - 1, acquire(B)));
    assert_eq!(holder_of(&table), (Some(A), 1));
    table.apply(&record(4, 1_000 + DURATION_MS, acquire(B)));
    assert_eq!(holder_of(&table), (Some(B), 4));
}

/// Guards against two nodes acting on one host: a holder is paused past the expiry of its lease,
/// another node acquires it, and the first one resumes with the table it had read. Its own clock
/// must stop it, and its late renewal must have no effect.
#[test]
fn paused_holder_stops_by_its_own_clock() {
    let mut table = LeaseTable::new();
    let mut local_lease = LocalLease::new(NAME, A);
    let entry = sent(local_lease.next_action(&table, context(1_000)));
    // The log appends the record late and by another clock; the holder counts from its send.
    table.apply(&record(1, 900_000, entry));
    assert_eq!(
        local_lease.held_token(&table, TimeMs(2_000)),
        Some(FencingToken(1))
    );
    let renewal = sent(local_lease.next_action(&table, context(1_000 + DURATION_MS / 3)));
    let resumed_ms = TimeMs(1_000 + DURATION_MS);
    assert_eq!(local_lease.held_token(&table, resumed_ms), None);
    table.apply(&record(2, 900_000 + DURATION_MS, acquire(B)));
    table.apply(&record(3, 900_001 + DURATION_MS, renewal));
    assert_eq!(holder_of(&table), (Some(B), 2));
    assert_eq!(local_lease.held_token(&table, resumed_ms), None);
}

/// Guards against a holder that acts after expiry: an append is repeated after a lost response, and
/// the holder counts from the repetition although the log granted the lease by the first copy.
#[test]
fn repeated_append_counts_from_its_first_send() {
    let mut table = LeaseTable::new();
    let mut local_lease = LocalLease::new(NAME, A);
    let entry = sent(local_lease.next_action(&table, context(1_000)));
    table.apply(&record(1, 4_000, entry.clone()));
    table.apply(&record(2, 9_000, entry));
    assert_eq!(holder_of(&table), (Some(A), 1));
    let last_ms = 1_000 + DURATION_MS - super::SAFETY_MARGIN_MS;
    assert_eq!(
        local_lease.held_token(&table, TimeMs(last_ms - 1)),
        Some(FencingToken(1))
    );
    assert_eq!(local_lease.held_token(&table, TimeMs(last_ms)), None);
}

#[test]
fn renewal_keeps_the_fencing_token() {
    let mut table = LeaseTable::new();
    let mut local_lease = LocalLease::new(NAME, A);
    let mut now_ms = 1_000;
    let acquisition = sent(local_lease.next_action(&table, context(now_ms)));
    table.apply(&record(1, now_ms, acquisition));
    for offset in 2..20 {
        now_ms += DURATION_MS / 3;
        let renewal = sent(local_lease.next_action(&table, context(now_ms)));
        table.apply(&record(offset, now_ms + 40, renewal));
        assert_eq!(
            local_lease.held_token(&table, TimeMs(now_ms + 50)),
            Some(FencingToken(1))
        );
    }
}

/// Guards against two holders after an outage of the log: a node that cannot read the log has not
/// seen the renewals and takes the lease for expired.
#[test]
fn stale_table_prevents_acquisition() {
    let table = LeaseTable::new();
    let mut local_lease = LocalLease::new(NAME, A);
    for staleness_ms in [None, Some(60_000)] {
        let stale = DecisionContext {
            staleness_ms,
            ..context(1_000)
        };
        let action = local_lease.next_action(&table, stale);
        assert!(matches!(action, Action::Wait { .. }));
    }
}

#[test]
fn released_lease_is_free_at_once_and_not_revived_by_a_late_renewal() {
    let mut table = LeaseTable::new();
    let mut local_lease = LocalLease::new(NAME, A);
    let acquisition = sent(local_lease.next_action(&table, context(1_000)));
    table.apply(&record(1, 1_000, acquisition));
    let renewal = sent(local_lease.next_action(&table, context(1_000 + DURATION_MS / 3)));
    let unwanted = DecisionContext {
        is_wanted: false,
        ..context(7_000)
    };
    let release = sent(local_lease.next_action(&table, unwanted));
    assert_eq!(local_lease.held_token(&table, TimeMs(7_000)), None);
    table.apply(&record(2, 7_100, release));
    table.apply(&record(3, 7_200, renewal));
    table.apply(&record(4, 7_300, acquire(B)));
    assert_eq!(holder_of(&table), (Some(B), 4));
}

/// Guards against a node that starts late and sees another holder than all others: the old holder's
/// renewal lands after expiry, before any other acquisition. Only a node that read the whole stream
/// could tell that such a renewal is valid, so no node may accept it.
#[test]
fn renewal_after_expiry_is_ignored() {
    let ends_ms = 1_000 + DURATION_MS;
    let mut table = LeaseTable::new();
    table.apply(&record(1, 1_000, acquire(A)));
    table.apply(&record(2, ends_ms, renew(A, 2, 1, ends_ms)));
    assert_eq!(table.free_from_ms(NAME), TimeMs(ends_ms));
    table.apply(&record(3, ends_ms + 1, acquire(B)));
    assert_eq!(holder_of(&table), (Some(B), 3));
}

fn table_after_gap(first: u64, first_at_ms: u64) -> LeaseTable {
    let mut table = LeaseTable::new();
    table.skip(&Gap {
        wanted: 1,
        first,
        first_at_ms: Some(TimeMs(first_at_ms)),
        detected_at_ms: TimeMs(first_at_ms),
    });
    table
}

/// Guards against a second holder: a node starts after the log dropped the acquisition, and without
/// that record the lease seems free.
#[test]
fn late_starter_does_not_acquire_a_lease_with_missing_records() {
    let mut table = table_after_gap(8, 10_000);
    table.apply(&record(8, 10_000, acquire(B)));
    assert_eq!(holder_of(&table), (None, 8));
    // A holds the lease since record 3, as its renewal shows.
    table.apply(&record(9, 11_000, renew(A, 7, 3, 16_000)));
    assert_eq!(holder_of(&table), (Some(A), 3));
    table.apply(&record(10, 12_000, acquire(B)));
    assert_eq!(holder_of(&table), (Some(A), 3));
}

#[test]
fn renewal_confirms_an_uncertain_acquisition() {
    let mut table = table_after_gap(8, 10_000);
    table.apply(&record(8, 10_000, acquire(B)));
    table.apply(&record(9, 14_000, renew(B, 2, 8, 10_000 + DURATION_MS)));
    assert_eq!(holder_of(&table), (Some(B), 8));
    let quiet_ms = 10_000 + MAX_DURATION_MS;
    table.apply(&record(10, quiet_ms, acquire(A)));
    assert_eq!(holder_of(&table), (Some(A), 10));
}

/// Guards against a role that is held by no node or by two: two nodes compete on one log, and the
/// holder releases. The other must acquire after the release, not before.
#[tokio::test]
async fn released_lease_moves_to_the_next_candidate() {
    let log = FakeLog::new();
    let clock = Clock::new();
    log.set_now(clock.now());
    let nodes = [A, B].map(|me| {
        let budget = Arc::new(AppendBudget::new(100.0, 100.0, TimeMs(0)));
        let rng = SmallRng::seed_from_u64(me.0);
        let (leases, task) = Leases::new(Arc::new(log.clone()), me, clock, budget, rng);
        (leases, tokio::spawn(task.run()))
    });
    let [(a, a_task), (b, b_task)] = &nodes;
    a.compete_for(NAME, 0);
    wait_for(a, clock).await;
    b.compete_for(NAME, 1);
    assert_eq!(b.held_token(NAME, clock.now()), None);
    a.release(NAME);
    wait_for(b, clock).await;
    assert_eq!(a.held_token(NAME, clock.now()), None);
    a_task.abort();
    b_task.abort();
}

async fn wait_for(leases: &Leases, clock: Clock) {
    let held = async {
        while leases.held_token(NAME, clock.now()).is_none() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let held = tokio::time::timeout(Duration::from_mins(1), held).await;
    held.expect("the lease is acquired within a minute");
}
