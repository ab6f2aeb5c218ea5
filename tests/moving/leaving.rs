//! Hosts under notice receive no new work, whichever node learns of the notice first.

use std::time::Duration;

use teaselline_stand_ins::cloud::Reclaim;

use crate::calling::{idempotent_calls, keep_calling};
use crate::runtimes::RuntimeNode;
use crate::stage::{caller_of, knows_leaving, until};
use crate::trial::Trial;

/// The notice of a reclaim; longer than any wait of these tests.
const NOTICE_MS: u64 = 120_000;

/// Time within which requests sent before a node learned of the notice have started to run.
const TRANSIT_TIME: Duration = Duration::from_secs(1);

/// Number of calls of which each host that receives work would have received some.
const CALLS: usize = 200;

/// Asserts that hosts under notice receive no new work while other hosts do.
///
/// `cut` interrupts connections before the reclaim is announced, `mend` restores them afterwards;
/// then the check begins as soon as all nodes know of the notice.
async fn check_no_new_work(
    trial: &Trial,
    cut: impl FnOnce(&[RuntimeNode]),
    mend: impl AsyncFnOnce(&Trial, &[String]),
) {
    let callers: Vec<_> = trial
        .nodes
        .iter()
        .map(|node| keep_calling(&caller_of(std::slice::from_ref(node)), &idempotent_calls()))
        .collect();
    let all_hosts = trial.site.cloud.hosts().into_iter();
    let all_hosts: Vec<_> = all_hosts.map(|host| host.spec.host).collect();
    until("calls", || trial.begun_on(&all_hosts) > CALLS).await;
    cut(&trial.nodes);
    let reclaim = Reclaim::Domain("otaru-vault".to_owned());
    let hosts = trial.site.cloud.announce_reclaim(&reclaim, NOTICE_MS);
    mend(trial, &hosts).await;
    for node in &trial.nodes {
        until("the notice", || knows_leaving(node, &hosts)).await;
    }
    tokio::time::sleep(TRANSIT_TIME).await;
    let (before, before_on_all) = (trial.begun_on(&hosts), trial.begun_on(&all_hosts));
    assert!(before > 0, "the hosts received no work before the notice");
    until("more calls", || {
        trial.begun_on(&all_hosts) > before_on_all + CALLS
    })
    .await;
    assert_eq!(trial.begun_on(&hosts), before);
    for caller in callers {
        let tally = trial.check(&caller.stop().await);
        assert!(!tally.is_broken(), "{tally:?}");
    }
}

// Guards against a node that sends work to hosts under notice: only this node is cut off from the
// cloud when the notice arrives, and it relies on its own connection to the cloud alone.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn node_cut_off_from_the_cloud_learns_of_a_notice_from_peers() {
    let trial = Trial::start(3).await;
    let cut = |nodes: &[RuntimeNode]| nodes[2].cut_cloud(true);
    check_no_new_work(&trial, cut, async |_trial, _hosts| {}).await;
}

// Guards against nodes that send work to hosts under notice because one node polls the cloud for
// all: no node receives messages of the others when the notice arrives; each reaches the cloud.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nodes_cut_off_from_each_other_learn_of_a_notice_from_the_cloud() {
    let trial = Trial::start(3).await;
    let cut = |nodes: &[RuntimeNode]| nodes.iter().for_each(|node| node.silence_peers(true));
    check_no_new_work(&trial, cut, async |_trial, _hosts| {}).await;
}

// Guards against a notice that peers send once and do not retry: the node is cut off from the cloud,
// and the connections from its peers are reset when they forward the notice. It would send work to
// hosts under notice until it reaches the cloud again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn notice_is_forwarded_again_after_a_failure() {
    let trial = Trial::start(3).await;
    let cut = |nodes: &[RuntimeNode]| {
        nodes[2].cut_cloud(true);
        nodes[2].refuse_peers(true);
    };
    check_no_new_work(&trial, cut, async |trial, hosts| {
        for node in &trial.nodes[..2] {
            until("the notice", || knows_leaving(node, hosts)).await;
        }
        tokio::time::sleep(TRANSIT_TIME).await;
        trial.nodes[2].refuse_peers(false);
    })
    .await;
}
