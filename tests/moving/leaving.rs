//! Hosts under notice get no new work, whoever knows of the notice first.

use std::time::Duration;

use teaselline_stand_ins::cloud::Reclaim;

use crate::calling::{idempotent_calls, keep_calling};
use crate::runtimes::RuntimeNode;
use crate::stage::{caller_of, knows_leaving, until};
use crate::trial::Trial;

/// Longer than anything that these tests wait for.
const NOTICE_MS: u64 = 120_000;

/// What was sent before a node knew of the notice has begun to run by then.
const UNDER_WAY: Duration = Duration::from_secs(1);

/// Calls of which hosts that get work would have got some.
const CALLS: usize = 200;

/// Cuts what is to be cut, announces a reclaim, mends what is to be mended, and checks that once
/// all nodes know of the notice its hosts get nothing while others do.
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
    let everywhere = trial.site.cloud.hosts().into_iter();
    let everywhere: Vec<_> = everywhere.map(|host| host.spec.host).collect();
    until("calls", || trial.begun_on(&everywhere) > CALLS).await;
    cut(&trial.nodes);
    let reclaim = Reclaim::Domain("otaru-vault".to_owned());
    let hosts = trial.site.cloud.announce_reclaim(&reclaim, NOTICE_MS);
    mend(trial, &hosts).await;
    for node in &trial.nodes {
        until("the notice", || knows_leaving(node, &hosts)).await;
    }
    tokio::time::sleep(UNDER_WAY).await;
    let (before, anywhere) = (trial.begun_on(&hosts), trial.begun_on(&everywhere));
    assert!(before > 0, "the hosts had work before the notice");
    until("more calls", || {
        trial.begun_on(&everywhere) > anywhere + CALLS
    })
    .await;
    assert_eq!(trial.begun_on(&hosts), before);
    for caller in callers {
        let tally = trial.check(&caller.stop().await);
        assert!(!tally.is_broken(), "{tally:?}");
    }
}

// Symptom: one node goes on sending work to hosts that are about to go.
// Sequence: that node is cut off from the cloud when the notice comes; the others are not.
// Cause: a node that believes its own connection to the cloud alone.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_node_cut_off_from_the_cloud_hears_of_a_notice_from_its_peers() {
    let trial = Trial::start(3).await;
    let cut = |nodes: &[RuntimeNode]| nodes[2].cut_cloud(true);
    check_no_new_work(&trial, cut, async |_trial, _hosts| {}).await;
}

// Symptom: as above.
// Sequence: no node hears of any other when the notice comes; each reaches the cloud.
// Cause: nodes that leave it to one of them to ask the cloud.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nodes_cut_off_from_each_other_hear_of_a_notice_from_the_cloud() {
    let trial = Trial::start(3).await;
    let cut = |nodes: &[RuntimeNode]| nodes.iter().for_each(|node| node.silence_peers(true));
    check_no_new_work(&trial, cut, async |_trial, _hosts| {}).await;
}

// Symptom: as above, for as long as the node is cut off from the cloud.
// Sequence: the node is cut off from the cloud; the connections of its peers are reset just when
// they pass the notice on.
// Cause: a notice that is told once and not told again when the telling fails.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_notice_that_could_not_be_passed_on_is_passed_on_later() {
    let trial = Trial::start(3).await;
    let cut = |nodes: &[RuntimeNode]| {
        nodes[2].cut_cloud(true);
        nodes[2].refuse_peers(true);
    };
    check_no_new_work(&trial, cut, async |trial, hosts| {
        for node in &trial.nodes[..2] {
            until("the notice", || knows_leaving(node, hosts)).await;
        }
        tokio::time::sleep(UNDER_WAY).await;
        trial.nodes[2].refuse_peers(false);
    })
    .await;
}
