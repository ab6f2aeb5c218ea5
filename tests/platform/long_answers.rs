//! Long answers beside upstreams whose bodies stop or do not end.

use std::time::Duration;

use serde_json::json;
use teaselline_stand_ins::operators::deployment::{asked, document};
use teaselline_stand_ins::operators::{Asked, Deployment, Ended, Endless, EndlessPart, Fault};

use super::support::{MAX_GAINED_KB, deployment, eventually, peak_kb, send};

/// Upstreams of the service, one of them faulty.
const UPSTREAMS: usize = 10;

/// Calls at once.
const CALLS: usize = 20;

/// Time limit of the route that the test adds, and of its callers.
const TIMEOUT_MS: u64 = 8_000;

/// Longer than what a node reads of each answer whatever others hold.
const SOUND_BYTES: usize = 200 * 1024;

/// A body that stops after its first piece and stays open.
const STOPPED: Endless = Endless {
    part: EndlessPart::Body,
    piece_bytes: 12 * 1024 * 1024,
    pause_ms: 3_600_000,
};

/// A body that goes on slowly.
const SLOW: Endless = Endless {
    part: EndlessPart::Body,
    piece_bytes: 64 * 1024,
    pause_ms: 20,
};

fn call(id: &str) -> Asked {
    Asked {
        deadline_ms: TIMEOUT_MS,
        ..asked(id, "long")
    }
}

/// Starts a deployment with a route of calls that may run once and have long; returns it once the route is in force.
async fn with_long_calls() -> Deployment {
    let deployment = deployment(1, UPSTREAMS).await;
    let mut changed = document(2);
    let routes = changed["routes"].as_array_mut().expect("it has routes");
    let mut route = routes[0].clone();
    route["name"] = json!("long");
    route["pathPrefix"] = json!("/long/");
    route["timeoutMs"] = json!(TIMEOUT_MS);
    routes.push(route);
    deployment.configure(&changed);
    eventually("the route is in force", async || {
        send(&deployment, 0, &call("before")).await.status() == Some(200)
    })
    .await;
    deployment
}

async fn send_at_once(deployment: &Deployment, prefix: &str) -> Vec<(String, Ended)> {
    let calls = (0..CALLS).map(|place| {
        let id = format!("{prefix}-{place}");
        let node = deployment.nodes[0].callers();
        async move {
            let ended = call(&id).send(node).await;
            (id, ended)
        }
    });
    futures::future::join_all(calls).await
}

/// Sends calls in waves while one upstream of ten has this fault; those that it did not run have to be answered whole.
async fn sound_answers_are_whole_beside(fault: Endless) {
    let deployment = with_long_calls().await;
    for upstream in &deployment.upstreams {
        upstream.fill_answers(SOUND_BYTES);
    }
    let before_kb = peak_kb(&deployment);
    let faulty = deployment.upstream("desk-0").expect("it exists");
    faulty.set(Fault::Endless(fault));
    let waves = (0..6).map(|wave| {
        let deployment = &deployment;
        async move {
            tokio::time::sleep(Duration::from_millis(400 * wave)).await;
            send_at_once(deployment, &format!("wave-{wave}")).await
        }
    });
    let ended = futures::future::join_all(waves).await;
    let of_faulty = |id: &str| {
        let runs = deployment.runs_of(id);
        runs.iter().any(|run| run.upstream == faulty.id())
    };
    let (at_faulty, sound): (Vec<_>, Vec<_>) =
        (ended.into_iter().flatten()).partition(|(id, _ended)| of_faulty(id));
    assert!(at_faulty.len() >= 2, "{} calls", at_faulty.len());
    let is_whole = |ended: &Ended| ended.status() == Some(200) && ended.body().len() > SOUND_BYTES;
    let lost = sound.iter().filter(|(_id, ended)| !is_whole(ended));
    let lost: Vec<_> = lost
        .map(|(id, ended)| (id, ended.status(), deployment.runs_of(id).len()))
        .collect();
    assert!(
        lost.is_empty(),
        "{} of {} beside {}: {lost:?}",
        lost.len(),
        sound.len(),
        at_faulty.len()
    );
    let gained_kb = peak_kb(&deployment).saturating_sub(before_kb);
    assert!(gained_kb <= MAX_GAINED_KB, "{gained_kb} kB");
}

/// Guards against answers that have run and are thrown away because bodies of another upstream stop and hold the memory.
#[tokio::test(flavor = "multi_thread")]
async fn sound_answers_are_whole_beside_bodies_that_stop() {
    sound_answers_are_whole_beside(STOPPED).await;
}

/// Guards against answers that have run and are thrown away because bodies of another upstream go on slowly and hold the memory.
#[tokio::test(flavor = "multi_thread")]
async fn sound_answers_are_whole_beside_bodies_that_go_on_slowly() {
    sound_answers_are_whole_beside(SLOW).await;
}

/// Guards against a node whose memory is filled by bodies in chunks of some bytes, each of which costs more than its bytes.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_small_chunks_stay_within_the_nodes_memory() {
    let deployment = with_long_calls().await;
    let before_kb = peak_kb(&deployment);
    for upstream in &deployment.upstreams {
        upstream.set(Fault::Endless(Endless::fast(EndlessPart::Chunks)));
    }
    let ended = send_at_once(&deployment, "chunks").await;
    assert!(ended.iter().all(|(_id, ended)| ended.status() != Some(200)));
    let gained_kb = peak_kb(&deployment).saturating_sub(before_kb);
    assert!(gained_kb <= MAX_GAINED_KB, "{gained_kb} kB");
}
