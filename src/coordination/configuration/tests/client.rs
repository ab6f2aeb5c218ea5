//! Tests of [`ConfigurationClient`] on a failing log.

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::JoinHandle;

use crate::coordination::budget::AppendBudget;
use crate::coordination::configuration::renewal::{RenewalInputs, renewal_due_ms};
use crate::coordination::configuration::{ConfigurationClient, NewChange, STREAM, SubmitError};
use crate::coordination::fakes::{AppendFault, FakeLog};
use crate::keys::Incarnation;
use crate::time::{Clock, TimeMs};

type Check = fn(&str) -> Option<String>;
type Keeper = Arc<ConfigurationClient<FakeLog, Check>>;

fn keeper(log: &FakeLog, node: u64) -> (Keeper, JoinHandle<()>) {
    let (keeper, task) = ConfigurationClient::new(
        Arc::new(log.clone()),
        Incarnation(node),
        Clock::new(),
        Arc::new(AppendBudget::new(100.0, 100.0, TimeMs(0))),
        None,
        (|text| Some(text.to_owned())) as Check,
        SmallRng::seed_from_u64(node),
    );
    (keeper, tokio::spawn(task.run()))
}

fn change(base_revision: u64, document: &str) -> NewChange {
    NewChange {
        base_revision,
        operator: "marek".to_owned(),
        document: document.to_owned(),
    }
}

fn deadline() -> TimeMs {
    Clock::new().now().after(10_000)
}

async fn document(keeper: &Keeper, revision: u64) -> String {
    let mut revisions = keeper.watch_revision();
    let reached = revisions.wait_for(|held| *held >= revision).await;
    reached.expect("the keeper is alive");
    let held = |fold: &mut crate::coordination::configuration::Configuration<Check>| {
        fold.held().map(|held| held.checked.as_str().to_owned())
    };
    keeper.fold().with(held).expect("a document is in force")
}

/// Guards against a change that is lost silently, and against reporting a change in force as
/// failed: two operators submit at the same time, and the response to the accepted append is lost.
/// The response does not show the order of the changes; only the stream does.
#[tokio::test]
async fn one_of_two_concurrent_changes_is_accepted_despite_a_lost_response() {
    let log = FakeLog::new();
    log.set_now(Clock::new().now());
    let (a, a_task) = keeper(&log, 1);
    let (b, b_task) = keeper(&log, 2);
    let first = a.submit(change(0, "first"), deadline()).await;
    assert_eq!(first.ok(), Some(1));
    assert_eq!(document(&b, 1).await, "first");

    log.add_faults([AppendFault::LostResponse]);
    let (won, lost) = tokio::join!(
        a.submit(change(1, "by a"), deadline()),
        b.submit(change(1, "by b"), deadline()),
    );
    let outcomes = [won, lost];
    let accepted = outcomes.iter().filter(|outcome| outcome.is_ok()).count();
    let stale =
        |outcome: &&Result<u64, SubmitError>| outcome.as_ref().is_err_and(SubmitError::is_stale);
    assert_eq!((accepted, outcomes.iter().filter(stale).count()), (1, 1));
    assert_eq!(log.records(STREAM).len(), 3);
    assert_eq!(document(&a, 2).await, document(&b, 2).await);
    a_task.abort();
    b_task.abort();
}

/// Guards against a node that starts during an outage of the log and serves nothing, because it has
/// no document although its peers have one.
#[tokio::test]
async fn node_started_during_an_outage_adopts_a_peer_document() {
    let log = FakeLog::new();
    log.set_now(Clock::new().now());
    let (a, a_task) = keeper(&log, 1);
    a.submit(change(0, "first"), deadline())
        .await
        .expect("the log is available");
    log.set_unavailable(true);
    let (b, b_task) = keeper(&log, 2);
    let snapshot = a.fold().with(|fold| fold.snapshot());
    assert!(b.adopt(&snapshot.expect("a has a document")));
    assert_eq!(document(&b, 1).await, "first");
    let refused = b
        .submit(change(1, "second"), Clock::new().now().after(50))
        .await;
    assert!(matches!(refused, Err(SubmitError::NotWritten(_))));
    log.set_unavailable(false);
    let second = b.submit(change(1, "second"), deadline()).await;
    assert_eq!(second.ok(), Some(2));
    assert_eq!(document(&a, 2).await, "second");
    a_task.abort();
    b_task.abort();
}

/// Guards against a restart of all nodes that leaves no document in force because the log dropped
/// the document before any node renewed it.
#[test]
fn renewals_are_due_before_half_of_the_retention() {
    let inputs = RenewalInputs {
        retention_ms: 600_000,
        renewed_at_ms: Some(TimeMs(1_000_000)),
        known_since_ms: TimeMs(0),
        jitter: 0.0,
    };
    let first = renewal_due_ms(inputs);
    let last = renewal_due_ms(RenewalInputs {
        jitter: 1.0,
        ..inputs
    });
    assert_eq!((first, last), (TimeMs(1_200_000), TimeMs(1_300_000)));
}

/// Guards against appends rejected by the log when it returns after an outage longer than the
/// renewal period, because the renewals of all nodes are overdue at once.
#[test]
fn overdue_renewals_are_spread_over_a_minute() {
    for renewed_at_ms in [None, Some(TimeMs(1_000))] {
        let due_ms = |jitter| {
            renewal_due_ms(RenewalInputs {
                retention_ms: 600_000,
                renewed_at_ms,
                known_since_ms: TimeMs(5_000_000),
                jitter,
            })
        };
        assert_eq!(due_ms(0.0), TimeMs(5_000_000));
        assert_eq!(due_ms(0.5), TimeMs(5_030_000));
        assert_eq!(due_ms(1.0), TimeMs(5_060_000));
    }
}
