//! Chooses the host of an attempt and obtains the consent to start it.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::core::{Authority, Core, REFUSAL_RETRY_MS};
use super::dependencies::Dependencies;
use super::outcome::{Failure, Reason, UnknownReason};
use super::record::Place;
use super::{Outcome, Record, Work};
use crate::blackboard::{ActiveConfiguration, HostState};
use crate::document::checked::LatencyClass;
use crate::keys::{DomainKey, HostKey, PoolKey, TeamKey};
use crate::node::messages::WitnessUpdate;
use crate::retries::{RetryDecision, RetryDenial, RetryPurpose, RetryRequest};
use crate::routing::cache::PromptEstimate;
use crate::routing::candidates::Requirement;
use crate::routing::chain::{PromptBlocks, prompt_tokens};
use crate::routing::score::RoutePolicy;
use crate::routing::{
    Candidate, Choice, NoRoute, RouteRequest, Weights, choose, gather_candidates,
};
use crate::time::TimeMs;
use crate::upstreams::{Delivery, Role, UpstreamError};

/// Timeout of the witness's consent.
///
/// When it expires, the request is refused as not run: the witness is gone or partitioned, and the
/// caller's next id names another one.
const CONSENT_TIMEOUT_MS: u64 = 1_000;

/// Lowest priority of interactive classes; lower ones are batch work.
const MIN_INTERACTIVE_PRIORITY: u8 = 3;

/// Time that a request is expected to occupy an upstream.
const EXPECTED_SERVICE_MS: f64 = 5_000.0;

/// Weights while no configuration is active.
const EVEN_WEIGHTS: Weights = Weights {
    cost: 0.5,
    recomputed_tokens: 0.5,
};

/// Input of a host selection.
#[derive(Debug)]
pub(super) struct View {
    /// Hosts that can run the request.
    pub candidates: Vec<Candidate>,
    /// Estimate of the prompt's cached tokens on each host.
    pub prompt: PromptEstimate,
}

/// Returns the blocks of a record's prompt; none for a call to a plain service.
pub(super) fn prompt_blocks(record: &Record) -> PromptBlocks {
    match &record.call.work {
        Work::Completion { prompt, .. } => PromptBlocks::of(prompt.as_bytes()),
        Work::Service { .. } => PromptBlocks::default(),
    }
}

/// The newest failed attempt of a request.
#[derive(Debug)]
pub(super) struct FailedAttempt {
    /// The error of the attempt.
    pub error: UpstreamError,
    /// The host of the attempt.
    pub host: HostKey,
    /// Number of failed attempts, including this one.
    pub count: u32,
}

/// Returns the outcome of a request whose retry was denied.
pub(super) fn denied_outcome(record: &Record, denial: RetryDenial) -> Outcome {
    match denial {
        RetryDenial::MayHaveRun => Outcome::Unknown(UnknownReason::UpstreamLost),
        RetryDenial::DeadlineNear => deadline_outcome(record),
        RetryDenial::AttemptsExhausted | RetryDenial::BudgetExhausted if record.is_dispatched() => {
            Outcome::Failed(Failure::RetryBudget)
        }
        RetryDenial::AttemptsExhausted | RetryDenial::BudgetExhausted => {
            Outcome::not_run(Reason::RetryBudget, REFUSAL_RETRY_MS)
        }
    }
}

/// Hosts and failure domains on which a request has failed.
#[derive(Debug, Default)]
pub(super) struct Tried {
    hosts: Vec<HostKey>,
    domains: Vec<DomainKey>,
}

impl Tried {
    /// Records a failed attempt on a host.
    pub(super) fn record(&mut self, host: HostKey, domain: Option<DomainKey>) {
        if let Err(index) = self.hosts.binary_search(&host) {
            self.hosts.insert(index, host);
        }
        if let Some((domain, Err(index))) =
            domain.map(|domain| (domain, self.domains.binary_search(&domain)))
        {
            self.domains.insert(index, domain);
        }
    }

    /// Makes all hosts eligible again.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}

/// Returns a record's latency class in the active configuration, or the first class if the
/// configuration lacks it.
pub(super) fn latency_class<'a>(
    in_force: &'a ActiveConfiguration,
    record: &Record,
) -> &'a LatencyClass {
    let document = &in_force.document;
    let key = document
        .find_latency_class(&record.call.latency_class)
        .unwrap_or(0.into());
    document.latency_class(key)
}

/// Returns whether the record's call can be repeated.
pub(super) fn delivery(record: &Record) -> Delivery {
    if record.call.idempotent {
        Delivery::Repeatable
    } else {
        Delivery::AtMostOnce
    }
}

impl<L: Dependencies> Core<L> {
    /// Returns the hosts that can run a record's call, with the prompt tokens that each has cached.
    pub(super) fn view(&self, record: &Record, blocks: &PromptBlocks) -> View {
        let mut prompt = self.blackboard.prefix_caches.look_up(blocks);
        let mut candidates = self.candidates(record);
        match &record.call.work {
            Work::Completion { .. } => prompt.set_cached_tokens(&mut candidates),
            Work::Service { .. } => prompt.affinity = record.fingerprint,
        }
        View { candidates, prompt }
    }

    fn candidates(&self, record: &Record) -> Vec<Candidate> {
        let Some(in_force) = self.blackboard.active_configuration() else {
            return Vec::new();
        };
        let document = &in_force.document;
        let now = self.clock.now();
        match &record.call.work {
            Work::Completion { model, .. } => {
                let role = match latency_class(&in_force, record).priority {
                    priority if priority < MIN_INTERACTIVE_PRIORITY => Role::Batch,
                    _ => Role::Interactive,
                };
                let requirement = Requirement::Model { model, role };
                gather_candidates(&self.blackboard, document, requirement, now)
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

    /// Chooses the host of the next attempt.
    pub(super) fn choose(
        &self,
        record: &Record,
        view: &View,
        tried: &Tried,
    ) -> Result<Choice, NoRoute> {
        let now = self.clock.now();
        let in_force = self.blackboard.active_configuration();
        let request = route_request(record, &view.prompt, tried, in_force.as_deref());
        let choice = choose(&view.candidates, &request, now, &mut rng(record))?;
        if choice.is_probe {
            self.blackboard
                .upstreams
                .with(choice.host, |row| row.health.record_probe(now));
        }
        Ok(choice)
    }

    /// Returns whether a request may be retried after a failed attempt.
    pub(super) fn may_retry(&self, record: &Record, failed: &FailedAttempt) -> RetryDecision {
        let now = self.clock.now();
        let request = RetryRequest {
            error: &failed.error,
            delivery: delivery(record),
            attempts: failed.count,
            purpose: self.retry_purpose(record, failed.host),
            deadline_ms: record.call.deadline_ms,
            expected_ms: 0,
        };
        let decision = match self.budget_key(record, failed.host) {
            Some((team, pool)) => self.budgets.may_retry(team, pool, &request, now),
            None => request.decide_without_budget(),
        };
        if let RetryDecision::No(denial) = decision
            && record.is_dispatched()
        {
            log::info!(id:% = record.id, denial:? = denial, purpose:? = request.purpose, error:% = failed.error, host:? = failed.host, failures = failed.count, position = record.next_position(); "a retry was denied");
        }
        decision
    }

    /// Returns what another attempt is for, after one on a host has failed.
    fn retry_purpose(&self, record: &Record, host: HostKey) -> RetryPurpose {
        match self.blackboard.with_host(host, |row| row.state) {
            Some(HostState::Leaving { .. }) => RetryPurpose::Replace,
            _ if record.next_position() > 0 => RetryPurpose::Resume,
            Some(HostState::Live) | None => RetryPurpose::Repeat,
        }
    }

    /// Records a success on a host, which adds to the retry budget.
    pub(super) fn record_success(&self, record: &Record, host: HostKey) {
        if let Some((team, pool)) = self.budget_key(record, host) {
            self.budgets.record_success(team, pool, self.clock.now());
        }
    }

    fn budget_key(&self, record: &Record, host: HostKey) -> Option<(TeamKey, PoolKey)> {
        let in_force = self.blackboard.active_configuration()?;
        let team = in_force.document.find_team(&record.call.team)?;
        let pool = self.blackboard.with_host(host, |row| row.pool)?;
        Some((team, pool))
    }

    /// Obtains the witness's consent for an attempt that has been opened on the record.
    ///
    /// # Errors
    ///
    /// Returns the outcome if the witness refuses or does not answer, or if the deadline has passed
    /// meanwhile: nothing has been started.
    pub(super) async fn obtain_consent(
        &self,
        record: &Record,
        authority: Authority,
    ) -> Result<(), Outcome> {
        if record.call.idempotent || authority != Authority::Home {
            return Ok(());
        }
        let consent = self.send_to_witness(&record.id, WitnessUpdate::Consent(record.copy(0)));
        let timeout = Duration::from_millis(CONSENT_TIMEOUT_MS);
        let consent = tokio::time::timeout(timeout, consent).await;
        match consent {
            // A process that was paused here may resume long after the caller was told `unknown`.
            _ if self.clock.now() >= record.call.deadline_ms => {
                Err(Outcome::not_run(Reason::Deadline, 0))
            }
            Ok(Ok(true)) => Ok(()),
            Ok(Ok(false)) => Err(Outcome::not_run(Reason::Settled, REFUSAL_RETRY_MS)),
            Ok(Err(_)) | Err(_) => Err(Outcome::not_run(
                Reason::WitnessUnreachable,
                REFUSAL_RETRY_MS,
            )),
        }
    }

    /// Records a failed call in the health state of its host.
    pub(super) fn record_failure(&self, place: Place, error: &UpstreamError, now: TimeMs) {
        if error.is_host_failure() {
            self.blackboard
                .upstreams
                .with(place.host, |row| row.health.record_failure(now));
        }
        log::info!(error:% = error, address:% = place.address, attempt = place.attempt; "upstream call failed");
    }

    /// Records an answer in the health state of a host.
    pub(super) fn record_answer(&self, place: Place) {
        self.blackboard
            .upstreams
            .with(place.host, |row| row.health.record_answer());
    }

    /// Records a stream opened on a host.
    pub(super) fn record_open(&self, place: Place, prefill_ms: f64, now: TimeMs) {
        self.blackboard
            .with_host(place.host, |row| row.own_open_streams += 1);
        self.blackboard.upstreams.with(place.host, |row| {
            row.unreported_load.record_open(prefill_ms, now);
        });
    }

    /// Records the end of a stream on a host.
    pub(super) fn record_close(&self, place: Place, now: TimeMs) {
        self.blackboard.with_host(place.host, |row| {
            row.own_open_streams = row.own_open_streams.saturating_sub(1);
        });
        self.blackboard
            .upstreams
            .with(place.host, |row| row.unreported_load.record_close(now));
    }
}

/// Returns the outcome of a request whose deadline has passed.
pub(super) fn deadline_outcome(record: &Record) -> Outcome {
    if record.is_dispatched() {
        Outcome::Failed(Failure::Deadline)
    } else {
        Outcome::not_run(Reason::Deadline, 0)
    }
}

/// Returns the outcome of a request for which no host is eligible.
pub(super) fn no_route_outcome(record: &Record, no_route: NoRoute) -> Outcome {
    if record.is_dispatched() {
        Outcome::Failed(Failure::RetryBudget)
    } else {
        Outcome::not_run(Reason::NoUpstream, no_route.retry_after_ms)
    }
}

fn route_request<'a>(
    record: &Record,
    prompt: &PromptEstimate,
    tried: &'a Tried,
    in_force: Option<&ActiveConfiguration>,
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
        service_ms: EXPECTED_SERVICE_MS,
        delivery: delivery(record),
        tried: &tried.hosts,
        failed_domains: &tried.domains,
        weights: in_force.map_or(EVEN_WEIGHTS, |in_force| {
            Weights::from(in_force.document.measure)
        }),
        policy: RoutePolicy::default(),
    }
}

/// Returns a generator seeded by the request id and the number of attempts, so choices repeat for
/// the same id.
fn rng(record: &Record) -> SmallRng {
    let id = &record.id;
    let seed = id.issued_at_ms.0 ^ id.home.0.rotate_left(17) ^ u64::from(id.sequence) << 32;
    SmallRng::seed_from_u64(seed ^ u64::from(record.attempts()))
}
