//! Choosers: the product's own, simple ones to compare it with, and one that knows everything.

use rand::Rng;
use rand::rngs::SmallRng;
use teaselline::blackboard::{Blackboard, HostRow, HostState, LoadReport};
use teaselline::document::Document;
use teaselline::document::checked::{FailureDomain, HostClass, Measure, Model, Pool, PoolKind};
use teaselline::keys::{ClassKey, DomainKey, HostKey, ModelKey, PoolKey};
use teaselline::routing::chain::BLOCK_TOKENS;
use teaselline::routing::{
    Availability, Candidate, PrefixCacheEstimate, PromptBlocks, PromptEstimate, Requirement,
    RoutePolicy, RouteRequest, Weights, choose, gather_candidates,
};
use teaselline::time::TimeMs;
use teaselline::upstreams::{Delivery, Role};

use super::engines::{CACHE_BLOCKS, Engine, PREFILL_TOKENS_PER_SECOND, SLOTS, TOKEN_MS};
use super::workload::Turn;

pub const FIRST_TOKEN_MS: u64 = 750;
const SERVICE_MS: f64 = 4_700.0;
const MODEL: &str = "m";

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    RoundRobin,
    LeastLoad,
    /// A conversation always goes to the host that its key hashes to.
    Hashing,
    /// The product's score on exact caches and loads of all hosts.
    Perfect,
    /// Exact loads and caches; the wait alone decides.
    PerfectLoad,
    Product(RoutePolicy),
}

/// One entry node's view.
pub struct Node {
    blackboard: Blackboard,
    cache: PrefixCacheEstimate,
    next: usize,
    net: Vec<i16>,
}

pub fn host_key(index: usize) -> HostKey {
    HostKey::from_name(&format!("h-{index}"))
}

fn address() -> std::net::SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

impl Node {
    pub fn new(hosts: usize) -> Self {
        let blackboard = Blackboard::default();
        let cache = PrefixCacheEstimate::default();
        for index in 0..hosts {
            let key = host_key(index);
            cache.set_capacity(key, CACHE_BLOCKS as u64 * BLOCK_TOKENS);
            blackboard.upsert_host(HostRow {
                key,
                name: format!("h-{index}"),
                address: address(),
                domain: DomainKey((index % 4) as u16),
                class: ClassKey(0),
                pool: PoolKey(0),
                state: HostState::Live,
                load: LoadReport::default(),
                own_open_streams: 0,
            });
        }
        Self {
            blackboard,
            cache,
            next: 0,
            net: vec![0; hosts],
        }
    }

    pub fn put_load(&self, host: usize, load: LoadReport) {
        self.blackboard
            .with_host(host_key(host), |row| row.load = load);
    }

    pub fn cache(&self) -> &PrefixCacheEstimate {
        &self.cache
    }

    pub fn choose(
        &mut self,
        policy: Policy,
        document: &Document,
        engines: &[Engine],
        turn: &Turn,
        rng: &mut SmallRng,
    ) -> Chosen {
        let hosts = engines.len();
        match policy {
            Policy::RoundRobin => {
                self.next += 1;
                Chosen::simple(self.next % hosts)
            }
            Policy::LeastLoad => Chosen::simple(self.least_load(hosts, rng)),
            Policy::Hashing => Chosen::simple((turn.key % hosts as u64) as usize),
            Policy::Perfect | Policy::PerfectLoad => perfect(policy, engines, turn, rng),
            Policy::Product(policy) => self.product(policy, document, hosts, turn, rng),
        }
    }

    fn least_load(&self, hosts: usize, rng: &mut SmallRng) -> usize {
        let load = |index: &usize| {
            let reported = self.blackboard.with_host(host_key(*index), |row| row.load);
            let reported = reported.unwrap_or_default();
            reported.running + reported.queued
        };
        let least = (0..hosts).map(|index| load(&index)).min().unwrap();
        let equal: Vec<_> = (0..hosts).filter(|index| load(index) == least).collect();
        equal[rng.random_range(0..equal.len())]
    }

    fn product(
        &mut self,
        policy: RoutePolicy,
        document: &Document,
        hosts: usize,
        turn: &Turn,
        rng: &mut SmallRng,
    ) -> Chosen {
        let chain = PromptBlocks::from_blocks(turn.blocks.clone());
        let need = Requirement::Model {
            model: MODEL,
            role: Role::Interactive,
        };
        let mut view = gather_candidates(&self.blackboard, document, need, turn.at_ms);
        let prompt = self.cache.look_up(&chain);
        prompt.set_cached_tokens(&mut view);
        let ask = ask(turn, &prompt, policy);
        let choice = choose(&view, &ask, turn.at_ms, rng).unwrap();
        self.cache
            .record_sent(choice.host, &chain, choice.cached_tokens);
        self.blackboard.upstreams.with(choice.host, |row| {
            row.unreported_load
                .record_open(choice.prefill_ms, turn.at_ms);
        });
        let host = (0..hosts).find(|index| host_key(*index) == choice.host);
        let host = host.unwrap();
        self.net[host] += 1;
        Chosen {
            host,
            expected_cached_tokens: choice.cached_tokens,
            expected_ms: choice.prefill_ms,
        }
    }

    /// What it sent since the last time, by host.
    pub fn take_net(&mut self) -> Vec<i16> {
        let empty = vec![0; self.net.len()];
        std::mem::replace(&mut self.net, empty)
    }

    pub fn put_net(&self, net: &[i16], at_ms: TimeMs) {
        for (host, net) in net.iter().enumerate().filter(|(_, net)| **net != 0) {
            self.blackboard.upstreams.with(host_key(host), |row| {
                row.unreported_peer_load.record_net_streams(*net, at_ms);
            });
        }
    }

    pub fn note_first_token(&self, host: usize, chosen: &Chosen, took_ms: u64, now: TimeMs) {
        let excess_ms = took_ms as f64 - chosen.expected_ms - TOKEN_MS as f64;
        self.blackboard.upstreams.with(host_key(host), |row| {
            row.unreported_load.record_first_token(excess_ms, now);
        });
    }

    pub fn note_done(
        &mut self,
        host: usize,
        turn: &Turn,
        chosen: &Chosen,
        cached: u64,
        now: TimeMs,
    ) {
        let key = host_key(host);
        self.net[host] -= 1;
        let chain = PromptBlocks::from_blocks(turn.blocks.clone());
        self.cache
            .record_done(key, &chain, chosen.expected_cached_tokens, cached);
        self.blackboard
            .upstreams
            .with(key, |row| row.unreported_load.record_close(now));
    }
}

#[derive(Clone)]
pub struct Chosen {
    pub host: usize,
    expected_cached_tokens: f64,
    expected_ms: f64,
}

impl Chosen {
    fn simple(host: usize) -> Self {
        Self {
            host,
            expected_cached_tokens: 0.0,
            expected_ms: 0.0,
        }
    }
}

fn ask<'a>(turn: &Turn, prompt: &PromptEstimate, policy: RoutePolicy) -> RouteRequest<'a> {
    RouteRequest {
        prompt_tokens: turn.prompt_tokens,
        shared_tokens: prompt.shared_tokens,
        affinity: prompt.affinity,
        shared_affinity: prompt.shared_affinity,
        first_token_ms: FIRST_TOKEN_MS,
        service_ms: SERVICE_MS,
        delivery: Delivery::Repeatable,
        tried: &[],
        failed_domains: &[],
        weights: Weights {
            cost: 0.4,
            recomputed_tokens: 0.6,
        },
        policy,
    }
}

fn perfect(policy: Policy, engines: &[Engine], turn: &Turn, rng: &mut SmallRng) -> Chosen {
    let with_cache = policy == Policy::Perfect;
    let view: Vec<_> = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| Candidate {
            host: host_key(index),
            address: address(),
            domain: DomainKey(0),
            availability: Availability::Open,
            has_model: true,
            is_role_match: true,
            streams_ahead: f64::from(engine.running) + engine.queue.len() as f64,
            slots: SLOTS,
            prefill_backlog_ms: engine.prefill_free_ms.saturating_sub(turn.at_ms.0) as f64,
            first_token_excess_ms: 0.0,
            prefill_tokens_per_second: PREFILL_TOKENS_PER_SECOND,
            cached_tokens: (engine.cache.cached_blocks(&turn.blocks) * BLOCK_TOKENS) as f64,
            price_per_hour: 1.0,
        })
        .collect();
    let prompt = PromptEstimate {
        affinity: turn.key,
        shared_affinity: None,
        shared_tokens: 0,
        cached: Vec::new(),
    };
    let mut policy = RoutePolicy {
        affinity_candidates: engines.len(),
        ..RoutePolicy::default()
    };
    if !with_cache {
        policy.recompute_weight = 0.0;
        policy.unique_prefill_weight = 0.0;
    }
    let choice = choose(&view, &ask(turn, &prompt, policy), turn.at_ms, rng).unwrap();
    let host = (0..engines.len()).find(|index| host_key(*index) == choice.host);
    Chosen::simple(host.unwrap())
}

pub fn document() -> Document {
    Document {
        deployment: "test".to_owned(),
        measure: Measure {
            cost_weight: 0.4,
            recomputed_tokens_weight: 0.6,
        },
        failure_domains: (0..4)
            .map(|number| FailureDomain {
                name: format!("d-{number}"),
                region: "r".to_owned(),
            })
            .collect(),
        host_classes: vec![HostClass {
            name: "c".to_owned(),
            provider: "p".to_owned(),
            reclaimable: true,
            price_per_hour: 1.0,
            slots: SLOTS,
            tokens_per_second: 500.0,
            prefill_tokens_per_second: PREFILL_TOKENS_PER_SECOND,
            kv_tokens_capacity: CACHE_BLOCKS as u64 * BLOCK_TOKENS,
            kv_bytes_per_second: 1e9,
        }],
        models: vec![Model {
            name: MODEL.to_owned(),
            version: "1".to_owned(),
            adapters: Vec::new(),
            weights_bytes: 1,
            kv_bytes_per_token: 1,
        }],
        pools: vec![Pool {
            name: "engines".to_owned(),
            kind: PoolKind::Engine {
                models: vec![ModelKey(0)],
                checks_orders: true,
            },
            hosts: Vec::new(),
            host_classes: vec![ClassKey(0)],
        }],
        latency_classes: Vec::new(),
        teams: Vec::new(),
        operators: Vec::new(),
    }
}
