//! Calls resent to several nodes at once while nodes are killed, paused and cut off.

use std::path::Path;

use crate::BINARY;
use crate::at_most_once::{Tally, run};
use crate::storm::Manner;

/// Runs the schedules of these seeds, one after another.
async fn run_all(seeds: [u64; 2], manner: Manner) -> Tally {
    let mut tally = Tally::default();
    for seed in seeds {
        tally.add(run(Path::new(BINARY), seed, manner).await.unwrap());
    }
    tally
}

/// Checks that callers who resend under ids and keys are told the truth in these schedules.
async fn hold(seeds: [u64; 2]) {
    let tally = run_all(seeds, Manner::SameId).await;
    assert!(!tally.is_broken(), "{:#?}", tally.faults);
    assert!(tally.answered > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_resent_under_their_ids_run_at_most_once() {
    // Symptom: a claim runs twice, or runs although a node has said that it did not.
    // Sequence: see the schedules of these seeds.
    // Cause: two nodes that decide about one id without the other's knowledge.
    hold([1, 2]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_run_at_most_once_while_nodes_are_paused_and_replaced() {
    // Symptom: a claim runs twice, or an idempotent call runs although it was refused as not run.
    // Sequence: see the schedules: a node that has just started gets a call that another one runs;
    // nodes stand still past the deadline of calls that others have taken over.
    // Cause: a refusal by a node that does not know what became of the call.
    hold([9, 52]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_run_at_most_once_while_nodes_are_cut_off() {
    // Symptom: as above.
    // Sequence: see the schedules: nodes that hear nobody mint ids and settle them.
    // Cause: two tables in one node of which only one is asked.
    hold([118, 195]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_check_sees_calls_that_callers_have_run_again() {
    // Callers that run a call again wherever no answer came show that the check can fail.
    let tally = run_all([1, 4], Manner::RunAgain).await;
    assert!(tally.doubled > 0, "{tally:?}");
}
