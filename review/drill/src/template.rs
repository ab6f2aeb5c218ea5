//! The first requests of a new prompt template crash their servers, each for a reason of its own. The
//! sound requests of the template must be served afterwards.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use crate::Verdict;
use crate::client::Ask;
use crate::record::Record;
use crate::server::{KILLER, Server, Shape, Shared};
use crate::site::{self, CALLS, CONTACT, ENGINES, Site, ZONES};

/// Requests that crash their server; each is sent once.
const CRASHING: usize = 3;
const PAUSE: Duration = Duration::from_millis(1_500);
/// Requests on each route in steady state; the rule asks for 20 at least.
const ASKED: usize = 30;

pub async fn run(program: &Path, record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let site = Site::start(program, 3, &site::config(7))?;
    let shared = Shared {
        store: site.store.clone(),
        record: record.clone(),
        runs: Arc::default(),
        late_copies: Arc::new(Mutex::new(0.0)),
        displaced: Arc::default(),
    };
    let mut servers = Vec::new();
    for zone in ZONES.iter().chain(&ZONES) {
        let calls = Shape {
            slots: 6,
            queue: 24,
            work_ms: 30,
        };
        let engine = Shape {
            slots: 64,
            queue: 134,
            work_ms: 60,
        };
        servers.push(Server::start(&shared, CALLS, zone, calls).await?);
        servers.push(Server::start(&shared, ENGINES, zone, engine).await?);
    }
    if !site.wait_until_ready().await {
        record.note("the nodes don't become ready");
        return Ok(Verdict::CouldNotRun);
    }
    tokio::time::sleep(CONTACT).await;
    site.configure(&site::config_with_streams(12));
    record.note("the operator adds the route /lohu930/");
    tokio::time::sleep(CONTACT).await;
    for number in 0..CRASHING {
        let id = format!("crashing{number}");
        let text = if has_trouble { KILLER } else { "splice 7f" };
        let body = format!("document {number}: {text}");
        send(&site, record, number, &id, "/lohu930/2f", &body).await;
        tokio::time::sleep(PAUSE).await;
    }
    record.note("no further request crashes a server; all servers come back");
    tokio::time::sleep(CONTACT * 3).await;
    let (mut on_added, mut on_first) = (0, 0);
    for number in 0..ASKED {
        let body = format!("sound document {number}");
        let id = format!("sound{number:03}");
        on_added += usize::from(send(&site, record, number, &id, "/lohu930/2f", &body).await);
        let id = format!("first{number:03}");
        on_first += usize::from(send(&site, record, number, &id, "/puxa403/2f", &body).await);
        tokio::time::sleep(PAUSE / 5).await;
    }
    record.note(&format!(
        "sum: {} crashes; in steady state {on_added} of {ASKED} served on the added route, {on_first} of {ASKED} on a first one",
        servers.iter().map(Server::crashes).sum::<usize>()
    ));
    if on_first < ASKED / 2 {
        return Ok(Verdict::CouldNotRun);
    }
    Ok(Verdict::of(on_added * 4 >= on_first))
}

/// Sends a request to a machine; tells whether it was served.
async fn send(
    site: &Site,
    record: &Record,
    number: usize,
    id: &str,
    path: &str,
    body: &str,
) -> bool {
    let node = &site.nodes[number % site.nodes.len()];
    // All prompts of the route begin with the template; the last part is the request's own.
    let prompt = format!(
        "Model: m\r\nToken-Count: 1210,80\r\nPrompt-Prefix: 5c1e07a2:800,{:08x}:410\r\n",
        0x91bd_0000 + number
    );
    let extra = if path.starts_with("/lohu930/") {
        prompt.as_str()
    } else {
        ""
    };
    let ask = Ask {
        method: "POST",
        path,
        id,
        body,
        deadline_ms: 3_000,
        extra,
    };
    record.note(&format!("client sends {id} (POST {path}) to {}", node.name));
    let ended = ask.send(node.front()).await;
    record.note(&format!("client gets {:?} for {id}", ended.status));
    ended.status == Some(200)
}
