//! All open channels to the store go silent for good between two configurations; new channels work.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::{Value, json};
use teaselline_review_2::{
    BROKEN, CONTACT_MS, COULD_NOT_RUN, End, Fleet, HELD, HOST, Record, Way, call, has_trouble,
    run_script,
};
use teaselline_stand_ins::now_ms;
use teaselline_stand_ins::operators::upstream::UpstreamSettings;
use teaselline_stand_ins::operators::{Run, Upstream};

const NODES: u8 = 6;
const SERVERS: usize = 4;

/// A configuration is in force so long after its ack (`configApplyMs`).
const APPLY_MS: u64 = 2_000;

/// Time from the first configuration to the silence, and from there to the second one.
const SILENT_AFTER: Duration = Duration::from_millis(100);
const SECOND_AFTER: Duration = Duration::from_millis(100);

/// Pause between two requests to one node, and for how long they are sent.
const PROBE_PAUSE: Duration = Duration::from_millis(25);
const PROBES_MS: u64 = 9_000;

const LIMIT: Duration = Duration::from_millis(1_000);

/// The services of the route, before and after its move, and what the ids of their servers begin with.
const SERVICES: [&str; 2] = ["desk-old", "desk-new"];

/// A version that sends the route to this service; it also changes a time limit of another route.
fn configuration(version: u64, service: &str) -> Value {
    let route = |name: &str, service: &str, timeout_ms: u64| {
        json!({
            "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "kind": "idempotent",
            "timeoutMs": timeout_ms, "targetLatencyMs": 150, "priority": 2, "service": service,
            "maxAttempts": 2, "public": false, "sticky": false, "resumable": false,
        })
    };
    let service_of = |name: &str| json!({"name": name, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false});
    json!({
        "version": version,
        "routes": [route("records", service, 1_000), route("other", SERVICES[0], 1_000 + version)],
        "services": SERVICES.map(service_of),
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{
            "name": "archive", "apiKeys": ["key-archive"], "unit": "tokens", "plainTokens": 200,
            "ratePerS": 1_000_000, "burst": 1_000_000,
        }],
    })
}

fn request(id: &str) -> String {
    format!(
        "GET /records/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Attempt-Id: {id}\r\nDeadline-Ms: 1000\r\n\
         Authorization: Bearer key-archive\r\n\r\n"
    )
}

#[derive(Clone, Debug)]
struct Probe {
    node: usize,
    id: String,
    sent_at_ms: u64,
    status: Option<u16>,
}

async fn play(record: Record) -> std::io::Result<i32> {
    let fleet = Fleet::start(NODES, &configuration(1, SERVICES[0])).await?;
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        for service in SERVICES {
            let settings = UpstreamSettings {
                id: format!("{service}-{number}"),
                service: service.to_owned(),
                zone: format!("zone-{}", number % 2),
                version: String::from("v1"),
            };
            servers.push(Upstream::start(settings, &fleet.store, &runs)?);
        }
    }
    tokio::time::sleep(Duration::from_millis(CONTACT_MS * 2)).await;
    let put = |version: u64, service: &str| {
        let text = configuration(version, service).to_string();
        fleet.store.put("keyed.op", "config", &text);
    };
    put(2, SERVICES[0]);
    record.line("version 2 is acknowledged: another route's time limit changes");
    tokio::time::sleep(SILENT_AFTER).await;
    let silent_at_ms = now_ms();
    if has_trouble() {
        let channels: u64 = fleet.store_ways.iter().map(Way::silence).sum();
        record.line(format!(
            "the open ones of {channels} channels to the store go silent; new ones work"
        ));
    }
    tokio::time::sleep(SECOND_AFTER).await;
    put(3, SERVICES[1]);
    let acked_at_ms = now_ms();
    record.line(format!(
        "version 3 is acknowledged: the route moves from {} to {}",
        SERVICES[0], SERVICES[1]
    ));
    let probes = Arc::new(Mutex::new(Vec::new()));
    let mut tasks = tokio::task::JoinSet::new();
    for (place, node) in fleet.nodes.iter().enumerate() {
        let (front, probes) = (node.front(), Arc::clone(&probes));
        tasks.spawn(async move {
            let mut number = 0;
            while now_ms() < silent_at_ms + PROBES_MS {
                let id = format!("probe-{place}-{number}");
                number += 1;
                let sent_at_ms = now_ms();
                let status = match call(front, &request(&id), LIMIT, LIMIT).await {
                    End::Answered { status, .. } => Some(status),
                    _ => None,
                };
                probes.lock().push(Probe {
                    node: place,
                    id,
                    sent_at_ms,
                    status,
                });
                tokio::time::sleep(PROBE_PAUSE).await;
            }
        });
    }
    tasks.join_all().await;
    let probes: Vec<Probe> = probes.lock().clone();
    let runs = runs.lock().clone();
    let ran_by_old = |probe: &Probe| {
        let mut of_probe = runs.iter().filter(|run| run.request == probe.id);
        of_probe.any(|run| run.upstream.starts_with(SERVICES[0]))
    };
    if probes.iter().all(|probe| probe.status != Some(200)) {
        record.line("no request was served");
        return Ok(COULD_NOT_RUN);
    }
    let counted_from_ms = (acked_at_ms + APPLY_MS).max(silent_at_ms + CONTACT_MS);
    let mut late = 0;
    for place in 0..fleet.nodes.len() {
        let of_node = || probes.iter().filter(|probe| probe.node == place);
        let by_old: Vec<&Probe> = of_node().filter(|probe| ran_by_old(probe)).collect();
        let last_ms = by_old
            .iter()
            .map(|probe| probe.sent_at_ms - silent_at_ms)
            .max();
        let too_late = by_old
            .iter()
            .filter(|probe| probe.sent_at_ms > counted_from_ms);
        let too_late = too_late.count();
        late += too_late;
        let unserved = of_node().filter(|probe| probe.status != Some(200)).count();
        record.line(format!(
            "front-{place}: {} requests, {unserved} not served; the last that {} ran was sent {last_ms:?} ms after the silence; {too_late} of them were sent too late",
            of_node().count(),
            SERVICES[0]
        ));
    }
    record.line(format!(
        "{late} requests sent later than {APPLY_MS} ms after the ack and {CONTACT_MS} ms after the silence were run by the old service"
    ));
    Ok(if late > 0 { BROKEN } else { HELD })
}

#[tokio::main]
async fn main() {
    run_script(play).await;
}
