//! Plays the calls of several nodes to plain servers of unequal speed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::*;
use crate::gateway::speed::relative::{Scope, Sender};

/// Time factors of the servers, and the answer time at 1.
const FACTORS: [f64; 10] = [0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.1, 1.3, 1.5, 2.0];
const ANSWER_MS: f64 = 60.0;

/// Nodes of one group; each calls a server once in seven seconds.
const NODES: usize = 20;

const CALL_INTERVAL_MS: u64 = 34;

/// Time in which each server gets a hundred calls.
const HUNDRED_CALLS_MS: u64 = 34_000;

struct Servers {
    tables: Vec<UpstreamTable>,
    /// Measured by expected time of the calls to each server.
    ratios: Vec<Vec<f64>>,
    now: TimeMs,
    rng: SmallRng,
}

impl Servers {
    fn start() -> Self {
        Self {
            tables: (0..NODES).map(|_node| table(FACTORS.len())).collect(),
            ratios: vec![Vec::new(); FACTORS.len()],
            now: NOW,
            rng: SmallRng::seed_from_u64(5),
        }
    }

    fn run(&mut self, duration_ms: u64) {
        let end = self.now.after(duration_ms);
        while self.now < end {
            let before_ms = self.now.0;
            self.now = self.now.after(CALL_INTERVAL_MS);
            self.call();
            if self.now.0 / 2_000 != before_ms / 2_000 {
                self.exchange();
            }
        }
    }

    fn call(&mut self) {
        let node = self.rng.random_range(0..NODES);
        let server = self.rng.random_range(0..FACTORS.len());
        let took_ms = ANSWER_MS * FACTORS[server] * self.rng.random_range(0.8..1.2);
        let table = &mut self.tables[node];
        let ask = ask("plain", None, &[]);
        let key = table.find(&format!("p{server}")).expect("server is known");
        let pool = PlainPool::of(&candidates(table, &ask, self.now), &ask);
        let upstream = table.get_mut(key).expect("server is known");
        let choice = pool.estimate(key, upstream, self.now);
        self.ratios[server].push(took_ms / choice.expected_ms);
        let outcome = Outcome::Good {
            took_ms: num::round_to_u64(took_ms),
        };
        upstream.health.record(outcome, self.now);
        if let Some(expected_ms) = choice.pool_expected_ms {
            upstream.speed.record(expected_ms, took_ms);
        }
    }

    fn exchange(&mut self) {
        let group: Vec<u64> = (0..NODES as u64).collect();
        for incarnation in &group {
            let own = usize::try_from(*incarnation).expect("nodes are few");
            self.tables[own].age_speeds(2_000);
            let rows = self.tables[own].take_speed_rows(Scope::Node, &[]);
            let sender = Sender {
                incarnation: *incarnation,
                scope: Scope::Node,
                sequence: self.now.0,
                group: &group,
            };
            let others = self.tables.iter_mut().enumerate();
            for (_node, table) in others.filter(|(node, _table)| *node != own) {
                assert_eq!(table.apply_speed_rows(&sender, &rows), 0);
            }
        }
    }
}

/// Guards against nodes with few calls that expect the same of slow and fast servers.
#[test]
fn answers_of_unequal_plain_servers_are_predicted_after_100_calls_each() {
    let mut servers = Servers::start();
    servers.run(HUNDRED_CALLS_MS);
    servers.ratios = vec![Vec::new(); FACTORS.len()];
    servers.run(HUNDRED_CALLS_MS);
    let medians = servers.ratios.iter_mut().map(|ratios| {
        ratios.sort_by(f64::total_cmp);
        ratios[ratios.len() / 2]
    });
    let medians: Vec<f64> = medians.collect();
    let predicted = medians
        .iter()
        .filter(|median| (0.8..=1.25).contains(*median));
    assert!(predicted.count() >= 9, "{medians:?}");
}
