//! A request at an upstream: counted there until it ends, and what it tells of the upstream.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use super::admit::Plan;
use crate::gateway::choose::Choice;
use crate::gateway::health::Outcome;
use crate::gateway::intake::Closed;
use crate::gateway::peers::Message;
use crate::gateway::rollout::Answer;
use crate::gateway::state::Gateway;
use crate::gateway::strikes::Strike;
use crate::gateway::throttle::{Change, StatedLimit};
use crate::gateway::upstreams::{Phase, Upstream, UpstreamKey, tag};
use crate::time::TimeMs;

/// A request that an upstream has, counted until it ends.
#[derive(Debug)]
pub(super) struct Running {
    node: Arc<Gateway>,
    pub upstream: UpstreamKey,
    /// Names the start of the upstream that has it.
    upstream_tag: u64,
    /// Cancelled when that upstream is known to have started again.
    restarted: CancellationToken,
    /// Requests a second that it takes from all nodes, if it names a limit.
    pub limit_per_s: Option<f64>,
    pub sent_at: TimeMs,
    unread_tokens: u64,
    /// Prompt tokens that were to be read there before its first token, its own included.
    pub waiting_tokens: u64,
    /// Other requests that were there when it was sent.
    pub others_before: u32,
    /// Whether its time to a first token shows how fast the engine reads.
    pub is_telling: bool,
    /// Names the request's route; its pool and what was expected, for a roll-out that runs there.
    route: u64,
    pool: String,
    expected_ms: f64,
}

impl Running {
    /// Counts a request at the upstream of a choice; none if that upstream is not known any more.
    pub fn new(node: &Arc<Gateway>, plan: &Plan, choice: &Choice, now: TimeMs) -> Option<Self> {
        let mut upstreams = node.upstreams.lock();
        let upstream = upstreams.get_mut(choice.upstream)?;
        upstream.own.running += 1;
        upstream.note_sent(now);
        upstream.own.unread_tokens += choice.unread_tokens;
        Some(Self {
            node: Arc::clone(node),
            upstream: choice.upstream,
            upstream_tag: upstream.tag,
            restarted: upstream.restarted.clone(),
            limit_per_s: upstream.intake.throttle.limit_per_s(),
            sent_at: now,
            unread_tokens: choice.unread_tokens,
            waiting_tokens: choice.waiting_tokens,
            others_before: choice.running,
            is_telling: choice.copied_tokens == 0 && choice.running * 2 < choice.slots,
            route: tag(&plan.route().name),
            pool: plan.pool.clone(),
            expected_ms: match plan.head.prompt {
                Some(_) => choice.expected_ms,
                // What plain calls take is known from the upstream itself only, which may be slow.
                None => 1.0,
            },
        })
    }

    /// Lets the request through to the upstream; to be asked just before it is sent.
    ///
    /// # Errors
    ///
    /// If the upstream takes none of this node now.
    pub fn enter(&self, now: TimeMs) -> Result<(), Closed> {
        let mut upstreams = self.node.upstreams.lock();
        match upstreams.get_mut(self.upstream) {
            Some(upstream) => upstream.enter(now),
            None => Err(Closed::Gone),
        }
    }

    /// Takes back that the request was let through: it has not been sent.
    pub fn leave(&self, now: TimeMs) {
        if let Some(upstream) = self.node.upstreams.lock().get_mut(self.upstream) {
            upstream.intake.leave(now);
        }
    }

    /// Waits for something of the upstream; none if it is known to have started again meanwhile, so
    /// that nothing more comes of the request.
    ///
    /// An upstream that crashes behind a cut resets no channel; without this its requests wait out
    /// their patience, and those that may run once their whole time.
    pub async fn unless_restarted<T>(&self, awaited: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            outcome = awaited => Some(outcome),
            () = self.restarted.cancelled() => None,
        }
    }

    /// The prompt has been read: its first token came.
    pub fn note_first_token(&mut self) {
        let unread_tokens = std::mem::take(&mut self.unread_tokens);
        if let Some(upstream) = self.node.upstreams.lock().get_mut(self.upstream) {
            upstream.own.unread_tokens -= unread_tokens;
        }
    }

    /// Other requests that are there now.
    pub fn others(&self) -> u32 {
        let upstreams = self.node.upstreams.lock();
        let running = upstreams.get(self.upstream).map(Upstream::running);
        running.unwrap_or_default().saturating_sub(1)
    }

    /// Notes how the upstream fared with it.
    pub fn note(&self, outcome: Outcome, now: TimeMs) {
        self.observe(outcome);
        if let Some(upstream) = self.node.upstreams.lock().get_mut(self.upstream) {
            upstream.health.note(outcome, now);
            if outcome != Outcome::Broken {
                upstream.note_sign(now);
            }
        }
    }

    /// Takes in what the upstream says of a limit, and tells the peers of a change.
    pub fn note_limit(&self, stated: StatedLimit, now: TimeMs) {
        let mut upstreams = self.node.upstreams.lock();
        let Some(upstream) = upstreams.get_mut(self.upstream) else {
            return;
        };
        let change = (upstream.intake.throttle).note_answer(stated, self.sent_at, now);
        let Some(change) = change else { return };
        let told = upstream.intake.throttle.told(upstream.tag, now);
        let id = upstream.announced.id.as_str();
        match change {
            Change::Named(limit_per_s) => {
                log::info!(event = "upstream_limit_named", upstream = id, limit_per_s; "an upstream names the requests a second that it takes from all nodes");
            }
            Change::Ended => {
                log::info!(event = "upstream_limit_ended", upstream = id; "an upstream no longer names a limit");
            }
        }
        drop(upstreams);
        if let Some(told) = told {
            self.node.tell_peers(Message::Limit(told));
        }
    }

    /// Takes in that the upstream answered otherwise than by turning this node away.
    pub fn note_taken(&self) {
        if let Some(upstream) = self.node.upstreams.lock().get_mut(self.upstream) {
            upstream.intake.rest.note_answer(self.sent_at);
        }
    }

    /// Takes in that the upstream turned this node away and asked for rest.
    pub fn note_rest(&self, rest_ms: u64, now: TimeMs) {
        let mut upstreams = self.node.upstreams.lock();
        if let Some(upstream) = upstreams.get_mut(self.upstream)
            && upstream.intake.rest.note(rest_ms, now)
        {
            let id = upstream.announced.id.as_str();
            log::info!(event = "upstream_rest_asked", upstream = id, rest_ms; "an upstream asks this node for rest");
        }
    }

    /// Takes in that the upstream says in an answer that it leaves, and tells the peers.
    pub fn note_leaving(&self) {
        let mut upstreams = self.node.upstreams.lock();
        let Some(upstream) = upstreams.get_mut(self.upstream) else {
            return;
        };
        if !upstream.intake.note_leaving() {
            return;
        }
        let id = upstream.announced.id.as_str();
        let announced = upstream.announced.phase;
        log::info!(event = "upstream_leaving_said", upstream = id, announced:? = announced; "an upstream says in an answer that it leaves");
        drop(upstreams);
        if announced == Phase::Ready {
            self.node.tell_peers(Message::Leaving(self.upstream_tag));
        }
    }

    /// Takes an answer into what is seen of a roll-out in its pool, if there is one.
    fn observe(&self, outcome: Outcome) {
        let took_ms = match outcome {
            Outcome::Good { took_ms } => Some(took_ms),
            Outcome::Failed | Outcome::Broken => None,
            // It has not run.
            Outcome::Refused | Outcome::Resting => return,
        };
        let mut rollouts = self.node.rollouts.lock();
        if !rollouts.is_running(&self.pool) {
            return;
        }
        let Some(rollout) = rollouts.of_mut(&self.pool) else {
            return;
        };
        let upstreams = self.node.upstreams.lock();
        let Some(upstream) = upstreams.get(self.upstream) else {
            return;
        };
        let answer = Answer {
            route: self.route,
            is_new: upstream.announced.version == rollout.order.target,
            took_ms,
            expected_ms: self.expected_ms,
        };
        drop(upstreams);
        if rollout.note(&answer) {
            let observed = rollouts.observed(Some(&self.pool));
            let message = Message::Observed(self.node.incarnation, observed);
            drop(rollouts);
            self.node.tell_peers(message);
        }
    }

    /// Notes that the upstream broke off, and tells the peers: it may be the request that did it.
    pub fn note_broken(&self, content: u64, now: TimeMs) {
        self.note(Outcome::Broken, now);
        let strike = Strike {
            content,
            upstream: self.upstream_tag,
        };
        if self.node.strikes.lock().note(strike, now) {
            self.node.tell_peers(Message::Strike(strike));
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(upstream) = self.node.upstreams.lock().get_mut(self.upstream) {
            upstream.own.running -= 1;
            upstream.own.unread_tokens -= self.unread_tokens;
            if upstream.own.running == 0 {
                upstream.waited_since = None;
            }
        }
    }
}
