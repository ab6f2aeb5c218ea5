//! A request crashes each server within an answer without a length, whose channel ends in order.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use teaselline_review_2::{
    BROKEN, CONTACT_MS, COULD_NOT_RUN, Fleet, HELD, HOST, Record, call, has_trouble, run_script,
};
use teaselline_stand_ins::operators::upstream::{
    BadPart, ChannelEnd, Crash, CrashPoint, Framing, UpstreamSettings,
};
use teaselline_stand_ins::operators::{Run, Upstream};

const NODES: u8 = 3;
const SERVERS: usize = 6;
const LIMIT_MS: u64 = 1_000;

/// A server is back after some seconds.
const DOWN_MS: u64 = 3_000;

const PAUSE: Duration = Duration::from_millis(2_500);

/// Crashes from which on retries count, the retries that are sent then, and those that may reach servers.
const COUNTED_FROM: usize = 3;
const RETRIES: usize = 7;
const MAX_REACHING: usize = 3;

/// Tells the stand-ins of the servers which request crashes them; without a token count it is no prompt.
const MARK: &str = "5c1e07a2:1,91bd3f06:1";

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "records", "host": HOST, "pathPrefix": "/records/", "kind": "non_idempotent",
            "timeoutMs": LIMIT_MS, "targetLatencyMs": 150, "priority": 1, "service": "desk",
            "maxAttempts": 1, "public": false, "sticky": false, "resumable": false,
        }],
        "services": [{
            "name": "desk", "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false,
        }],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{
            "name": "archive", "apiKeys": ["key-archive"], "unit": "tokens", "plainTokens": 200,
            "ratePerS": 1_000_000, "burst": 1_000_000,
        }],
    })
}

/// One try of the request: the same path, caller and body each time.
fn request(number: usize) -> String {
    let body = "newsreel 1934-117";
    format!(
        "POST /records/newsreel HTTP/1.1\r\nHost: {HOST}\r\nRequest-Attempt-Id: try-{number}\r\nDeadline-Ms: {LIMIT_MS}\r\n\
         Authorization: Bearer key-archive\r\nPrompt-Prefix: {MARK}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

struct Trial {
    fleet: Fleet,
    servers: Vec<Upstream>,
    runs: Arc<parking_lot::Mutex<Vec<Run>>>,
    record: Record,
    tries: usize,
}

impl Trial {
    /// Tries once more, at the next node; returns whether the request reached a server.
    async fn try_once(&mut self) -> bool {
        let number = self.tries;
        self.tries += 1;
        let node = &self.fleet.nodes[number % self.fleet.nodes.len()];
        self.record
            .line(format!("try-{number} is sent to {}", node.name));
        let limit = Duration::from_millis(LIMIT_MS);
        let end = call(node.front(), &request(number), limit, limit).await;
        self.record.line(format!("try-{number}: {end}"));
        let id = format!("try-{number}");
        let runs = self.runs.lock();
        let of_try: Vec<&Run> = runs.iter().filter(|run| run.request == id).collect();
        for run in &of_try {
            self.record
                .line(format!("try-{number} was begun by server {}", run.upstream));
        }
        !of_try.is_empty()
    }

    fn crashes(&self) -> usize {
        let times = self
            .servers
            .iter()
            .map(|server| server.crashed_at_ms().len());
        times.sum()
    }
}

async fn play(record: Record) -> std::io::Result<i32> {
    let fleet = Fleet::start(NODES, &configuration()).await?;
    let runs = Arc::default();
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let settings = UpstreamSettings {
            id: format!("i-{number}"),
            service: String::from("desk"),
            zone: format!("zone-{}", number % 2),
            version: String::from("v1"),
        };
        let server = Upstream::start(settings, &fleet.store, &runs)?;
        server.frame(Framing::ChannelEnd);
        if has_trouble() {
            let crash = Crash {
                point: CrashPoint::InsideBody,
                channels: ChannelEnd::Orderly,
                down_ms: DOWN_MS,
                keeps_id: false,
            };
            server.crash_on(&[BadPart::new("5c1e07a2")], crash);
        }
        servers.push(server);
    }
    tokio::time::sleep(Duration::from_millis(CONTACT_MS)).await;
    let mut trial = Trial {
        fleet,
        servers,
        runs,
        record,
        tries: 0,
    };
    for _try in 0..COUNTED_FROM {
        trial.try_once().await;
        tokio::time::sleep(PAUSE).await;
    }
    let crashes = trial.crashes();
    trial
        .record
        .line(format!("{crashes} servers have crashed under the request"));
    if has_trouble() && crashes < COUNTED_FROM {
        return Ok(COULD_NOT_RUN);
    }
    tokio::time::sleep(Duration::from_millis(CONTACT_MS)).await;
    let before = trial.crashes();
    let mut reaching = 0;
    for _try in 0..RETRIES {
        reaching += usize::from(trial.try_once().await);
        tokio::time::sleep(PAUSE).await;
    }
    let late = trial.crashes() - before;
    trial.record.line(format!(
        "{reaching} retries later than {CONTACT_MS} ms after the third crash reached servers; {late} servers crashed under them; {MAX_REACHING} may"
    ));
    let is_broken = late > 0 && reaching > MAX_REACHING;
    Ok(if is_broken { BROKEN } else { HELD })
}

#[tokio::main]
async fn main() {
    run_script(play).await;
}
