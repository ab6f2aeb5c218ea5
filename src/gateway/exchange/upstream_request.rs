//! A request at an upstream: counted as load there until it ends, and its outcome recorded.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::admission::Plan;
use crate::gateway::choose::Choice;
use crate::gateway::crashes::subjects::Subjects;
use crate::gateway::crashes::verification::{self, Broken};
use crate::gateway::crashes::{breaks, reports, silent};
use crate::gateway::health::Outcome;
use crate::gateway::limits::refusal_allowance::{Change as BrittlenessChange, StatedBrittleness};
use crate::gateway::limits::send_gate::Closed;
use crate::gateway::limits::throttle::{Change, StatedLimit};
use crate::gateway::messages::Message;
use crate::gateway::num;
use crate::gateway::patience;
use crate::gateway::rollout::Answer;
use crate::gateway::state::Gateway;
use crate::gateway::upstreams::{Contact, Phase, Upstream, UpstreamKey, spread_bits, tag};
use crate::time::TimeMs;

/// Time for which the output of an upstream that has restarted is still awaited, where the request may not be repeated.
///
/// A node that gets no processor time hears of the restart before it reads what the upstream had sent.
const LAST_OUTPUT_MS: u64 = 500;

/// A request that has been sent to an upstream, counted as load there until it is dropped.
#[derive(Debug)]
pub(super) struct UpstreamRequest {
    node: Arc<Gateway>,
    pub upstream: UpstreamKey,
    /// Identifies the incarnation of the upstream that received the request.
    pub upstream_tag: u64,
    /// Tag of the upstream's address.
    address: u64,
    /// Tag of the upstream's failure domain.
    domain: u64,
    /// Cancelled when that upstream is known to have restarted.
    restarted: CancellationToken,
    /// For how long its output is still awaited then.
    last_output_ms: u64,
    /// The signs of life of that incarnation.
    pub contact: Contact,
    /// The upstream's rate limit in requests per second over all nodes, if it announces one.
    pub limit_per_s: Option<f64>,
    pub sent_at: TimeMs,
    unread_tokens: u64,
    /// Prompt tokens that the upstream had to read before the first token, those of the request
    /// included.
    pub waiting_tokens: u64,
    /// Other requests at the upstream when the request was sent.
    pub others_at_send: u32,
    /// Whether the time to the first token measures the engine's prompt reading speed.
    pub is_read_speed_sample: bool,
    /// Tag of the request's route.
    route: u64,
    pool: String,
    /// Software version of the upstream when the request was sent; empty if not announced.
    pub version: String,
    /// Expected response time; compares the versions of a rollout in the pool.
    expected_ms: f64,
    /// See [`Choice::pool_expected_ms`].
    pool_expected_ms: Option<f64>,
}

impl UpstreamRequest {
    /// Counts a request at the selected upstream; returns `None` if that upstream is unknown by now.
    pub fn new(node: &Arc<Gateway>, plan: &Plan, choice: &Choice, now: TimeMs) -> Option<Self> {
        let mut upstreams = node.upstreams.lock();
        let upstream = upstreams.get_mut(choice.upstream)?;
        upstream.own_load.running += 1;
        upstream.record_sent(now);
        upstream.own_load.unread_tokens += choice.unread_tokens;
        Some(Self {
            node: Arc::clone(node),
            upstream: choice.upstream,
            upstream_tag: upstream.tag,
            address: tag(&upstream.announcement.address.to_string()),
            domain: tag(&upstream.announcement.failure_domain),
            restarted: upstream.restarted.clone(),
            last_output_ms: if plan.route().is_repeatable() {
                0
            } else {
                LAST_OUTPUT_MS
            },
            contact: upstream.contact.clone(),
            limit_per_s: upstream.send_gate.throttle.limit_per_s(),
            sent_at: now,
            unread_tokens: choice.unread_tokens,
            waiting_tokens: choice.waiting_tokens,
            others_at_send: choice.running,
            is_read_speed_sample: choice.copied_tokens == 0 && choice.running * 2 < choice.slots,
            route: tag(&plan.route().name),
            pool: plan.pool.clone(),
            version: upstream.announcement.version.clone(),
            expected_ms: match plan.head.prompt {
                Some(_) => choice.expected_of_pool_ms,
                // The only estimate for non-streaming calls comes from the upstream itself, which
                // may be slow; with 1.0 a rollout compares the durations themselves.
                None => 1.0,
            },
            pool_expected_ms: choice.pool_expected_ms,
        })
    }

    /// Passes the upstream's intake check; called immediately before the request is sent.
    ///
    /// # Errors
    ///
    /// If the upstream accepts no request of this node at present.
    pub fn begin_send(&self, now: TimeMs) -> Result<(), Closed> {
        let mut upstreams = self.node.upstreams.lock();
        match upstreams.get_mut(self.upstream) {
            Some(upstream) => upstream.admit(now),
            None => Err(Closed::Gone),
        }
    }

    /// Reverts `begin_send` for a request that was not sent.
    pub fn cancel_send(&self, now: TimeMs) {
        if let Some(upstream) = self.node.upstreams.lock().get_mut(self.upstream) {
            upstream.send_gate.cancel(now);
        }
    }

    /// Awaits output of the upstream; returns `None` if the upstream restarts meanwhile and sends
    /// nothing more, since the request is lost then.
    ///
    /// An upstream that crashes behind a network partition resets no connection. Without this check
    /// its requests wait for their timeout, and those that may execute only once for their whole
    /// deadline.
    pub async fn unless_restarted<T>(&self, awaited: impl Future<Output = T>) -> Option<T> {
        tokio::pin!(awaited);
        tokio::select! {
            biased;
            outcome = &mut awaited => return Some(outcome),
            () = self.restarted.cancelled() => {}
        }
        let last_output = Duration::from_millis(self.last_output_ms);
        patience::within(last_output, awaited).await.ok()
    }

    /// Records that the first token arrived, so that the prompt has been read.
    pub fn record_first_token(&mut self) {
        let unread_tokens = std::mem::take(&mut self.unread_tokens);
        if let Some(upstream) = self.node.upstreams.lock().get_mut(self.upstream) {
            upstream.own_load.unread_tokens -= unread_tokens;
        }
    }

    /// Returns the number of other requests at the upstream at present.
    pub fn other_requests(&self) -> u32 {
        let upstreams = self.node.upstreams.lock();
        let running = upstreams.get(self.upstream).map(Upstream::running);
        running.unwrap_or_default().saturating_sub(1)
    }

    /// Records the outcome of the request in the upstream's health and in a rollout of its pool.
    pub fn record_outcome(&self, outcome: Outcome, now: TimeMs) {
        self.record_rollout_outcome(outcome);
        if let Some(upstream) = self.node.upstreams.lock().get_mut(self.upstream) {
            upstream.health.record(outcome, now);
            if outcome != Outcome::Broken {
                upstream.record_response(now);
            }
        }
    }

    /// Records in the engine's speed how long its first token took.
    pub fn record_speed(&self, took_ms: u64) {
        let Some(expected_ms) = self.pool_expected_ms else {
            return;
        };
        if let Some(upstream) = self.node.upstreams.lock().get_mut(self.upstream) {
            upstream.speed.record(expected_ms, num::to_f64(took_ms));
        }
    }

    /// Applies the rate limit that the upstream states and sends a change of it to the peers.
    pub fn record_limit(&self, stated: StatedLimit, now: TimeMs) {
        let mut upstreams = self.node.upstreams.lock();
        let Some(upstream) = upstreams.get_mut(self.upstream) else {
            return;
        };
        let change = (upstream.send_gate.throttle).record_answer(stated, self.sent_at, now);
        let Some(change) = change else { return };
        let told = upstream.send_gate.throttle.report(upstream.tag, now);
        let id = upstream.announcement.id.as_str();
        match change {
            Change::Named(limit_per_s) => {
                log::info!(event = "upstream_limit_named", upstream = id, limit_per_s; "an upstream announced a rate limit for the requests of all nodes");
            }
            Change::Ended => {
                log::info!(event = "upstream_limit_ended", upstream = id; "an upstream no longer announces a rate limit");
            }
        }
        drop(upstreams);
        if let Some(told) = told {
            self.node.broadcast(Message::Limit(told));
        }
    }

    /// Records what an answer states of the upstream's brittleness.
    pub fn record_brittleness(&self, stated: StatedBrittleness, now: TimeMs) {
        let nodes = self.node.peers.lock().known_nodes();
        let draw = num::to_f64(spread_bits(self.node.incarnation ^ self.upstream_tag) >> 32)
            / num::to_f64(u64::from(u32::MAX));
        let mut upstreams = self.node.upstreams.lock();
        let Some(upstream) = upstreams.get_mut(self.upstream) else {
            return;
        };
        let refusals = &mut upstream.send_gate.refusals;
        let change = refusals.record_statement(stated, nodes, draw, self.sent_at, now);
        let id = upstream.announcement.id.as_str();
        match change {
            Some(BrittlenessChange::Began { refusals_per_s }) => {
                log::info!(event = "upstream_brittle", upstream = id, refusals_per_s, nodes; "an upstream falls over if it has to refuse more requests a second; while it is full it gets few");
            }
            Some(BrittlenessChange::Ended) => {
                log::info!(event = "upstream_brittle_ended", upstream = id; "an upstream no longer states that it is brittle");
            }
            None => {}
        }
    }

    /// Records that the upstream refused the request for want of room.
    pub fn record_refusal(&self, now: TimeMs) {
        if let Some(upstream) = self.node.upstreams.lock().get_mut(self.upstream) {
            upstream.send_gate.refusals.record_refusal(now);
        }
    }

    /// Records that the upstream answered without asking this node to back off.
    pub fn record_accepted(&self) {
        if let Some(upstream) = self.node.upstreams.lock().get_mut(self.upstream) {
            upstream.send_gate.backoff.record_answer(self.sent_at);
        }
    }

    /// Records that the upstream refused the request and asked this node to back off.
    pub fn record_backoff(&self, rest_ms: u64, now: TimeMs) {
        let mut upstreams = self.node.upstreams.lock();
        if let Some(upstream) = upstreams.get_mut(self.upstream)
            && upstream.send_gate.backoff.record(rest_ms, now)
        {
            let id = upstream.announcement.id.as_str();
            log::info!(event = "upstream_rest_asked", upstream = id, rest_ms; "an upstream asked this node to back off; it gets no request until then");
        }
    }

    /// Records that the upstream stated in a response that it is leaving, and notifies the peers.
    pub fn record_leaving(&self) {
        let mut upstreams = self.node.upstreams.lock();
        let Some(upstream) = upstreams.get_mut(self.upstream) else {
            return;
        };
        if !upstream.send_gate.record_leaving() {
            return;
        }
        let id = upstream.announcement.id.as_str();
        let announced = upstream.announcement.phase;
        log::info!(event = "upstream_leaving_said", upstream = id, announced:? = announced; "an upstream stated in a response that it is leaving; it gets no new requests");
        drop(upstreams);
        if announced == Phase::Ready {
            self.node.broadcast(Message::Leaving(self.upstream_tag));
        }
    }

    /// Adds the outcome to the observations of a rollout in the pool, if one runs.
    fn record_rollout_outcome(&self, outcome: Outcome) {
        let took_ms = match outcome {
            Outcome::Good { took_ms } => Some(took_ms),
            Outcome::Failed | Outcome::Broken => None,
            // The request was not executed.
            Outcome::Refused | Outcome::Resting => return,
        };
        let mut rollouts = self.node.rollouts.lock();
        if !rollouts.is_running(&self.pool) {
            return;
        }
        let Some(rollout) = rollouts.get_mut(&self.pool) else {
            return;
        };
        let upstreams = self.node.upstreams.lock();
        let Some(upstream) = upstreams.get(self.upstream) else {
            return;
        };
        let answer = Answer {
            route: self.route,
            is_new: upstream.announcement.version == rollout.order.target,
            took_ms,
            expected_ms: self.expected_ms,
        };
        drop(upstreams);
        if rollout.record(&answer) {
            let observed = rollouts.observations(Some(&self.pool));
            let message = Message::Observed(self.node.incarnation, observed);
            drop(rollouts);
            self.node.broadcast(message);
        }
    }

    /// Records an attempt that failed, and notifies the peers if it may have crashed the upstream.
    pub fn record_failure(&self, reason: &str, subjects: &Subjects, now: TimeMs) {
        self.record_outcome(Outcome::Broken, now);
        match reason {
            _ if breaks::is_crash(reason) => {
                verification::record_break(&self.node, self.broken(subjects), now);
            }
            _ if breaks::is_silence(reason) => {
                silent::record_given_up(&self.node, self.broken(subjects), &self.contact, now);
            }
            _ => {}
        }
    }

    /// Records that the upstream has ended and notifies the peers: the request may have caused it.
    pub fn record_crash(&self, subjects: &Subjects, now: TimeMs) {
        reports::record_crash(&self.node, self.broken(subjects).crash(now), now);
    }

    /// Records an answer whose end was that of its connection.
    pub fn record_unframed_answer(&self, subjects: &Subjects, now: TimeMs) {
        verification::record_unframed_answer(&self.node, self.broken(subjects), now);
    }

    fn broken(&self, subjects: &Subjects) -> Broken {
        Broken {
            subjects: *subjects,
            key: self.upstream,
            upstream: self.upstream_tag,
            address: self.address,
            domain: self.domain,
            sent_at: self.sent_at,
        }
    }
}

impl Drop for UpstreamRequest {
    fn drop(&mut self) {
        if let Some(upstream) = self.node.upstreams.lock().get_mut(self.upstream) {
            upstream.own_load.running -= 1;
            upstream.own_load.unread_tokens -= self.unread_tokens;
            if upstream.own_load.running == 0 {
                upstream.awaiting_since = None;
            }
        }
    }
}
