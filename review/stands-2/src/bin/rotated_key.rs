//! A request crashes the servers that run it; its caller's keys are taken away one after the other meanwhile.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use teaselline_review_2::{
    BROKEN, CONTACT_MS, COULD_NOT_RUN, Fleet, HELD, HOST, Record, call, has_trouble, run_script,
};
use teaselline_stand_ins::operators::upstream::{
    BadPart, ChannelEnd, Crash, CrashPoint, UpstreamSettings,
};
use teaselline_stand_ins::operators::{Run, Upstream};

const NODES: u8 = 3;
const SERVERS: usize = 6;
const LIMIT_MS: u64 = 1_000;

/// The keys of the one caller; the first ones are taken away.
const KEYS: [&str; 3] = ["key-archive-1", "key-archive-2", "key-archive-3"];

/// A server is back after some seconds.
const DOWN_MS: u64 = 3_000;

const PAUSE: Duration = Duration::from_millis(2_500);

/// Time after which a configuration is in force on all machines (`configApplyMs`).
const APPLY: Duration = Duration::from_millis(2_500);

/// Crashes from which on retries count, the retries with each key then, and those that may reach servers.
const COUNTED_FROM: usize = 3;
const RETRIES_PER_KEY: usize = 4;
const MAX_REACHING: usize = 3;

/// Tells the stand-ins of the servers which request crashes them; without a token count it is no prompt.
const MARK: &str = "5c1e07a2:1,91bd3f06:1";

fn configuration(version: u64, keys: &[&str]) -> Value {
    json!({
        "version": version,
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
            "name": "archive", "apiKeys": keys, "unit": "tokens", "plainTokens": 200,
            "ratePerS": 1_000_000, "burst": 1_000_000,
        }],
    })
}

/// One try of the request: the same path, caller and body each time.
fn request(number: usize, key: &str) -> String {
    let body = "newsreel 1934-117";
    format!(
        "POST /records/newsreel HTTP/1.1\r\nHost: {HOST}\r\nRequest-Attempt-Id: try-{number}\r\nDeadline-Ms: {LIMIT_MS}\r\n\
         Authorization: Bearer {key}\r\nPrompt-Prefix: {MARK}\r\n\
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
    async fn try_once(&mut self, key: &str) -> bool {
        let number = self.tries;
        self.tries += 1;
        let node = &self.fleet.nodes[number % self.fleet.nodes.len()];
        self.record
            .line(format!("try-{number} is sent to {} with {key}", node.name));
        let limit = Duration::from_millis(LIMIT_MS);
        let end = call(node.front(), &request(number, key), limit, limit).await;
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
    let fleet = Fleet::start(NODES, &configuration(1, &KEYS)).await?;
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
        let crash = Crash {
            point: CrashPoint::BeforeHead,
            channels: ChannelEnd::Reset,
            down_ms: DOWN_MS,
            keeps_id: false,
        };
        server.crash_on(&[BadPart::new("5c1e07a2")], crash);
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
        trial.try_once(KEYS[0]).await;
        tokio::time::sleep(PAUSE).await;
    }
    let crashes = trial.crashes();
    trial
        .record
        .line(format!("{crashes} servers have crashed under the request"));
    if crashes < COUNTED_FROM {
        return Ok(COULD_NOT_RUN);
    }
    tokio::time::sleep(Duration::from_millis(CONTACT_MS)).await;
    let before = trial.crashes();
    let mut reaching = 0;
    for taken in 0..KEYS.len() {
        if has_trouble() && taken > 0 {
            let document = configuration(1 + taken as u64, &KEYS[taken..]);
            let store = &trial.fleet.store;
            store.put("keyed.op", "config", &document.to_string());
            trial
                .record
                .line(format!("{} is taken away", KEYS[taken - 1]));
            tokio::time::sleep(APPLY).await;
        }
        let key = if has_trouble() { KEYS[taken] } else { KEYS[0] };
        for _try in 0..RETRIES_PER_KEY {
            reaching += usize::from(trial.try_once(key).await);
            tokio::time::sleep(PAUSE).await;
        }
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
