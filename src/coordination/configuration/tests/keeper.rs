//! The keeper on a log that fails.

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::JoinHandle;

use crate::coordination::budget::AppendBudget;
use crate::coordination::configuration::renewal::{Renewals, renewal_due_ms};
use crate::coordination::configuration::{ConfigurationKeeper, NewChange, STREAM, SubmitError};
use crate::coordination::fakes::{AppendFault, FakeLog};
use crate::keys::Incarnation;
use crate::time::{Clock, TimeMs};

type Check = fn(&str) -> Option<String>;
type Keeper = Arc<ConfigurationKeeper<FakeLog, Check>>;

fn keeper(log: &FakeLog, node: u64) -> (Keeper, JoinHandle<()>) {
    let (keeper, task) = ConfigurationKeeper::new(
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

fn soon() -> TimeMs {
    Clock::new().now().after(10_000)
}

async fn document(keeper: &Keeper, revision: u64) -> String {
    let mut revisions = keeper.watch_revision();
    let reached = revisions.wait_for(|held| *held >= revision).await;
    reached.expect("the keeper lives");
    let held = |fold: &mut crate::coordination::configuration::Configuration<Check>| {
        fold.held().map(|held| held.checked.as_str().to_owned())
    };
    keeper
        .followed()
        .with(held)
        .expect("a document is in force")
}

/// Symptom: an operator's change is lost silently, or the operator is told that it failed though it
/// is in force. Two operators race, and the log loses the answer to the winner's append.
/// Cause: the answer to an append says nothing of the order; only the stream does.
#[tokio::test]
async fn racing_operators_and_a_lost_answer() {
    let log = FakeLog::new();
    log.set_now(Clock::new().now());
    let (a, a_task) = keeper(&log, 1);
    let (b, b_task) = keeper(&log, 2);
    let first = a.submit(change(0, "first"), soon()).await;
    assert_eq!(first.ok(), Some(1));
    assert_eq!(document(&b, 1).await, "first");

    log.add_faults([AppendFault::LostAnswer]);
    let (won, lost) = tokio::join!(
        a.submit(change(1, "by a"), soon()),
        b.submit(change(1, "by b"), soon()),
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

/// Symptom: a node that starts during an outage of the log serves nothing. Cause: it has no
/// document, though its peers have.
#[tokio::test]
async fn a_node_that_starts_during_an_outage_takes_a_peer_s_document() {
    let log = FakeLog::new();
    log.set_now(Clock::new().now());
    let (a, a_task) = keeper(&log, 1);
    a.submit(change(0, "first"), soon())
        .await
        .expect("the log is up");
    log.set_out(true);
    let (b, b_task) = keeper(&log, 2);
    let snapshot = a.followed().with(|fold| fold.snapshot());
    assert!(b.adopt(&snapshot.expect("a has a document")));
    assert_eq!(document(&b, 1).await, "first");
    let refused = b
        .submit(change(1, "second"), Clock::new().now().after(50))
        .await;
    assert!(matches!(refused, Err(SubmitError::NotWritten(_))));
    log.set_out(false);
    let second = b.submit(change(1, "second"), soon()).await;
    assert_eq!(second.ok(), Some(2));
    assert_eq!(document(&a, 2).await, "second");
    a_task.abort();
    b_task.abort();
}

/// Symptom: after a restart of all nodes no document is in force. Cause: the log forgot it before
/// anybody renewed it.
#[test]
fn all_nodes_would_renew_before_half_of_the_retention_is_over() {
    let renewals = Renewals {
        retention_ms: 600_000,
        renewed_at_ms: Some(TimeMs(1_000_000)),
        known_since_ms: TimeMs(0),
        draw: 0.0,
    };
    let first = renewal_due_ms(renewals);
    let last = renewal_due_ms(Renewals {
        draw: 1.0,
        ..renewals
    });
    assert_eq!((first, last), (TimeMs(1_200_000), TimeMs(1_300_000)));
}

/// Symptom: the log refuses appends when it returns. It was out for longer than the renewals' time.
/// Cause: all nodes find the renewal overdue at once.
#[test]
fn overdue_renewals_are_spread_over_a_minute() {
    for renewed_at_ms in [None, Some(TimeMs(1_000))] {
        let due_ms = |draw| {
            renewal_due_ms(Renewals {
                retention_ms: 600_000,
                renewed_at_ms,
                known_since_ms: TimeMs(5_000_000),
                draw,
            })
        };
        assert_eq!(due_ms(0.0), TimeMs(5_000_000));
        assert_eq!(due_ms(0.5), TimeMs(5_030_000));
        assert_eq!(due_ms(1.0), TimeMs(5_060_000));
    }
}
