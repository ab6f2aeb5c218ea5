//! A bounded, seeded load of mixed calls, and the check of what callers saw against what ran.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use teaselline::client::call::{Call, CallContent};
use teaselline::client::caller::Caller;
use teaselline::client::policy::End;
use teaselline::requests::RequestId;
use teaselline_stand_ins::engine::expected_answer;
use teaselline_stand_ins::history::History;
use teaselline_stand_ins::service::service_answer;

/// What a load is made of.
#[derive(Clone, Debug)]
pub struct Load {
    /// Calls in all.
    pub calls: usize,
    /// Calls at once.
    pub at_once: usize,
    /// Part of the calls that go to the plain service.
    pub service_part: f64,
    /// Part of the completions that are marked non-idempotent.
    pub non_idempotent_part: f64,
    /// The model.
    pub model: String,
    /// The plain service.
    pub service: String,
    /// Tokens of a short and of a long answer.
    pub tokens: (u32, u32),
    /// Seeds the choice of calls.
    pub seed: u64,
}

/// A call that was made, and what the caller saw.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The call.
    pub call: Call,
    /// The ids that it was sent under; the last one ended so.
    pub ids: Vec<String>,
    /// How it ended.
    pub end: End,
    /// The text of the tokens that came.
    pub text: String,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub pauses: Vec<Duration>,
}

impl Seen {
    /// The longest time between two tokens.
    pub fn longest_silence(&self) -> Duration {
        self.pauses.iter().copied().max().unwrap_or_default()
    }
}

/// What came of a load, after the check.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct Tally {
    /// Calls that got their whole answer.
    pub answered: u64,
    /// Calls whose last word was `not_run`.
    pub not_run: u64,
    /// Calls whose last word was `unknown`.
    pub unknown: u64,
    /// Calls whose last word was `failed`.
    pub failed: u64,
    /// Calls that got no final word.
    pub lost: u64,
    /// Answers that are not the one to their call.
    pub wrong: u64,
    /// Non-idempotent calls of which some work was done more than once.
    pub doubled: u64,
    /// Ids refused as `not_run` that ran.
    pub not_run_but_ran: u64,
    /// Tokens computed or generated again.
    pub tokens_recomputed: u64,
    /// Time to the first token, of 95 in 100.
    pub first_token_p95_ms: f64,
    /// Time between two tokens, of 95 in 100.
    pub between_tokens_p95_ms: f64,
    /// Longest pause within a stream, of 95 in 100.
    pub silence_p95_ms: f64,
}

impl Tally {
    /// Whether a promise was broken.
    pub fn is_broken(&self) -> bool {
        self.lost + self.wrong + self.doubled + self.not_run_but_ran > 0
    }
}

const SUBJECTS: [&str; 5] = [
    "Newsreel 1934-117, reel 3: nitrate shrinkage, list every damaged frame with its cause.",
    "Žiadosť o vrátenie zálohy: pivovar Šariš, 42 sudov, hala-b. Zostavte námietku.",
    "Dopis pro pivovar: sporný účet zálohy za duben, sudy č. 118–164, prosíme o opravu.",
    "小樽の保管庫、リール12：継ぎ目の記録を調べ、欠落したコマを挙げてください。",
    "Reconcile this deposit ledger; the hauler's log and the pub's report differ in six rows.",
];

/// Runs the load through a caller and returns what was seen, call by call.
pub async fn run(caller: Arc<Caller>, load: &Load) -> Vec<Seen> {
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let calls: Vec<_> = (0..load.calls)
        .map(|index| call(load, index, &mut rng))
        .collect();
    run_calls(caller, calls, load.at_once).await
}

/// Makes these calls, up to `at_once` at a time, and returns what was seen of each.
pub async fn run_calls(caller: Arc<Caller>, calls: Vec<Call>, at_once: usize) -> Vec<Seen> {
    let permits = Arc::new(tokio::sync::Semaphore::new(at_once));
    let mut running = tokio::task::JoinSet::new();
    for call in calls {
        let (caller, permits) = (Arc::clone(&caller), Arc::clone(&permits));
        running.spawn(async move {
            let _permit = permits.acquire_owned().await;
            make(&caller, call).await
        });
    }
    running.join_all().await
}

fn call(load: &Load, index: usize, rng: &mut SmallRng) -> Call {
    let subject = SUBJECTS[rng.random_range(0..SUBJECTS.len())];
    if rng.random_bool(load.service_part) {
        let body = Bytes::from(format!("{subject} no. {index}"));
        let content = CallContent::Service {
            name: load.service.clone(),
            path: "splices".to_owned(),
            body,
        };
        return Call::new(content).with_idempotent(false);
    }
    let long = rng.random_bool(0.3);
    let content = CallContent::Completion {
        model: load.model.clone(),
        prompt: format!("{subject} ").repeat(rng.random_range(1..20)) + &index.to_string(),
        max_tokens: if long { load.tokens.1 } else { load.tokens.0 },
        latency_class: None,
    };
    Call::new(content).with_idempotent(!rng.random_bool(load.non_idempotent_part))
}

async fn make(caller: &Caller, call: Call) -> Seen {
    let start = Instant::now();
    let (mut text, mut first_token, mut last) = (String::new(), None, None::<Instant>);
    let mut pauses = Vec::new();
    let report = caller
        .call(&call, |_position, token| {
            first_token.get_or_insert_with(|| start.elapsed());
            if let Some(last) = last.replace(Instant::now()) {
                pauses.push(last.elapsed());
            }
            text.push_str(token);
        })
        .await;
    Seen {
        call,
        ids: report.ids,
        end: report.end,
        text,
        first_token,
        pauses,
    }
}

/// Checks what callers saw against what ran.
pub fn check(seen: &[Seen], history: &History) -> Tally {
    let doubled: BTreeSet<_> = history.doubled().into_iter().collect();
    let ran: BTreeSet<_> = history.ran.iter().map(|ran| ran.request.as_str()).collect();
    let mut tally = Tally {
        tokens_recomputed: history.recomputed_tokens(),
        ..Tally::default()
    };
    for seen in seen {
        match &seen.end {
            End::Completed { .. } | End::Answered { .. } => tally.answered += 1,
            end if end.is_not_run() => tally.not_run += 1,
            end if end.is_unknown() => tally.unknown += 1,
            End::Refused(_) => tally.failed += 1,
            _ => tally.lost += 1,
        }
        tally.wrong += u64::from(is_wrong(seen));
        let once = seen.call.idempotent == Some(false);
        let is_doubled = |id: &String| doubled.contains(id.as_str());
        tally.doubled += u64::from(once && seen.ids.iter().any(is_doubled));
        // All ids but the last were left because the node said that they did not run.
        let left = usize::from(!seen.end.is_not_run());
        let refused = seen.ids.iter().take(seen.ids.len().saturating_sub(left));
        let not_run_but_ran = refused.filter(|id| ran.contains(id.as_str())).count();
        tally.not_run_but_ran += not_run_but_ran as u64;
    }
    tally.first_token_p95_ms = p95(seen.iter().filter_map(|seen| seen.first_token));
    let silences = seen.iter().filter(|seen| seen.first_token.is_some());
    tally.silence_p95_ms = p95(silences.map(Seen::longest_silence));
    tally.between_tokens_p95_ms = p95(seen.iter().flat_map(|seen| seen.pauses.iter().copied()));
    tally
}

fn is_wrong(seen: &Seen) -> bool {
    match (&seen.end, &seen.call.content) {
        (
            End::Completed { .. },
            CallContent::Completion {
                prompt, max_tokens, ..
            },
        ) => {
            let id = seen.ids.last().and_then(|id| id.parse::<RequestId>().ok());
            let sampled = id.map_or(0, |id| id.seed());
            seen.text != expected_answer(prompt, sampled, u64::from(*max_tokens))
        }
        (
            End::Answered { body, .. },
            CallContent::Service {
                path, body: sent, ..
            },
        ) => *body != service_answer(&format!("/{path}"), sent).as_bytes(),
        (End::Completed { .. } | End::Answered { .. }, _) => true,
        _ => false,
    }
}

/// The time that 95 in 100 do not exceed, in milliseconds.
pub fn p95(durations: impl Iterator<Item = Duration>) -> f64 {
    let mut sorted: Vec<_> = durations.collect();
    sorted.sort_unstable();
    let index = (sorted.len() * 95 / 100).min(sorted.len().saturating_sub(1));
    sorted
        .get(index)
        .map_or(0.0, |duration| duration.as_secs_f64() * 1e3)
}
