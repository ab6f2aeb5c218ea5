//! Stores restored from a backup that lacks the latest records, after a short outage.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use teaselline_stand_ins::operators::Deployment;
use teaselline_stand_ins::operators::deployment::{asked, document};
use teaselline_stand_ins::operators::store::{Door, StoreCopy};

use super::support::{call_for, check_tokens, deployment, eventually, holder, send};

/// Duration of the store's outage.
const OUTAGE: Duration = Duration::from_millis(800);

/// Maximum time until all nodes apply a change; the operators' bound is 2 s.
const APPLY_LIMIT: Duration = Duration::from_millis(1_800);

/// Maximum `history_lost` lines that a node may log for one restore: one for each topic, and one for a response
/// in transit.
const MAX_HISTORY_LINES: usize = 4;

async fn restore_from(deployment: &Deployment, copy: StoreCopy) {
    deployment.set_doors(Door::Resetting);
    tokio::time::sleep(OUTAGE).await;
    deployment.store.come_back_from(copy);
    deployment.set_doors(Door::Open);
}

/// Returns a configuration of this version whose first route has the prefix `path`.
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

/// Guards against nodes that do not read the store and keep an old version, confirmed by peers with a newer one.
#[tokio::test(flavor = "multi_thread")]
async fn changes_after_a_restore_of_the_store_are_active_on_all_nodes() {
    let deployment = deployment(5, 1).await;
    let copy = deployment.store.copy();
    for version in 2..8 {
        deployment.configure(&renamed(version, "before"));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    tokio::time::sleep(APPLY_LIMIT).await;
    assert_eq!(statuses(&deployment, "before").await, [Some(200); 5]);
    restore_from(&deployment, copy).await;
    for (version, path) in [(8, "after"), (9, "later")] {
        tokio::time::sleep(Duration::from_millis(700)).await;
        deployment.configure(&renamed(version, path));
        tokio::time::sleep(APPLY_LIMIT).await;
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
        assert!(
            lines <= MAX_HISTORY_LINES,
            "{lines} lines about lost history"
        );
    }
}

/// Guards against a revoked key that works again at a node that starts from the backup, which still has the key,
/// beside peers that know of the revocation.
#[tokio::test(flavor = "multi_thread")]
async fn key_revoked_in_a_version_that_the_store_lost_stays_revoked() {
    let deployment = deployment(3, 1).await;
    let copy = deployment.store.copy();
    let mut next = document(2);
    next["tenants"][0]["apiKeys"] = json!(["another"]);
    deployment.configure(&next);
    tokio::time::sleep(APPLY_LIMIT).await;
    assert_eq!(statuses(&deployment, "again").await, [Some(401); 3]);
    restore_from(&deployment, copy).await;
    deployment.nodes[2]
        .signal(Signal::SIGKILL)
        .expect("the node runs");
    deployment.nodes[2].restart().expect("the node starts");
    call_for(&deployment, "revoked", Duration::from_secs(4)).await;
    let runs = deployment.runs.lock().clone();
    assert!(runs.is_empty(), "{runs:?}");
    assert_eq!(statuses(&deployment, "again").await, [Some(401); 3]);
}

/// Guards against usage reports that stop, that repeat a window with different counts, or that reuse a fencing token.
#[tokio::test(flavor = "multi_thread")]
async fn duties_continue_after_a_restore_of_the_store() {
    for is_killed in [false, true] {
        let deployment = deployment(3, 1).await;
        eventually("a node has the duties", async || {
            holder(&deployment).is_some()
        })
        .await;
        let copy = deployment.store.copy();
        call_for(&deployment, "before", Duration::from_secs(4)).await;
        let first = holder(&deployment).expect("a node holds the lease");
        if is_killed {
            deployment.nodes[first]
                .signal(Signal::SIGKILL)
                .expect("the node runs");
        }
        restore_from(&deployment, copy).await;
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
