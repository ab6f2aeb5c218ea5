//! Retry budgets per team and pool, filled in proportion to successes.
//!
//! The budget belongs to the pool rather than to a host: successes on healthy hosts pay for retries
//! of requests that failed on a broken one, and when the whole pool fails, nothing pays for
//! retries.

use parking_lot::Mutex;

use crate::keys::{PoolKey, TeamKey};
use crate::time::TimeMs;
use crate::upstreams::{Delivery, UpstreamError};

/// Number of shards of the budget table; a power of two.
const SHARDS: usize = 16;

/// Limits of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Retries that one success adds to the budget.
    pub retries_per_success: f64,
    /// Retries added each second without any success, so that a team with few requests can retry at
    /// all.
    pub min_retries_per_second: f64,
    /// Maximum number of retries that the budget can accumulate.
    pub burst: f64,
    /// Maximum attempts of one request, the first included.
    pub max_attempts: u32,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            retries_per_success: 0.08,
            min_retries_per_second: 0.1,
            burst: 10.0,
            max_attempts: 4,
        }
    }
}

/// What another attempt of a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPurpose {
    /// It repeats an attempt from which the caller has received nothing.
    Repeat,
    /// It resumes a stream of which the caller holds a part.
    ///
    /// It can overdraw the budget, because refusing it would lose an accepted request. The overdraft
    /// reduces the retries of requests that have received nothing yet.
    Resume,
    /// It replaces an attempt on a host that the platform has reclaimed.
    ///
    /// It is neither bounded by the budget nor charged to it. The budget protects upstreams that
    /// fail; a reclaimed host gets no further attempt, so no request can be replaced more often than
    /// hosts are reclaimed under it.
    Replace,
}

/// A request whose attempt failed.
#[derive(Clone, Copy, Debug)]
pub struct RetryRequest<'a> {
    /// The error of the failed attempt.
    pub error: &'a UpstreamError,
    /// Whether the request may run more than once.
    pub delivery: Delivery,
    /// Attempts made so far, the failed one included.
    pub attempts: u32,
    /// What another attempt is for.
    pub purpose: RetryPurpose,
    /// The request's deadline.
    pub deadline_ms: TimeMs,
    /// Expected duration of another attempt.
    pub expected_ms: u64,
}

impl RetryRequest<'_> {
    /// Decides on another attempt where no budget applies, because the team or the host of the failed
    /// one is no longer known.
    ///
    /// A configuration without the team, or a platform's list without the host, does not make it safe
    /// to run a request twice.
    #[must_use]
    pub fn decide_without_budget(&self) -> RetryDecision {
        if self.may_not_run_again() {
            RetryDecision::No(RetryDenial::MayHaveRun)
        } else {
            RetryDecision::Now
        }
    }

    /// Returns whether the failed attempt may have run and the request must not run twice.
    fn may_not_run_again(&self) -> bool {
        self.delivery == Delivery::AtMostOnce && !self.error.is_not_started()
    }
}

/// The decision on a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request is retried now.
    Now,
    /// The request is retried at this time; the budget is already charged.
    At(TimeMs),
    /// The request is not retried; its final answer is sent immediately.
    No(RetryDenial),
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDenial {
    /// The attempt may have run, and the request must not run twice.
    MayHaveRun,
    /// The request has used all its attempts.
    AttemptsExhausted,
    /// The retry budget is exhausted.
    BudgetExhausted,
    /// Another attempt would end after the deadline.
    DeadlineNear,
}

/// The retry budget of one team on one pool.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: f64,
    as_of_ms: TimeMs,
}

impl RetryBudget {
    /// Creates a budget that holds one retry.
    #[must_use]
    pub fn new(now: TimeMs) -> Self {
        Self {
            balance: 1.0,
            as_of_ms: now,
        }
    }

    /// Records a success, which adds to the budget.
    pub fn record_success(&mut self, policy: &RetryPolicy, now: TimeMs) {
        self.refill(policy, now);
        self.deposit(policy, policy.retries_per_success);
    }

    /// Decides on another attempt and charges the budget if it is allowed.
    pub fn may_retry(
        &mut self,
        policy: &RetryPolicy,
        request: &RetryRequest<'_>,
        now: TimeMs,
    ) -> RetryDecision {
        self.refill(policy, now);
        match self.earliest_attempt(policy, request, now) {
            _ if request.may_not_run_again() => RetryDecision::No(RetryDenial::MayHaveRun),
            _ if request.purpose == RetryPurpose::Replace => RetryDecision::Now,
            _ if request.attempts >= policy.max_attempts => {
                RetryDecision::No(RetryDenial::AttemptsExhausted)
            }
            None => RetryDecision::No(RetryDenial::BudgetExhausted),
            Some(at) if at.after(request.expected_ms) > request.deadline_ms => {
                RetryDecision::No(RetryDenial::DeadlineNear)
            }
            Some(at) => {
                self.balance -= 1.0;
                if at <= now {
                    RetryDecision::Now
                } else {
                    RetryDecision::At(at)
                }
            }
        }
    }

    /// Takes one retry for a hedged call; returns whether one was available.
    pub fn try_take(&mut self, policy: &RetryPolicy, now: TimeMs) -> bool {
        self.refill(policy, now);
        let is_available = self.balance >= 1.0;
        if is_available {
            self.balance -= 1.0;
        }
        is_available
    }

    /// Returns when the budget allows an attempt: now, when the minimum rate has refilled it, or
    /// never.
    fn earliest_attempt(
        &self,
        policy: &RetryPolicy,
        request: &RetryRequest<'_>,
        now: TimeMs,
    ) -> Option<TimeMs> {
        match self.balance {
            balance if balance >= 1.0 => Some(now),
            // The loss of many streams at once overdraws the budget without bound here; each
            // request does so at most `max_attempts` times, and only after its upstream had been
            // serving it.
            _ if request.purpose == RetryPurpose::Resume => Some(now),
            // Only one retry at a time may wait for the minimum rate. If more were reserved,
            // requests would queue for a broken pool until their deadlines.
            balance if balance >= 0.0 && policy.min_retries_per_second > 0.0 => {
                let wait_ms = (1.0 - balance) * 1_000.0 / policy.min_retries_per_second;
                Some(now.after(ceil_ms(wait_ms)))
            }
            _ => None,
        }
    }

    fn refill(&mut self, policy: &RetryPolicy, now: TimeMs) {
        let passed_ms = now.since(self.as_of_ms);
        self.as_of_ms = self.as_of_ms.max(now);
        let seconds = f64::from(u32::try_from(passed_ms).unwrap_or(u32::MAX)) / 1_000.0;
        self.deposit(policy, seconds * policy.min_retries_per_second);
    }

    fn deposit(&mut self, policy: &RetryPolicy, amount: f64) {
        self.balance = (self.balance + amount).min(policy.burst);
        // The debt from lost streams is limited to `burst`; otherwise one lost failure domain would
        // prevent retries for hours.
        self.balance = self.balance.max(-policy.burst);
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of u32 first"
)]
fn ceil_ms(duration_ms: f64) -> u64 {
    u64::from(duration_ms.ceil().clamp(0.0, f64::from(u32::MAX)) as u32)
}

type Row = ((TeamKey, PoolKey), RetryBudget);

/// Budgets by team and pool, in shards with one lock each.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    policy: RetryPolicy,
    shards: [Mutex<Vec<Row>>; SHARDS],
}

impl RetryBudgets {
    /// Creates an empty table of budgets under a policy.
    #[must_use]
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            shards: Default::default(),
        }
    }

    /// Records a success, which adds to the budget.
    pub fn record_success(&self, team: TeamKey, pool: PoolKey, now: TimeMs) {
        self.with(team, pool, now, |budget| {
            budget.record_success(&self.policy, now);
        });
    }

    /// Decides on another attempt and charges the budget if it is allowed.
    pub fn may_retry(
        &self,
        team: TeamKey,
        pool: PoolKey,
        request: &RetryRequest<'_>,
        now: TimeMs,
    ) -> RetryDecision {
        self.with(team, pool, now, |budget| {
            budget.may_retry(&self.policy, request, now)
        })
    }

    /// Takes one retry for a hedged call; returns whether one was available.
    pub fn try_take(&self, team: TeamKey, pool: PoolKey, now: TimeMs) -> bool {
        self.with(team, pool, now, |budget| budget.try_take(&self.policy, now))
    }

    fn with<T>(
        &self,
        team: TeamKey,
        pool: PoolKey,
        now: TimeMs,
        update: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let key = (team, pool);
        let mut shard = self.shards[(team.index() ^ (pool.index() << 2)) % SHARDS].lock();
        let index = match shard.binary_search_by_key(&key, |row| row.0) {
            Ok(index) => index,
            Err(index) => {
                shard.insert(index, (key, RetryBudget::new(now)));
                index
            }
        };
        update(&mut shard[index].1)
    }
}

#[cfg(test)]
mod tests;
