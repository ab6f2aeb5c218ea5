//! One upstream of several that sends a head without end, beside sound upstreams of another service.

use std::time::Duration;

use teaselline_stand_ins::operators::deployment::asked;
use teaselline_stand_ins::operators::{Deployment, Ended, Endless, EndlessPart, Fault};

use super::support::{MAX_GAINED_KB, deployment, eventually, peak_kb, send};

/// Requests under way at the faulty upstream at once.
const REQUESTS_AT_ONCE: usize = 20;

/// Calls of other callers meanwhile.
const SOUND_CALLS: usize = 30;

/// Bytes of one write of the faulty upstream.
const PIECES_BYTES: [usize; 3] = [64 * 1024, 64, 1];

/// Latest time after the end of a request by which the upstream sees its connection closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The route at whose upstreams the fault is, their service, and a route to sound upstreams of another service.
#[derive(Clone, Copy, Debug)]
pub struct Routes {
    faulty: &'static str,
    service: &'static str,
    sound: &'static str,
}

/// Streams to upstreams with a fault.
pub const FAULTY_STREAMS: Routes = Routes {
    faulty: "stream",
    service: "pool",
    sound: "once",
};

/// Calls to upstreams with a fault.
pub const FAULTY_CALLS: Routes = Routes {
    faulty: "once",
    service: "desk",
    sound: "stream",
};

/// Sends requests to a service whose upstreams send `endless`, and to a sound service meanwhile.
async fn sound_calls_beside(
    deployment: &Deployment,
    endless: Endless,
    routes: Routes,
) -> Vec<Ended> {
    for upstream in &deployment.upstreams {
        if upstream.id().starts_with(routes.service) {
            upstream.set(Fault::Endless(endless));
        }
    }
    let node = deployment.nodes[0].callers();
    let name = format!("{:?}-{}", endless.part, endless.piece_bytes);
    let faulty = (0..REQUESTS_AT_ONCE).map(|place| {
        let call = asked(&format!("faulty-{name}-{place}"), routes.faulty);
        async move { call.send(node).await }
    });
    let faulty = tokio::spawn(futures::future::join_all(faulty));
    let mut sound = Vec::new();
    for place in 0..SOUND_CALLS {
        let call = asked(&format!("sound-{name}-{place}"), routes.sound);
        sound.push(call.send(node).await);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for ended in faulty.await.expect("the calls do not panic") {
        assert_ne!(ended.status(), Some(200), "{endless:?}: {ended:?}");
        assert!(ended.status().is_some(), "{endless:?}: no word: {ended:?}");
    }
    sound
}

/// Checks that a part without end is read up to a bound, and that all others' calls are answered.
pub async fn endless_part_is_bounded(part: EndlessPart, routes: Routes) {
    let deployment = deployment(1, 1).await;
    send(&deployment, 0, &asked("before", routes.faulty)).await;
    let before_kb = peak_kb(&deployment);
    for piece_bytes in PIECES_BYTES {
        let endless = Endless {
            piece_bytes,
            ..Endless::fast(part)
        };
        for ended in sound_calls_beside(&deployment, endless, routes).await {
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
    let gained_kb = peak_kb(&deployment).saturating_sub(before_kb);
    assert!(gained_kb <= MAX_GAINED_KB, "{part:?}: {gained_kb} kB");
    for upstream in &deployment.upstreams {
        upstream.set(Fault::None);
    }
    eventually("the service serves again", async || {
        send(&deployment, 0, &asked("after", routes.faulty))
            .await
            .status()
            == Some(200)
    })
    .await;
}

/// Guards against informational heads without end that keep a node from all its other requests.
#[tokio::test(flavor = "multi_thread")]
async fn endless_informational_heads_hold_up_no_other_request() {
    endless_part_is_bounded(EndlessPart::InformationalHeads, FAULTY_STREAMS).await;
}

/// Guards against headers without end that keep a node from its other requests or stay open.
#[tokio::test(flavor = "multi_thread")]
async fn endless_headers_hold_up_no_other_request() {
    endless_part_is_bounded(EndlessPart::Headers, FAULTY_STREAMS).await;
    endless_part_is_bounded(EndlessPart::HeaderValue, FAULTY_STREAMS).await;
}

/// Guards against a status line without end that keeps a node from its other requests or stays open.
#[tokio::test(flavor = "multi_thread")]
async fn endless_status_line_holds_up_no_other_request() {
    endless_part_is_bounded(EndlessPart::StatusLine, FAULTY_STREAMS).await;
    endless_part_is_bounded(EndlessPart::NoAnswer, FAULTY_STREAMS).await;
}

/// Calls one after the other once the faulty upstream is known.
const LATER_CALLS: usize = 100;

/// Most of them that may come to the faulty upstream.
const MAX_FAULTY_CALLS: usize = 10;

/// Guards against one upstream of ten that costs requests which the others may answer, or keeps its share of requests.
#[tokio::test(flavor = "multi_thread")]
async fn one_upstream_of_ten_with_endless_heads_is_left() {
    let deployment = deployment(1, 10).await;
    let is_faulty = |id: &str| ["desk-3", "pool-3"].contains(&id);
    for upstream in &deployment.upstreams {
        if is_faulty(upstream.id()) {
            let endless = Endless::fast(EndlessPart::InformationalHeads);
            upstream.set(Fault::Endless(endless));
        }
    }
    let node = deployment.nodes[0].callers();
    for route in ["again", "stream-on"] {
        let arrived = || {
            let faulty = (deployment.upstreams.iter()).filter(|one| is_faulty(one.id()));
            faulty.map(|one| one.arrivals().len()).sum::<usize>()
        };
        let (before, mut round) = (arrived(), 0);
        eventually("no request comes to the upstream", async || {
            round += 1;
            let calls = (0..REQUESTS_AT_ONCE).map(|place| {
                let call = asked(&format!("{route}-{round}-{place}"), route);
                async move { call.send(node).await }
            });
            for ended in futures::future::join_all(calls).await {
                assert_eq!(ended.status(), Some(200), "{route}: {ended:?}");
            }
            arrived() > before
        })
        .await;
    }
    let mut failed = 0;
    for place in 0..LATER_CALLS {
        let id = format!("later-{place}");
        let ended = send(&deployment, 0, &asked(&id, "once")).await;
        if ended.status() != Some(200) {
            assert!(ended.status().is_some(), "no word: {ended:?}");
            assert!(!ended.says_not_run(), "it has run: {ended:?}");
            assert_eq!(deployment.runs_of(&id).len(), 1, "{ended:?}");
            failed += 1;
        }
    }
    assert!(failed <= MAX_FAULTY_CALLS, "{failed} came to the upstream");
    let log = deployment.nodes[0].log();
    let is_named =
        |line: &String| line.contains("attempt_failed") && line.contains("head_too_long");
    assert!(log.iter().any(is_named), "the log does not say why");
}
