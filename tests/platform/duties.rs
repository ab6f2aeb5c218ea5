//! The duties that one node has at a time.

use std::time::Duration;

use nix::sys::signal::Signal;
use teaselline_stand_ins::operators::store::Door;

use super::support::{call_for, check_tokens, deployment, eventually, holder};

#[tokio::test(flavor = "multi_thread")]
async fn usage_is_reported_once_and_upstreams_are_ordered() {
    let deployment = deployment(2, 1).await;
    call_for(&deployment, "usage", Duration::from_secs(4)).await;
    eventually("three windows are reported", async || {
        deployment.cloud.reports().len() >= 3
    })
    .await;
    let reports = deployment.cloud.reports();
    assert!(
        reports.values().all(|different| different.len() == 1),
        "{reports:?}"
    );
    let ordered = deployment.cloud.calls().iter().any(|call| {
        matches!(
            call.duty,
            teaselline_stand_ins::operators::cloud::Duty::Scale { spot: true, .. }
        )
    });
    assert!(ordered, "reclaimable upstreams are ordered");
    // Windows whose neighbours were reported too are complete.
    let runs = u64::try_from(deployment.runs.lock().len()).expect("few");
    let counted: u64 = reports
        .values()
        .flat_map(|different| different[0].values())
        .sum();
    assert!(
        counted <= runs && counted * 2 >= runs,
        "{counted} of {runs}"
    );
}

/// Symptom: a window's usage is reported twice with different counts.
/// Sequence: the node that reports is killed between two windows, again and again; another takes
/// over and reports what it has counted itself.
/// Cause: what was reported was not kept before it was sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_successor_never_reports_other_counts() {
    let deployment = deployment(3, 1).await;
    for round in 0..2 {
        eventually("a node has the duties", async || {
            holder(&deployment).is_some()
        })
        .await;
        call_for(
            &deployment,
            &format!("kill-{round}"),
            Duration::from_millis(2_500),
        )
        .await;
        let killed = holder(&deployment).expect("a holder");
        let before = deployment.cloud.calls().len();
        deployment.nodes[killed]
            .signal(Signal::SIGKILL)
            .expect("it runs");
        tokio::time::sleep(Duration::from_millis(200)).await;
        deployment.nodes[killed].restart().expect("it starts");
        call_for(
            &deployment,
            &format!("after-{round}"),
            Duration::from_secs(2),
        )
        .await;
        eventually("another call is made", async || {
            deployment.cloud.calls().len() > before
        })
        .await;
    }
    let reports = deployment.cloud.reports();
    assert!(
        reports.values().all(|different| different.len() == 1),
        "{reports:?}"
    );
    check_tokens(&deployment);
}

/// Symptom: two nodes act on a duty with the same token.
/// Sequence: the holder's answers from the store are lost, so that it cannot know whether it still
/// has the lease; another takes over.
/// Cause: an append without an answer was taken to have failed, or to have succeeded.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_store_make_no_second_holder() {
    let deployment = deployment(3, 1).await;
    eventually("a node has the duties", async || {
        holder(&deployment).is_some()
    })
    .await;
    let first = holder(&deployment).expect("a holder");
    deployment.doors[first].set(Door::LosingAnswers);
    call_for(&deployment, "lost", Duration::from_secs(6)).await;
    deployment.doors[first].set(Door::Open);
    call_for(&deployment, "found", Duration::from_secs(3)).await;
    check_tokens(&deployment);
    let reports = deployment.cloud.reports();
    assert!(
        reports.values().all(|different| different.len() == 1),
        "{reports:?}"
    );
}

/// Symptom: nothing is ordered and no usage reported for as long as the store turns the holder away.
/// Sequence: the store serves all nodes but the holder, which refuses it, is silent, or cuts it; the
/// others hear the holder all the while.
/// Cause: a holder was taken to have the lease for as long as it is heard.
#[tokio::test(flavor = "multi_thread")]
async fn a_holder_that_the_store_turns_away_is_succeeded() {
    for door in [Door::Refusing, Door::Silent, Door::Resetting] {
        let deployment = deployment(3, 1).await;
        eventually("a node has the duties", async || {
            holder(&deployment).is_some()
        })
        .await;
        let first = holder(&deployment).expect("a holder");
        deployment.doors[first].set(door);
        // A lease of 3 s, its margin, a look and a read; then the successor's first call.
        let until = tokio::time::Instant::now() + Duration::from_secs(8);
        while tokio::time::Instant::now() < until && holder(&deployment) == Some(first) {
            call_for(&deployment, "held", Duration::from_millis(300)).await;
        }
        let second = holder(&deployment);
        assert_ne!(second, Some(first), "{door:?}");
        deployment.doors[first].set(Door::Open);
        call_for(&deployment, "back", Duration::from_secs(3)).await;
        assert_eq!(holder(&deployment), second, "it does not swing back");
        check_tokens(&deployment);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_that_was_paused_does_not_act_on_its_old_lease() {
    let deployment = deployment(3, 1).await;
    eventually("a node has the duties", async || {
        holder(&deployment).is_some()
    })
    .await;
    let paused = holder(&deployment).expect("a holder");
    deployment.nodes[paused]
        .signal(Signal::SIGSTOP)
        .expect("it runs");
    eventually("another has the duties", async || {
        holder(&deployment).is_some_and(|holder| holder != paused)
    })
    .await;
    deployment.nodes[paused]
        .signal(Signal::SIGCONT)
        .expect("it is there");
    call_for(&deployment, "woken", Duration::from_secs(3)).await;
    check_tokens(&deployment);
}
