//! A node that stood still or missed its peers' messages while a server of a new software version joined.

use std::net::{SocketAddr, UdpSocket};
use std::pin::pin;
use std::time::{Duration, Instant};

use futures::future::join_all;
use futures::stream::{self, StreamExt};
use nix::sys::signal::Signal;
use teaselline_stand_ins::operators::deployment::asked;
use teaselline_stand_ins::operators::store::Door;
use teaselline_stand_ins::operators::{Asked, Deployment, Ended, Fault};

use super::support::{deployment, send};

/// Take-ups at once.
const TAKE_UPS: usize = 8;

/// Interval between two streams that may begin at the new version, and their number.
const BETWEEN_STREAMS: Duration = Duration::from_millis(15);
const STREAMS: u32 = 400;

/// Port of the datagrams between nodes.
const GOSSIP_PORT: u16 = 7_600;

/// Datagrams that fill the receive buffer of a node that stands still: large ones, and small ones for what these leave.
const FILLING_DATAGRAMS: [(usize, usize); 2] = [(64, 60_000), (2_048, 1)];

/// Time in which requests reach a node that stands still.
const ARRIVAL: Duration = Duration::from_millis(50);

/// Time within which a stream that cannot go on ends; a small part of its deadline.
const AT_ONCE: Duration = Duration::from_millis(1_200);

/// Stops a node and has it lose what its peers send meanwhile, as its receive buffer is full.
fn stop_and_deafen(deployment: &Deployment, node: usize) {
    let stopped = &deployment.nodes[node];
    stopped.signal(Signal::SIGSTOP).expect("the node runs");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let address = SocketAddr::from((stopped.launch.ip, GOSSIP_PORT));
    for (datagrams, bytes) in FILLING_DATAGRAMS {
        for _datagram in 0..datagrams {
            let sent = socket.send_to(&vec![0xFF; bytes], address);
            sent.expect("loopback takes the datagram");
        }
    }
}

/// Starts the only upstream of a new version, which breaks streams off, and returns a stream that began there at a node.
async fn begin_at_new_version(deployment: &mut Deployment, node: usize) -> (Asked, u64) {
    let added = deployment.add_upstream_of("pool", "pool-new", "v2").await;
    added.expect("a port is free");
    let new = deployment
        .upstream("pool-new")
        .expect("the upstream was added");
    new.set(Fault::BreaksBegunStreams);
    let deployment = &*deployment;
    let ended = stream::iter(0..STREAMS).map(async |number| {
        tokio::time::sleep(BETWEEN_STREAMS * number).await;
        let call = asked(&format!("begun-{number}"), "stream-on");
        (send(deployment, node, &call).await, call)
    });
    let begun_there = ended
        .buffer_unordered(STREAMS as usize)
        .filter_map(async |(ended, call)| {
            let runs = deployment.runs_of(&call.id);
            let is_new = runs.first().is_some_and(|run| run.version == "v2");
            is_new.then_some((call, ended.last_event()?))
        });
    let first = pin!(begun_there).next().await;
    first.expect("streams are sent until one begins at the new version")
}

/// Sends requests to a node that stands still, lets it go on, and returns how they ended and how long they took.
async fn send_and_wake(
    deployment: &Deployment,
    node: usize,
    calls: &[Asked],
) -> (Vec<Ended>, Duration) {
    let wake = async {
        tokio::time::sleep(ARRIVAL).await;
        let woken = deployment.nodes[node].signal(Signal::SIGCONT);
        woken.expect("the node runs");
    };
    let started = Instant::now();
    let sent = join_all(calls.iter().map(|call| send(deployment, node, call)));
    let (ended, ()) = tokio::join!(sent, wake);
    (ended, started.elapsed())
}

/// Returns requests that take one stream up without its name.
fn unnamed(after: u64) -> Vec<Asked> {
    let calls = (0..TAKE_UPS).map(|number| {
        let mut call = asked(&format!("unnamed-{number}"), "stream-on");
        call.extra = format!("Last-Event-Id: {after}\r\n");
        call
    });
    calls.collect()
}

/// Returns requests that take a stream up by its name.
fn named(begun: &Asked, after: u64) -> Vec<Asked> {
    let calls = (0..TAKE_UPS).map(|number| begun.take_up(&format!("named-{number}"), after));
    calls.collect()
}

fn assert_refused(ended: &[Ended], took: Duration) {
    let is_refused = |ended: &Ended| ended.status() == Some(503);
    assert!(ended.iter().all(is_refused), "{ended:?}");
    assert!(took < AT_ONCE, "{took:?}");
}

/// Guards against streams without a name that go on at the old version at a node that stood still, cut off from the
/// store, while the new one joined.
#[tokio::test(flavor = "multi_thread")]
async fn unnamed_stream_is_not_joined_by_a_node_that_stood_still_while_a_version_joined() {
    let mut deployment = deployment(2, 2).await;
    stop_and_deafen(&deployment, 1);
    deployment.doors[1].set(Door::Silent);
    let (_begun, after) = begin_at_new_version(&mut deployment, 0).await;
    let (ended, took) = send_and_wake(&deployment, 1, &unnamed(after)).await;
    assert_refused(&ended, took);
}

/// Guards against the same for a stream that its caller names, where the node that knew it is gone.
#[tokio::test(flavor = "multi_thread")]
async fn named_stream_is_not_joined_by_a_node_that_stood_still_while_a_version_joined() {
    let mut deployment = deployment(2, 2).await;
    stop_and_deafen(&deployment, 1);
    deployment.doors[1].set(Door::Silent);
    let (begun, after) = begin_at_new_version(&mut deployment, 0).await;
    let killed = deployment.nodes[0].signal(Signal::SIGKILL);
    killed.expect("the node runs");
    let (ended, took) = send_and_wake(&deployment, 1, &named(&begun, after)).await;
    assert_refused(&ended, took);
    assert_eq!(deployment.misfits(), Vec::new());
}

/// Guards against streams that go on at the old version since the new one has left again before the node goes on.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_version_that_came_and_went_is_not_joined_by_a_node_that_stood_still() {
    let mut deployment = deployment(2, 2).await;
    stop_and_deafen(&deployment, 1);
    let (begun, after) = begin_at_new_version(&mut deployment, 0).await;
    (deployment.upstreams).retain(|one| one.version() == "v1");
    let (ended, took) = send_and_wake(&deployment, 1, &unnamed(after)).await;
    assert_refused(&ended, took);
    let (ended, took) = send_and_wake(&deployment, 1, &named(&begun, after)).await;
    assert_refused(&ended, took);
    assert_eq!(deployment.misfits(), Vec::new());
}

/// Returns requests that take up streams that nobody knows, by names and without.
fn unknown() -> Vec<Asked> {
    let mut calls = unnamed(3);
    calls.extend(named(&asked("nobody", "stream-on"), 3));
    calls
}

fn assert_gone_on(ended: &[Ended]) {
    let goes_on = |ended: &Ended| ended.status() == Some(200);
    assert!(ended.iter().all(goes_on), "{ended:?}");
}

/// Guards against streams that are refused at a node that stood still though no other version has joined.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_sole_version_goes_on_at_a_node_that_stood_still() {
    let deployment = deployment(2, 2).await;
    stop_and_deafen(&deployment, 1);
    let (ended, _took) = send_and_wake(&deployment, 1, &unknown()).await;
    assert_gone_on(&ended);
}

/// Guards against streams that are refused at a node that the store does not answer though peers can read it.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_sole_version_goes_on_at_a_node_cut_off_from_the_store() {
    let deployment = deployment(3, 2).await;
    deployment.doors[2].set(Door::Silent);
    let calls = unknown();
    let ended = join_all(calls.iter().map(|call| send(&deployment, 2, call))).await;
    assert_gone_on(&ended);
}

/// Guards against streams that are refused at a node that no peer answers though it can read the store.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_sole_version_goes_on_at_a_node_cut_off_from_its_peers() {
    let deployment = deployment(3, 2).await;
    for peer in &deployment.nodes[..2] {
        peer.signal(Signal::SIGSTOP).expect("the node runs");
    }
    let calls = unknown();
    let ended = join_all(calls.iter().map(|call| send(&deployment, 2, call))).await;
    assert_gone_on(&ended);
}

/// Guards against streams that are refused at the only node.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_sole_version_goes_on_at_a_node_without_peers() {
    let deployment = deployment(1, 2).await;
    let calls = unknown();
    let ended = join_all(calls.iter().map(|call| send(&deployment, 0, call))).await;
    assert_gone_on(&ended);
}
