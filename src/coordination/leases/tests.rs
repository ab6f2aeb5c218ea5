mod schedules;

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{
    Action, DURATION_MS, Fencing, LeaseEntry, LeaseRequest, LeaseTable, Leases, MOST_DURATION_MS,
    Tenure, View,
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

fn says(holder: Incarnation, send: u64, request: LeaseRequest) -> LeaseEntry {
    LeaseEntry {
        name: NAME.to_owned(),
        holder,
        send,
        request,
    }
}

fn acquire(holder: Incarnation) -> LeaseEntry {
    let duration_ms = DURATION_MS;
    says(holder, 1, LeaseRequest::Acquire { duration_ms })
}

fn renew(holder: Incarnation, send: u64, fencing: u64, ends_ms: u64) -> LeaseEntry {
    let request = LeaseRequest::Renew {
        fencing: Fencing(fencing),
        duration_ms: DURATION_MS,
        ends_ms: TimeMs(ends_ms),
    };
    says(holder, send, request)
}

fn holder_of(table: &LeaseTable) -> (Option<Incarnation>, u64) {
    let lease = table.lease(NAME).expect("there was a lease");
    (lease.holder, lease.fencing.0)
}

fn view(now_ms: u64) -> View {
    View {
        now: TimeMs(now_ms),
        stale_ms: Some(0),
        rank: 0,
        wanted: true,
    }
}

fn sent(action: Action) -> LeaseEntry {
    match action {
        Action::Send(entry) => entry,
        Action::Wait { until_ms } => panic!("it waits until {until_ms:?}"),
    }
}

#[test]
fn of_two_that_acquire_the_first_holds_until_its_end() {
    let mut table = LeaseTable::new();
    table.apply(&record(1, 1_000, acquire(A)));
    table.apply(&record(2, 1_001, acquire(B)));
    assert_eq!(holder_of(&table), (Some(A), 1));
    table.apply(&record(3, 1_000 + DURATION_MS - 1, acquire(B)));
    assert_eq!(holder_of(&table), (Some(A), 1));
    table.apply(&record(4, 1_000 + DURATION_MS, acquire(B)));
    assert_eq!(holder_of(&table), (Some(B), 4));
}

/// Symptom: two nodes order one host about. The holder was paused past its lease, another took it,
/// and the first goes on. Cause: it trusts the table it has read; its own clock must stop it, and
/// its late renewal must not count.
#[test]
fn a_holder_that_was_paused_stops_by_itself() {
    let mut table = LeaseTable::new();
    let mut tenure = Tenure::new(NAME, A);
    let entry = sent(tenure.next_action(&table, view(1_000)));
    // The log takes the record late and by another clock; the holder's time began at its send.
    table.apply(&record(1, 900_000, entry));
    assert_eq!(tenure.may_act(&table, TimeMs(2_000)), Some(Fencing(1)));
    let renewal = sent(tenure.next_action(&table, view(1_000 + DURATION_MS / 3)));
    let resumed_ms = TimeMs(1_000 + DURATION_MS);
    assert_eq!(tenure.may_act(&table, resumed_ms), None);
    table.apply(&record(2, 900_000 + DURATION_MS, acquire(B)));
    table.apply(&record(3, 900_001 + DURATION_MS, renewal));
    assert_eq!(holder_of(&table), (Some(B), 2));
    assert_eq!(tenure.may_act(&table, resumed_ms), None);
}

/// Symptom: a holder acts for longer than its lease. Its append was lost and repeated. Cause: time
/// measured from the repetition, while the log took the first copy.
#[test]
fn a_repeated_append_counts_from_its_first_send() {
    let mut table = LeaseTable::new();
    let mut tenure = Tenure::new(NAME, A);
    let entry = sent(tenure.next_action(&table, view(1_000)));
    table.apply(&record(1, 4_000, entry.clone()));
    table.apply(&record(2, 9_000, entry));
    assert_eq!(holder_of(&table), (Some(A), 1));
    let last_ms = 1_000 + DURATION_MS - super::SAFETY_MS;
    assert_eq!(
        tenure.may_act(&table, TimeMs(last_ms - 1)),
        Some(Fencing(1))
    );
    assert_eq!(tenure.may_act(&table, TimeMs(last_ms)), None);
}

#[test]
fn a_holder_renews_and_keeps_its_fencing_number() {
    let mut table = LeaseTable::new();
    let mut tenure = Tenure::new(NAME, A);
    let mut now_ms = 1_000;
    let acquisition = sent(tenure.next_action(&table, view(now_ms)));
    table.apply(&record(1, now_ms, acquisition));
    for offset in 2..20 {
        now_ms += DURATION_MS / 3;
        let renewal = sent(tenure.next_action(&table, view(now_ms)));
        table.apply(&record(offset, now_ms + 40, renewal));
        assert_eq!(
            tenure.may_act(&table, TimeMs(now_ms + 50)),
            Some(Fencing(1))
        );
    }
}

/// Symptom: after an outage of the log two nodes hold a lease. Cause: a node that cannot read takes
/// a lease for free because it has not seen the renewals.
#[test]
fn nobody_acquires_on_a_stale_table() {
    let table = LeaseTable::new();
    let mut tenure = Tenure::new(NAME, A);
    for stale_ms in [None, Some(60_000)] {
        let stale = View {
            stale_ms,
            ..view(1_000)
        };
        let action = tenure.next_action(&table, stale);
        assert!(matches!(action, Action::Wait { .. }));
    }
}

#[test]
fn a_lease_given_up_is_free_at_once_and_a_late_renewal_does_not_revive_it() {
    let mut table = LeaseTable::new();
    let mut tenure = Tenure::new(NAME, A);
    let acquisition = sent(tenure.next_action(&table, view(1_000)));
    table.apply(&record(1, 1_000, acquisition));
    let renewal = sent(tenure.next_action(&table, view(1_000 + DURATION_MS / 3)));
    let unwanted = View {
        wanted: false,
        ..view(7_000)
    };
    let release = sent(tenure.next_action(&table, unwanted));
    assert_eq!(tenure.may_act(&table, TimeMs(7_000)), None);
    table.apply(&record(2, 7_100, release));
    table.apply(&record(3, 7_200, renewal));
    table.apply(&record(4, 7_300, acquire(B)));
    assert_eq!(holder_of(&table), (Some(B), 4));
}

/// Symptom: a late starter holds a lease that all others see with its old holder. The old holder's
/// renewal landed after the lease's end, when nobody had acquired it yet. Cause: only whoever saw
/// the whole stream could tell that such a renewal counts, so it must count nowhere.
#[test]
fn a_renewal_after_the_end_does_not_count() {
    let ends_ms = 1_000 + DURATION_MS;
    let mut table = LeaseTable::new();
    table.apply(&record(1, 1_000, acquire(A)));
    table.apply(&record(2, ends_ms, renew(A, 2, 1, ends_ms)));
    assert_eq!(table.free_from_ms(NAME), TimeMs(ends_ms));
    table.apply(&record(3, ends_ms + 1, acquire(B)));
    assert_eq!(holder_of(&table), (Some(B), 3));
}

fn late_table(first: u64, first_at_ms: u64) -> LeaseTable {
    let mut table = LeaseTable::new();
    table.skip(&Gap {
        wanted: 1,
        first,
        first_at_ms: Some(TimeMs(first_at_ms)),
        met_ms: TimeMs(first_at_ms),
    });
    table
}

/// Symptom: a new node holds a lease that another one holds. It started when the log had forgotten
/// the acquisition. Cause: to a table without it, the name seems free.
#[test]
fn a_late_starter_does_not_take_a_lease_that_it_cannot_see() {
    let mut table = late_table(8, 10_000);
    table.apply(&record(8, 10_000, acquire(B)));
    assert_eq!(holder_of(&table), (None, 8));
    // A holds it since record 3; its renewal says so.
    table.apply(&record(9, 11_000, renew(A, 7, 3, 16_000)));
    assert_eq!(holder_of(&table), (Some(A), 3));
    table.apply(&record(10, 12_000, acquire(B)));
    assert_eq!(holder_of(&table), (Some(A), 3));
}

#[test]
fn a_late_starter_learns_from_a_renewal_that_an_acquisition_counted() {
    let mut table = late_table(8, 10_000);
    table.apply(&record(8, 10_000, acquire(B)));
    table.apply(&record(9, 14_000, renew(B, 2, 8, 10_000 + DURATION_MS)));
    assert_eq!(holder_of(&table), (Some(B), 8));
    let quiet_ms = 10_000 + MOST_DURATION_MS;
    table.apply(&record(10, quiet_ms, acquire(A)));
    assert_eq!(holder_of(&table), (Some(A), 10));
}

/// Symptom: a role stands still or is done twice. Two nodes want it on one log; the holder stops.
/// Cause: the other must take over after the lease, and not before.
#[tokio::test]
async fn a_lease_moves_when_its_holder_gives_it_up() {
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
    a.want(NAME, 0);
    wait_for(a, clock).await;
    b.want(NAME, 1);
    assert_eq!(b.may_act(NAME, clock.now()), None);
    a.give_up(NAME);
    wait_for(b, clock).await;
    assert_eq!(a.may_act(NAME, clock.now()), None);
    a_task.abort();
    b_task.abort();
}

async fn wait_for(leases: &Leases, clock: Clock) {
    let held = async {
        while leases.may_act(NAME, clock.now()).is_none() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let held = tokio::time::timeout(Duration::from_mins(1), held).await;
    held.expect("the lease is taken in the end");
}
