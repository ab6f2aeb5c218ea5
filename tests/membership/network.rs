//! An in-memory network of membership views in simulated time, with loss, delay, pauses and partitions.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use teaselline::keys::Incarnation;
use teaselline::membership::{Event, Member, MemberLoad, MemberState, Output, Settings, View};
use teaselline::peers::FleetKey;
use teaselline::time::TimeMs;

/// Bytes of the UDP and IP headers of a datagram.
const HEADERS_BYTES: u64 = 28;

/// One simulated node.
pub struct Node {
    pub view: View,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub events: Vec<(TimeMs, Event)>,
    pub sent_bytes: u64,
    pub largest_bytes: usize,
    paused_until_ms: TimeMs,
    /// Datagrams that arrived during a pause.
    unread: Vec<(SocketAddr, Vec<u8>)>,
    group: u8,
    stopped: bool,
}

enum ScheduledEvent {
    Tick(usize),
    Arrival(SocketAddr, SocketAddr, Vec<u8>),
}

/// Nodes, their timers and the datagrams in transit.
pub struct Network {
    pub now: TimeMs,
    pub nodes: Vec<Node>,
    pub loss: f64,
    pub delay_ms: (u64, u64),
    /// Links, as sender and receiver, that drop all datagrams.
    pub cut: Vec<(SocketAddr, SocketAddr)>,
    rng: SmallRng,
    queue: BTreeMap<(TimeMs, u64), ScheduledEvent>,
    /// The index of the newest incarnation at each address.
    newest_at: BTreeMap<SocketAddr, usize>,
    scheduled_count: u64,
}

impl Network {
    pub fn new(seed: u64) -> Self {
        Self {
            now: TimeMs(1_000_000),
            nodes: Vec::new(),
            loss: 0.0,
            delay_ms: (0, 2),
            cut: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            newest_at: BTreeMap::new(),
            scheduled_count: 0,
        }
    }

    /// Returns a network of `count` nodes in `domains` failure domains; the first three are seeds.
    pub fn of(seed: u64, count: usize, domains: usize) -> Self {
        let mut network = Self::new(seed);
        for number in 0..count {
            network.start(number, number % domains);
        }
        network
    }

    /// Starts an incarnation of node `number`; returns its index.
    pub fn start(&mut self, number: usize, domain: usize) -> usize {
        self.start_at(number, number, domain)
    }

    /// Starts an incarnation of node `number` at the address of node `address_number`; returns its index.
    pub fn start_at(&mut self, number: usize, address_number: usize, domain: usize) -> usize {
        let incarnation = Incarnation(self.rng.random());
        let address = address(address_number);
        let own = Member {
            incarnation,
            name: format!("entry-{number}"),
            caller_address: SocketAddr::new(address.ip(), 80),
            peer_address: SocketAddr::new(address.ip(), 7_000),
            heartbeat_address: address,
            domain_name: format!("domain-{domain}"),
            region: format!("region-{}", domain / 4),
            state: MemberState::Alive,
            load: MemberLoad::default(),
            version: 0,
        };
        let seeds = (0..3).map(self::address).collect();
        let key = FleetKey::try_from(b"a key for simulations".as_slice()).unwrap();
        let view = View::new(own, seeds, key, Settings::default()).unwrap();
        let index = self.nodes.len();
        self.nodes.push(Node {
            view,
            incarnation,
            address,
            events: Vec::new(),
            sent_bytes: 0,
            largest_bytes: 0,
            paused_until_ms: TimeMs::default(),
            unread: Vec::new(),
            group: 0,
            stopped: false,
        });
        self.newest_at.insert(address, index);
        let phase_ms = self.rng.random_range(0..200);
        self.schedule(self.now.after(phase_ms), ScheduledEvent::Tick(index));
        index
    }

    /// Ends the node's process without a leave message.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].stopped = true;
    }

    /// Pauses the node's process; datagrams that arrive meanwhile wait in its socket.
    pub fn pause(&mut self, index: usize, duration_ms: u64) {
        self.nodes[index].paused_until_ms = self.now.after(duration_ms);
    }

    /// Moves the node to a partition; only nodes of the same group reach each other.
    pub fn set_group(&mut self, index: usize, group: u8) {
        self.nodes[index].group = group;
    }

    pub fn leave(&mut self, index: usize) {
        let output = self.nodes[index].view.leave(self.now);
        self.apply_output(index, output);
    }

    pub fn end(&mut self, index: usize) {
        let output = self.nodes[index].view.end(self.now);
        self.apply_output(index, output);
        self.kill(index);
    }

    /// Advances the simulated time.
    pub fn run(&mut self, duration_ms: u64) {
        let until = self.now.after(duration_ms);
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            self.now = entry.key().0;
            match entry.remove() {
                ScheduledEvent::Tick(index) => self.tick(index),
                ScheduledEvent::Arrival(from, to, bytes) => self.arrive(from, to, bytes),
            }
        }
        self.now = until;
    }

    /// Advances the time until `holds`; returns the elapsed milliseconds.
    ///
    /// # Panics
    ///
    /// If the condition does not hold within `limit_ms`.
    pub fn run_until(&mut self, limit_ms: u64, holds: impl Fn(&Self) -> bool) -> u64 {
        let start = self.now;
        while !holds(self) {
            assert!(
                self.now.since(start) < limit_ms,
                "the condition does not hold after {limit_ms} ms"
            );
            self.run(50);
        }
        self.now.since(start)
    }

    /// Returns whether the node at `index` sees the incarnation at index `of` in this state.
    pub fn sees(&self, index: usize, of: usize, state: MemberState) -> bool {
        let seen = self.nodes[index].view.get(self.nodes[of].incarnation);
        seen.is_some_and(|member| member.state == state)
    }

    /// Returns whether each running node sees exactly the running nodes as live.
    pub fn agrees(&self) -> bool {
        let mut running: Vec<Incarnation> = self
            .running()
            .map(|index| self.nodes[index].incarnation)
            .collect();
        running.sort_unstable();
        self.running().all(|index| {
            let live = self.nodes[index]
                .view
                .live()
                .map(|member| member.incarnation);
            live.eq(running.iter().copied())
        })
    }

    /// Returns the number of suspicions at all nodes since `since` for which `counts` returns true.
    pub fn suspicions(&self, since: TimeMs, counts: impl Fn(&Event) -> bool) -> usize {
        let events = self.nodes.iter().flat_map(|node| &node.events);
        let recent = events
            .filter(|(at, _)| *at >= since)
            .map(|(_, event)| event);
        let suspicions = recent.filter(|event| matches!(event, Event::Suspected(_)));
        suspicions.filter(|event| counts(event)).count()
    }

    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|index| !self.nodes[*index].stopped)
    }

    fn tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.stopped {
            return;
        }
        if node.paused_until_ms > self.now {
            let resumed = node.paused_until_ms;
            self.schedule(resumed, ScheduledEvent::Tick(index));
            return;
        }
        let output = node.view.tick(self.now, &mut self.rng);
        let unread = std::mem::take(&mut node.unread);
        self.apply_output(index, output);
        for (from, bytes) in unread {
            self.read(index, from, &bytes);
        }
        self.schedule(self.now.after(200), ScheduledEvent::Tick(index));
    }

    fn arrive(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        let Some(index) = self.running_at(to) else {
            return;
        };
        if self.nodes[index].paused_until_ms > self.now {
            self.nodes[index].unread.push((from, bytes));
        } else {
            self.read(index, from, &bytes);
        }
    }

    fn running_at(&self, address: SocketAddr) -> Option<usize> {
        let newest = self.newest_at.get(&address).copied();
        newest.filter(|index| !self.nodes[*index].stopped)
    }

    fn read(&mut self, index: usize, from: SocketAddr, bytes: &[u8]) {
        let output = self.nodes[index]
            .view
            .on_datagram(self.now, from, bytes)
            .unwrap();
        self.apply_output(index, output);
    }

    fn apply_output(&mut self, index: usize, output: Output) {
        let now = self.now;
        let node = &mut self.nodes[index];
        node.events
            .extend(output.events.into_iter().map(|event| (now, event)));
        let (from, group) = (node.address, node.group);
        for datagram in output.datagrams {
            let node = &mut self.nodes[index];
            node.sent_bytes += datagram.bytes.len() as u64 + HEADERS_BYTES;
            node.largest_bytes = node.largest_bytes.max(datagram.bytes.len());
            let receiver = self.newest_at.get(&datagram.to);
            let same_group = receiver.is_some_and(|other| self.nodes[*other].group == group);
            let cut = !same_group || self.cut.contains(&(from, datagram.to));
            if cut || self.rng.random::<f64>() < self.loss {
                continue;
            }
            let delay_ms = self.rng.random_range(self.delay_ms.0..=self.delay_ms.1);
            let arrival = ScheduledEvent::Arrival(from, datagram.to, datagram.bytes);
            self.schedule(now.after(delay_ms), arrival);
        }
    }

    fn schedule(&mut self, at: TimeMs, event: ScheduledEvent) {
        self.scheduled_count += 1;
        self.queue.insert((at, self.scheduled_count), event);
    }
}

fn address(number: usize) -> SocketAddr {
    let [high, low] = u16::try_from(number).unwrap().to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_001))
}
