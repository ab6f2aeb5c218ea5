//! Upstreams that stand still for longer than a stream's usual gap and go on.

use serde_json::json;
use teaselline_stand_ins::operators::{Asked, Ended};

use super::*;

/// Time that callers wait, and the timeout of routes.
const DEADLINE_MS: u64 = 12_000;

/// A silence that ends before callers give up, above the timeout of 1,200 ms between two events.
const SILENCE_MS: u64 = 1_600;

/// A silence that does not end within a test.
const ENDLESS_MS: u64 = 60_000;

/// A silence that ends after a stream has begun to look for another upstream, 1,800 ms after its last event.
const STILL_UNTIL_BUSY_MS: u64 = 2_000;

/// Time for which a node's thread is busy, until after the end of that silence.
const BUSY: Duration = Duration::from_millis(500);

/// Requests that have earned repeats before.
const EARLIER_REQUESTS: usize = 400;

/// Streams that stand still together.
const STREAMS_AT_ONCE: usize = 24;

/// Events of a stream.
const EVENTS: usize = 10;

/// Starts a node whose resumable streams may reach this many upstreams.
async fn start(upstreams: &Upstreams, max_attempts: u32) -> TestNode {
    let test_node = TestNode::start("patient", upstreams, Link::Works).await;
    configure_with(&test_node.node, |document| {
        let routes = document["routes"].as_array_mut().expect("routes");
        for route in routes.iter_mut().filter(|route| route["resumable"] == true) {
            route["timeoutMs"] = json!(DEADLINE_MS);
            route["maxAttempts"] = json!(max_attempts);
        }
    });
    let node = &test_node.node;
    let budget = node.repeat_budget();
    for _request in 0..EARLIER_REQUESTS {
        let mut repeats = node.repeats.lock();
        (repeats.get_or_default("pool")).record_request(&budget, clock::now());
    }
    test_node
}

/// Takes repeats out of the budget until one is left.
fn leave_one_repeat(node: &Gateway) {
    let budget = node.repeat_budget();
    let mut repeats = node.repeats.lock();
    let repeats = repeats.get_or_default("pool");
    while repeats.remaining(&budget, clock::now()) >= 2.0 {
        assert!(repeats.try_take(&budget, clock::now()));
    }
}

/// Sends a stream without waiting for its end.
fn ask(test_node: &TestNode, id: &str) -> tokio::task::JoinHandle<Ended> {
    let asked = Asked {
        deadline_ms: DEADLINE_MS,
        ..asked(id, "stream-on")
    };
    let callers = test_node.callers;
    tokio::spawn(async move { asked.send(callers).await })
}

/// Sends a stream and returns the upstream that began it, once it has.
async fn begin(
    test_node: &TestNode,
    upstreams: &Upstreams,
    id: &str,
) -> (tokio::task::JoinHandle<Ended>, String) {
    for stand_in in &upstreams.stand_ins {
        stand_in.pause_between_events(60);
    }
    let request = ask(test_node, id);
    eventually(|| upstreams.runs_of(id).len() == 1).await;
    tokio::time::sleep(Duration::from_millis(150)).await;
    (request, upstreams.runs_of(id)[0].upstream.clone())
}

fn assert_whole(ended: &Ended, case: &str) {
    assert_eq!(ended.status(), Some(200), "{case}: {ended:?}");
    let events = ended.body().matches("data: ").count();
    assert_eq!(events, EVENTS, "{case}: {ended:?}");
}

/// Lets a stream begin, has all upstreams stand still and asserts that it goes on where it began.
async fn assert_kept(test_node: &TestNode, upstreams: &Upstreams, case: &str) {
    let (request, _begun_at) = begin(test_node, upstreams, "kept").await;
    for stand_in in &upstreams.stand_ins {
        stand_in.stand_still(SILENCE_MS);
    }
    let ended = request.await.expect("the request ends");
    assert_whole(&ended, case);
    let runs = upstreams.runs_of("kept");
    assert_eq!(runs.len(), 1, "{case}: {runs:?}");
}

/// Guards against a stream that is broken off for a silence because its attempts are used up.
#[tokio::test(flavor = "multi_thread")]
async fn silent_stream_without_attempts_left_waits_for_its_upstream() {
    let upstreams = Upstreams::start().await;
    let test_node = start(&upstreams, 1).await;
    assert_kept(&test_node, &upstreams, "no attempt left").await;
}

/// Guards against a stream that is broken off for a silence because the repeat budget is used up.
#[tokio::test(flavor = "multi_thread")]
async fn silent_stream_without_repeat_budget_waits_for_its_upstream() {
    let upstreams = Upstreams::start().await;
    let test_node = start(&upstreams, 3).await;
    let node = &test_node.node;
    let budget = node.repeat_budget();
    let has_taken = || {
        let mut repeats = node.repeats.lock();
        (repeats.get_or_default("pool")).try_take(&budget, clock::now())
    };
    while has_taken() {}
    assert_kept(&test_node, &upstreams, "no budget left").await;
}

/// Guards against streams that leave one silent upstream at once, of which all but the first find the budget used up.
#[tokio::test(flavor = "multi_thread")]
async fn silent_streams_beyond_the_repeat_budget_wait_for_their_upstream() {
    let upstreams = Upstreams::start().await;
    let test_node = start(&upstreams, 3).await;
    let ids: Vec<String> = (0..STREAMS_AT_ONCE).map(|n| format!("crowd-{n}")).collect();
    for stand_in in &upstreams.stand_ins {
        stand_in.pause_between_events(60);
    }
    let requests: Vec<_> = ids.iter().map(|id| ask(&test_node, id)).collect();
    eventually(|| ids.iter().all(|id| upstreams.runs_of(id).len() == 1)).await;
    tokio::time::sleep(Duration::from_millis(150)).await;
    leave_one_repeat(&test_node.node);
    let begun_at = |id: &String| upstreams.runs_of(id)[0].upstream.clone();
    let silent = begun_at(&ids[0]);
    let crowd = ids.iter().filter(|id| begun_at(id) == silent).count();
    assert!(crowd > 2, "{crowd} streams at {silent}");
    let mut stand_ins = upstreams.stand_ins.iter();
    let stand_in = stand_ins.find(|stand_in| stand_in.id() == silent);
    stand_in
        .expect("it began there")
        .stand_still(2 * SILENCE_MS);
    for (id, request) in ids.iter().zip(requests) {
        assert_whole(&request.await.expect("the request ends"), id);
    }
}

/// Guards against a stream that is broken off for a silence because no other upstream has its version.
#[tokio::test(flavor = "multi_thread")]
async fn silent_stream_without_an_upstream_of_its_version_waits_for_its_own() {
    let upstreams = Upstreams::start().await;
    let test_node = start(&upstreams, 3).await;
    let (request, begun_at) = begin(&test_node, &upstreams, "versions").await;
    let others = (upstreams.stand_ins.iter()).filter(|stand_in| stand_in.id() != begun_at);
    for stand_in in others {
        let mut table = test_node.node.upstreams.lock();
        let key = table.find(stand_in.id()).expect("it is announced");
        let upstream = table.get_mut(key).expect("it is announced");
        "v2".clone_into(&mut upstream.announcement.version);
    }
    for stand_in in &upstreams.stand_ins {
        stand_in.stand_still(SILENCE_MS);
    }
    let ended = request.await.expect("the request ends");
    assert_whole(&ended, "no other of its version");
    assert_eq!(upstreams.runs_of("versions").len(), 1);
}

/// Guards against streams that all move to other upstreams, which stand still too, in a pause of all.
#[tokio::test(flavor = "multi_thread")]
async fn silent_stream_stays_while_no_other_upstream_shows_signs_of_life() {
    let upstreams = Upstreams::start().await;
    let test_node = start(&upstreams, 3).await;
    assert_kept(&test_node, &upstreams, "all stand still").await;
}

/// Guards against a stream that waits for an upstream that will not go on while others would serve it.
#[tokio::test(flavor = "multi_thread")]
async fn silent_stream_moves_to_an_upstream_that_may_be_sound() {
    let upstreams = Upstreams::start().await;
    let test_node = start(&upstreams, 2).await;
    let (request, begun_at) = begin(&test_node, &upstreams, "moved").await;
    let mut stand_ins = upstreams.stand_ins.iter();
    let first = stand_ins.find(|stand_in| stand_in.id() == begun_at);
    first.expect("it began there").stand_still(ENDLESS_MS);
    let ended = request.await.expect("the request ends");
    assert_whole(&ended, "another is sound");
    assert_eq!(upstreams.runs_of("moved").len(), 2);
}

/// Guards against a stream whose new upstream refuses the connection after the old one has been given up.
#[tokio::test(flavor = "multi_thread")]
async fn silent_stream_stays_while_no_other_upstream_accepts_a_connection() {
    let upstreams = Upstreams::start().await;
    let test_node = start(&upstreams, 3).await;
    let (request, begun_at) = begin(&test_node, &upstreams, "unreached").await;
    {
        let mut table = test_node.node.upstreams.lock();
        let refusing = upstreams.refusing.local_addr().expect("it is bound");
        let others = (upstreams.stand_ins.iter()).filter(|stand_in| stand_in.id() != begun_at);
        for stand_in in others {
            let key = table.find(stand_in.id()).expect("it is announced");
            let upstream = table.get_mut(key).expect("it is announced");
            upstream.announcement.address = refusing;
        }
    }
    for stand_in in &upstreams.stand_ins {
        stand_in.stand_still(2 * SILENCE_MS);
    }
    let ended = request.await.expect("the request ends");
    assert_whole(&ended, "no other is reachable");
    assert_eq!(upstreams.runs_of("unreached").len(), 1);
}

/// Accepts one connection and then keeps this node's thread busy until events of the silent upstream wait in its socket.
async fn be_busy_from_the_first_connection(listener: std::net::TcpListener) -> std::net::TcpStream {
    loop {
        if let Ok((connection, _address)) = listener.accept() {
            std::thread::sleep(BUSY);
            return connection;
        }
        tokio::task::yield_now().await;
    }
}

/// Guards against a stream that leaves an upstream that has gone on, since a busy node acts before it reads.
#[tokio::test]
async fn silent_stream_stays_if_it_has_gone_on_while_another_upstream_was_connected() {
    let elsewhere = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime");
    let started = elsewhere.spawn(Upstreams::start()).await;
    let upstreams = started.expect("they start");
    let test_node = start(&upstreams, 3).await;
    let (request, begun_at) = begin(&test_node, &upstreams, "busy").await;
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    listener.set_nonblocking(true).expect("it is a socket");
    let address = listener.local_addr().expect("it is bound");
    {
        let mut table = test_node.node.upstreams.lock();
        for stand_in in (upstreams.stand_ins.iter()).filter(|stand_in| stand_in.id() != begun_at) {
            let key = table.find(stand_in.id()).expect("it is announced");
            let upstream = table.get_mut(key).expect("it is announced");
            upstream.announcement.address = address;
        }
    }
    let busy = tokio::spawn(be_busy_from_the_first_connection(listener));
    for stand_in in &upstreams.stand_ins {
        stand_in.stand_still(STILL_UNTIL_BUSY_MS);
    }
    let ended = request.await.expect("the request ends");
    assert!(
        busy.is_finished(),
        "the node has connected to another upstream"
    );
    assert_whole(&ended, "it has gone on");
    elsewhere.shutdown_background();
}
