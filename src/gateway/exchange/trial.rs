//! What has been tried with one request, and how it ends if nothing more is tried.

use super::admit::Plan;
use crate::gateway::refusal::Refusal;
use crate::gateway::upstreams::UpstreamKey;
use crate::time::TimeMs;

/// Upstreams that are tried in vain, without one that may have run the request.
///
/// Each takes up to a connect timeout; after so many, the others are as unlikely to take it.
const MOST_VAIN: usize = 4;

/// When callers come back to a pool that turned them away: a plain call's place is free in a
/// few tens of milliseconds.
const PLAIN_RETRY_MS: u64 = 80;

/// When callers come back to engines that turned them away.
const ENGINE_RETRY_MS: u64 = 400;

/// What has been tried with one request.
#[derive(Debug, Default)]
pub(super) struct Trial {
    /// Upstreams that must not get it again.
    excluded: Vec<UpstreamKey>,
    /// Upstreams that got it, run or not.
    sends: u32,
    /// Upstreams that may have run it.
    runs: u32,
    /// Upstreams that could not be reached or did not take it.
    vain: usize,
    /// Whether it counts among its pool's requests.
    is_counted: bool,
}

impl Trial {
    /// Upstreams that may have run the request.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Tells whether the request has to be counted among its pool's requests, once.
    ///
    /// A first upstream that cannot be reached got nothing, so that the next one is the first again;
    /// counted for each of them, a request would pay for repeats several times, and more engines would
    /// be ordered than are asked for, just while some cannot be reached.
    pub fn take_count(&mut self) -> bool {
        !std::mem::replace(&mut self.is_counted, true)
    }

    /// Notes that a stream began to run at an upstream.
    pub fn note_run(&mut self) {
        self.runs += 1;
    }

    /// Notes that an upstream must not get the request again.
    pub fn exclude(&mut self, upstream: UpstreamKey) {
        self.excluded.push(upstream);
    }

    /// Upstreams that must not get it again.
    pub fn excluded(&self) -> &[UpstreamKey] {
        &self.excluded
    }

    /// Upstreams that got it, run or not.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Notes that an upstream got it.
    pub fn note_send(&mut self) {
        self.sends += 1;
    }

    /// Notes that an upstream could not be reached or did not take it.
    pub fn note_vain(&mut self) {
        self.vain += 1;
    }

    /// Whether so many upstreams were tried in vain that the others are not.
    pub fn is_vain(&self) -> bool {
        self.vain >= MOST_VAIN
    }

    /// How a request ends that is not sent again.
    pub fn unanswered(&self, plan: &Plan, now: TimeMs) -> Refusal {
        let is_late = now >= plan.limit_at;
        match self.runs {
            0 if is_late => Refusal::NotSentInTime,
            0 => Refusal::NoUpstream {
                retry_after_ms: retry_after_ms(plan),
            },
            _ if is_late => Refusal::AnswerTimeout,
            _ => Refusal::NoAnswer,
        }
    }
}

/// When the caller of a request should come back that its pool does not take now.
pub(super) fn retry_after_ms(plan: &Plan) -> u64 {
    match plan.head.prompt {
        Some(_) => ENGINE_RETRY_MS,
        None => PLAIN_RETRY_MS,
    }
}

#[cfg(test)]
mod tests;
