//! Upstreams of several software versions in one service: a stream goes on only at the version that began it.

use std::io;
use std::time::{Duration, Instant};

use futures::future::join_all;
use nix::sys::signal::Signal;
use teaselline_stand_ins::operators::deployment::{KEYS, LIMITED_TEAMS, asked, key_of};
use teaselline_stand_ins::operators::{Asked, Deployment, Fault, Node};

use super::support::{deployment, deployment_with_limits, eventually, send};

/// Streams of one test.
const STREAMS: usize = 24;

/// Concurrent streams at a node that spread over all upstreams.
const AT_ONE_NODE: usize = 8;

/// Streams of a team, as many as its limit lets it begin in a second.
const STREAMS_OF_LIMITED_TEAM: usize = 20;

/// Pause between two events of a stream that is cut by a kill of all nodes.
const LONG_PAUSE_MS: u64 = 200;

/// Time from the start of such streams to the kill.
const KILLED_AFTER: Duration = Duration::from_millis(1_100);

/// Time within which a stream that cannot go on ends; a small part of its deadline.
const AT_ONCE: Duration = Duration::from_millis(800);

/// Starts `nodes` nodes, two upstreams of v1 and `new` upstreams of v2 that all nodes know.
async fn deployment_of_two_versions(nodes: usize, new: usize) -> Deployment {
    add_second_version(deployment(nodes, 2).await, new).await
}

/// Adds `new` upstreams of v2, and waits until all nodes know them.
async fn add_second_version(mut deployment: Deployment, new: usize) -> Deployment {
    let nodes = deployment.nodes.len();
    for place in 0..new {
        let id = format!("pool-new-{place}");
        (deployment.add_upstream_of("pool", &id, "v2").await).expect("a port is free");
    }
    eventually("all upstreams receive streams from all nodes", async || {
        for node in 0..nodes {
            let begun = deployment.runs.lock().len();
            let calls = (0..AT_ONE_NODE)
                .map(|number| asked(&format!("warm-{node}-{begun}-{number}"), "stream-on"));
            let calls: Vec<Asked> = calls.collect();
            join_all(calls.iter().map(|call| send(&deployment, node, call))).await;
        }
        let runs = deployment.runs.lock();
        let is_known_to = |node: usize| {
            let prefix = format!("warm-{node}-");
            let mut of_node = runs.iter().filter(|run| run.request.starts_with(&prefix));
            of_node.any(|run| run.version == "v2")
        };
        (0..nodes).all(is_known_to)
    })
    .await;
    deployment
}

fn set_pool(deployment: &Deployment, fault: Fault) {
    let pool = (deployment.upstreams.iter()).filter(|one| one.id().starts_with("pool"));
    pool.for_each(|upstream| upstream.set(fault));
}

/// Returns the request that takes a stream up behind an event.
fn take_up(id: &str, begun_by: &str, after: u64) -> Asked {
    asked(begun_by, "stream-on").take_up(id, after)
}

/// Returns a stream whose content differs from that of all others: one content that breaks three upstreams is blocked.
fn stream(id: &str) -> Asked {
    let mut call = asked(id, "stream-on");
    id.clone_into(&mut call.body);
    call
}

/// Guards against one answer whose events come from two software versions, after an upstream broke the stream off.
#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_goes_on_only_at_the_version_that_began_it() {
    let deployment = deployment_of_two_versions(2, 2).await;
    set_pool(&deployment, Fault::BreaksBegunStreams);
    let calls: Vec<Asked> = (0..STREAMS)
        .map(|number| stream(&format!("broken-{number}")))
        .collect();
    let sent = calls.iter().enumerate();
    let ended = join_all(sent.map(|(place, call)| send(&deployment, place % 2, call))).await;
    assert_eq!(deployment.misfits(), Vec::new());
    let whole = ended.iter().filter(|one| one.status() == Some(200)).count();
    assert_eq!(
        whole, STREAMS,
        "an upstream of each version was left: {ended:?}"
    );
}

/// Guards against a stream that waits for its deadline, or goes on at another version, once no upstream of its own is left.
#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_ends_at_once_without_an_upstream_of_its_version() {
    let deployment = deployment_of_two_versions(1, 2).await;
    set_pool(&deployment, Fault::BreaksBegunStreams);
    let old = (deployment.upstreams.iter()).filter(|one| one.id().starts_with("pool"));
    let old: Vec<_> = old.filter(|one| !one.id().contains("new")).collect();
    old[0].drain();
    eventually("a stream begins at the last upstream of v1", async || {
        let id = format!("last-{}", deployment.runs.lock().len());
        let started = Instant::now();
        let ended = send(&deployment, 0, &stream(&id)).await;
        let runs = deployment.runs_of(&id);
        let is_last = runs[0].upstream == old[1].id();
        if is_last {
            assert_eq!(ended.status(), None, "{ended:?} {runs:?}");
            assert!(started.elapsed() < AT_ONCE, "{:?}", started.elapsed());
        }
        is_last
    })
    .await;
    assert_eq!(deployment.misfits(), Vec::new());
}

/// Guards against streams that a caller takes up at other nodes and that go on there at another software version, after
/// the node that knew their version was killed; and against streams that are refused although it still serves.
#[tokio::test(flavor = "multi_thread")]
async fn stream_taken_up_after_its_node_was_killed_goes_on_at_its_version() {
    let deployment = deployment_of_two_versions(4, 2).await;
    let calls: Vec<Asked> = (0..STREAMS)
        .map(|number| asked(&format!("begun-{number}"), "stream-on"))
        .collect();
    let kill = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        let killed = deployment.nodes[0].signal(Signal::SIGKILL);
        killed.expect("the node runs");
    };
    let sent = join_all(calls.iter().map(|call| send(&deployment, 0, call)));
    let (ended, ()) = tokio::join!(sent, kill);
    let cut = calls.iter().zip(&ended);
    let cut: Vec<Asked> = cut
        .filter_map(|(call, ended)| {
            let after = ended.last_event()?;
            Some(call.take_up(&format!("up-{}", call.id), after))
        })
        .collect();
    assert!(
        cut.len() > STREAMS / 2,
        "the node was killed within the streams: {ended:?}"
    );
    let sent = cut.iter().enumerate();
    let ended = join_all(sent.map(|(place, call)| send(&deployment, 1 + place % 3, call))).await;
    assert_eq!(deployment.misfits(), Vec::new());
    let gone_on = ended.iter().filter(|one| one.status() == Some(200)).count();
    assert!(
        gone_on * 2 >= cut.len(),
        "{gone_on} of {}: {ended:?}",
        cut.len()
    );
}

/// Begins streams at all nodes, kills all nodes within them, and returns the requests that take them up.
async fn streams_cut_by_a_kill_of_all_nodes(deployment: &Deployment) -> Vec<Asked> {
    let calls: Vec<Asked> = (0..STREAMS)
        .map(|number| stream(&format!("begun-{number}")))
        .collect();
    cut_by_a_kill_of_all_nodes(deployment, &calls).await
}

/// The same for these streams.
async fn cut_by_a_kill_of_all_nodes(deployment: &Deployment, calls: &[Asked]) -> Vec<Asked> {
    let pool = (deployment.upstreams.iter()).filter(|one| one.id().starts_with("pool"));
    pool.for_each(|upstream| upstream.pause_between_events(LONG_PAUSE_MS));
    let kill = async {
        tokio::time::sleep(KILLED_AFTER).await;
        for node in &deployment.nodes {
            node.signal(Signal::SIGKILL).expect("the node runs");
        }
    };
    let sent = calls.iter().enumerate();
    let sent = sent.map(|(place, call)| send(deployment, place % deployment.nodes.len(), call));
    let (ended, ()) = tokio::join!(join_all(sent), kill);
    let cut = calls.iter().zip(&ended);
    let cut: Vec<Asked> = cut
        .filter_map(|(call, ended)| {
            let after = ended.last_event()?;
            let mut up = call.take_up(&format!("up-{}", call.id), after);
            up.body.clone_from(&call.body);
            Some(up)
        })
        .collect();
    assert!(
        cut.len() * 2 > calls.len(),
        "the kill cut streams: {ended:?}"
    );
    cut
}

/// Takes streams up at all nodes; returns how many went on.
async fn take_all_up(deployment: &Deployment, cut: &[Asked]) -> usize {
    let sent = cut.iter().enumerate();
    let sent = sent.map(|(place, call)| send(deployment, place % deployment.nodes.len(), call));
    let ended = join_all(sent).await;
    ended.iter().filter(|one| one.status() == Some(200)).count()
}

/// Guards against streams that nobody can take up, or that go on at another software version, since all nodes that
/// knew their version were killed at once.
#[tokio::test(flavor = "multi_thread")]
async fn streams_taken_up_after_all_nodes_were_killed_go_on_at_their_version() {
    let deployment = deployment_of_two_versions(3, 2).await;
    let cut = streams_cut_by_a_kill_of_all_nodes(&deployment).await;
    for node in &deployment.nodes {
        node.restart().expect("the node restarts");
    }
    for place in 0..deployment.nodes.len() {
        assert!(deployment.wait_until_ready(place).await);
    }
    let gone_on = take_all_up(&deployment, &cut).await;
    assert_eq!(deployment.misfits(), Vec::new());
    assert!(gone_on * 2 >= cut.len(), "{gone_on} of {}", cut.len());
    let unknown = send(&deployment, 0, &take_up("never-begun", "nobody", 3)).await;
    assert_eq!(unknown.status(), Some(503), "{unknown:?}");
}

/// Guards against streams of a team within its limit that are refused as over it, since all nodes that knew what it
/// had used were killed at once.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_team_within_its_limit_are_taken_up_after_all_nodes_were_killed() {
    let limited = deployment_with_limits(3, 2).await;
    let deployment = add_second_version(limited, 2).await;
    let calls = (0..STREAMS_OF_LIMITED_TEAM).map(|number| {
        let mut call = stream(&format!("limited-{number}"));
        call.key = key_of(LIMITED_TEAMS[0]);
        call
    });
    let calls: Vec<Asked> = calls.collect();
    let cut = cut_by_a_kill_of_all_nodes(&deployment, &calls).await;
    for node in &deployment.nodes {
        node.restart().expect("the node restarts");
    }
    for place in 0..deployment.nodes.len() {
        assert!(deployment.wait_until_ready(place).await);
    }
    let gone_on = take_all_up(&deployment, &cut).await;
    assert_eq!(deployment.misfits(), Vec::new());
    assert!(gone_on * 2 >= cut.len(), "{gone_on} of {}", cut.len());
}

/// Kills all nodes within streams of two versions, removes the upstreams of the older one, starts the nodes again with
/// `restart`, and asserts that none of the streams goes on at another version.
async fn assert_no_stream_changes_its_version(restart: impl Fn(&Node) -> io::Result<()>) {
    let mut deployment = deployment_of_two_versions(3, 2).await;
    let cut = streams_cut_by_a_kill_of_all_nodes(&deployment).await;
    (deployment.upstreams).retain(|one| !one.id().starts_with("pool") || one.version() == "v2");
    for node in &deployment.nodes {
        restart(node).expect("the node restarts");
    }
    for place in 0..deployment.nodes.len() {
        assert!(deployment.wait_until_ready(place).await);
    }
    take_all_up(&deployment, &cut).await;
    assert_eq!(deployment.misfits(), Vec::new());
    let unknown = send(&deployment, 0, &take_up("never-begun", "nobody", 3)).await;
    assert_eq!(unknown.status(), Some(503), "{unknown:?}");
}

/// Guards against streams that go on at the only version that is left after all nodes were killed.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_version_that_left_while_all_nodes_were_down_are_refused() {
    assert_no_stream_changes_its_version(Node::restart).await;
}

/// Guards against the same where settings that still state the first start of the installation make nodes believe that
/// no other version has served.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_version_that_left_are_refused_though_settings_state_a_first_start() {
    assert_no_stream_changes_its_version(Node::restart_with_old_settings).await;
}

/// Guards against streams that nobody knows, or that another team began, and that go on at any version.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_streams_are_refused_at_once_while_two_versions_serve() {
    let deployment = deployment_of_two_versions(2, 2).await;
    send(&deployment, 0, &asked("known", "stream-on")).await;
    let mut of_other_team = take_up("other-team", "known", 3);
    KEYS[1].clone_into(&mut of_other_team.key);
    let mut unnamed = asked("unnamed", "stream-on");
    unnamed.extra = "Last-Event-Id: 3\r\n".to_owned();
    let long = "x".repeat(2_000);
    let unknown = [
        take_up("never-begun", "nobody", 3),
        take_up("empty", "", 3),
        take_up("long", &long, 3),
        of_other_team,
        unnamed,
    ];
    for (place, call) in unknown.iter().enumerate() {
        let started = Instant::now();
        let ended = send(&deployment, place % 2, call).await;
        assert_eq!(ended.status(), Some(503), "{call:?}: {ended:?}");
        assert!(started.elapsed() < AT_ONCE, "{:?}", started.elapsed());
        assert!(deployment.runs_of(&call.id).is_empty(), "{call:?}");
    }
    let known = send(&deployment, 1, &take_up("taken-up", "known", 3)).await;
    assert_eq!(known.status(), Some(200), "{known:?}");
    assert_eq!(deployment.misfits(), Vec::new());
}

/// Guards against streams that are refused although all upstreams have had the same version for as long as streams last.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_stream_goes_on_while_one_version_has_served_alone() {
    let deployment = deployment(2, 2).await;
    let started = Instant::now();
    let ended = send(&deployment, 0, &take_up("sole-version", "nobody", 3)).await;
    assert_eq!(
        ended.status(),
        Some(200),
        "{ended:?} after {:?}",
        started.elapsed()
    );
}
