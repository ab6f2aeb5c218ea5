//! Simulates the heartbeats and reports of whole fleets without a network.

use super::*;
use crate::gateway::messages::{Heartbeat, Member};
use crate::gateway::peers::tests::heartbeat;

const DOMAINS: usize = 6;
const DATAGRAM_DELAY_MS: u64 = 20;
const STEP_MS: u64 = 10;
const HEARTBEAT_INTERVAL_MS: u64 = 200;

/// Time after which all nodes have heard of each other.
const WARM_UP_MS: u64 = 3_000;

#[derive(Clone, Debug)]
enum Datagram {
    Heartbeat(Box<Heartbeat>),
    Report(GroupReport),
    Reports(Vec<GroupReport>),
}

struct Node {
    member: Member,
    peers: Peers,
    relay: Relay,
    sequence: u64,
    version: u64,
    /// Highest version in the status of any node.
    seen_version: u64,
    is_down: bool,
}

struct Fleet {
    nodes: Vec<Node>,
    now_ms: u64,
    /// Arrival time, receiver and datagram.
    in_flight: Vec<(u64, usize, Datagram)>,
    sent: usize,
}

impl Fleet {
    /// Starts a fleet in which one node in sixteen is strong, and each knows the members of all.
    fn start(count: usize) -> Self {
        let members: Vec<Member> = (0..count).map(member).collect();
        let nodes = members.iter().map(|member| {
            let mut peers = Peers::new(member.clone());
            for other in &members {
                peers.add_member(other.clone(), TimeMs(1));
            }
            Node {
                member: member.clone(),
                peers,
                relay: Relay::default(),
                sequence: 0,
                version: 1,
                seen_version: 1,
                is_down: false,
            }
        });
        let mut fleet = Self {
            nodes: nodes.collect(),
            now_ms: 10_000,
            in_flight: Vec::new(),
            sent: 0,
        };
        fleet.run(WARM_UP_MS);
        fleet
    }

    fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    /// Runs until `is_reached`, for at most ten seconds; returns the time that it took, in ms.
    fn run_until(&mut self, is_reached: impl Fn(&Self) -> bool) -> u64 {
        let start_ms = self.now_ms;
        while !is_reached(self) && self.now_ms < start_ms + 10_000 {
            self.step();
        }
        self.now_ms - start_ms
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now = TimeMs(self.now_ms);
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at_ms, ..)| *at_ms <= self.now_ms);
        self.in_flight = rest;
        for (_at_ms, to, datagram) in due {
            self.receive(to, datagram, now);
        }
        for place in 0..self.nodes.len() {
            if !self.nodes[place].is_down {
                self.send_due(place, now);
            }
        }
    }

    fn receive(&mut self, to: usize, datagram: Datagram, now: TimeMs) {
        let node = &mut self.nodes[to];
        if node.is_down {
            return;
        }
        match datagram {
            Datagram::Heartbeat(heartbeat) => {
                node.peers.record_heartbeat(&heartbeat, now);
                node.record_version(&heartbeat.status);
                node.relay.record(&heartbeat.status, now);
            }
            Datagram::Report(report) => {
                apply(node, &report, now);
                node.relay.add_pending(report);
            }
            Datagram::Reports(reports) => {
                for report in &reports {
                    apply(node, report, now);
                }
            }
        }
    }

    fn send_due(&mut self, place: usize, now: TimeMs) {
        let phase_ms = self.now_ms + place as u64 * 70;
        let is_due = |interval_ms: u64| phase_ms % interval_ms < STEP_MS;
        let node = &mut self.nodes[place];
        let group: Vec<SocketAddr> = node.peers.group_addresses();
        let interval_ms = HEARTBEAT_INTERVAL_MS.max(group.len() as u64 * 12);
        let mut outgoing: Vec<(Datagram, Vec<SocketAddr>)> = Vec::new();
        if is_due(interval_ms) {
            let heartbeat = node.heartbeat(interval_ms);
            node.relay.record(&heartbeat.status, now);
            node.relay.remove_silent(now);
            outgoing.push((Datagram::Heartbeat(Box::new(heartbeat)), group.clone()));
        }
        if is_due(REPORT_INTERVAL_MS) {
            let reach = StoreAvailability::NotCalled;
            let due = deliveries(&mut node.relay, &mut node.peers, reach, now);
            if !due.to_group.is_empty() {
                outgoing.push((Datagram::Reports(due.to_group), group));
            }
            if let Some((report, carriers)) = due.to_carriers {
                outgoing.push((Datagram::Report(report), carriers));
            }
        }
        for (datagram, addresses) in outgoing {
            self.sent += addresses.len();
            for address in addresses {
                let at_ms = self.now_ms + DATAGRAM_DELAY_MS;
                self.in_flight
                    .push((at_ms, place_of(address), datagram.clone()));
            }
        }
    }

    /// Changes the status of a node; returns the time until all nodes have seen it, in ms.
    fn change_status(&mut self, place: usize, version: u64) -> u64 {
        self.nodes[place].version = version;
        self.nodes[place].seen_version = version;
        self.run_until(|fleet| fleet.nodes.iter().all(|node| node.seen_version == version))
    }

    /// Returns the fewest and the most live nodes that any running node counts, itself included.
    fn heard(&self) -> (u32, u32) {
        let now = TimeMs(self.now_ms);
        let running = self.nodes.iter().filter(|node| !node.is_down);
        let heard: Vec<u32> = running
            .map(|node| node.peers.visibility(now).heard)
            .collect();
        let least = heard.iter().min().copied().unwrap_or_default();
        let most = heard.iter().max().copied().unwrap_or_default();
        (least, most)
    }

    /// Returns the place of the node that speaks for the group of the node at `place`.
    fn speaker_of(&mut self, place: usize) -> usize {
        let now = TimeMs(self.now_ms);
        let group = self.nodes[place].peers.group_addresses();
        let mates = group.into_iter().map(place_of).chain([place]);
        let reach = StoreAvailability::NotCalled;
        mates
            .collect::<Vec<_>>()
            .into_iter()
            .find(|mate| self.nodes[*mate].peers.is_speaker(reach, now))
            .expect("each group has a speaker")
    }
}

impl Node {
    fn record_version(&mut self, status: &Status) {
        self.seen_version = self.seen_version.max(status.configuration_version);
    }

    fn heartbeat(&mut self, interval_ms: u64) -> Heartbeat {
        self.sequence += 1;
        let mut heartbeat = heartbeat(&self.member.name, 0);
        heartbeat.member = self.member.clone();
        heartbeat.interval_ms = interval_ms;
        heartbeat.status = Status {
            store: StoreAvailability::NotCalled,
            ..status(self.member.incarnation, self.sequence, self.version)
        };
        heartbeat
    }
}

fn apply(node: &mut Node, report: &GroupReport, now: TimeMs) {
    node.peers.record_silent(&report.silent);
    let unknown = node.peers.record_alive(&report.alive, now);
    assert_eq!(unknown, [] as [u64; 0]);
    for status in &report.statuses {
        if node.peers.record_status(status) {
            node.record_version(status);
        }
    }
}

fn member(place: usize) -> Member {
    let port = u16::try_from(place + 1).expect("few nodes");
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    Member {
        name: format!("node-{place}"),
        incarnation: place as u64 + 1,
        gossip_address: address,
        caller_address: address,
        failure_domain: format!("domain-{}", place % DOMAINS),
        capacity_per_s: if place % 16 < DOMAINS { 330.0 } else { 40.0 },
    }
}

fn place_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

/// Guards against nodes that know of only a part of the fleet: each hears of all within the time in
/// which traffic may start.
#[test]
fn each_node_hears_all_others_soon_after_a_start() {
    for count in [9, 31, 60, 200] {
        let fleet = Fleet::start(count);
        let count = u32::try_from(count).expect("few nodes");
        assert_eq!(fleet.heard(), (count, count));
    }
}

/// Guards against a fleet whose nodes spend more on each other the larger it is, or know of each
/// other later: at twice the size each sends at most a quarter more datagrams, and a change of any of
/// some nodes still reaches all in time.
#[test]
fn datagrams_of_a_node_hardly_grow_with_the_fleet() {
    let per_node_and_second = |count: usize| {
        let mut fleet = Fleet::start(count);
        fleet.sent = 0;
        fleet.run(2_000);
        let sent = fleet.sent / count / 2;
        for (place, version) in [(7, 2), (42, 3), (77, 4), (120, 5)] {
            let took_ms = fleet.change_status(place, version);
            assert!(took_ms <= 1_500, "{took_ms} ms, node {place} of {count}");
        }
        sent
    };
    let (some, many) = (per_node_and_second(180), per_node_and_second(360));
    assert!(many * 4 <= some * 5, "{some} and {many} a second");
    assert!(many <= 200, "{many} a second");
}

/// Guards against a configuration version, a load or a lease that other groups learn of only after
/// seconds.
#[test]
fn changed_status_reaches_all_nodes_within_one_and_a_half_seconds() {
    let mut fleet = Fleet::start(200);
    for (place, version) in [(7, 2), (42, 3), (77, 4), (120, 5), (199, 6)] {
        let took_ms = fleet.change_status(place, version);
        assert!(took_ms <= 1_500, "{took_ms} ms, node {place}");
    }
}

/// Guards against callers that are sent to a dead node, and requests that wait for it: all nodes
/// know of a death within two seconds.
#[test]
fn dead_node_is_known_to_all_within_two_seconds() {
    let mut fleet = Fleet::start(200);
    fleet.nodes[77].is_down = true;
    let took_ms = fleet.run_until(|fleet| fleet.heard() == (199, 199));
    assert!(took_ms <= 2_000, "{took_ms} ms");
}

/// Guards against a fleet that loses sight of a group, or a group that loses sight of the fleet,
/// because the node that reports or passes on for it has died.
#[test]
fn death_of_a_speaker_hides_no_other_node() {
    let mut fleet = Fleet::start(200);
    let speaker = fleet.speaker_of(77);
    fleet.nodes[speaker].is_down = true;
    let mut least_heard = u32::MAX;
    for _step in 0..500 {
        fleet.step();
        least_heard = least_heard.min(fleet.heard().0);
    }
    assert_eq!(least_heard, 199);
    assert_eq!(fleet.heard().1, 199);
}

/// Guards against a report that arrives late and undoes a newer one.
#[test]
fn late_report_changes_nothing() {
    let mut fleet = Fleet::start(100);
    let late = GroupReport {
        statuses: vec![Status {
            is_stopping: true,
            ..status(fleet.nodes[1].member.incarnation, 1, 1)
        }],
        ..GroupReport::default()
    };
    let now = TimeMs(fleet.now_ms);
    let node = &mut fleet.nodes[0];
    apply(node, &late, now);
    let active = node.peers.active(now).count();
    assert_eq!(active, 99);
}
