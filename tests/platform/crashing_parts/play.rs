//! One play: sound requests in calm, then requests with a bad part beside them, and what upstreams and callers saw.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use teaselline_stand_ins::operators::deployment::asked;
use teaselline_stand_ins::operators::upstream::{BadPart, Crash, Framing};
use teaselline_stand_ins::operators::{Asked, Deployment, Node, Upstream};
use tokio::task::JoinSet;

use crate::support::{deployment, now_ms};

/// The settings of the stand-ins: time after which machines in touch know of each other.
pub const CONTACT_MS: u64 = 3_000;

/// Crashes after which requests with the part are counted, and how many of them may reach upstreams.
const CRASHES: usize = 5;
const MAX_LATE: usize = 3;

/// Fewest sound requests of a kind, in calm and beside the bad part, that are compared.
const MIN_COMPARED: usize = 20;

/// Duration of the calm, and of the time compared with it.
const CALM: Duration = Duration::from_secs(2);
const COMPARED_MS: u64 = 3_000;

/// Longest time of a play after the calm.
const MAX_PLAY: Duration = Duration::from_secs(30);

/// Intervals between two sound requests of one kind and between two bad ones of one kind.
const SOUND_INTERVAL: Duration = Duration::from_millis(40);
const BAD_INTERVAL: Duration = Duration::from_millis(120);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

const NODES: usize = 3;
const UPSTREAMS: usize = 6;

/// Requests that share parts of their prompts.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Sets the kind's ids apart.
    pub name: &'static str,
    pub route: &'static str,
    pub model: &'static str,
    /// The shared parts of each request in turn.
    pub shared: &'static [&'static [&'static str]],
    /// The last part; none: one of each request's own.
    pub last: Option<&'static str>,
}

/// Kind without a last part that requests share, on the model `m`.
pub const fn kind(
    name: &'static str,
    route: &'static str,
    shared: &'static [&'static [&'static str]],
) -> Kind {
    Kind {
        name,
        route,
        model: "m",
        shared,
        last: None,
    }
}

impl Kind {
    fn request(&self, number: usize) -> Asked {
        let id = format!("{}-{number}", self.name);
        let own = format!("{:x}", 0xd000_0000_usize + number);
        let shared = self.shared[number % self.shared.len()];
        let parts: Vec<String> = (shared.iter().copied())
            .chain([self.last.unwrap_or(&own)])
            .map(|part| format!("{part}:400"))
            .collect();
        let tokens = 400 * parts.len();
        let parts = parts.join(",");
        let model = self.model;
        Asked {
            extra: format!(
                "Model: {model}\r\nToken-Count: {tokens},80\r\nPrompt-Prefix: {parts}\r\n"
            ),
            body: format!("body of {id}"),
            ..asked(&id, self.route)
        }
    }
}

/// What a caller saw of one request.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    pub kind: &'static str,
    pub sent_at_ms: u64,
    pub status: Option<u16>,
}

/// Callers that send requests of some kinds to all nodes in turn until they are stopped.
pub struct Callers {
    is_over: Arc<AtomicBool>,
    seen: Arc<Mutex<Vec<Seen>>>,
    senders: JoinSet<()>,
}

impl Callers {
    pub fn start(deployment: &Deployment, kinds: &[Kind], interval: Duration) -> Self {
        let nodes: Vec<SocketAddr> = deployment.nodes.iter().map(Node::callers).collect();
        let is_over = Arc::new(AtomicBool::new(false));
        let seen = Arc::new(Mutex::new(Vec::new()));
        let mut senders = JoinSet::new();
        for kind in kinds {
            let is_over = Arc::clone(&is_over);
            senders.spawn(send(
                *kind,
                nodes.clone(),
                interval,
                is_over,
                Arc::clone(&seen),
            ));
        }
        Self {
            is_over,
            seen,
            senders,
        }
    }

    /// Stops sending; returns what was seen of all requests.
    pub async fn end(self) -> Vec<Seen> {
        self.is_over.store(true, Ordering::Relaxed);
        self.senders.join_all().await;
        std::mem::take(&mut *self.seen.lock())
    }
}

async fn send(
    kind: Kind,
    nodes: Vec<SocketAddr>,
    interval: Duration,
    is_over: Arc<AtomicBool>,
    seen: Arc<Mutex<Vec<Seen>>>,
) {
    let mut calls = JoinSet::new();
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let request = kind.request(number);
        let node = nodes[number % nodes.len()];
        let seen = Arc::clone(&seen);
        calls.spawn(async move {
            let sent_at_ms = now_ms();
            let status = request.send(node).await.status();
            seen.lock().push(Seen {
                kind: kind.name,
                sent_at_ms,
                status,
            });
        });
        tokio::time::sleep(interval).await;
    }
    calls.join_all().await;
}

/// A case of a bad part.
#[derive(Clone, Debug)]
pub struct Case {
    pub bad_parts: Vec<BadPart>,
    pub crash: Crash,
    pub framing: Framing,
    /// Requests with a bad part.
    pub bad: Vec<Kind>,
    /// Requests without one.
    pub sound: Vec<Kind>,
}

/// Answered and sent requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    pub answered: usize,
    pub sent: usize,
}

impl Share {
    pub fn of<'a>(seen: impl Iterator<Item = &'a Seen>) -> Self {
        let mut share = Self::default();
        for one in seen {
            share.sent += 1;
            share.answered += usize::from(one.status == Some(200));
        }
        share
    }

    /// Whether this share is at least half of another one.
    fn is_half_of(self, other: Self) -> bool {
        2 * self.answered * other.sent >= other.answered * self.sent
    }
}

/// What a play showed.
#[derive(Debug, Default)]
pub struct Played {
    /// Crashes under each bad part.
    crashes: Vec<usize>,
    /// Requests with each bad part that reached upstreams later than contact time after the fifth crash.
    late: Vec<usize>,
    /// Sound requests of each kind: in calm, and beside the bad part.
    sound: BTreeMap<&'static str, (Share, Share)>,
    /// Sound requests beside the bad part by status.
    statuses: BTreeMap<Option<u16>, usize>,
}

/// When upstreams crashed under a part, in Unix milliseconds, sorted.
fn crashes_under(deployment: &Deployment, bad: &BadPart) -> Vec<u64> {
    let runs = deployment.runs.lock();
    let under_part = (runs.iter()).filter(|run| is_before_last(&run.parts, &bad.id));
    let mut at_ms: Vec<u64> = under_part.filter_map(|run| run.crashed_at_ms).collect();
    at_ms.sort_unstable();
    at_ms
}

/// The fifth crash, or the last one.
fn pivot_ms(crashes: &[u64]) -> Option<u64> {
    crashes.get(CRASHES - 1).or(crashes.last()).copied()
}

fn is_before_last(parts: &[String], id: &str) -> bool {
    let but_last = parts.split_last().map(|(_last, others)| others);
    but_last.is_some_and(|others| others.iter().any(|part| part == id))
}

/// Counts the requests of bad kinds with a part that reached upstreams later than contact time after the fifth crash.
fn late_arrivals(deployment: &Deployment, case: &Case, bad: &BadPart, crashes: &[u64]) -> usize {
    let Some(fifth_ms) = crashes.get(CRASHES - 1) else {
        return 0;
    };
    let is_bad = |request: &str| (case.bad.iter()).any(|kind| request.starts_with(kind.name));
    (deployment.upstreams.iter())
        .flat_map(Upstream::arrived_requests)
        .filter(|one| one.at_ms > fifth_ms + CONTACT_MS)
        .filter(|one| is_bad(&one.request) && is_before_last(&one.parts, &bad.id))
        .count()
}

/// Plays a case: calm, then bad requests until what follows the fifth crash has been seen.
pub async fn play(case: &Case) -> Played {
    let deployment = deployment(NODES, UPSTREAMS).await;
    for upstream in &deployment.upstreams {
        upstream.frame(case.framing);
        upstream.crash_on(&case.bad_parts, case.crash);
    }
    let sound = Callers::start(&deployment, &case.sound, SOUND_INTERVAL);
    tokio::time::sleep(CALM).await;
    let bad_from_ms = now_ms();
    let bad = Callers::start(&deployment, &case.bad, BAD_INTERVAL);
    let until = tokio::time::Instant::now() + MAX_PLAY;
    let compared_from_ms = || {
        let crashes = |bad| pivot_ms(&crashes_under(&deployment, bad)).unwrap_or(bad_from_ms);
        let last_ms = case.bad_parts.iter().map(crashes).max();
        last_ms.unwrap_or(bad_from_ms) + 2 * CONTACT_MS
    };
    while now_ms() < compared_from_ms() + COMPARED_MS && tokio::time::Instant::now() < until {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let compared_from_ms = compared_from_ms();
    let sound = sound.end().await;
    bad.end().await;
    let mut played = Played::default();
    for bad in &case.bad_parts {
        let crashes = crashes_under(&deployment, bad);
        let late = late_arrivals(&deployment, case, bad, &crashes);
        played.crashes.push(crashes.len());
        played.late.push(late);
    }
    for kind in &case.sound {
        let of_kind = || sound.iter().filter(|seen| seen.kind == kind.name);
        let calm = Share::of(of_kind().filter(|seen| seen.sent_at_ms < bad_from_ms));
        let beside = Share::of(of_kind().filter(|seen| seen.sent_at_ms >= compared_from_ms));
        played.sound.insert(kind.name, (calm, beside));
    }
    for seen in sound
        .iter()
        .filter(|seen| seen.sent_at_ms >= compared_from_ms)
    {
        *played.statuses.entry(seen.status).or_default() += 1;
    }
    played
}

impl Played {
    /// Asserts the bound on requests with a bad part, and that sound requests go on beside them.
    pub fn check(&self) {
        println!("{self:?}");
        assert!(
            self.crashes.iter().all(|count| *count > 0),
            "no upstream crashed under a bad part: {self:?}"
        );
        assert!(
            self.late.iter().all(|count| *count <= MAX_LATE),
            "requests with a bad part reached upstreams after contact time: {self:?}"
        );
        for (kind, (calm, beside)) in &self.sound {
            assert!(
                calm.sent >= MIN_COMPARED && beside.sent >= MIN_COMPARED,
                "too few sound requests of kind {kind}: {self:?}"
            );
            assert!(
                beside.is_half_of(*calm) && calm.answered > 0,
                "sound requests of kind {kind} don't go on: {self:?}"
            );
        }
    }
}
