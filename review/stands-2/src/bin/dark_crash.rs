//! A request darkens each server that begins to run it; its callers leave the stream before the node gives it up.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use teaselline_review_2::{
    BROKEN, CONTACT_MS, COULD_NOT_RUN, End, Fleet, HELD, HOST, Record, call, has_trouble,
    run_script,
};
use teaselline_stand_ins::operators::upstream::{
    BadPart, ChannelEnd, Crash, CrashPoint, UpstreamSettings,
};
use teaselline_stand_ins::operators::{Run, Upstream};

const NODES: u8 = 3;
const SERVERS: usize = 9;

/// The bounds of the route, of the kind `reel-damage-report`.
const OBJECTIVE_MS: u64 = 800;
const GAP_AIM_MS: u64 = 300;
const LIMIT_MS: u64 = 10_000;

/// A caller abandons a stream after a gap of two seconds, four times the objective or eight times the longest pause.
const GAP_MS: u64 = 3_200;

/// A server is back after some seconds.
const DOWN_MS: u64 = 4_000;

/// Pause of the callers between two tries.
const PAUSE: Duration = Duration::from_millis(1_300);

/// Crashes from which on retries count, the retries that are sent then, and those that may reach servers.
const COUNTED_FROM: usize = 3;
const RETRIES: usize = 7;
const MAX_REACHING: usize = 3;

/// The part of the prompt that the servers crash on; the last part is the request's own.
const PARTS: &str = "5c1e07a2:800,91bd3f06:410";

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "reports", "host": HOST, "pathPrefix": "/stream/", "kind": "streaming",
            "timeoutMs": LIMIT_MS, "targetLatencyMs": OBJECTIVE_MS, "priority": 1, "service": "pool",
            "maxAttempts": 1, "public": false, "sticky": true, "resumable": false, "gapAimMs": GAP_AIM_MS,
        }],
        "services": [{
            "name": "pool", "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false,
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
        "POST /stream/newsreel HTTP/1.1\r\nHost: {HOST}\r\nRequest-Attempt-Id: try-{number}\r\nDeadline-Ms: {LIMIT_MS}\r\n\
         Authorization: Bearer key-archive\r\nModel: m\r\nToken-Count: 1210,80\r\nPrompt-Prefix: {PARTS}\r\n\
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
        let (gap, limit) = (
            Duration::from_millis(GAP_MS),
            Duration::from_millis(LIMIT_MS),
        );
        let end = call(node.front(), &request(number), gap, limit).await;
        if let End::Answered { text, .. } = &end {
            let head = text.lines().next().unwrap_or_default();
            self.record.line(format!("try-{number}: answer {head}"));
        } else {
            self.record.line(format!("try-{number}: {end}"));
        }
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
            service: String::from("pool"),
            zone: format!("zone-{}", number % 2),
            version: String::from("v1"),
        };
        let server = Upstream::start(settings, &fleet.store, &runs)?;
        if has_trouble() {
            let crash = Crash {
                point: CrashPoint::BeforeHead,
                channels: ChannelEnd::None,
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
        trial.record.line("the request did not crash three servers");
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
        "{reaching} of {RETRIES} retries later than {CONTACT_MS} ms after the third crash reached servers; {late} servers crashed under them; {MAX_REACHING} may"
    ));
    for node in &mut trial.fleet.nodes {
        if !node.runs() {
            trial
                .record
                .line(format!("{} has ended by itself", node.name));
            return Ok(BROKEN);
        }
    }
    let is_broken = late > 0 && reaching > MAX_REACHING;
    Ok(if is_broken { BROKEN } else { HELD })
}

#[tokio::main]
async fn main() {
    run_script(play).await;
}
