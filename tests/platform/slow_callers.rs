//! Callers that read slowly, or send nothing, while their node stops.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use nix::sys::signal::Signal;
use teaselline_stand_ins::operators::caller::parse;
use teaselline_stand_ins::operators::deployment::{DeploymentSettings, asked};
use teaselline_stand_ins::operators::{Asked, Deployment, Ended};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use super::support::{MAX_GAINED_KB, eventually, peak_kb, send};

/// Beyond what the sockets of both sides hold.
const FILLER_BYTES: usize = 12 * 1024 * 1024;

/// A socket that takes little at a time.
const SMALL_BUFFER_BYTES: u32 = 4 * 1024;

/// Longer than the shortest stay of a stopping node and the time for closing its connections.
const PAUSE: Duration = Duration::from_millis(4_800);

/// Time between the stop signal and the kill.
const GRACE_S: u64 = 20;

/// Callers that read nothing of a long answer.
const CALLS: usize = 24;

/// Time in which a node that nothing holds has exited, well within its grace period.
const EXIT_TIMEOUT: Duration = Duration::from_secs(12);

async fn one_node() -> Deployment {
    let settings = DeploymentSettings {
        binary: Path::new(env!("CARGO_BIN_EXE_teaselline")),
        nodes: 1,
        upstreams: 1,
        grace_s: GRACE_S,
        usage_window_s: 1.0,
        has_quota_window: false,
        is_proxied: false,
        host: None,
    };
    let started = Deployment::start(settings).await;
    started.expect("the node becomes ready")
}

/// Connects with a small receive buffer.
async fn connect(callers: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(SMALL_BUFFER_BYTES)
        .expect("the size is set");
    socket.connect(callers).await.expect("the node listens")
}

/// Reads until the answer is whole or the connection ends.
async fn read_answer(socket: &mut TcpStream, mut received: Vec<u8>) -> Ended {
    while parse(&received).is_none() {
        let mut part = vec![0; 1024 * 1024];
        match socket.read(&mut part).await {
            Ok(length) if length > 0 => received.extend_from_slice(&part[..length]),
            _ => {
                let received = format!("{} bytes", received.len());
                return Ended::Cut { received };
            }
        }
    }
    parse(&received).expect("the answer is whole")
}

/// Guards against an answer that is cut because a stopping node counts it as sent once it has written it to its own buffer.
#[tokio::test(flavor = "multi_thread")]
async fn whole_answer_reaches_a_caller_that_reads_slowly_while_the_node_stops() {
    let deployment = one_node().await;
    let node = &deployment.nodes[0];
    for upstream in &deployment.upstreams {
        upstream.fill_answers(FILLER_BYTES);
    }
    let mut socket = connect(node.callers()).await;
    let call = Asked {
        deadline_ms: 15_000,
        ..asked("slow", "once")
    };
    let sent = socket.write_all(call.text().as_bytes()).await;
    sent.expect("the request is written");
    let mut received = vec![0; 16];
    let read = socket.read_exact(&mut received).await;
    read.expect("the answer begins");
    node.signal(Signal::SIGTERM).expect("the node runs");
    tokio::time::sleep(PAUSE).await;
    let ended = read_answer(&mut socket, received).await;
    assert_eq!(ended.status(), Some(200), "{}", ended.body());
    assert!(ended.body().len() > FILLER_BYTES);
    let status = node.wait_for_end(EXIT_TIMEOUT).await;
    assert!(status.expect("the node exited").success());
}

/// Guards against a node whose memory is filled by answers that their callers do not read.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_callers_do_not_read_stay_within_the_nodes_memory() {
    let deployment = one_node().await;
    let node = &deployment.nodes[0];
    let before_kb = peak_kb(&deployment);
    for upstream in &deployment.upstreams {
        upstream.fill_answers(FILLER_BYTES);
    }
    let mut sockets = Vec::new();
    for place in 0..CALLS {
        let mut socket = connect(node.callers()).await;
        let call = asked(&format!("unread-{place}"), "once");
        let sent = socket.write_all(call.text().as_bytes()).await;
        sent.expect("the request is written");
        let mut status = [0; 12];
        let read = socket.read_exact(&mut status).await;
        read.expect("an answer begins");
        sockets.push(socket);
    }
    let gained_kb = peak_kb(&deployment).saturating_sub(before_kb);
    assert!(gained_kb <= MAX_GAINED_KB, "{gained_kb} kB");
    drop(sockets);
    for upstream in &deployment.upstreams {
        upstream.fill_answers(FILLER_BYTES / 2);
    }
    eventually("long answers are served again", async || {
        send(&deployment, 0, &asked("after", "again"))
            .await
            .status()
            == Some(200)
    })
    .await;
}

/// Guards against a stopping node that waits for callers who have no request under way.
#[tokio::test(flavor = "multi_thread")]
async fn connections_without_a_request_do_not_hold_a_stopping_node() {
    let deployment = one_node().await;
    let node = &deployment.nodes[0];
    let mut kept = connect(node.callers()).await;
    let call = asked("kept", "once");
    let sent = kept.write_all(call.text().as_bytes()).await;
    sent.expect("the request is written");
    let ended = read_answer(&mut kept, Vec::new()).await;
    assert_eq!(ended.status(), Some(200), "{ended:?}");
    let _unused = connect(node.callers()).await;
    let mut begun = connect(node.callers()).await;
    let half = &call.text()[..20];
    let sent = begun.write_all(half.as_bytes()).await;
    sent.expect("half a head is written");
    node.signal(Signal::SIGTERM).expect("the node runs");
    let status = node.wait_for_end(EXIT_TIMEOUT).await;
    assert!(status.expect("the node exited").success());
}
