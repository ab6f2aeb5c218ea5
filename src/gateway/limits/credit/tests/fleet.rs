//! A fleet in memory whose asks, grants and reports are late or lost.

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use super::course::{Course, Outcome, RATE_PER_NODE_PER_S, Spread};
use super::*;
use crate::gateway::limits::credit::holder::RESEND_MS;
use crate::gateway::limits::quota::Admission;
use crate::gateway::num;

/// Interval and delay of the reports of admitted totals.
const REPORT_INTERVAL_MS: u64 = 200;
const REPORT_DELAY_MS: u64 = 50;

/// Interval between two updates of a node's leases.
const UPDATE_INTERVAL_MS: u64 = 200;

/// Largest fleet all of whose nodes hear all reports; in others only the owners do.
const MAX_FULLY_REPORTED: usize = 60;

/// Time for which callers keep to the same nodes.
const CLUMP_MS: u64 = 3_000;

/// Burst that conformant callers use, as time at the rate: what the bucket holds without the tolerance.
const CONFORMANT_BURST_S: f64 = 0.5;

#[derive(Debug)]
enum Payload {
    Ask(CreditAsk),
    Grant(CreditGrant),
    Report(Option<AdmittedTotal>),
}

#[derive(Debug)]
struct Delivery {
    from: usize,
    to: usize,
    payload: Payload,
}

#[derive(Debug)]
struct Node {
    leases: CreditLeases,
    quotas: Quotas,
}

/// A request that waits at a node.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    node: usize,
    ticket: Ticket,
    cost: f64,
    since_ms: u64,
}

/// Nodes that serve one team.
pub(super) struct Fleet {
    course: Course,
    pub team: Team,
    nodes: Vec<Node>,
    rng: SmallRng,
    /// What arrives in each millisecond.
    in_flight: Vec<Vec<Delivery>>,
    waiters: Vec<Waiter>,
    outcome: Outcome,
    /// Level of the bucket that conformant callers keep to.
    allowed: f64,
    clump: usize,
}

impl Fleet {
    pub fn new(course: Course) -> Self {
        let rate_per_s = RATE_PER_NODE_PER_S * num::to_f64(course.nodes as u64);
        let started_at = if course.faults.is_start {
            at(0)
        } else {
            TimeMs(0)
        };
        let node = |place: usize| {
            let mut quotas = Quotas::new(Some(WINDOW), place as u64, started_at);
            quotas.set_visibility(visibility(course.nodes));
            for peer in 0..course.nodes {
                quotas.record_contact(peer as u64, at(0));
            }
            Node {
                leases: CreditLeases::new(place as u64, at(0)),
                quotas,
            }
        };
        Self {
            team: team(rate_per_s),
            nodes: (0..course.nodes).map(node).collect(),
            rng: SmallRng::seed_from_u64(course.seed),
            in_flight: Vec::new(),
            waiters: Vec::new(),
            outcome: Outcome::default(),
            allowed: 0.0,
            clump: 0,
            course,
        }
    }

    pub fn run(mut self) -> (Outcome, Team) {
        for now_ms in 0..self.course.duration_ms {
            if self.course.faults.lowered_at == Some(now_ms) {
                self.team.rate_per_s = self.team.rate_per_s.map(|rate_per_s| rate_per_s / 10.0);
                self.team.burst /= 10.0;
            }
            self.outcome.by_ms.push(0.0);
            self.deliver(now_ms);
            self.end_waits(now_ms);
            self.serve(now_ms);
            self.report(now_ms);
            self.update(now_ms);
        }
        (self.outcome, self.team)
    }

    /// Returns the node that `node` takes for the owner.
    fn owner(&self, node: usize, now_ms: u64) -> usize {
        let (from, to) = self.course.faults.successor;
        let is_succeeded = (from..to).contains(&now_ms) && node != 0;
        let is_other = self.course.faults.has_two_owners && node % 2 == 1;
        usize::from(is_succeeded || is_other)
    }

    fn is_silent(&self, node: usize, now_ms: u64) -> bool {
        let (from, to) = self.course.faults.owner_silent;
        node == 0 && (from..to).contains(&now_ms)
    }

    fn send(&mut self, now_ms: u64, delay_ms: u64, delivery: Delivery) {
        let faults = self.course.faults;
        let is_cut = (faults.cut_from).is_some_and(|cut| delivery.from == 0 && delivery.to >= cut);
        let is_answer = matches!(delivery.payload, Payload::Grant(_));
        let is_lost = is_answer && self.rng.random_bool(faults.lost_answers);
        if is_cut || is_lost || self.is_silent(delivery.from, now_ms) {
            return;
        }
        let extra_ms = if is_answer { faults.answer_delay_ms } else { 0 };
        let due = usize::try_from(now_ms + delay_ms + extra_ms).expect("short");
        if self.in_flight.len() <= due {
            self.in_flight.resize_with(due + 1, Vec::new);
        }
        self.in_flight[due].push(delivery);
    }

    fn send_ask(&mut self, node: usize, ask: Option<CreditAsk>, now_ms: u64) {
        let Some(ask) = ask else {
            return;
        };
        self.outcome.asks += 1;
        let delivery = Delivery {
            from: node,
            to: self.owner(node, now_ms),
            payload: Payload::Ask(ask),
        };
        self.send(now_ms, self.course.one_way_ms, delivery);
    }

    fn deliver(&mut self, now_ms: u64) {
        let index = usize::try_from(now_ms).expect("short");
        let due = self.in_flight.get_mut(index).map(std::mem::take);
        for delivery in due.unwrap_or_default() {
            if self.is_silent(delivery.to, now_ms) {
                continue;
            }
            match delivery.payload {
                Payload::Ask(ask) => self.answer(delivery.to, delivery.from, ask, now_ms),
                Payload::Grant(grant) => self.apply(delivery.to, grant, now_ms),
                Payload::Report(total) => {
                    let node = &mut self.nodes[delivery.to];
                    let totals: Vec<AdmittedTotal> = total.into_iter().collect();
                    let from = delivery.from as u64;
                    let teams = std::slice::from_ref(&self.team);
                    let quotas = &mut node.quotas;
                    (node.leases).record_peer(from, &totals, teams, quotas, at(now_ms));
                }
            }
        }
    }

    fn answer(&mut self, owner: usize, from: usize, ask: CreditAsk, now_ms: u64) {
        let ask = CheckedAsk::try_from(ask).expect("valid amounts");
        let draw = self.rng.random_range(0.0..1.0);
        let node = &mut self.nodes[owner];
        let grant = (node.leases).answer(&ask, &self.team, &mut node.quotas, draw, at(now_ms));
        let standing = node.leases.standing(self.team.tag, at(now_ms));
        let outstanding = standing.and_then(|standing| standing.outstanding);
        if owner == 0 {
            let most = self.outcome.most_outstanding;
            self.outcome.most_outstanding = most.max(outstanding.unwrap_or(0.0));
        }
        if let Some(grant) = grant {
            self.outcome.denials += u32::from(grant.quiet_ms > 0);
            let delivery = Delivery {
                from: owner,
                to: from,
                payload: Payload::Grant(grant),
            };
            self.send(now_ms, self.course.one_way_ms, delivery);
        }
    }

    fn apply(&mut self, place: usize, grant: CreditGrant, now_ms: u64) {
        let grant = CheckedGrant::try_from(grant).expect("valid amounts");
        let node = &mut self.nodes[place];
        let settled = (node.leases).apply_grant(&grant, &self.team, &mut node.quotas, at(now_ms));
        if let Some(settled) = settled {
            self.settle(place, &settled, now_ms);
            let node = &mut self.nodes[place];
            let ask = (node.leases).next_ask(&self.team, &mut node.quotas, at(now_ms));
            self.send_ask(place, ask, now_ms);
        }
    }

    fn settle(&mut self, place: usize, settled: &[(Ticket, Verdict)], now_ms: u64) {
        for (ticket, verdict) in settled {
            let found = (self.waiters.iter())
                .position(|waiter| waiter.node == place && waiter.ticket == *ticket);
            let waiter = self.waiters.swap_remove(found.expect("a waiter"));
            let waited_ms = now_ms - waiter.since_ms;
            self.outcome.longest_wait_ms = self.outcome.longest_wait_ms.max(waited_ms);
            self.conclude(place, waiter.cost, *verdict, now_ms);
        }
    }

    fn end_waits(&mut self, now_ms: u64) {
        for waiter in self.waiters.clone() {
            let waited_ms = now_ms - waiter.since_ms;
            let is_waiting = (self.waiters.iter())
                .any(|other| other.node == waiter.node && other.ticket == waiter.ticket);
            match () {
                () if !is_waiting => {}
                () if waited_ms >= ANSWER_TIMEOUT_MS => {
                    let leases = &mut self.nodes[waiter.node].leases;
                    let settled = leases.give_up(&self.team, waiter.ticket, at(now_ms));
                    self.settle(waiter.node, &settled, now_ms);
                }
                () if waited_ms > 0 && waited_ms.is_multiple_of(RESEND_MS) => {
                    let leases = &mut self.nodes[waiter.node].leases;
                    let ask = leases.repeat_ask(&self.team, at(now_ms));
                    self.send_ask(waiter.node, ask, now_ms);
                }
                () => {}
            }
        }
    }

    fn conclude(&mut self, place: usize, cost: f64, verdict: Verdict, now_ms: u64) {
        let is_admitted = match verdict {
            Verdict::Admitted => true,
            Verdict::Refused(_) => false,
            Verdict::Unanswered => {
                self.outcome.fallbacks += 1;
                self.admit_by_part(place, cost, now_ms)
            }
        };
        self.count(cost, is_admitted);
    }

    fn admit_by_part(&mut self, place: usize, cost: f64, now_ms: u64) -> bool {
        let visibility = visibility(self.course.nodes);
        let quotas = &mut self.nodes[place].quotas;
        quotas.admit(&self.team, cost, visibility, at(now_ms)) == Admission::Admitted
    }

    fn count(&mut self, cost: f64, is_admitted: bool) {
        let outcome = &mut self.outcome;
        let least = self.course.costs.iter().copied().fold(f64::MAX, f64::min);
        outcome.asked += 1;
        outcome.refused += u32::from(!is_admitted);
        let kind = if cost <= least {
            &mut outcome.least
        } else {
            &mut outcome.greatest
        };
        kind.0 += 1;
        kind.1 += u32::from(!is_admitted);
        if is_admitted {
            *outcome.by_ms.last_mut().expect("a step") += cost;
        }
    }

    fn serve(&mut self, now_ms: u64) {
        let rate_per_s = self.team.rate_per_s.expect("a limit");
        let capacity = rate_per_s * CONFORMANT_BURST_S;
        self.allowed = (self.allowed + rate_per_s * 0.9 / 1_000.0).min(capacity);
        let count = num::to_f64(self.course.costs.len() as u64);
        let mean_cost = self.course.costs.iter().sum::<f64>() / count;
        let due = self.course.times * rate_per_s / mean_cost / 1_000.0;
        let requests =
            num::round_to_u64(due.floor()) + u64::from(self.rng.random_bool(due.fract()));
        if now_ms < self.course.begins_at_ms {
            return;
        }
        if now_ms.is_multiple_of(CLUMP_MS) {
            self.clump = self.rng.random_range(0..self.course.nodes);
        }
        for _request in 0..requests {
            let cost = self.course.costs[self.rng.random_range(0..self.course.costs.len())];
            if self.course.is_conformant && cost > self.allowed {
                continue;
            }
            self.allowed -= cost;
            let place = self.place();
            if !self.is_silent(place, now_ms) {
                self.arrive(place, cost, now_ms);
            }
        }
    }

    fn place(&mut self) -> usize {
        let nodes = self.course.nodes;
        match self.course.spread {
            Spread::Even => self.rng.random_range(0..nodes),
            Spread::Clumped => (self.clump + self.rng.random_range(0..nodes.div_ceil(20))) % nodes,
        }
    }

    fn arrive(&mut self, place: usize, cost: f64, now_ms: u64) {
        if self.course.nodes == 1 {
            let is_admitted = self.admit_by_part(place, cost, now_ms);
            return self.count(cost, is_admitted);
        }
        let is_owner = self.owner(place, now_ms) == place;
        let node = &mut self.nodes[place];
        if is_owner {
            let verdict = (node.leases).admit_owned(&self.team, cost, &mut node.quotas, at(now_ms));
            return self.conclude(place, cost, verdict, now_ms);
        }
        let (ticket, arrival) =
            (node.leases).arrive(&self.team, cost, &mut node.quotas, at(now_ms));
        let ask = (node.leases).next_ask(&self.team, &mut node.quotas, at(now_ms));
        self.send_ask(place, ask, now_ms);
        match arrival {
            Arrival::Decided(verdict) => self.conclude(place, cost, verdict, now_ms),
            Arrival::Waits => self.waiters.push(Waiter {
                node: place,
                ticket,
                cost,
                since_ms: now_ms,
            }),
        }
    }

    fn report(&mut self, now_ms: u64) {
        let nodes = self.course.nodes;
        let hearers = if nodes > MAX_FULLY_REPORTED { 2 } else { nodes };
        for from in 0..nodes {
            if now_ms % REPORT_INTERVAL_MS != from as u64 % REPORT_INTERVAL_MS {
                continue;
            }
            let total = self.nodes[from].quotas.own_total(&self.team, at(now_ms));
            for to in (0..hearers).filter(|to| *to != from) {
                let payload = Payload::Report(total);
                self.send(now_ms, REPORT_DELAY_MS, Delivery { from, to, payload });
            }
        }
    }

    fn update(&mut self, now_ms: u64) {
        if !now_ms.is_multiple_of(UPDATE_INTERVAL_MS) {
            return;
        }
        let teams = [self.team.clone()];
        for place in 0..self.course.nodes {
            if self.is_silent(place, now_ms) {
                continue;
            }
            let is_owner = self.owner(place, now_ms) == place;
            let node = &mut self.nodes[place];
            (node.leases).update(&teams, |_team| is_owner, &mut node.quotas, at(now_ms));
        }
    }
}
