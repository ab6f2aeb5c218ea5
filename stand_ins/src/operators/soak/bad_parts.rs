//! Parts of prompts that crash upstreams, beside all other faults: each upstream that begins to answer a request with
//! one of them crashes, and starts again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::callers::call;
use super::{CONTACT, Called};
use crate::operators::caller::{Asked, Channel};
use crate::operators::deployment::{Deployment, KEYS, asked};
use crate::operators::upstream::{BadPart, ChannelEnd, Crash, CrashPoint, Framing, Upstream};
use crate::server::now_ms;

/// The bad parts.
const BAD: [&str; 2] = ["b0", "b1"];

/// Parts that requests share, those with a bad part and others.
const SHARED: [&str; 3] = ["a0", "a1", "a2"];

/// What begins the ids of requests with a bad part.
const BAD_ID: &str = "b";

/// Pause of a caller of requests with a bad part.
const PAUSE: Duration = Duration::from_millis(200);

/// Crashes under a part after which its requests are counted, and how many of them may reach upstreams.
const CRASHES: usize = 5;
const MAX_LATE: usize = 3;

/// Time in the calm in which counted sound requests are sent, after which the last of them has ended, and the fewest
/// that say something.
const COUNTED_MS: u64 = 2_000;
const ENDED: Duration = Duration::from_secs(6);
const MIN_COUNTED: usize = 20;

/// Time for which a crashed upstream is down.
const DOWN_MS: u64 = 1_000;

/// The bad parts of a seed.
pub(super) struct BadParts {
    rng: SmallRng,
    /// When all nodes are in touch after the last fault, in Unix milliseconds.
    in_touch_at_ms: u64,
}

impl BadParts {
    /// Bad parts of a seed, on random numbers of their own: the other faults of the seed stay as they are.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed.rotate_left(16)),
            in_touch_at_ms: 0,
        }
    }

    /// Has all upstreams, new ones too, crash on the parts, and changes how they crash and answer.
    pub fn step(&mut self, deployment: &Deployment) {
        for upstream in &deployment.upstreams {
            // The end of a channel within an answer without a length can't be told from the answer's end.
            let is_unframed = upstream.id().starts_with("desk") && self.rng.random_bool(0.4);
            let is_orderly = !is_unframed && self.rng.random_bool(0.5);
            let points = [
                CrashPoint::BeforeHead,
                CrashPoint::BeforeBody,
                CrashPoint::InsideBody,
            ];
            let crash = Crash {
                point: points[self.rng.random_range(0..points.len())],
                channels: if is_orderly {
                    ChannelEnd::Orderly
                } else {
                    ChannelEnd::Reset
                },
                down_ms: DOWN_MS,
                keeps_id: false,
            };
            upstream.crash_on(&BAD.map(BadPart::new), crash);
            upstream.frame(if is_unframed {
                Framing::ChannelEnd
            } else {
                Framing::Usual
            });
        }
    }

    /// Counts sound requests in the calm after the last fault, beside those with bad parts; returns what is broken.
    pub async fn watch(&mut self, called: &Mutex<Vec<Called>>) -> Option<String> {
        self.in_touch_at_ms = now_ms();
        tokio::time::sleep(ENDED).await;
        let called = called.lock();
        let counted_ms = self.in_touch_at_ms..self.in_touch_at_ms + COUNTED_MS;
        let sound = called.iter().filter(|call| {
            counted_ms.contains(&call.sent_at_ms)
                && call.asked.key == KEYS[0]
                && !call.asked.id.starts_with(BAD_ID)
        });
        let statuses: Vec<Option<u16>> = sound.map(|call| call.ended.status()).collect();
        let answered = statuses.iter().filter(|one| **one == Some(200)).count();
        let sent = statuses.len();
        (sent < MIN_COUNTED || 2 * answered < sent)
            .then(|| format!("{answered} of {sent} sound requests are answered beside bad parts"))
    }

    /// Returns the bad parts whose requests went on to reach upstreams.
    pub fn broken(&self, deployment: &Deployment) -> Vec<String> {
        let broken = BAD.into_iter().filter_map(|part| {
            let late = self.late(deployment, part)?;
            (late > MAX_LATE).then(|| {
                format!(
                    "{late} requests with the bad part {part} reached upstreams after contact time"
                )
            })
        });
        broken.collect()
    }

    /// Requests with a part that reached upstreams later than contact time after the fifth crash, sent by nodes in
    /// touch; none if there were fewer crashes.
    fn late(&self, deployment: &Deployment, part: &str) -> Option<usize> {
        let fifth_ms = *crashes_under(deployment, part).get(CRASHES - 1)?;
        let contact_ms = u64::try_from(CONTACT.as_millis()).unwrap_or(u64::MAX);
        let from_ms = self.in_touch_at_ms.max(fifth_ms + contact_ms);
        let arrivals = (deployment.upstreams.iter()).flat_map(Upstream::arrived_requests);
        let late = arrivals.filter(|one| one.at_ms > from_ms && has_bad(&one.parts, part));
        Some(late.count())
    }

    /// What happened under each part.
    pub fn told(&self, deployment: &Deployment) -> Vec<String> {
        let told = BAD.map(|part| {
            let crashes = crashes_under(deployment, part).len();
            let late = self.late(deployment, part).unwrap_or(0);
            format!("{crashes} crashes under the part {part}, {late} of its requests came too late")
        });
        told.to_vec()
    }
}

/// When upstreams crashed under a part, in Unix milliseconds, sorted.
fn crashes_under(deployment: &Deployment, part: &str) -> Vec<u64> {
    let runs = deployment.runs.lock();
    let under_part = runs.iter().filter(|run| has_bad(&run.parts, part));
    let mut at_ms: Vec<u64> = under_part.filter_map(|run| run.crashed_at_ms).collect();
    at_ms.sort_unstable();
    at_ms
}

fn has_bad(parts: &[String], part: &str) -> bool {
    BadPart::new(part).crashes(parts, None, "")
}

/// The lines of a prompt with these parts and one of the request's own.
pub(super) fn prompt_lines(shared: &[&str], own: usize) -> String {
    let own = format!("{:x}", 0xd000_0000_usize + own);
    let ids = shared.iter().copied().chain([own.as_str()]);
    let parts: Vec<String> = ids.map(|id| format!("{id}:400")).collect();
    let tokens = 400 * parts.len();
    let parts = parts.join(",");
    format!("Model: m\r\nToken-Count: {tokens},80\r\nPrompt-Prefix: {parts}\r\n")
}

/// The lines of the prompt of a sound request.
pub(super) fn sound_lines(caller: usize, number: usize) -> String {
    let own = caller * 100_000 + number;
    let first = number % SHARED.len();
    let second = (number + 1) % SHARED.len();
    match number % 4 {
        0 => prompt_lines(&[SHARED[first], SHARED[second]], own),
        _ => prompt_lines(&[SHARED[first]], own),
    }
}

/// Asks calls with bad parts, no two alike, at random nodes, without end.
pub(super) async fn call_with_bad_parts(
    caller: usize,
    mut rng: SmallRng,
    nodes: Vec<SocketAddr>,
    history: Arc<Mutex<Vec<Called>>>,
) {
    for number in 0.. {
        let route = ["once", "again", "stream", "stream-on"][rng.random_range(0..4)];
        let bad = BAD[rng.random_range(0..BAD.len())];
        let shared = SHARED[rng.random_range(0..SHARED.len())];
        let prompts: [&[&str]; 3] = [&[bad], &[shared, bad], &[bad, shared]];
        let prompt = prompts[rng.random_range(0..prompts.len())];
        let id = format!("{BAD_ID}{caller}-{number}");
        let asked = Asked {
            extra: prompt_lines(prompt, 10_000_000 * (caller + 1) + number),
            body: format!("body of {id}"),
            ..asked(&id, route)
        };
        let node = rng.random_range(0..nodes.len());
        let mut channel = Channel::default();
        call(asked, node, nodes[node], &mut channel, &history).await;
        tokio::time::sleep(PAUSE).await;
    }
}
