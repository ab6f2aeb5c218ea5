//! Callers that do not read the answers that they asked for.

use teaselline_stand_ins::operators::deployment::asked;
use teaselline_stand_ins::operators::{Asked, Fault};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::endless::{MAX_GAINED_KB, peak_kb};
use super::support::{deployment, send};

/// Callers that wait with an unread answer.
const CALLERS: usize = 24;

/// Body of one answer, which the node reads whole; more than sockets hold.
const ANSWER_BYTES: usize = 12 * 1024 * 1024;

/// Sends a call and reads the status of its answer only; returns both.
async fn read_status(node: std::net::SocketAddr, call: &Asked) -> (TcpStream, String) {
    let mut socket = TcpStream::connect(node).await.expect("the node listens");
    let sent = socket.write_all(call.text().as_bytes()).await;
    sent.expect("it is sent");
    let mut status = [0; 12];
    socket.read_exact(&mut status).await.expect("an answer");
    (socket, String::from_utf8_lossy(&status).into_owned())
}

/// Guards against a node whose memory is filled by whole answers that their callers do not read.
#[tokio::test(flavor = "multi_thread")]
async fn unread_whole_answers_stay_within_the_nodes_memory() {
    let deployment = deployment(1, 2).await;
    send(&deployment, 0, &asked("before", "once")).await;
    let before_kb = peak_kb(&deployment);
    for upstream in &deployment.upstreams {
        upstream.set(Fault::LongAnswers(ANSWER_BYTES));
    }
    let mut unread = Vec::new();
    for place in 0..CALLERS {
        let call = asked(&format!("unread-{place}"), "once");
        unread.push(read_status(deployment.nodes[0].callers(), &call).await);
    }
    let answered = unread.iter().filter(|(_, status)| status.ends_with("200"));
    let answered = answered.count();
    let gained_kb = peak_kb(&deployment).saturating_sub(before_kb);
    assert!(
        gained_kb <= MAX_GAINED_KB,
        "{gained_kb} kB, {answered} of {CALLERS} answered"
    );
}
