//! Upstreams whose streams send bytes or events without end.

use std::time::Duration;

use teaselline_stand_ins::operators::deployment::{asked, document};
use teaselline_stand_ins::operators::{Asked, Deployment, Ended, Endless, EndlessPart, Fault};

use super::support::{Load, deployment, eventually};

/// Has the first upstream of streams send so.
fn break_first(deployment: &Deployment, endless: Endless) {
    let mut pool = (deployment.upstreams.iter()).filter(|one| one.id().starts_with("pool"));
    let first = pool.next().expect("the service has an upstream");
    first.set(Fault::Endless(endless));
}

/// Sends resumable streams to a node of whose two upstreams one sends so; each goes on at the other one and is whole.
async fn streams_leave(part: EndlessPart, reasons: &[&str]) {
    let deployment = deployment(1, 2).await;
    let mut longer = document(2);
    for route in longer["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = 8_000.into();
    }
    deployment.configure(&longer);
    eventually("the configuration is in force", async || {
        let log = deployment.nodes[0].log();
        log.iter()
            .any(|line| line.contains("configuration_changed"))
    })
    .await;
    let load = Load::start(&deployment);
    tokio::time::sleep(Duration::from_millis(500)).await;
    break_first(
        &deployment,
        Endless {
            part,
            piece_bytes: 1,
            pause_ms: 20,
        },
    );
    let streams = (0..3).map(|place| {
        let stream = Asked {
            deadline_ms: 8_000,
            ..asked(&format!("leaves-{place}"), "stream-on")
        };
        let node = deployment.nodes[0].callers();
        async move { stream.send(node).await }
    });
    let ended = futures::future::join_all(streams).await;
    load.end().await;
    let statuses: Vec<_> = ended.iter().map(Ended::status).collect();
    let log = deployment.nodes[0].log();
    let left = log
        .iter()
        .filter(|line| reasons.iter().any(|reason| line.contains(reason)));
    assert_eq!(statuses, [Some(200); 3], "{part:?}: {ended:?}");
    assert!(left.count() > 0, "{part:?}: no reason in the log");
}

/// Guards against a silence that bytes without an event put off: the stream stays at the upstream until its limit.
#[tokio::test(flavor = "multi_thread")]
async fn stream_leaves_an_upstream_whose_event_does_not_end() {
    streams_leave(EndlessPart::EventLine, &["stream_silent"]).await;
}

/// Guards against a silence that events put off which the caller has already.
#[tokio::test(flavor = "multi_thread")]
async fn stream_leaves_an_upstream_that_repeats_one_event() {
    streams_leave(EndlessPart::RepeatedEvents, &["stream_silent"]).await;
}
