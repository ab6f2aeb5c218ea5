//! A store that has been away for a moment and comes back from a copy that lacks what was written last.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use teaselline_stand_ins::operators::Deployment;
use teaselline_stand_ins::operators::deployment::{asked, document};
use teaselline_stand_ins::operators::store::{Door, StoreCopy};

use super::support::{call_for, check_tokens, deployment, eventually, holder, send};

/// How long the store is away.
const AWAY: Duration = Duration::from_millis(800);

/// Nodes have a change in force within this time; operators allow 2 s.
const APPLIED: Duration = Duration::from_millis(1_800);

/// Lines about lost history that a node may log for one return of the store: one for each topic, and one for an
/// answer that was on its way.
const HISTORY_LINES: usize = 4;

async fn come_back_from(deployment: &Deployment, copy: StoreCopy) {
    deployment.set_doors(Door::Resetting);
    tokio::time::sleep(AWAY).await;
    deployment.store.come_back_from(copy);
    deployment.set_doors(Door::Open);
}

/// A version with another path in place of the first route's.
fn renamed(version: u64, path: &str) -> Value {
    let mut document = document(version);
    document["routes"][0]["pathPrefix"] = json!(format!("/{path}/"));
    document
}

async fn statuses(deployment: &Deployment, route: &str) -> Vec<Option<u16>> {
    let mut statuses = Vec::new();
    for node in 0..deployment.nodes.len() {
        let call = asked(&format!("{route}-{node}"), route);
        statuses.push(send(deployment, node, &call).await.status());
    }
    statuses
}

/// Nodes that do not read the store themselves go on by an old version, confirmed by peers that have a newer one.
#[tokio::test(flavor = "multi_thread")]
async fn changes_after_the_store_came_back_from_a_copy_are_in_force_on_all_nodes() {
    let deployment = deployment(5, 1).await;
    let copy = deployment.store.copy();
    for version in 2..8 {
        deployment.configure(&renamed(version, "before"));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    tokio::time::sleep(APPLIED).await;
    assert_eq!(statuses(&deployment, "before").await, [Some(200); 5]);
    come_back_from(&deployment, copy).await;
    for (version, path) in [(8, "after"), (9, "later")] {
        tokio::time::sleep(Duration::from_millis(700)).await;
        deployment.configure(&renamed(version, path));
        tokio::time::sleep(APPLIED).await;
        assert_eq!(statuses(&deployment, path).await, [Some(200); 5], "{path}");
        assert_eq!(
            statuses(&deployment, "before").await,
            [Some(404); 5],
            "{path}"
        );
    }
    for node in &deployment.nodes {
        let log = node.log();
        let lines = log
            .iter()
            .filter(|line| line.contains("history_lost"))
            .count();
        assert!(lines <= HISTORY_LINES, "{lines} lines about lost history");
    }
}

/// A key works again at a node that started from the copy, which has it, beside peers that know that it was revoked.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_was_revoked_in_a_version_which_the_store_has_lost_stays_revoked() {
    let deployment = deployment(3, 1).await;
    let copy = deployment.store.copy();
    let mut next = document(2);
    next["tenants"][0]["apiKeys"] = json!(["another"]);
    deployment.configure(&next);
    tokio::time::sleep(APPLIED).await;
    assert_eq!(statuses(&deployment, "again").await, [Some(401); 3]);
    come_back_from(&deployment, copy).await;
    deployment.nodes[2]
        .signal(Signal::SIGKILL)
        .expect("it runs");
    deployment.nodes[2].restart().expect("it starts");
    call_for(&deployment, "revoked", Duration::from_secs(4)).await;
    let runs = deployment.runs.lock().clone();
    assert!(runs.is_empty(), "{runs:?}");
    assert_eq!(statuses(&deployment, "again").await, [Some(401); 3]);
}

/// Nothing is reported any more, or a window twice with different counts, or under a token that was used before.
#[tokio::test(flavor = "multi_thread")]
async fn duties_go_on_after_the_store_came_back_from_a_copy() {
    for is_killed in [false, true] {
        let deployment = deployment(3, 1).await;
        eventually("a node has the duties", async || {
            holder(&deployment).is_some()
        })
        .await;
        let copy = deployment.store.copy();
        call_for(&deployment, "before", Duration::from_secs(4)).await;
        let first = holder(&deployment).expect("a holder");
        if is_killed {
            deployment.nodes[first]
                .signal(Signal::SIGKILL)
                .expect("it runs");
        }
        come_back_from(&deployment, copy).await;
        let before = deployment.cloud.reports();
        call_for(&deployment, "after", Duration::from_secs(9)).await;
        let reports = deployment.cloud.reports();
        let newer = reports.keys().filter(|window| !before.contains_key(window));
        assert!(newer.count() >= 3, "killed: {is_killed}; {reports:?}");
        assert!(
            reports.values().all(|different| different.len() == 1),
            "killed: {is_killed}; {reports:?}"
        );
        check_tokens(&deployment);
    }
}
