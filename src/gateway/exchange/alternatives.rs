//! Looks up what a request that waits for a silent upstream would find elsewhere.
//!
//! A look-up takes and records nothing: neither an attempt nor a repeat is spent on it.

use std::sync::Arc;

use super::admission::Plan;
use super::attempts::Attempts;
use super::connecting;
use super::request_log::RequestLog;
use super::selection;
use super::silence::{self, Alternative, Decision, Silence};
use super::upstream_request::UpstreamRequest;
use crate::gateway::choose::{self, Choice, Criteria};
use crate::gateway::clock;
use crate::gateway::rollout::VersionFilter;
use crate::gateway::state::Gateway;
use crate::gateway::upstreams::UpstreamKey;
use crate::time::TimeMs;

/// Whether the attempt at the silent upstream is the last one that the route allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Remaining {
    NoAttempt,
    Attempts,
}

/// A request that waits for a silent upstream.
#[derive(Clone, Copy)]
pub(super) struct Waiting<'a> {
    pub node: &'a Arc<Gateway>,
    pub plan: &'a Plan,
    pub attempts: &'a Attempts,
    pub remaining: Remaining,
}

impl Waiting<'_> {
    /// Returns whether the request leaves its upstream, which is marked as silent; logs the first time that it stays.
    pub fn leaves(
        &self,
        upstream_request: &UpstreamRequest,
        silence: &Silence,
        stays: &mut Stays,
        request_log: &RequestLog,
    ) -> Option<Choice> {
        let now = clock::now();
        upstream_request.contact.record_silent(now);
        let proof_since = silence::proof_since(silence.since, now);
        let choice = self.find(upstream_request.upstream, proof_since, now);
        let alternative = Alternative {
            standing: choice.map(|choice| choice.standing),
            obstacle: self.obstacle(now),
        };
        match silence::decide(silence, alternative, now) {
            Decision::Leave => choice,
            Decision::Wait(reason) => {
                if stays.begin() {
                    request_log.record_stay(reason, now.since(silence.since), now);
                }
                None
            }
        }
    }

    /// Whether a connection to the other upstream is open or can be opened.
    pub async fn is_connected(&self, choice: &Choice) -> bool {
        connecting::is_connected(self.node, self.plan, choice.upstream).await
    }

    /// Returns why this node may not send the request to another upstream, if it may not.
    fn obstacle(&self, now: TimeMs) -> Option<&'static str> {
        let Self { node, plan, .. } = self;
        if self.remaining == Remaining::NoAttempt {
            return Some("attempts_used");
        }
        if self.attempts.has_too_many_undelivered() {
            return Some("undelivered");
        }
        if !plan.may_send(node, now) {
            return Some("stopping");
        }
        if node.crashes.lock().is_any_blocked(&plan.subjects, now) {
            return Some("blocked");
        }
        let budget = node.repeat_budget();
        let mut repeats = node.repeats.lock();
        let left = repeats.get_or_default(&plan.pool).remaining(&budget, now);
        (left < 1.0).then_some("over_budget")
    }

    /// Returns the upstream that would get the request if it left the silent one.
    fn find(&self, silent: UpstreamKey, proof_since: TimeMs, now: TimeMs) -> Option<Choice> {
        let Self {
            node,
            plan,
            attempts,
            ..
        } = self;
        let mut excluded = attempts.excluded().to_vec();
        excluded.push(silent);
        let settings = node.settings();
        let moment = selection::rollout_context(node, plan, attempts, now);
        // A copy, since a roll-out counts the requests that it is asked for.
        let mut rollout = node.rollouts.lock().get_mut(&plan.pool).cloned();
        let versions = match (attempts.begun_version(), &mut rollout, &moment) {
            (Some(version), Some(rollout), _) => {
                let day_ms = node.agreed_time_of_day(now).0;
                let is_admitted = rollout.admits_resumption(version, day_ms);
                is_admitted.then_some(VersionFilter::Begun(version))?
            }
            (Some(version), None, _) => VersionFilter::Begun(version),
            (None, Some(rollout), Some(moment)) => rollout.versions(moment),
            (None, _, _) => VersionFilter::Any,
        };
        let ask = Criteria {
            excluded: &excluded,
            versions,
            alive_since: Some(proof_since),
            ..selection::criteria(plan, attempts, &settings, node.pace(&plan.pool, now))
        };
        let upstreams = node.upstreams.lock();
        let prefixes = node.prefixes.lock();
        choose::choose(&upstreams, &prefixes, &ask, now)
    }
}

/// Whether a request is known to stay at a silent upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Stays(bool);

impl Stays {
    /// Returns true on the first call of a silence only.
    fn begin(&mut self) -> bool {
        !std::mem::replace(&mut self.0, true)
    }
}
