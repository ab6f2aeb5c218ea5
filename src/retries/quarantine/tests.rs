//! Tests the quarantine with a fleet of nodes and a request that crashes its hosts.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::{Quarantine, QuarantineAnswer, QuarantineRequest, quarantine_host, quarantine_owner};
use crate::keys::{DomainKey, HostKey, Incarnation};
use crate::retries::strikes::{Fingerprint, HostLoss, StrikeTable, Verdict};
use crate::time::TimeMs;

const POISON: Fingerprint = Fingerprint(u64::MAX);
const HOSTS: u64 = 18;
const NODES: usize = 9;
const STEP_MS: u64 = 50;
/// Benign requests that run beside the poison request on the first lost host.
const BENIGN_REQUESTS: u64 = 16;

struct Node {
    me: Incarnation,
    strikes: StrikeTable,
    quarantine: Quarantine,
    waiting: Vec<Fingerprint>,
    runs: Vec<(QuarantineRequest, TimeMs)>,
}

struct Fleet {
    nodes: Vec<Node>,
    losses: u32,
    refused: Vec<Fingerprint>,
    ended: u64,
}

impl Fleet {
    fn new() -> Self {
        let nodes = (0..NODES as u64).map(|number| Node {
            me: Incarnation(number * 77 + 5),
            strikes: StrikeTable::default(),
            quarantine: Quarantine::default(),
            waiting: Vec::new(),
            runs: Vec::new(),
        });
        Self {
            nodes: nodes.collect(),
            losses: 0,
            refused: Vec::new(),
            ended: 0,
        }
    }

    fn exchange(&mut self, now: TimeMs) {
        let reports: Vec<_> = self
            .nodes
            .iter_mut()
            .map(|n| n.strikes.take_report())
            .collect();
        for node in &mut self.nodes {
            for report in reports.iter().filter(|report| !report.is_empty()) {
                node.strikes.merge(report, now);
            }
        }
    }

    fn step(&mut self, node: usize, fingerprint: Fingerprint, now: TimeMs) -> bool {
        let here = &self.nodes[node];
        let died_with = here.strikes.lost_hosts(fingerprint, now);
        let host = quarantine_host(fingerprint, (0..HOSTS).map(HostKey), &died_with).unwrap();
        let owner = quarantine_owner(host, self.nodes.iter().map(|node| node.me)).unwrap();
        let request = QuarantineRequest {
            fingerprint,
            host,
            requester: here.me,
        };
        let at_owner = self.nodes.iter_mut().find(|node| node.me == owner).unwrap();
        match at_owner.quarantine.ask(request, &at_owner.strikes, now) {
            QuarantineAnswer::Clear => self.ended += 1,
            QuarantineAnswer::Refuse => self.refused.push(fingerprint),
            QuarantineAnswer::Wait { .. } => return false,
            QuarantineAnswer::Run(_) => self.nodes[node].runs.push((request, now.after(2_000))),
        }
        true
    }

    fn finish_runs(&mut self, node: usize, now: TimeMs) {
        for (request, ends_ms) in std::mem::take(&mut self.nodes[node].runs) {
            let is_poison = request.fingerprint == POISON;
            if !is_poison && ends_ms > now {
                self.nodes[node].runs.push((request, ends_ms));
                continue;
            }
            let loss = is_poison.then_some(HostLoss {
                host: request.host,
                domain: DomainKey((request.host.0 % 4) as u16),
                at_ms: now,
            });
            self.losses += u32::from(is_poison);
            self.ended += u64::from(!is_poison);
            let owner =
                quarantine_owner(request.host, self.nodes.iter().map(|node| node.me)).unwrap();
            let owner = self.nodes.iter_mut().find(|node| node.me == owner).unwrap();
            owner
                .quarantine
                .release(&request, loss, &mut owner.strikes, now);
        }
    }
}

// A request crashes its host, and its caller sends it again at once to all nodes under new ids; 16
// benign requests that ran beside it are moved too. If each node judged by its own observations, or
// two suspects shared a host, the request could crash a third host.
#[test]
fn poison_request_on_all_nodes_crashes_two_hosts_and_no_benign_request_is_refused() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = Fleet::new();
        let start = TimeMs(1_000_000);
        let first = HostLoss {
            host: HostKey(rng.random_range(0..HOSTS)),
            domain: DomainKey(0),
            at_ms: start,
        };
        fleet.losses += 1;
        // Each node knows only its own requests that ran on the host.
        let mut running = vec![Vec::new(); NODES];
        for benign in (0..BENIGN_REQUESTS).map(Fingerprint) {
            running[rng.random_range(0..NODES)].push(benign);
        }
        running[0].push(POISON);
        for (node, running) in fleet.nodes.iter_mut().zip(&running) {
            node.strikes.record_loss(first, running, start);
            node.waiting.clone_from(running);
            node.waiting.push(POISON);
        }
        for step in 0..1_200 {
            let now = start.after(step * STEP_MS);
            fleet.exchange(now);
            for node in 0..NODES {
                fleet.finish_runs(node, now);
                for fingerprint in std::mem::take(&mut fleet.nodes[node].waiting) {
                    if !fleet.step(node, fingerprint, now) {
                        fleet.nodes[node].waiting.push(fingerprint);
                    }
                }
            }
        }
        assert_eq!(fleet.losses, 2, "seed {seed}");
        assert!(fleet.refused.iter().all(|refused| *refused == POISON));
        // Node 0 holds two copies of the poison request and each other node one; the copy that runs
        // in quarantine crashes its host and the remaining ones, as many as there are nodes, are
        // refused.
        assert_eq!(fleet.refused.len(), NODES, "seed {seed}");
        assert_eq!(fleet.ended, BENIGN_REQUESTS, "seed {seed}");
        let end = start.after(60_000);
        let is_rejected = |node: &Node| node.strikes.verdict(POISON, end) == Verdict::Rejected;
        assert!(fleet.nodes.iter().all(is_rejected));
    }
}

// A node that crashes while its suspect runs never releases the host. Without an expiry of the
// grant, the next suspect for this host would wait for ever.
#[test]
fn unreleased_grant_expires() {
    let mut strikes = StrikeTable::default();
    let at_ms = TimeMs(1_000);
    let hosts = [HostKey(1), HostKey(2)];
    let loss = HostLoss {
        host: HostKey(9),
        domain: DomainKey(0),
        at_ms,
    };
    let suspects = [Fingerprint(1), Fingerprint(2)];
    strikes.record_loss(loss, &suspects, at_ms);
    let mut quarantine = Quarantine::default();
    let requests = suspects.map(|fingerprint| QuarantineRequest {
        fingerprint,
        host: hosts[0],
        requester: Incarnation(1),
    });
    let mut now = at_ms.after(1_000);
    let granted = quarantine.ask(requests[0], &strikes, now);
    assert!(matches!(granted, QuarantineAnswer::Run(_)));
    let waits = quarantine.ask(requests[1], &strikes, now);
    assert!(matches!(waits, QuarantineAnswer::Wait { .. }));
    now = now.after(super::GRANT_TTL_MS);
    let granted = quarantine.ask(requests[1], &strikes, now);
    assert!(matches!(granted, QuarantineAnswer::Run(_)));
}

#[test]
fn owners_and_hosts_are_spread_and_stable() {
    let mut rng = SmallRng::seed_from_u64(3);
    let nodes: Vec<_> = (0..9).map(|_| Incarnation(rng.random())).collect();
    let hosts: Vec<_> = (0..HOSTS).map(HostKey).collect();
    for host in &hosts {
        let chosen = quarantine_owner(*host, nodes.iter().copied()).unwrap();
        let gone = *nodes.choose(&mut rng).unwrap();
        let without: Vec<_> = nodes.iter().copied().filter(|n| *n != gone).collect();
        if without.contains(&chosen) {
            assert_eq!(quarantine_owner(*host, without), Some(chosen));
        }
    }
    let mut used: Vec<_> = (0..200)
        .filter_map(|number| quarantine_host(Fingerprint(number), hosts.iter().copied(), &[]))
        .collect();
    used.sort_unstable();
    used.dedup();
    assert_eq!(used, hosts);
}
