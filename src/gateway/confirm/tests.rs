use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::super::catalog::Catalog;
use super::super::contact::StoreContact;
use super::super::in_force::{Confirmation, InForce};
use super::super::peers::tests::{member, pulse};
use super::super::peers::{Member, Peers};
use super::super::place::tests::at;
use super::super::questions::PeerQueries;
use super::super::rank;
use super::*;
use crate::time::TimeMs;

/// How long a key that was taken away may work.
const REVOKE_MS: u64 = 5_000;

/// Between two steps of the simulation.
const STEP_MS: u64 = 200;

/// Between two pulses of a node, as at 195 nodes.
const PULSE_MS: u64 = 1_170;

/// The simulation begins then.
const START: u64 = 100_000;

#[derive(Debug)]
struct Node {
    peers: Peers,
    in_force: InForce,
    contact: StoreContact,
    queries: PeerQueries,
    started_at: TimeMs,
    /// When it asked the store, how long it lets it wait, and when it gives up.
    pending: Option<(TimeMs, u64, TimeMs)>,
    pulses_at: u64,
    /// It does nothing before then.
    awake_at: TimeMs,
    is_turned_away: bool,
}

impl Node {
    fn standing(&self, now: TimeMs) -> Standing {
        let was_confirmed = self.in_force.current_at > TimeMs(0);
        Standing {
            age_ms: was_confirmed.then(|| now.since(self.in_force.current_at)),
            place: rank::place_in_domain(&self.peers, self.contact.reach(now), now),
            failed_ms: self.contact.failed_ms(now),
            running_ms: now.since(self.started_at),
            is_behind: self.in_force.is_behind(),
            is_outdated: self.in_force.is_outdated(),
        }
    }
}

/// Nodes, a store and datagrams between them, without a network.
#[derive(Debug)]
struct Fleet {
    nodes: Vec<Node>,
    rng: SmallRng,
    now: TimeMs,
    /// Where the operators' records end in the store.
    store_end: u64,
    store_answers: bool,
    calls: usize,
    /// Datagrams on their way: when they arrive, at whom, what.
    answers: Vec<(TimeMs, usize, Confirmation)>,
    /// Longest that a datagram may take.
    way_ms: u64,
}

fn document() -> InForce {
    let catalog = Catalog {
        version: 1,
        ..Catalog::default()
    };
    InForce {
        catalog: std::sync::Arc::new(catalog),
        ..InForce::default()
    }
}

fn address(place: usize) -> SocketAddr {
    let port = u16::try_from(place).expect("few nodes");
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Fleet {
    fn new(nodes: usize, domains: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let members: Vec<Member> = (0..nodes)
            .map(|place| Member {
                gossip: address(place),
                failure_domain: format!("domain-{}", place % domains),
                capacity_per_s: if place < nodes / 10 { 160.0 } else { 40.0 },
                ..member(&format!("node-{place:03}"), 1)
            })
            .collect();
        let nodes = (members.iter())
            .map(|own| {
                let mut peers = Peers::new(own.clone());
                for other in &members {
                    peers.introduce(other.clone(), TimeMs(START));
                }
                Node {
                    peers,
                    in_force: document(),
                    contact: StoreContact::default(),
                    queries: PeerQueries::default(),
                    started_at: TimeMs(START),
                    pending: None,
                    pulses_at: START + rng.random_range(0..PULSE_MS),
                    awake_at: TimeMs(0),
                    is_turned_away: false,
                }
            })
            .collect();
        Self {
            nodes,
            rng,
            now: TimeMs(START),
            store_end: 1,
            store_answers: true,
            calls: 0,
            answers: Vec::new(),
            way_ms: 20,
        }
    }

    fn run(&mut self, for_ms: u64) {
        let until = self.now.after(for_ms);
        while self.now < until {
            self.now = self.now.after(STEP_MS);
            self.pulse();
            self.deliver();
            for place in 0..self.nodes.len() {
                if self.nodes[place].awake_at <= self.now {
                    self.read(place);
                    self.ask(place);
                }
            }
        }
    }

    fn pulse(&mut self) {
        for place in 0..self.nodes.len() {
            let node = &mut self.nodes[place];
            if node.pulses_at > self.now.0 || node.awake_at > self.now {
                continue;
            }
            node.pulses_at = self.now.0 + PULSE_MS;
            let mut told = pulse(&node.peers.own().name, 0);
            told.member = node.peers.own().clone();
            told.interval_ms = PULSE_MS;
            told.store = node.contact.reach(self.now);
            for other in self
                .nodes
                .iter_mut()
                .filter(|other| other.awake_at <= self.now)
            {
                other.peers.note_pulse(&told, self.now);
            }
        }
    }

    fn read(&mut self, place: usize) {
        let (now, store_end) = (self.now, at(self.store_end));
        let answers = self.store_answers && !self.nodes[place].is_turned_away;
        let node = &mut self.nodes[place];
        match node.pending {
            Some((asked_at, _wait_ms, _)) if answers && node.in_force.end < store_end => {
                node.contact.note(true, now);
                node.in_force.confirm(store_end, asked_at);
                node.in_force.known_end = store_end;
                node.pending = None;
            }
            Some((asked_at, wait_ms, _)) if answers && now >= asked_at.after(wait_ms) => {
                node.contact.note(true, now);
                node.in_force.confirm(store_end, asked_at.after(wait_ms));
                node.in_force.known_end = store_end;
                node.pending = None;
            }
            Some((_asked_at, _wait_ms, gives_up_at)) if now >= gives_up_at => {
                node.contact.note(false, now);
                node.pending = None;
            }
            Some(_waiting) => {}
            None => {
                let standing = node.standing(now);
                let wait_ms = match reading(&standing) {
                    Reading::Nothing => return,
                    Reading::Now => 0,
                    Reading::Waiting => CONFIRM_WAIT_MS,
                };
                self.calls += 1;
                node.pending = Some((now, wait_ms, now.after(wait_ms + 800)));
            }
        }
    }

    fn ask(&mut self, place: usize) {
        let now = self.now;
        let node = &mut self.nodes[place];
        let standing = node.standing(now);
        if !asks(&standing) {
            node.queries.reset();
            return;
        }
        let asked = node.queries.next_peer(&node.peers, now);
        let question = node.in_force.question(now);
        let Some(asked) = asked.map(|address| usize::from(address.port())) else {
            return;
        };
        let there = self.now.after(self.rng.random_range(0..=self.way_ms));
        let back = there.after(self.rng.random_range(0..=self.way_ms));
        if self.nodes[asked].awake_at > there {
            return;
        }
        let answer = self.nodes[asked].in_force.confirmation(&question, there);
        self.answers
            .extend(answer.map(|answer| (back, place, answer)));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = (self.answers.drain(..))
            .partition(|(at, place, _)| *at <= now && self.nodes[*place].awake_at <= now);
        self.answers = rest;
        for (_at, place, answer) in due {
            self.nodes[place].in_force.confirmed_by_peer(&answer, now);
        }
    }

    /// Takes a key away; gives the end that a node must have read to know.
    fn revoke(&mut self) -> u64 {
        self.store_end += 1;
        self.store_end
    }

    fn fresh(&self) -> usize {
        let fresh = self.nodes.iter().filter(|node| self.is_fresh(node));
        fresh.count()
    }

    fn is_fresh(&self, node: &Node) -> bool {
        node.in_force.is_fresh(REVOKE_MS, self.now)
    }

    /// Runs on, and checks all the while that no node accepts keys that were taken away before `end`
    /// for longer than allowed.
    fn run_after_revocation(&mut self, end: u64, for_ms: u64) {
        let acknowledged_at = self.now;
        let until = self.now.after(for_ms);
        while self.now < until {
            self.run(STEP_MS);
            let is_over = self.now.since(acknowledged_at) >= REVOKE_MS;
            let late = (self.nodes.iter())
                .filter(|node| node.awake_at <= self.now && node.in_force.end < at(end))
                .find(|node| self.is_fresh(node));
            assert!(
                late.is_none() || !is_over,
                "at {:?} after {acknowledged_at:?}: {:?}",
                self.now,
                late.map(|node| (&node.peers.own().name, &node.in_force))
            );
        }
    }

    fn confirming(&self) -> Vec<usize> {
        let places = 0..self.nodes.len();
        places
            .filter(|place| {
                let node = &self.nodes[*place];
                rank::place_in_domain(&node.peers, node.contact.reach(self.now), self.now) == 0
            })
            .collect()
    }
}

/// Symptom: 195 nodes make some 100 calls a second to the store, at a tenth of what requests earn.
/// Sequence: nothing happens; each node confirms its configuration by a call each two seconds.
/// Cause: each node asked the store itself.
///
/// Calls follow the failure domains: in steady state each makes one in two seconds.
#[test]
fn calls_follow_the_failure_domains_and_not_the_nodes() {
    for (nodes, domains) in [(9, 4), (87, 4), (195, 6), (340, 18)] {
        let mut fleet = Fleet::new(nodes, domains, 1);
        fleet.run(8_000);
        assert_eq!(fleet.fresh(), nodes);
        let before = fleet.calls;
        fleet.run(10_000);
        assert_eq!(fleet.fresh(), nodes);
        let calls = fleet.calls - before;
        assert!(calls <= domains * 6, "{calls} calls by {nodes} nodes");
    }
}

/// Symptom: a third of the nodes refuse all callers with keys for as long as the store turns them away.
/// Sequence: the store turns them away for nine seconds and serves the others.
/// Cause: only the store could confirm that a configuration is current.
#[test]
fn nodes_that_the_store_turns_away_go_on_by_what_peers_confirm() {
    let mut fleet = Fleet::new(195, 6, 2);
    fleet.run(8_000);
    for place in (0..195).step_by(3) {
        fleet.nodes[place].is_turned_away = true;
    }
    let before = fleet.calls;
    for _step in 0..45 {
        fleet.run(STEP_MS);
        assert_eq!(fleet.fresh(), 195, "at {:?}", fleet.now);
    }
    let calls = fleet.calls - before;
    assert!(calls <= 200, "{calls} calls in nine seconds");
}

/// Symptom: thousands of calls while the store is away.
/// Sequence: the store answers nobody for five seconds.
/// Cause: each node tried again some times a second, and none of them could have gone on.
///
/// Two calls a node are what it takes if each tries once while the store is away and once when it is
/// back.
#[test]
fn few_nodes_ask_a_store_that_is_away_and_all_know_when_it_is_back() {
    let mut fleet = Fleet::new(195, 6, 3);
    fleet.run(8_000);
    let before = fleet.calls;
    fleet.store_answers = false;
    fleet.run(5_000);
    fleet.store_answers = true;
    fleet.run(2_500);
    assert_eq!(fleet.fresh(), 195);
    let calls = fleet.calls - before;
    assert!(calls <= 2 * 195, "{calls} calls");
}

/// Symptom: a key works for longer than allowed after it was taken away.
/// Sequence: any mix of nodes that are frozen or turned away, all that confirm killed at once,
/// datagrams that take up to three seconds, and a key that is taken away at any moment of it.
/// Cause: one that would break the bound: news from a peer taken to be newer than it is.
#[test]
fn no_key_works_for_longer_than_allowed_in_any_of_many_schedules() {
    for seed in 0..12 {
        let mut fleet = Fleet::new(40, 4, seed);
        fleet.run(6_000);
        fleet.way_ms = [20, 800, 3_000][usize::try_from(seed).expect("small") % 3];
        for place in 0..40 {
            let node = &mut fleet.nodes[place];
            node.is_turned_away = fleet.rng.random_bool(0.33);
            if fleet.rng.random_bool(0.2) {
                node.awake_at = fleet.now.after(fleet.rng.random_range(500..6_000));
            }
        }
        if seed % 2 == 0 {
            for place in fleet.confirming() {
                fleet.nodes[place].awake_at = fleet.now.after(4_000);
            }
        }
        let settle_ms = fleet.rng.random_range(0..3_000);
        fleet.run(settle_ms);
        let end = fleet.revoke();
        fleet.run_after_revocation(end, 10_000);
    }
}

#[test]
fn a_node_that_is_cut_off_from_its_peers_asks_the_store() {
    let mut fleet = Fleet::new(12, 3, 5);
    fleet.run(6_000);
    fleet.nodes[7].peers = Peers::new(fleet.nodes[7].peers.own().clone());
    let end = fleet.revoke();
    fleet.run_after_revocation(end, STEP_MS);
    for _step in 0..30 {
        // Nobody is heard, so that what is heard of pulses is taken out again.
        fleet.nodes[7].peers = Peers::new(fleet.nodes[7].peers.own().clone());
        fleet.run_after_revocation(end, STEP_MS);
        assert!(fleet.is_fresh(&fleet.nodes[7]));
    }
}
