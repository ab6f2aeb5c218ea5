use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::super::active_configuration::{ActiveConfiguration, Confirmation};
use super::super::catalog::Catalog;
use super::super::log_position::tests::at;
use super::super::messages::Member;
use super::super::peer_queries::PeerQueries;
use super::super::peers::Peers;
use super::super::peers::tests::{heartbeat, member};
use super::super::rank;
use super::super::store_contact::StoreContact;
use super::*;
use crate::time::TimeMs;

/// Time for which a revoked key may be accepted.
const REVOKE_MS: u64 = 5_000;

/// Step of the simulation.
const STEP_MS: u64 = 200;

/// Heartbeat interval of a node, as at 195 nodes.
const HEARTBEAT_INTERVAL_MS: u64 = 1_170;

/// Time at which the simulation begins.
const START: u64 = 100_000;

#[derive(Debug)]
struct Node {
    peers: Peers,
    in_force: ActiveConfiguration,
    contact: StoreContact,
    queries: PeerQueries,
    started_at: TimeMs,
    /// Time at which a store read was sent, its long-poll time, and its timeout.
    pending: Option<(TimeMs, u64, TimeMs)>,
    heartbeat_at: u64,
    /// The node is frozen until this time.
    frozen_until: TimeMs,
    is_refused: bool,
}

impl Node {
    fn state(&self, now: TimeMs) -> ConfirmationState {
        let was_confirmed = self.in_force.confirmed_at > TimeMs(0);
        ConfirmationState {
            age_ms: was_confirmed.then(|| now.since(self.in_force.confirmed_at)),
            rank: rank::rank_in_domain(&self.peers, self.contact.availability(now), now),
            rank_among_known: Some(rank::rank_among_known(&self.peers)),
            failed_ms: self.contact.failed_ms(now),
            running_ms: now.since(self.started_at),
            is_behind: self.in_force.is_behind(),
            is_outdated: self.in_force.is_outdated(),
        }
    }
}

/// A simulation of nodes, a store and datagrams without a network.
#[derive(Debug)]
struct Simulation {
    nodes: Vec<Node>,
    rng: SmallRng,
    now: TimeMs,
    /// End of the operators' records in the store.
    store_end: u64,
    store_answers: bool,
    calls: usize,
    /// Datagrams in transit: time of arrival, receiving node, content.
    answers: Vec<(TimeMs, usize, Confirmation)>,
    /// Maximum transit time of a datagram.
    max_transit_ms: u64,
}

fn document() -> ActiveConfiguration {
    let catalog = Catalog {
        version: 1,
        ..Catalog::default()
    };
    ActiveConfiguration {
        catalog: std::sync::Arc::new(catalog),
        ..ActiveConfiguration::default()
    }
}

fn address(index: usize) -> SocketAddr {
    let port = u16::try_from(index).expect("few nodes");
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Simulation {
    fn new(nodes: usize, domains: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let members: Vec<Member> = (0..nodes)
            .map(|place| Member {
                gossip_address: address(place),
                failure_domain: format!("domain-{}", place % domains),
                capacity_per_s: if place < nodes / 10 { 160.0 } else { 40.0 },
                ..member(&format!("node-{place:03}"), 1)
            })
            .collect();
        let nodes = (members.iter())
            .map(|own| {
                let mut peers = Peers::new(own.clone());
                for other in &members {
                    peers.add_member(other.clone(), TimeMs(START));
                }
                Node {
                    peers,
                    in_force: document(),
                    contact: StoreContact::default(),
                    queries: PeerQueries::default(),
                    started_at: TimeMs(START),
                    pending: None,
                    heartbeat_at: START + rng.random_range(0..HEARTBEAT_INTERVAL_MS),
                    frozen_until: TimeMs(0),
                    is_refused: false,
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
            max_transit_ms: 20,
        }
    }

    fn run(&mut self, for_ms: u64) {
        let until = self.now.after(for_ms);
        while self.now < until {
            self.now = self.now.after(STEP_MS);
            self.send_heartbeats();
            self.deliver();
            for index in 0..self.nodes.len() {
                if self.nodes[index].frozen_until <= self.now {
                    self.read(index);
                    self.ask(index);
                }
            }
        }
    }

    fn send_heartbeats(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if node.heartbeat_at > self.now.0 || node.frozen_until > self.now {
                continue;
            }
            node.heartbeat_at = self.now.0 + HEARTBEAT_INTERVAL_MS;
            let mut heartbeat = heartbeat(&node.peers.own().name, 0);
            heartbeat.member = node.peers.own().clone();
            heartbeat.interval_ms = HEARTBEAT_INTERVAL_MS;
            heartbeat.status.store = node.contact.availability(self.now);
            for other in self
                .nodes
                .iter_mut()
                .filter(|other| other.frozen_until <= self.now)
            {
                other.peers.record_heartbeat(&heartbeat, self.now);
            }
        }
    }

    fn read(&mut self, index: usize) {
        let (now, store_end) = (self.now, at(self.store_end));
        let answers = self.store_answers && !self.nodes[index].is_refused;
        let node = &mut self.nodes[index];
        match node.pending {
            Some((asked_at, _wait_ms, _)) if answers && node.in_force.end < store_end => {
                node.contact.record(true, now);
                node.in_force.confirm(store_end, asked_at);
                node.in_force.known_end = store_end;
                node.pending = None;
            }
            Some((asked_at, wait_ms, _)) if answers && now >= asked_at.after(wait_ms) => {
                node.contact.record(true, now);
                node.in_force.confirm(store_end, asked_at.after(wait_ms));
                node.in_force.known_end = store_end;
                node.pending = None;
            }
            Some((_asked_at, _wait_ms, timeout_at)) if now >= timeout_at => {
                node.contact.record(false, now);
                node.pending = None;
            }
            Some(_waiting) => {}
            None => {
                let state = node.state(now);
                let wait_ms = match next_read(&state) {
                    StoreRead::Skip => return,
                    StoreRead::Immediate => 0,
                    StoreRead::LongPoll => LONG_POLL_MS,
                };
                self.calls += 1;
                node.pending = Some((now, wait_ms, now.after(wait_ms + 800)));
            }
        }
    }

    fn ask(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let state = node.state(now);
        if !should_ask_peer(&state) {
            node.queries.reset();
            return;
        }
        let asked = node.queries.next_peer(&node.peers, now);
        let request = node.in_force.request(now);
        let Some(asked) = asked.map(|address| usize::from(address.port())) else {
            return;
        };
        let there = self
            .now
            .after(self.rng.random_range(0..=self.max_transit_ms));
        let back = there.after(self.rng.random_range(0..=self.max_transit_ms));
        if self.nodes[asked].frozen_until > there {
            return;
        }
        let answer = self.nodes[asked].in_force.confirmation(&request, there);
        self.answers
            .extend(answer.map(|answer| (back, index, answer)));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = (self.answers.drain(..))
            .partition(|(at, index, _)| *at <= now && self.nodes[*index].frozen_until <= now);
        self.answers = rest;
        for (_at, index, answer) in due {
            self.nodes[index].in_force.confirmed_by_peer(&answer, now);
        }
    }

    /// Revokes a key; returns the position that a node must have read to reject it.
    fn revoke(&mut self) -> u64 {
        self.store_end += 1;
        self.store_end
    }

    fn fresh_count(&self) -> usize {
        let fresh = self.nodes.iter().filter(|node| self.is_fresh(node));
        fresh.count()
    }

    fn is_fresh(&self, node: &Node) -> bool {
        node.in_force.is_fresh(REVOKE_MS, self.now)
    }

    /// Continues the simulation and asserts that no node accepts keys revoked before `end` for
    /// longer than allowed.
    fn run_after_revocation(&mut self, end: u64, for_ms: u64) {
        let acknowledged_at = self.now;
        let until = self.now.after(for_ms);
        while self.now < until {
            self.run(STEP_MS);
            let is_over = self.now.since(acknowledged_at) >= REVOKE_MS;
            let late = (self.nodes.iter())
                .filter(|node| node.frozen_until <= self.now && node.in_force.end < at(end))
                .find(|node| self.is_fresh(node));
            assert!(
                late.is_none() || !is_over,
                "at {:?} after {acknowledged_at:?}: {:?}",
                self.now,
                late.map(|node| (&node.peers.own().name, &node.in_force))
            );
        }
    }

    fn confirming_nodes(&self) -> Vec<usize> {
        let indices = 0..self.nodes.len();
        indices
            .filter(|index| {
                let node = &self.nodes[*index];
                rank::rank_in_domain(&node.peers, node.contact.availability(self.now), self.now)
                    == 0
            })
            .collect()
    }
}

/// Guards against store calls that grow with the nodes: 195 idle nodes that each confirm their
/// configuration every two seconds make some 100 calls a second, which cost a tenth of what
/// requests earn.
///
/// Calls grow with the failure domains: in steady state each makes one call in two seconds.
#[test]
fn store_calls_grow_with_failure_domains_and_not_with_nodes() {
    for (nodes, domains) in [(9, 4), (87, 4), (195, 6), (340, 18)] {
        let mut simulation = Simulation::new(nodes, domains, 1);
        simulation.run(8_000);
        assert_eq!(simulation.fresh_count(), nodes);
        let before = simulation.calls;
        simulation.run(10_000);
        assert_eq!(simulation.fresh_count(), nodes);
        let calls = simulation.calls - before;
        assert!(calls <= domains * 6, "{calls} calls by {nodes} nodes");
    }
}

/// Guards against a third of the nodes rejecting all callers with keys while the store is
/// unavailable to them for nine seconds, and serves the other nodes. Peers must be able to confirm
/// that the configuration is current.
#[test]
fn nodes_refused_by_the_store_stay_fresh_through_peers() {
    let mut simulation = Simulation::new(195, 6, 2);
    simulation.run(8_000);
    for index in (0..195).step_by(3) {
        simulation.nodes[index].is_refused = true;
    }
    let before = simulation.calls;
    for _step in 0..45 {
        simulation.run(STEP_MS);
        assert_eq!(simulation.fresh_count(), 195, "at {:?}", simulation.now);
    }
    let calls = simulation.calls - before;
    assert!(calls <= 200, "{calls} calls in nine seconds");
}

/// Guards against thousands of calls during a store outage of five seconds, as happen if each node
/// retries several times a second.
///
/// Two calls a node are made if each tries once during the outage and once after it.
#[test]
fn few_calls_are_made_during_a_store_outage_and_all_nodes_recover() {
    let mut simulation = Simulation::new(195, 6, 3);
    simulation.run(8_000);
    let before = simulation.calls;
    simulation.store_answers = false;
    simulation.run(5_000);
    simulation.store_answers = true;
    simulation.run(2_500);
    assert_eq!(simulation.fresh_count(), 195);
    let calls = simulation.calls - before;
    assert!(calls <= 2 * 195, "{calls} calls");
}

/// Guards against accepting a key for longer than allowed after it was revoked, by counting a
/// peer's confirmation as newer than it is.
///
/// The schedules combine nodes that are frozen or refused by the store, the failure of all
/// confirming nodes at once, datagrams that take up to three seconds, and a revocation at any
/// moment.
#[test]
fn revoked_key_is_rejected_in_time_in_all_schedules() {
    for seed in 0..12 {
        let mut simulation = Simulation::new(40, 4, seed);
        simulation.run(6_000);
        simulation.max_transit_ms = [20, 800, 3_000][usize::try_from(seed).expect("small") % 3];
        for index in 0..40 {
            let node = &mut simulation.nodes[index];
            node.is_refused = simulation.rng.random_bool(0.33);
            if simulation.rng.random_bool(0.2) {
                node.frozen_until = simulation
                    .now
                    .after(simulation.rng.random_range(500..6_000));
            }
        }
        if seed % 2 == 0 {
            for index in simulation.confirming_nodes() {
                simulation.nodes[index].frozen_until = simulation.now.after(4_000);
            }
        }
        let settle_ms = simulation.rng.random_range(0..3_000);
        simulation.run(settle_ms);
        let end = simulation.revoke();
        simulation.run_after_revocation(end, 10_000);
    }
}

#[test]
fn isolated_node_reads_the_store() {
    let mut simulation = Simulation::new(12, 3, 5);
    simulation.run(6_000);
    simulation.nodes[7].peers = Peers::new(simulation.nodes[7].peers.own().clone());
    let end = simulation.revoke();
    simulation.run_after_revocation(end, STEP_MS);
    for _step in 0..30 {
        // The node is isolated: peers that it heard of in heartbeats are dropped again.
        simulation.nodes[7].peers = Peers::new(simulation.nodes[7].peers.own().clone());
        simulation.run_after_revocation(end, STEP_MS);
        assert!(simulation.is_fresh(&simulation.nodes[7]));
    }
}

/// A node that has just started and has no configuration.
fn starting(rank_among_known: Option<usize>, running_ms: u64) -> ConfirmationState {
    ConfirmationState {
        age_ms: None,
        rank: 0,
        rank_among_known,
        failed_ms: None,
        running_ms,
        is_behind: false,
        is_outdated: false,
    }
}

/// Guards against reads of the store that grow with the nodes: of hundreds that start together in one
/// failure domain, two read the configuration at once.
#[test]
fn few_of_the_nodes_that_start_together_read_the_store() {
    let reads = |running_ms: u64| {
        (0..200)
            .filter(|rank| next_read(&starting(Some(*rank), running_ms)) == StoreRead::Immediate)
            .count()
    };
    assert_eq!(reads(100), 2);
    assert_eq!(reads(1_400), 2);
}

/// Guards against a node that never serves because no peer sends it a configuration.
#[test]
fn node_without_helpful_peers_reads_its_first_configuration_from_the_store() {
    assert_eq!(next_read(&starting(Some(200), 3_500)), StoreRead::Immediate);
    assert_eq!(next_read(&starting(None, 1_500)), StoreRead::Immediate);
    assert_eq!(next_read(&starting(None, 100)), StoreRead::Skip);
}
