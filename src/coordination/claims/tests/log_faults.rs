//! Tests of the claimer on a failing log.

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{KEY, claim};
use crate::coordination::budget::AppendBudget;
use crate::coordination::claims::{ClaimOutcome, Claimer, stream};
use crate::coordination::fakes::{AppendFault, FakeLog};
use crate::keys::Incarnation;
use crate::time::{Clock, TimeMs};

fn claimer(log: &FakeLog, node: u64) -> Claimer<FakeLog> {
    let budget = Arc::new(AppendBudget::new(1_000.0, 1_000.0, TimeMs(0)));
    let rng = SmallRng::seed_from_u64(node);
    let log = Arc::new(log.clone());
    Claimer::new(log, Incarnation(node), Clock::new(), budget, rng)
}

fn log() -> FakeLog {
    let log = FakeLog::new();
    log.set_now(Clock::new().now());
    log
}

fn deadline(left_ms: u64) -> TimeMs {
    Clock::new().now().after(left_ms)
}

fn lost_to(winner: &str) -> ClaimOutcome {
    let winner = winner.to_owned();
    ClaimOutcome::Lost { winner }
}

#[tokio::test]
async fn one_of_two_claimers_wins() {
    let log = log();
    let nodes = [claimer(&log, 1), claimer(&log, 2)];
    let first = nodes[0].claim(claim("a", None), deadline(10_000)).await;
    let second = nodes[1].claim(claim("b", None), deadline(10_000)).await;
    let again = nodes[1].claim(claim("a", None), deadline(10_000)).await;
    assert_eq!(first.ok(), Some(ClaimOutcome::Won));
    assert_eq!(second.ok(), Some(lost_to("a")));
    assert_eq!(again.ok(), Some(ClaimOutcome::Won));
    let superseding = nodes[1]
        .claim(claim("c", Some("a")), deadline(10_000))
        .await;
    assert_eq!(superseding.ok(), Some(ClaimOutcome::Won));
    let stale = nodes[0]
        .claim(claim("d", Some("a")), deadline(10_000))
        .await;
    assert_eq!(stale.ok(), Some(lost_to("c")));
}

/// Guards against a winner that is rejected or claims twice: the log appends its claim, and the
/// response is lost. Only the stream shows the outcome.
#[tokio::test]
async fn claim_with_a_lost_response_is_read_back() {
    let log = log();
    log.add_faults([AppendFault::LostResponse]);
    let outcome = claimer(&log, 1)
        .claim(claim("a", None), deadline(10_000))
        .await;
    assert_eq!(outcome.ok(), Some(ClaimOutcome::Won));
    assert_eq!(log.records(&stream(KEY.partition())).len(), 1);
}

/// Guards against a call that is rejected as not run and runs later: during an outage of the log a
/// claim waits, and is written after the rejection.
#[tokio::test]
async fn no_claim_is_written_after_a_rejection_during_an_outage() {
    let log = log();
    let node = claimer(&log, 1);
    node.claim(claim("a", None), deadline(10_000))
        .await
        .expect("the log is available");
    log.set_unavailable(true);
    let other = crate::coordination::claims::Claim {
        key: crate::coordination::claims::ClaimKey(KEY.0 + 1),
        ..claim("b", None)
    };
    let refused = node.claim(other, deadline(50)).await;
    assert!(
        refused
            .expect_err("the log is unavailable")
            .is_not_written()
    );
    let cold = claimer(&log, 2).claim(claim("c", None), deadline(50)).await;
    assert!(cold.expect_err("the log is unavailable").is_not_written());
    log.set_unavailable(false);
    let next = node.claim(claim("d", None), deadline(10_000)).await;
    assert_eq!(next.ok(), Some(lost_to("a")));
    assert_eq!(log.records(&stream(KEY.partition())).len(), 1);
}

/// Guards against a call that is rejected as not run and runs later: the response to its claim is
/// lost, and the claim is appended after the deadline. Until then it must not count as not written.
#[tokio::test]
async fn claim_that_may_still_be_appended_is_unresolved() {
    let log = log();
    let node = claimer(&log, 1);
    let warm = crate::coordination::claims::Claim {
        key: crate::coordination::claims::ClaimKey(KEY.0 + 1),
        ..claim("warm", None)
    };
    node.claim(warm, deadline(10_000))
        .await
        .expect("the log is available");
    log.add_faults([AppendFault::Delayed; 64]);
    let unresolved = node.claim(claim("a", None), deadline(1_500)).await;
    assert!(
        !unresolved
            .expect_err("every response is lost")
            .is_not_written()
    );
    log.append_delayed(&stream(KEY.partition()));
    // The home has ensured that `a` never runs, so the next request may supersede it.
    let next = claimer(&log, 2)
        .claim(claim("b", None), deadline(10_000))
        .await;
    assert_eq!(next.ok(), Some(lost_to("a")));
}
