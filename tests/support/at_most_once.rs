//! One run of a schedule with callers, and the check of what they were told against what ran.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use teaselline::requests::RequestId;
use teaselline_stand_ins::engine::expected_answer;
use teaselline_stand_ins::history::History;
use teaselline_stand_ins::service::service_answer;
use teaselline_stand_ins::site::Upstream;
use tokio::time::Instant;

use crate::fleet::{Client, Fleet, FleetSettings};
use crate::schedules::{DEADLINE_MS, Schedule, WINDOW_MS};
use crate::storm::{Callers, Content, Manner, SERVICE_PATH, Seen, Told, Word, send};
use crate::trial;

/// Calls in one schedule.
const CALLS: usize = 80;

/// Time between a plain service's effect and its answer, at most.
const SERVICE_DELAY_MS: u64 = 150;

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
    Ok(check(&calls, &fleet.site.history(), seed))
}

async fn make_calls(fleet: &Arc<Fleet>, manner: Manner, seed: u64, start: Instant) -> Vec<Seen> {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let callers = Callers {
        fleet: Arc::clone(fleet),
        manner,
        give_up_at: start + Duration::from_millis(WINDOW_MS + GIVE_UP_AFTER_MS),
    };
    let mut running = tokio::task::JoinSet::new();
    for index in 0..CALLS {
        let content = Content::new(&mut rng, index);
        let at = start + Duration::from_millis(rng.random_range(0..WINDOW_MS));
        let (callers, seed) = (callers.clone(), rng.random());
        running.spawn(async move {
            tokio::time::sleep_until(at).await;
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
            for told in &mut call.told {
                let client = Client::new(trial::TOKEN).with_patience_ms(LAST_PATIENCE_MS);
                let at = nodes[index % nodes.len()].callers;
                let word = send(client, at, call.content.clone(), told.id.clone()).await;
                told.words.push(word);
            }
            call
        });
    }
    running.join_all().await
}

/// Checks what callers were told against what ran.
pub fn check(calls: &[Seen], history: &History, seed: u64) -> Tally {
    let doubled: BTreeSet<_> = history.doubled().into_iter().collect();
    let ran: BTreeSet<_> = history.ran.iter().map(|ran| ran.request.as_str()).collect();
    let mut tally = Tally::default();
    for call in calls {
        let mut fault = |count: &mut u64, what: &str| {
            *count += 1;
            tally.faults.push(format!("seed {seed}: {what}: {call:?}"));
        };
        tally.calls += 1;
        let ids = || call.told.iter().map(|told| told.id.as_str());
        let runs = ids().filter(|id| ran.contains(id)).count();
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
    let words = &call.told.last()?.words;
    let rank = |word: &&Word| match word {
        Word::Answered(_) => 4,
        Word::NotRun(_) | Word::Failed => 3,
        Word::Unknown(_) => 2,
        _ => 1,
    };
    words.iter().max_by_key(rank)
}

fn is_wrong(call: &Seen, told: &Told, word: &Word) -> bool {
    let Word::Answered(text) = word else {
        return false;
    };
    match &call.content {
        Content::Service { body, .. } => {
            *text != service_answer(&format!("/{SERVICE_PATH}"), body.as_bytes())
        }
        Content::Completion {
            prompt, max_tokens, ..
        } => {
            let sampled = told.id.parse::<RequestId>().map_or(0, |id| id.seed());
            *text != expected_answer(prompt, sampled, u64::from(*max_tokens))
        }
    }
}
