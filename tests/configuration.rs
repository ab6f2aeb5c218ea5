//! Changes of the document while the log loses answers or is out, and operators who race.
//!
//! Nodes and stand-ins run in this process over real sockets.

#[path = "support/deployment.rs"]
mod deployment;
#[path = "support/trial.rs"]
mod trial;

use std::time::Duration;

use deployment::{node_settings, site_settings, start_nodes, wait_until_ready};
use teaselline::coordination::configuration::STREAM;
use teaselline::document::Document;
use teaselline::node::change::{ChangeError, Proposal};
use teaselline::node::{self, RunningNode};
use teaselline_stand_ins::log::Outage;
use teaselline_stand_ins::site::Site;

/// Looks for something to have come about, and the pause between two.
const TRIES: u32 = 1_200;
const PAUSE: Duration = Duration::from_millis(25);

/// How long the log keeps records where it forgets them.
const RETENTION_MS: u64 = 8_000;

/// A document that differs from others by its deadline.
fn text(deadline_ms: u64) -> String {
    trial::document(deadline_ms)
}

fn proposal(base_revision: u64, operator: &str, deadline_ms: u64) -> Proposal {
    Proposal {
        base_revision,
        operator: operator.to_owned(),
        document: text(deadline_ms),
    }
}

/// Three nodes with a first document in force everywhere.
async fn start() -> (Site, Vec<RunningNode>, u64) {
    let document = Document::parse(&text(10_000)).unwrap();
    let site = Site::start(site_settings(&document)).await.unwrap();
    let nodes = start_nodes(&document, &site, 3).await.unwrap();
    let revision = propose(&nodes[0], 0, 10_000).await.unwrap();
    assert!(wait_until_ready(&nodes, revision, site.upstreams().len()).await);
    (site, nodes, revision)
}

async fn propose(node: &RunningNode, base: u64, deadline_ms: u64) -> Result<u64, ChangeError> {
    node.node
        .propose(proposal(base, "novakova", deadline_ms))
        .await
}

/// Waits until the revision is in force on all nodes.
async fn wait_in_force(nodes: &[RunningNode], revision: u64) -> bool {
    for _try in 0..TRIES {
        if nodes.iter().all(|node| node.node.revision() == revision) {
            return true;
        }
        tokio::time::sleep(PAUSE).await;
    }
    false
}

/// The deadline of the document in force on a node.
fn deadline_in_force(node: &RunningNode) -> u64 {
    let in_force = node.node.core.blackboard.active_configuration().unwrap();
    in_force.document.latency_classes[0].deadline_ms
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_whose_append_lost_its_answer_is_accepted_once() {
    // Symptom: an operator is told that a change failed, or that somebody else came first, and it
    // is in force.
    // Sequence: the log takes each append, and cuts the connection before its answer.
    // Cause: an append without an answer is taken for one without effect, or is made again.
    let (site, nodes, first) = start().await;
    site.log.change(|knobs| knobs.lose_answer_probability = 1.0);
    let mut base = first;
    for deadline_ms in [11_000, 12_000, 13_000] {
        base = propose(&nodes[1], base, deadline_ms).await.unwrap();
        assert!(wait_in_force(&nodes, base).await);
        assert!(
            nodes
                .iter()
                .all(|node| deadline_in_force(node) == deadline_ms)
        );
    }
    assert!(site.log.lost_answers() >= 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_racing_operators_one_wins_and_the_other_is_told() {
    // Symptom: both operators are told that their change is in force, and one has vanished; or
    // two nodes hold different documents.
    // Sequence: two operators send changes of the same base to two nodes at once.
    // Cause: the last one written wins, or each node decides by itself.
    let (_site, nodes, mut base) = start().await;
    for round in 0..4 {
        let (a, b) = (20_000 + round, 30_000 + round);
        let raced = tokio::join!(
            nodes[0].node.propose(proposal(base, "novakova", a)),
            nodes[1].node.propose(proposal(base, "kovac", b)),
        );
        let (winner, loser, wanted) = match raced {
            (Ok(winner), Err(loser)) => (winner, loser, a),
            (Err(loser), Ok(winner)) => (winner, loser, b),
            both => panic!("one of them wins: {both:?}"),
        };
        assert!(
            matches!(loser, ChangeError::Stale { in_force } if in_force == winner),
            "{loser:?}"
        );
        assert!(wait_in_force(&nodes, winner).await);
        assert!(nodes.iter().all(|node| deadline_in_force(node) == wanted));
        base = winner;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_while_the_log_is_out_serves_by_its_peers_document() {
    // Symptom: a node that starts during an outage refuses all callers, or after the outage an
    // older document comes back.
    // Sequence: two changes; the log goes out; a node starts; a change is tried; the log returns.
    // Cause: the document is only read from the log, or the log's older records are judged anew.
    let (site, mut nodes, first) = start().await;
    let second = propose(&nodes[0], first, 11_000).await.unwrap();
    assert!(wait_in_force(&nodes, second).await);
    site.log.change(|knobs| knobs.outage = Outage::Refuse);

    let document = Document::parse(&text(11_000)).unwrap();
    let seeds: Vec<_> = nodes.iter().map(|node| node.heartbeat_address).collect();
    let settings = node_settings(&document, &site, 3).with_seeds(seeds);
    nodes.push(node::start(settings).await.unwrap());
    assert!(wait_until_ready(&nodes, second, site.upstreams().len()).await);
    assert_eq!(deadline_in_force(&nodes[3]), 11_000);

    let refused = propose(&nodes[3], second, 12_000).await.unwrap_err();
    assert!(matches!(refused, ChangeError::NotWritten(_)), "{refused:?}");
    assert!(nodes.iter().all(|node| node.node.revision() == second));

    site.log.change(|knobs| knobs.outage = Outage::None);
    // Each node has read the log again once it has seen a change that came after the outage.
    let third = propose(&nodes[3], second, 13_000).await.unwrap();
    let mut newest = vec![second; nodes.len()];
    for _try in 0..TRIES {
        for (node, newest) in nodes.iter().zip(&mut newest) {
            let revision = node.node.revision();
            assert!(revision >= *newest, "revision {revision} after {newest}");
            *newest = revision;
        }
        if newest.iter().all(|newest| *newest == third) {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
    assert!(newest.iter().all(|newest| *newest == third), "{newest:?}");
    assert!(nodes.iter().all(|node| deadline_in_force(node) == 13_000));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_document_outlives_the_records_that_brought_it() {
    // Symptom: after a day without changes, a fleet that was replaced node by node has no document.
    // Sequence: the log forgets the change; all nodes end; a node starts that knows none of them.
    // Cause: the document is written once, and the log does not keep records for ever.
    let text = text(10_000);
    let document = Document::parse(&text).unwrap();
    let site = Site::start(site_settings(&document)).await.unwrap();
    let hosts = site.upstreams().len();
    site.log.change(|knobs| knobs.retained_ms = RETENTION_MS);
    let mut nodes: Vec<RunningNode> = Vec::new();
    for index in 0..2 {
        let seeds: Vec<_> = nodes.iter().map(|node| node.heartbeat_address).collect();
        let settings = node_settings(&document, &site, index)
            .with_seeds(seeds)
            .with_log_retention_ms(Some(RETENTION_MS));
        nodes.push(node::start(settings).await.unwrap());
    }
    let revision = propose(&nodes[0], 0, 10_000).await.unwrap();
    assert!(wait_until_ready(&nodes, revision, hosts).await);

    let mut kept = site.log.records(STREAM);
    for _try in 0..TRIES {
        if kept.iter().all(|record| record.offset > revision) {
            break;
        }
        tokio::time::sleep(PAUSE).await;
        // The log drops old records when a stream is written or read.
        kept = site.log.records(STREAM);
    }
    assert!(!kept.is_empty());
    assert!(kept.iter().all(|record| record.offset > revision));
    for node in &nodes {
        node.abort();
    }
    let settings = node_settings(&document, &site, 2).with_log_retention_ms(Some(RETENTION_MS));
    let new = [node::start(settings).await.unwrap()];
    assert!(wait_until_ready(&new, revision, hosts).await);
    assert_eq!(new[0].node.revision(), revision);
}
