//! One run of a schedule with callers, and the check of what they were told against what ran.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use teaselline::client::caller::Caller;
use teaselline::options::Secret;
use teaselline::requests::RequestId;
use teaselline_stand_ins::engine::expected_answer;
use teaselline_stand_ins::history::History;
use teaselline_stand_ins::service::service_answer;
use teaselline_stand_ins::site::Upstream;
use tokio::time::Instant;
use twox_hash::XxHash3_64;

use super::deployment::url;
use super::fleet::{Client, Fleet, FleetSettings};
use super::schedules::{DEADLINE_MS, Schedule, WINDOW_MS};
use super::storm::{
    Callers, Content, Manner, PATIENCE_MS, SERVICE_PATH, Seen, Told, Word, send, send_keyed,
};
use super::trial;

/// Calls in one schedule.
const CALLS: usize = 80;

/// Time between a plain service's effect and its answer, at most.
const SERVICE_DELAY_MS: u64 = 150;

/// Part of the calls that the product's own caller makes.
const STREAMED_PART: f64 = 0.4;

/// Failures in a row and new ids after which the product's own caller gives up.
const STREAM_FAILURES: u32 = 30;
const STREAM_RESENDS: u32 = 6;

/// How long callers go on sending again after the last call was made.
const GIVE_UP_AFTER_MS: u64 = 8_000;

/// How long a caller waits for the last word, once everything is right again.
const LAST_PATIENCE_MS: u64 = 20_000;

/// What came of a schedule.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// Calls.
    pub calls: u64,
    /// Calls that were answered.
    pub answered: u64,
    /// Calls that ended as not run, under every id that they had.
    pub not_run: u64,
    /// Calls of which it stayed unknown whether they ran.
    pub unknown: u64,
    /// Of these, calls that ran.
    pub unknown_that_ran: u64,
    /// Why it stayed unknown.
    pub unknown_reasons: BTreeMap<String, u64>,
    /// Calls that failed.
    pub failed: u64,
    /// Calls of which no node said anything, though all are well.
    pub lost: u64,
    /// Answers that are not the one to their call.
    pub wrong: u64,
    /// Non-idempotent calls of which work was done twice, under one id or several.
    pub doubled: u64,
    /// Ids refused as not run that ran.
    pub not_run_but_ran: u64,
    /// Answers that no node should give.
    pub unexpected: u64,
    /// What was said of calls that stayed unknown.
    #[serde(skip)]
    pub unknowns: Vec<String>,
    /// Messages about what is wrong.
    #[serde(skip)]
    pub faults: Vec<String>,
}

impl Tally {
    /// Whether a promise was broken.
    pub fn is_broken(&self) -> bool {
        self.lost + self.wrong + self.doubled + self.not_run_but_ran + self.unexpected > 0
    }

    /// Adds another schedule's.
    pub fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.unknown_that_ran += other.unknown_that_ran;
        for (reason, count) in other.unknown_reasons {
            *self.unknown_reasons.entry(reason).or_default() += count;
        }
        self.failed += other.failed;
        self.lost += other.lost;
        self.wrong += other.wrong;
        self.doubled += other.doubled;
        self.not_run_but_ran += other.not_run_but_ran;
        self.unexpected += other.unexpected;
        self.faults.extend(other.faults);
    }
}

/// Runs the schedule of a seed with callers, and checks what they were told.
///
/// # Errors
///
/// If the fleet cannot be started, or does not get ready again after the faults.
pub async fn run(binary: &Path, seed: u64, manner: Manner) -> io::Result<Tally> {
    let settings = FleetSettings {
        deadline_ms: DEADLINE_MS,
        ..FleetSettings::new(binary)
    };
    let schedule = Schedule::new(seed, settings.nodes);
    let fleet = Arc::new(Fleet::start(settings).await?);
    let mut rng = SmallRng::seed_from_u64(seed);
    for (_host, upstream) in fleet.site.upstreams() {
        if let Upstream::Service(service) = &*upstream {
            let delay_ms = rng.random_range(0..=SERVICE_DELAY_MS);
            service.change(|knobs| knobs.delay_ms = delay_ms);
        }
    }
    let start = Instant::now();
    let (carried_out, calls) = tokio::join!(
        schedule.carry_out(&fleet, start),
        make_calls(&fleet, manner, seed, start)
    );
    carried_out?;
    let calls = match manner {
        Manner::SameId => hear_last_words(&fleet, calls).await,
        Manner::RunAgain => calls,
    };
    let ran = Ran {
        history: fleet.site.history(),
        claims: claims_by_body(&fleet),
    };
    Ok(check(&calls, &ran, seed))
}

async fn make_calls(fleet: &Arc<Fleet>, manner: Manner, seed: u64, start: Instant) -> Vec<Seen> {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let urls: Vec<_> = fleet.nodes().iter().map(|node| url(node.callers)).collect();
    let streaming = Caller::new(&urls, Some(Secret::new(trial::TOKEN)))
        .with_seed(seed)
        .with_timeout_ms(PATIENCE_MS)
        .with_limits(STREAM_FAILURES, STREAM_RESENDS)
        .with_retry_window_ms(GIVE_UP_AFTER_MS);
    let callers = Callers {
        fleet: Arc::clone(fleet),
        streaming: Arc::new(streaming),
        manner,
        give_up_at: start + Duration::from_millis(WINDOW_MS + GIVE_UP_AFTER_MS),
    };
    let mut running = tokio::task::JoinSet::new();
    for index in 0..CALLS {
        let content = Content::new(&mut rng, index);
        let at = start + Duration::from_millis(rng.random_range(0..WINDOW_MS));
        let (callers, seed) = (callers.clone(), rng.random());
        let by_id = manner == Manner::SameId && !content.is_keyed();
        let streams = rng.random_bool(STREAMED_PART) && by_id;
        running.spawn(async move {
            tokio::time::sleep_until(at).await;
            if streams {
                return callers.stream(content).await;
            }
            callers.make(content, seed).await
        });
    }
    running.join_all().await
}

/// Sends each call once more under each of its ids, now that all is well.
///
/// What was doubtful may be known now; what was not to run must still not run.
async fn hear_last_words(fleet: &Arc<Fleet>, calls: Vec<Seen>) -> Vec<Seen> {
    let mut running = tokio::task::JoinSet::new();
    for (index, mut call) in calls.into_iter().enumerate() {
        let nodes = fleet.nodes();
        running.spawn(async move {
            let at = nodes[index % nodes.len()].callers;
            if call.content.is_keyed() {
                let client = Client::new(trial::TOKEN);
                call.told
                    .push(send_keyed(client, at, call.content.clone()).await);
                return call;
            }
            for told in &mut call.told {
                let client = Client::new(trial::TOKEN).with_patience_ms(LAST_PATIENCE_MS);
                let word = send(client, at, call.content.clone(), told.id.clone()).await;
                told.words.push(word);
            }
            call
        });
    }
    running.join_all().await
}

/// Everything that ran.
#[derive(Debug)]
pub struct Ran {
    history: History,
    /// How often plain services ran each body, by its hash; no two calls have the same.
    claims: BTreeMap<u64, u64>,
}

fn claims_by_body(fleet: &Fleet) -> BTreeMap<u64, u64> {
    let mut claims = BTreeMap::new();
    for (_host, upstream) in fleet.site.upstreams() {
        if let Upstream::Service(service) = &*upstream {
            for execution in service.executions() {
                *claims.entry(execution.body_hash).or_default() += 1;
            }
        }
    }
    claims
}

/// Checks what callers were told against what ran.
pub fn check(calls: &[Seen], all: &Ran, seed: u64) -> Tally {
    let doubled: BTreeSet<_> = all.history.doubled().into_iter().collect();
    let ran = all.history.ran.iter().map(|ran| ran.request.as_str());
    let ran: BTreeSet<_> = ran.collect();
    let mut tally = Tally::default();
    for call in calls {
        let mut fault = |count: &mut u64, what: &str| {
            *count += 1;
            tally.faults.push(format!("seed {seed}: {what}: {call:?}"));
        };
        tally.calls += 1;
        let ids = || call.told.iter().map(|told| told.id.as_str());
        let runs = match &call.content {
            Content::Service { body, .. } => {
                let hash = XxHash3_64::oneshot(body.as_bytes());
                all.claims.get(&hash).copied().unwrap_or_default()
            }
            Content::Completion { .. } => ids().filter(|id| ran.contains(id)).count() as u64,
        };
        let is_doubled = runs > 1 || ids().any(|id| doubled.contains(id));
        if is_doubled && !call.content.is_idempotent() {
            fault(&mut tally.doubled, "doubled");
        }
        for told in &call.told {
            let refused = told.words.iter().any(Word::is_not_run);
            if refused && ran.contains(told.id.as_str()) {
                fault(&mut tally.not_run_but_ran, "not run, but ran");
            }
            if told.words.iter().any(|word| is_wrong(call, told, word)) {
                fault(&mut tally.wrong, "wrong");
            }
            let is_unexpected = |word: &Word| matches!(word, Word::Unexpected(..));
            if told.words.iter().any(is_unexpected) {
                fault(&mut tally.unexpected, "unexpected");
            }
        }
        match last_word(call) {
            Some(Word::Answered(_)) => tally.answered += 1,
            Some(Word::NotRun(_)) | None => tally.not_run += 1,
            Some(Word::Failed) => tally.failed += 1,
            Some(Word::Unknown(reason)) => {
                tally.unknown += 1;
                tally
                    .unknowns
                    .push(format!("seed {seed}, ran {runs}: {call:?}"));
                *tally.unknown_reasons.entry(reason.clone()).or_default() += 1;
                tally.unknown_that_ran += u64::from(runs > 0);
            }
            Some(_) => fault(&mut tally.lost, "lost"),
        }
    }
    tally
}

/// The most that was said of a call under its last id; `None` if it never had one.
fn last_word(call: &Seen) -> Option<&Word> {
    let keyed = call.content.is_keyed();
    // Under a key all answers are of one call, whatever ids stood for it.
    let words: Vec<_> = if keyed {
        call.told.iter().flat_map(|told| &told.words).collect()
    } else {
        call.told.last()?.words.iter().collect()
    };
    let rank = |word: &&Word| match word {
        Word::Answered(_) => 5,
        Word::Failed => 4,
        Word::NotRun(_) if !keyed => 4,
        Word::Unknown(_) => 3,
        Word::NotRun(_) => 2,
        _ => 1,
    };
    words.into_iter().max_by_key(rank)
}

fn is_wrong(call: &Seen, told: &Told, word: &Word) -> bool {
    let expected = match &call.content {
        Content::Service { body, .. } => {
            service_answer(&format!("/{SERVICE_PATH}"), body.as_bytes())
        }
        Content::Completion {
            prompt, max_tokens, ..
        } => {
            let sampled = told.id.parse::<RequestId>().map_or(0, |id| id.seed());
            expected_answer(prompt, sampled, u64::from(*max_tokens))
        }
    };
    match word {
        Word::Answered(text) => *text != expected,
        // Tokens of another request, or out of place, show in any part of an answer.
        Word::Part(text) => !expected.starts_with(text),
        _ => false,
    }
}
