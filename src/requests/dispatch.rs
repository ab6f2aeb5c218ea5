//! Chooses where an attempt runs and obtains the right to start it.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::core::{Core, RETRY_SOON_MS, Right};
use super::links::Links;
use super::outcome::{Doubt, Failure, Reason};
use super::record::Place;
use super::{Outcome, Record, Work};
use crate::blackboard::InForce;
use crate::document::checked::LatencyClass;
use crate::keys::{DomainKey, HostKey, PoolKey, TeamKey};
use crate::node::messages::Told;
use crate::retries::{RetryDecision, RetryDenial, RetryRequest};
use crate::routing::cache::PromptEstimate;
use crate::routing::candidates::Requirement;
use crate::routing::chain::{PromptBlocks, prompt_tokens};
use crate::routing::score::RoutePolicy;
use crate::routing::{
    Candidate, Choice, NoRoute, RouteRequest, Weights, choose, gather_candidates,
};
use crate::time::TimeMs;
use crate::upstreams::{Delivery, Role, UpstreamError};

/// How long a home waits for its witness's consent.
///
/// Past it the request is refused as not run: the witness is gone or cut off, and the caller's next
/// id names another.
const CONSENT_MS: u64 = 1_000;

/// Latency classes below this priority are batch work.
const INTERACTIVE_PRIORITY: u8 = 3;

/// Time that a request is taken to occupy an upstream until there is a better estimate.
const SERVICE_MS: f64 = 5_000.0;

/// Weights while no document is in force.
const EVEN_WEIGHTS: Weights = Weights {
    cost: 0.5,
    recomputed_tokens: 0.5,
};

/// What a choice is made from.
#[derive(Debug)]
pub(super) struct View {
    /// The hosts that could run the work.
    pub candidates: Vec<Candidate>,
    /// What is believed of the prompt.
    pub prompt: PromptEstimate,
}

/// The blocks of a record's prompt; none for a call to a plain service.
pub(super) fn chain(record: &Record) -> PromptBlocks {
    match &record.call.work {
        Work::Completion { prompt, .. } => PromptBlocks::of(prompt.as_bytes()),
        Work::Service { .. } => PromptBlocks::default(),
    }
}

/// The newest attempt of a request that failed.
#[derive(Debug)]
pub(super) struct Failed {
    /// How.
    pub error: UpstreamError,
    /// Where.
    pub host: HostKey,
    /// Attempts that have failed so far, this one included.
    pub count: u32,
}

/// The end of a request that may not be tried again.
pub(super) fn denied(record: &Record, denied: RetryDenial) -> Outcome {
    match denied {
        RetryDenial::MayHaveRun => Outcome::Unknown(Doubt::UpstreamLost),
        RetryDenial::DeadlineNear => past_deadline(record),
        RetryDenial::AttemptsExhausted | RetryDenial::BudgetExhausted if record.is_dispatched() => {
            Outcome::Failed(Failure::RetryBudget)
        }
        RetryDenial::AttemptsExhausted | RetryDenial::BudgetExhausted => {
            Outcome::not_run(Reason::RetryBudget, RETRY_SOON_MS)
        }
    }
}

/// Hosts that a request has been tried on.
#[derive(Debug, Default)]
pub(super) struct Tried {
    hosts: Vec<HostKey>,
    domains: Vec<DomainKey>,
}

impl Tried {
    /// Notes that an attempt on the chosen host came to nothing.
    pub(super) fn note(&mut self, host: HostKey, domain: Option<DomainKey>) {
        if let Err(index) = self.hosts.binary_search(&host) {
            self.hosts.insert(index, host);
        }
        if let Some((domain, Err(index))) =
            domain.map(|domain| (domain, self.domains.binary_search(&domain)))
        {
            self.domains.insert(index, domain);
        }
    }

    /// Lets all hosts be tried again.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}

/// The latency class of a record in the document in force, or the first class.
pub(super) fn latency_class<'a>(in_force: &'a InForce, record: &Record) -> &'a LatencyClass {
    let document = &in_force.document;
    let key = document
        .find_latency_class(&record.call.latency_class)
        .unwrap_or(0.into());
    document.latency_class(key)
}

/// What repeating the record's call would do.
pub(super) fn delivery(record: &Record) -> Delivery {
    if record.call.idempotent {
        Delivery::Repeatable
    } else {
        Delivery::AtMostOnce
    }
}

impl<L: Links> Core<L> {
    /// The hosts that could run a record's work, and what of its prompt they have cached.
    pub(super) fn view(&self, record: &Record, chain: &PromptBlocks) -> View {
        let mut prompt = self.blackboard.caches.look_up(chain);
        let mut candidates = self.candidates(record);
        match &record.call.work {
            Work::Completion { .. } => prompt.set_cached_tokens(&mut candidates),
            Work::Service { .. } => prompt.affinity = record.fingerprint,
        }
        View { candidates, prompt }
    }

    fn candidates(&self, record: &Record) -> Vec<Candidate> {
        let Some(in_force) = self.blackboard.in_force() else {
            return Vec::new();
        };
        let document = &in_force.document;
        let now = self.clock.now();
        match &record.call.work {
            Work::Completion { model, .. } => {
                let role = match latency_class(&in_force, record).priority {
                    priority if priority < INTERACTIVE_PRIORITY => Role::Batch,
                    _ => Role::Interactive,
                };
                let need = Requirement::Model { model, role };
                gather_candidates(&self.blackboard, document, need, now)
            }
            Work::Service { service, .. } => match document.find_pool(service) {
                Some(pool) => gather_candidates(
                    &self.blackboard,
                    document,
                    Requirement::Service { pool },
                    now,
                ),
                None => Vec::new(),
            },
        }
    }

    /// Chooses a host for the next attempt.
    pub(super) fn choose(
        &self,
        record: &Record,
        view: &View,
        tried: &Tried,
    ) -> Result<Choice, NoRoute> {
        let now = self.clock.now();
        let in_force = self.blackboard.in_force();
        let ask = ask(record, &view.prompt, tried, in_force.as_deref());
        let choice = choose(&view.candidates, &ask, now, &mut rng(record))?;
        if choice.is_probe {
            self.blackboard
                .upstreams
                .with(choice.host, |row| row.health.record_probe(now));
        }
        Ok(choice)
    }

    /// Whether a request may make another attempt after one that failed.
    pub(super) fn may_retry(&self, record: &Record, failed: &Failed) -> RetryDecision {
        let now = self.clock.now();
        let Some((team, pool)) = self.budget_of(record, failed.host) else {
            return RetryDecision::Now;
        };
        let ask = RetryRequest {
            error: &failed.error,
            delivery: delivery(record),
            attempts: failed.count,
            has_delivered_tokens: record.next_position() > 0,
            deadline_ms: record.call.deadline_ms,
            expected_ms: 0,
        };
        self.budgets.may_retry(team, pool, &ask, now)
    }

    /// Notes that a request succeeded on a host, which pays for retries.
    pub(super) fn note_success(&self, record: &Record, host: HostKey) {
        if let Some((team, pool)) = self.budget_of(record, host) {
            self.budgets.record_success(team, pool, self.clock.now());
        }
    }

    fn budget_of(&self, record: &Record, host: HostKey) -> Option<(TeamKey, PoolKey)> {
        let in_force = self.blackboard.in_force()?;
        let team = in_force.document.find_team(&record.call.team)?;
        let pool = self.blackboard.with_host(host, |row| row.pool)?;
        Some((team, pool))
    }

    /// Obtains the right to start an attempt that has been begun on the record.
    ///
    /// # Errors
    ///
    /// The outcome, if the witness refuses or does not answer, or if the deadline has passed
    /// meanwhile: nothing has been started.
    pub(super) async fn obtain_right(&self, record: &Record, right: Right) -> Result<(), Outcome> {
        if record.call.idempotent || right != Right::Home {
            return Ok(());
        }
        let consent = self.tell(&record.id, Told::Consent(record.copy(0)));
        let patience = Duration::from_millis(CONSENT_MS);
        let consent = tokio::time::timeout(patience, consent).await;
        match consent {
            // A process that was paused here comes back long after the caller was told `unknown`.
            _ if self.clock.now() >= record.call.deadline_ms => {
                Err(Outcome::not_run(Reason::Deadline, 0))
            }
            Ok(Ok(true)) => Ok(()),
            Ok(Ok(false)) => Err(Outcome::not_run(Reason::Settled, RETRY_SOON_MS)),
            Ok(Err(_)) | Err(_) => Err(Outcome::not_run(Reason::WitnessUnreachable, RETRY_SOON_MS)),
        }
    }

    /// Notes what a failed call says about its host.
    pub(super) fn note_failure(&self, place: Place, error: &UpstreamError, now: TimeMs) {
        if error.is_host_failure() {
            self.blackboard
                .upstreams
                .with(place.host, |row| row.health.record_failure(now));
        }
        log::info!(error:% = error, address:% = place.address; "an upstream call failed");
    }

    /// Notes that a host answered.
    pub(super) fn note_answer(&self, place: Place) {
        self.blackboard
            .upstreams
            .with(place.host, |row| row.health.record_answer());
    }

    /// Notes that a stream was opened on a host.
    pub(super) fn note_open(&self, place: Place, prefill_ms: f64, now: TimeMs) {
        self.blackboard
            .with_host(place.host, |row| row.open_here += 1);
        self.blackboard
            .upstreams
            .with(place.host, |row| row.sent.record_open(prefill_ms, now));
    }

    /// Notes that a stream has left a host.
    pub(super) fn note_close(&self, place: Place, now: TimeMs) {
        self.blackboard.with_host(place.host, |row| {
            row.open_here = row.open_here.saturating_sub(1);
        });
        self.blackboard
            .upstreams
            .with(place.host, |row| row.sent.record_close(now));
    }
}

/// The end of a request whose deadline has passed.
pub(super) fn past_deadline(record: &Record) -> Outcome {
    if record.is_dispatched() {
        Outcome::Failed(Failure::Deadline)
    } else {
        Outcome::not_run(Reason::Deadline, 0)
    }
}

/// The end of a request for which no host is left.
pub(super) fn no_upstream(record: &Record, no_route: NoRoute) -> Outcome {
    if record.is_dispatched() {
        Outcome::Failed(Failure::RetryBudget)
    } else {
        Outcome::not_run(Reason::NoUpstream, no_route.retry_after_ms)
    }
}

fn ask<'a>(
    record: &Record,
    prompt: &PromptEstimate,
    tried: &'a Tried,
    in_force: Option<&InForce>,
) -> RouteRequest<'a> {
    let prompt_tokens = match &record.call.work {
        Work::Completion { prompt, .. } => prompt_tokens(prompt.as_bytes()),
        Work::Service { .. } => 0,
    };
    let class = in_force.map(|in_force| latency_class(in_force, record));
    RouteRequest {
        prompt_tokens: prompt_tokens + record.next_position(),
        shared_tokens: prompt.shared_tokens,
        affinity: prompt.affinity,
        shared_affinity: prompt.shared_affinity,
        first_token_ms: class.map_or(1, |class| class.first_token_ms),
        service_ms: SERVICE_MS,
        delivery: delivery(record),
        tried: &tried.hosts,
        failed_domains: &tried.domains,
        weights: in_force.map_or(EVEN_WEIGHTS, |in_force| {
            Weights::from(in_force.document.measure)
        }),
        policy: RoutePolicy::default(),
    }
}

/// Randomness that differs between requests and attempts, and repeats with the same id.
fn rng(record: &Record) -> SmallRng {
    let id = &record.id;
    let seed = id.issued_at_ms.0 ^ id.home.0.rotate_left(17) ^ u64::from(id.sequence) << 32;
    SmallRng::seed_from_u64(seed ^ u64::from(record.attempts()))
}
