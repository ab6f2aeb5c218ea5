//! Admits requests by leased credit; those that it does not cover wait for the owner's answer.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::oneshot;

use super::holder::RESEND_MS;
use super::transfer::send_ask;
use super::{ANSWER_TIMEOUT_MS, Arrival, CreditLeases, LEASE_MS, Ticket, Verdict};
use crate::gateway::catalog::Team;
use crate::gateway::clock;
use crate::gateway::limits::quota::{Admission, FleetVisibility};
use crate::gateway::num;
use crate::gateway::state::Gateway;
use crate::time::TimeMs;

/// The leases of a node and the requests that wait for credit.
#[derive(Debug)]
pub(crate) struct Credit {
    pub leases: CreditLeases,
    waiters: Vec<Waiter>,
}

/// A request that waits for a verdict.
#[derive(Debug)]
struct Waiter {
    ticket: Ticket,
    cost: f64,
    since: TimeMs,
    verdict: oneshot::Sender<Verdict>,
}

/// What decided on a request of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CreditSource {
    /// The team has no limit, or this node knows no other.
    Undivided,
    /// This node is the team's owner.
    Owned,
    /// Credit that was at hand.
    Held,
    /// An earlier denial of the owner.
    Denied,
    /// The owner's answer.
    Asked,
    /// This node's own part, as the owner did not answer.
    Fallback,
}

/// The decision on a request, and how it was taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Decision {
    pub admission: Admission,
    pub source: CreditSource,
    /// Time for which the request waited for credit.
    pub wait_ms: u64,
}

impl CreditSource {
    /// Returns the source as a log field and metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Undivided => "undivided",
            Self::Owned => "owned",
            Self::Held => "held",
            Self::Denied => "denied",
            Self::Asked => "asked",
            Self::Fallback => "fallback",
        }
    }
}

impl Credit {
    /// Creates the state of a node that holds no credit.
    pub fn new(incarnation: u64, now: TimeMs) -> Self {
        Self {
            leases: CreditLeases::new(incarnation, now),
            waiters: Vec::new(),
        }
    }

    fn register(&mut self, ticket: Ticket, cost: f64, now: TimeMs) -> oneshot::Receiver<Verdict> {
        let (verdict, receiver) = oneshot::channel();
        self.waiters.push(Waiter {
            ticket,
            cost,
            since: now,
            verdict,
        });
        receiver
    }

    /// Removes requests whose callers left before any answer.
    pub(super) fn remove_abandoned(&mut self, now: TimeMs) {
        (self.waiters).retain(|waiter| now.since(waiter.since) < LEASE_MS);
    }

    /// Passes verdicts on; returns the cost of admitted requests whose callers have left.
    pub(super) fn deliver(&mut self, settled: &[(Ticket, Verdict)]) -> f64 {
        let mut abandoned = 0.0;
        for (ticket, verdict) in settled {
            let found = (self.waiters.iter()).position(|waiter| waiter.ticket == *ticket);
            let Some(waiter) = found.map(|index| self.waiters.swap_remove(index)) else {
                continue;
            };
            let is_received = waiter.verdict.send(*verdict).is_ok();
            if !is_received && *verdict == Verdict::Admitted {
                abandoned += waiter.cost;
            }
        }
        abandoned
    }
}

/// Decides on a request of a team; waits at most once for the team's owner.
pub(crate) async fn admit(node: &Gateway, team: &Team, cost: f64, now: TimeMs) -> Decision {
    let (visibility, owner) = {
        let peers = node.peers.lock();
        (peers.visibility(now), peers.quota_collector(team.tag, now))
    };
    if team.rate_per_s.is_none() || visibility.known <= 1 {
        let admission = node.quotas.lock().admit(team, cost, visibility, now);
        return Decision::at_once(admission, CreditSource::Undivided);
    }
    update_view(node, visibility, now);
    if owner.is_none() && !visibility.sees_half() {
        // A node that hears few of the others is not the owner because it hears no better one.
        let admission = node.quotas.lock().admit(team, cost, visibility, now);
        return Decision::at_once(admission, CreditSource::Fallback);
    }
    let Some(owner) = owner else {
        let verdict = {
            let mut credit = node.credit.lock();
            let mut quotas = node.quotas.lock();
            credit.leases.admit_owned(team, cost, &mut quotas, now)
        };
        let admission = admission(node, team, cost, verdict, visibility, now);
        return Decision::at_once(admission, CreditSource::Owned);
    };
    let (arrival, ticket, receiver, ask) = {
        let mut credit = node.credit.lock();
        let mut quotas = node.quotas.lock();
        let (ticket, arrival) = credit.leases.arrive(team, cost, &mut quotas, now);
        let is_waiting = arrival == Arrival::Waits;
        let receiver = is_waiting.then(|| credit.register(ticket, cost, now));
        let ask = credit.leases.next_ask(team, &mut quotas, now);
        (arrival, ticket, receiver, ask)
    };
    send_ask(node, owner, ask);
    let (verdict, source) = match (arrival, receiver) {
        (Arrival::Decided(verdict), _) => (verdict, source_at_once(verdict)),
        (Arrival::Waits, Some(receiver)) => {
            let verdict = wait(node, team, owner, ticket, receiver, now).await;
            (verdict, source_after_wait(verdict))
        }
        (Arrival::Waits, None) => (Verdict::Unanswered, CreditSource::Fallback),
    };
    let end = clock::now();
    let wait_ms = end.since(now);
    metrics::histogram!("teaselline_credit_wait_ms").record(num::to_f64(wait_ms));
    Decision {
        admission: admission(node, team, cost, verdict, visibility, end),
        source,
        wait_ms,
    }
}

/// Has the buckets know the nodes that share the limits, and whether this node was frozen before.
fn update_view(node: &Gateway, visibility: FleetVisibility, now: TimeMs) {
    let mut credit = node.credit.lock();
    let mut quotas = node.quotas.lock();
    credit.leases.detect_freeze(&mut quotas, now);
    quotas.set_visibility(visibility);
}

impl Decision {
    fn at_once(admission: Admission, source: CreditSource) -> Self {
        Self {
            admission,
            source,
            wait_ms: 0,
        }
    }
}

fn source_at_once(verdict: Verdict) -> CreditSource {
    match verdict {
        Verdict::Admitted => CreditSource::Held,
        Verdict::Refused(_) => CreditSource::Denied,
        Verdict::Unanswered => CreditSource::Fallback,
    }
}

fn source_after_wait(verdict: Verdict) -> CreditSource {
    match verdict {
        Verdict::Admitted | Verdict::Refused(_) => CreditSource::Asked,
        Verdict::Unanswered => CreditSource::Fallback,
    }
}

/// Returns the admission for a verdict; without an answer the node's own part decides.
fn admission(
    node: &Gateway,
    team: &Team,
    cost: f64,
    verdict: Verdict,
    visibility: FleetVisibility,
    now: TimeMs,
) -> Admission {
    let mut quotas = node.quotas.lock();
    match verdict {
        Verdict::Admitted => Admission::Admitted,
        Verdict::Refused(shortage) => {
            Admission::Over(quotas.credit_shortfall(team, &shortage, visibility, now))
        }
        Verdict::Unanswered => {
            metrics::counter!("teaselline_credit_fallbacks_total").increment(1);
            quotas.admit(team, cost, visibility, now)
        }
    }
}

/// Waits for the verdict on a request and repeats the ask, which may have been lost.
async fn wait(
    node: &Gateway,
    team: &Team,
    owner: SocketAddr,
    ticket: Ticket,
    mut receiver: oneshot::Receiver<Verdict>,
    since: TimeMs,
) -> Verdict {
    let interval = Duration::from_millis(RESEND_MS);
    loop {
        match tokio::time::timeout(interval, &mut receiver).await {
            Ok(Ok(verdict)) => return verdict,
            Ok(Err(_closed)) => return Verdict::Unanswered,
            Err(_elapsed) if clock::now().since(since) >= ANSWER_TIMEOUT_MS => {
                give_up(node, team, owner, ticket);
                return receiver.try_recv().unwrap_or(Verdict::Unanswered);
            }
            Err(_elapsed) => {
                let ask = (node.credit.lock().leases).repeat_ask(team, clock::now());
                send_ask(node, owner, ask);
            }
        }
    }
}

fn give_up(node: &Gateway, team: &Team, owner: SocketAddr, ticket: Ticket) {
    let mut credit = node.credit.lock();
    let was_unanswered = credit.leases.is_unanswered(team.tag);
    let settled = credit.leases.give_up(team, ticket, clock::now());
    credit.deliver(&settled);
    if !was_unanswered && credit.leases.is_unanswered(team.tag) {
        log::info!(event = "credit_owner_silent", team = team.name.as_str(), owner:% = owner; "the owner of a team's limit does not answer; this node spends its own part");
    }
}
