//! The claimer on a log that fails.

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

fn soon(left_ms: u64) -> TimeMs {
    Clock::new().now().after(left_ms)
}

fn lost_to(winner: &str) -> ClaimOutcome {
    let winner = winner.to_owned();
    ClaimOutcome::Lost { winner }
}

#[tokio::test]
async fn of_two_claimers_one_wins() {
    let log = log();
    let nodes = [claimer(&log, 1), claimer(&log, 2)];
    let first = nodes[0].claim(claim("a", None), soon(10_000)).await;
    let second = nodes[1].claim(claim("b", None), soon(10_000)).await;
    let again = nodes[1].claim(claim("a", None), soon(10_000)).await;
    assert_eq!(first.ok(), Some(ClaimOutcome::Won));
    assert_eq!(second.ok(), Some(lost_to("a")));
    assert_eq!(again.ok(), Some(ClaimOutcome::Won));
    let superseding = nodes[1].claim(claim("c", Some("a")), soon(10_000)).await;
    assert_eq!(superseding.ok(), Some(ClaimOutcome::Won));
    let stale = nodes[0].claim(claim("d", Some("a")), soon(10_000)).await;
    assert_eq!(stale.ok(), Some(lost_to("c")));
}

/// Symptom: a request that won is refused, or claims twice. The log took its claim, and the answer
/// was lost. Cause: the answer alone says nothing; the stream does.
#[tokio::test]
async fn a_lost_answer_is_read_back() {
    let log = log();
    log.add_faults([AppendFault::LostAnswer]);
    let outcome = claimer(&log, 1).claim(claim("a", None), soon(10_000)).await;
    assert_eq!(outcome.ok(), Some(ClaimOutcome::Won));
    assert_eq!(log.records(&stream(KEY.partition())).len(), 1);
}

/// Symptom: a call is refused as not run and runs. The log is out. Cause: a claim that waits for
/// the log is written after the refusal.
#[tokio::test]
async fn during_an_outage_nothing_is_taken() {
    let log = log();
    let node = claimer(&log, 1);
    node.claim(claim("a", None), soon(10_000))
        .await
        .expect("the log is up");
    log.set_out(true);
    let other = crate::coordination::claims::Claim {
        key: crate::coordination::claims::ClaimKey(KEY.0 + 1),
        ..claim("b", None)
    };
    let refused = node.claim(other, soon(50)).await;
    assert!(refused.expect_err("the log is out").is_not_taken());
    let cold = claimer(&log, 2).claim(claim("c", None), soon(50)).await;
    assert!(cold.expect_err("the log is out").is_not_taken());
    log.set_out(false);
    let next = node.claim(claim("d", None), soon(10_000)).await;
    assert_eq!(next.ok(), Some(lost_to("a")));
    assert_eq!(log.records(&stream(KEY.partition())).len(), 1);
}

/// Symptom: a call is refused as not run and runs. Its claim's answer was lost, and the claim landed
/// after the deadline. Cause: a claim that may land must not count as not taken.
#[tokio::test]
async fn a_claim_that_may_still_land_is_unresolved() {
    let log = log();
    let node = claimer(&log, 1);
    let warm = crate::coordination::claims::Claim {
        key: crate::coordination::claims::ClaimKey(KEY.0 + 1),
        ..claim("warm", None)
    };
    node.claim(warm, soon(10_000)).await.expect("the log is up");
    log.add_faults([AppendFault::Delayed; 64]);
    let unresolved = node.claim(claim("a", None), soon(1_500)).await;
    assert!(!unresolved.expect_err("no answer comes").is_not_taken());
    log.land_delayed(&stream(KEY.partition()));
    // The home has made sure that `a` never runs, so the next request may supersede it.
    let next = claimer(&log, 2).claim(claim("b", None), soon(10_000)).await;
    assert_eq!(next.ok(), Some(lost_to("a")));
}
