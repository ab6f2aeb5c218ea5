//! One upstream of several that sends a head without end, beside sound upstreams of another service.

use std::time::Duration;

use teaselline_stand_ins::operators::deployment::asked;
use teaselline_stand_ins::operators::{Deployment, Ended, Endless, EndlessPart, Fault};

use super::support::{deployment, eventually, send};

/// Requests under way at the faulty upstream at once.
const REQUESTS_AT_ONCE: usize = 20;

/// Calls of other callers meanwhile.
const SOUND_CALLS: usize = 30;

/// Bytes of one write of the faulty upstream.
const PIECES_BYTES: [usize; 3] = [64 * 1024, 64, 1];

/// Latest time after the end of a request by which the upstream sees its connection closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends streams to a service whose upstreams send `endless`, and calls to a sound service meanwhile.
async fn sound_calls_beside(deployment: &Deployment, endless: Endless) -> Vec<Ended> {
    for upstream in &deployment.upstreams {
        if upstream.id().starts_with("pool") {
            upstream.set(Fault::Endless(endless));
        }
    }
    let node = deployment.nodes[0].callers();
    let name = format!("{:?}-{}", endless.part, endless.piece_bytes);
    let faulty = (0..REQUESTS_AT_ONCE).map(|place| {
        let call = asked(&format!("faulty-{name}-{place}"), "stream");
        async move { call.send(node).await }
    });
    let faulty = tokio::spawn(futures::future::join_all(faulty));
    let mut sound = Vec::new();
    for place in 0..SOUND_CALLS {
        let call = asked(&format!("sound-{name}-{place}"), "once");
        sound.push(call.send(node).await);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for ended in faulty.await.expect("the calls do not panic") {
        assert_ne!(ended.status(), Some(200), "{endless:?}: {ended:?}");
        assert!(ended.status().is_some(), "{endless:?}: no word: {ended:?}");
    }
    sound
}

/// Checks that a head without end is read up to a bound, and that all others' calls are answered.
async fn endless_head_is_bounded(part: EndlessPart) {
    let deployment = deployment(1, 1).await;
    for piece_bytes in PIECES_BYTES {
        let endless = Endless {
            piece_bytes,
            ..Endless::fast(part)
        };
        for ended in sound_calls_beside(&deployment, endless).await {
            assert_eq!(ended.status(), Some(200), "{endless:?}: {ended:?}");
        }
        let is_closed = async || {
            let runs = deployment.runs.lock();
            let mut faulty = runs.iter().filter(|run| run.request.starts_with("faulty"));
            faulty.all(|run| run.left_at_ms.is_some())
        };
        let closed = eventually("connections stay open", is_closed);
        let closed = tokio::time::timeout(CLOSE_TIMEOUT, closed).await;
        assert!(closed.is_ok(), "{endless:?}: open connections");
    }
    for upstream in &deployment.upstreams {
        upstream.set(Fault::None);
    }
    eventually("the service serves again", async || {
        send(&deployment, 0, &asked("after", "stream"))
            .await
            .status()
            == Some(200)
    })
    .await;
}

/// Guards against informational heads without end that keep a node from all its other requests.
#[tokio::test(flavor = "multi_thread")]
async fn endless_informational_heads_hold_up_no_other_request() {
    endless_head_is_bounded(EndlessPart::InformationalHeads).await;
}

/// Guards against headers without end that keep a node from its other requests or stay open.
#[tokio::test(flavor = "multi_thread")]
async fn endless_headers_hold_up_no_other_request() {
    endless_head_is_bounded(EndlessPart::Headers).await;
    endless_head_is_bounded(EndlessPart::HeaderValue).await;
}

/// Guards against a status line without end that keeps a node from its other requests or stays open.
#[tokio::test(flavor = "multi_thread")]
async fn endless_status_line_holds_up_no_other_request() {
    endless_head_is_bounded(EndlessPart::StatusLine).await;
    endless_head_is_bounded(EndlessPart::NoAnswer).await;
}
