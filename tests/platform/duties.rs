//! Duties that only the holder of the lease performs: usage reports and orders of upstreams.

use std::time::Duration;

use nix::sys::signal::Signal;
use teaselline_stand_ins::operators::store::Door;

use super::support::{call_for, check_tokens, deployment, eventually, holder};

#[tokio::test(flavor = "multi_thread")]
async fn usage_windows_have_one_report_and_upstreams_are_ordered() {
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
    assert!(ordered, "no reclaimable upstreams were ordered");
    // Only windows between two reported windows are certain to be complete, so the sum may be lower.
    let runs = u64::try_from(deployment.runs.lock().len()).expect("the count fits into u64");
    let counted: u64 = reports
        .values()
        .flat_map(|different| different[0].values())
        .sum();
    assert!(
        counted <= runs && counted * 2 >= runs,
        "{counted} of {runs}"
    );
}

/// Guards against two usage reports with different counts for one window: the reporting node is
/// killed between two windows, repeatedly, and its successor reports its own counts because the
/// earlier report was not stored before it was sent.
#[tokio::test(flavor = "multi_thread")]
async fn successor_reports_the_same_counts_for_a_window() {
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
        let killed = holder(&deployment).expect("a node holds the lease");
        let before = deployment.cloud.calls().len();
        deployment.nodes[killed]
            .signal(Signal::SIGKILL)
            .expect("the node runs");
        tokio::time::sleep(Duration::from_millis(200)).await;
        deployment.nodes[killed].restart().expect("the node starts");
        call_for(
            &deployment,
            &format!("after-{round}"),
            Duration::from_secs(2),
        )
        .await;
        eventually("the cloud receives another call", async || {
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

/// Guards against two nodes that perform a duty with the same fencing token: the store's responses
/// to the holder are lost, so it cannot know whether it still holds the lease, and another node
/// takes over. An append without a response may have failed or succeeded; assuming either is wrong.
#[tokio::test(flavor = "multi_thread")]
async fn lost_store_responses_create_no_second_lease_holder() {
    let deployment = deployment(3, 1).await;
    eventually("a node has the duties", async || {
        holder(&deployment).is_some()
    })
    .await;
    let first = holder(&deployment).expect("a node holds the lease");
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

/// Guards against duties that stop while only the holder cannot use the store, which refuses its
/// calls, does not respond or closes the connections. The other nodes still receive the holder's
/// heartbeats, so a live holder must not count as one with a valid lease.
#[tokio::test(flavor = "multi_thread")]
async fn lease_passes_on_when_the_holder_loses_the_store() {
    for door in [Door::Refusing, Door::Silent, Door::Resetting] {
        let deployment = deployment(3, 1).await;
        eventually("a node has the duties", async || {
            holder(&deployment).is_some()
        })
        .await;
        let first = holder(&deployment).expect("a node holds the lease");
        deployment.doors[first].set(door);
        // A lease of 3 s, its margin, a poll interval and a read; then the successor's first call.
        let until = tokio::time::Instant::now() + Duration::from_secs(8);
        while tokio::time::Instant::now() < until && holder(&deployment) == Some(first) {
            call_for(&deployment, "held", Duration::from_millis(300)).await;
        }
        let second = holder(&deployment);
        assert_ne!(second, Some(first), "{door:?}");
        deployment.doors[first].set(Door::Open);
        call_for(&deployment, "back", Duration::from_secs(3)).await;
        assert_eq!(
            holder(&deployment),
            second,
            "the lease returned to the first holder"
        );
        check_tokens(&deployment);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_holder_does_not_act_on_its_expired_lease() {
    let deployment = deployment(3, 1).await;
    eventually("a node has the duties", async || {
        holder(&deployment).is_some()
    })
    .await;
    let paused = holder(&deployment).expect("a node holds the lease");
    deployment.nodes[paused]
        .signal(Signal::SIGSTOP)
        .expect("the node runs");
    eventually("another has the duties", async || {
        holder(&deployment).is_some_and(|holder| holder != paused)
    })
    .await;
    deployment.nodes[paused]
        .signal(Signal::SIGCONT)
        .expect("the process exists");
    call_for(&deployment, "woken", Duration::from_secs(3)).await;
    check_tokens(&deployment);
}
