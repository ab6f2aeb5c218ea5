//! Validates each section of the document and sorts its entries by name.

use super::reader::{Reader, find_duplicates};
use crate::document::checked::{
    Document, FailureDomain, HostClass, LatencyClass, Measure, Model, Operator, Pool, PoolKind,
    Team,
};
use crate::document::faults::{FaultKind, FaultPath};
use crate::document::raw::{
    RawFailureDomain, RawHostClass, RawLatencyClass, RawMeasure, RawModel, RawOperator, RawPool,
    RawPoolHosts, RawPoolKind, RawTeam, Scalar,
};
use crate::keys::{DomainKey, LatencyKey};

/// Allowed deviation of the sum of the weights from 1, for the rounding of decimal fractions.
const WEIGHTS_TOLERANCE: f64 = 1e-9;
/// Highest allowed price of a host per hour.
const MAX_PRICE_PER_HOUR: f64 = 1e6;
/// Highest plausible rate of tokens or bytes per second.
const MAX_RATE_PER_SECOND: f64 = 1e15;
/// Largest size in bytes or tokens that a JSON number represents exactly.
const MAX_EXACT_SIZE: u64 = 1 << 53;
/// Longest allowed duration of one request, one day.
const MAX_DURATION_MS: u64 = 24 * 60 * 60 * 1_000;
/// Highest priority in the engine protocol.
const MAX_PRIORITY: u8 = 9;
/// Allowed range of a team's weight.
const TEAM_WEIGHT_RANGE: std::ops::RangeInclusive<f64> = 0.001..=1_000_000.0;

/// Validates the two weights of the measure.
pub(super) fn measure(reader: &mut Reader, raw: &RawMeasure) -> Measure {
    let path = FaultPath::root().field("measure");
    let unit = 0.0..=1.0;
    let cost = path.field("cost_weight");
    let recomputed = path.field("recomputed_tokens_weight");
    let measure = Measure {
        cost_weight: reader.number(&cost, &raw.cost_weight, unit.clone()),
        recomputed_tokens_weight: reader.number(&recomputed, &raw.recomputed_tokens_weight, unit),
    };
    let sum = measure.cost_weight + measure.recomputed_tokens_weight;
    let are_numbers = raw.cost_weight.0.is_number() && raw.recomputed_tokens_weight.0.is_number();
    if are_numbers && (sum - 1.0).abs() > WEIGHTS_TOLERANCE {
        reader.fault(path, FaultKind::WeightsSum);
    }
    measure
}

/// Validates the failure domains.
pub(super) fn failure_domains(reader: &mut Reader, raw: &[RawFailureDomain]) -> Vec<FailureDomain> {
    let list = named_list(reader, "failure_domains", raw.iter().map(|raw| &raw.name));
    let mut domains = Vec::with_capacity(raw.len());
    for (index, raw) in raw.iter().enumerate() {
        let path = list.index(index);
        domains.push(FailureDomain {
            name: reader.name(&path.field("name"), &raw.name),
            region: reader.name(&path.field("region"), &raw.region),
        });
    }
    domains.sort_by(|a, b| a.name.cmp(&b.name));
    domains
}

/// Validates the host classes.
pub(super) fn host_classes(reader: &mut Reader, raw: &[RawHostClass]) -> Vec<HostClass> {
    let list = named_list(reader, "host_classes", raw.iter().map(|raw| &raw.name));
    let mut classes = Vec::with_capacity(raw.len());
    for (index, raw) in raw.iter().enumerate() {
        classes.push(host_class(reader, &list.index(index), raw));
    }
    classes.sort_by(|a, b| a.name.cmp(&b.name));
    classes
}

fn host_class(reader: &mut Reader, path: &FaultPath, raw: &RawHostClass) -> HostClass {
    let at = |field| path.field(field);
    let rate = 0.001..=MAX_RATE_PER_SECOND;
    HostClass {
        name: reader.name(&at("name"), &raw.name),
        provider: reader.name(&at("provider"), &raw.provider),
        reclaimable: reader.boolean(&at("reclaimable"), &raw.reclaimable),
        price_per_hour: reader.number(
            &at("price_per_hour"),
            &raw.price_per_hour,
            0.0..=MAX_PRICE_PER_HOUR,
        ),
        slots: reader.integer(&at("slots"), &raw.slots, 1..=65_536),
        tokens_per_second: reader.number(
            &at("tokens_per_second"),
            &raw.tokens_per_second,
            rate.clone(),
        ),
        prefill_tokens_per_second: reader.number(
            &at("prefill_tokens_per_second"),
            &raw.prefill_tokens_per_second,
            rate.clone(),
        ),
        kv_tokens_capacity: reader.integer(
            &at("kv_tokens_capacity"),
            &raw.kv_tokens_capacity,
            1..=MAX_EXACT_SIZE,
        ),
        kv_bytes_per_second: reader.number(
            &at("kv_bytes_per_second"),
            &raw.kv_bytes_per_second,
            rate,
        ),
    }
}

/// Validates the models.
pub(super) fn models(reader: &mut Reader, raw: &[RawModel]) -> Vec<Model> {
    let list = named_list(reader, "models", raw.iter().map(|raw| &raw.name));
    let mut models = Vec::with_capacity(raw.len());
    for (index, raw) in raw.iter().enumerate() {
        models.push(model(reader, &list.index(index), raw));
    }
    models.sort_by(|a, b| a.name.cmp(&b.name));
    models
}

fn model(reader: &mut Reader, path: &FaultPath, raw: &RawModel) -> Model {
    let at = |field| path.field(field);
    let adapters = at("adapters");
    for (index, first) in find_duplicates(raw.adapters.iter()) {
        let earlier = adapters.index(first);
        reader.fault(
            adapters.index(index),
            FaultKind::DuplicateReference { earlier },
        );
    }
    let mut names = Vec::with_capacity(raw.adapters.len());
    for (index, adapter) in raw.adapters.iter().enumerate() {
        names.push(reader.name(&adapters.index(index), adapter));
    }
    names.sort();
    Model {
        name: reader.name(&at("name"), &raw.name),
        version: reader.name(&at("version"), &raw.version),
        adapters: names,
        weights_bytes: reader.integer(&at("weights_bytes"), &raw.weights_bytes, 1..=MAX_EXACT_SIZE),
        kv_bytes_per_token: reader.integer(
            &at("kv_bytes_per_token"),
            &raw.kv_bytes_per_token,
            1..=MAX_EXACT_SIZE,
        ),
    }
}

/// Validates the pools; the failure domains, host classes and models must be read before.
pub(super) fn pools(reader: &mut Reader, raw: &[RawPool], document: &Document) -> Vec<Pool> {
    let list = named_list(reader, "pools", raw.iter().map(|raw| &raw.name));
    let mut pools = Vec::with_capacity(raw.len());
    for (index, raw) in raw.iter().enumerate() {
        pools.push(pool(reader, &list.index(index), raw, document));
    }
    pools.sort_by(|a, b| a.name.cmp(&b.name));
    pools
}

fn pool(reader: &mut Reader, path: &FaultPath, raw: &RawPool, document: &Document) -> Pool {
    Pool {
        name: reader.name(&path.field("name"), &raw.name),
        kind: pool_kind(reader, &path.field("kind"), &raw.kind, document),
        hosts: pool_hosts(reader, &path.field("hosts"), &raw.hosts, document),
        host_classes: reader.references(
            &path.field("host_classes"),
            &raw.host_classes,
            "host_classes",
            |name| document.find_host_class(name),
        ),
    }
}

fn pool_kind(
    reader: &mut Reader,
    path: &FaultPath,
    raw: &RawPoolKind,
    document: &Document,
) -> PoolKind {
    match raw {
        RawPoolKind::Engine(engine) => {
            let path = path.field("engine");
            let models = path.field("models");
            let find = |name: &str| document.find_model(name);
            PoolKind::Engine {
                models: reader.references(&models, &engine.models, "models", find),
                checks_orders: reader.boolean(&path.field("checks_orders"), &engine.checks_orders),
            }
        }
        RawPoolKind::Service(service) => {
            let path = path.field("service");
            let timeout_ms = path.field("timeout_ms");
            PoolKind::Service {
                idempotent: reader.boolean(&path.field("idempotent"), &service.idempotent),
                timeout_ms: reader.integer(&timeout_ms, &service.timeout_ms, 1..=MAX_DURATION_MS),
            }
        }
    }
}

fn pool_hosts(
    reader: &mut Reader,
    path: &FaultPath,
    raw: &[RawPoolHosts],
    document: &Document,
) -> Vec<(DomainKey, u16)> {
    reader.not_empty(path, raw.len());
    for (index, first) in find_duplicates(raw.iter().map(|raw| &raw.failure_domain)) {
        let earlier = path.index(first);
        let repeated = path.index(index).field("failure_domain");
        reader.fault(repeated, FaultKind::DuplicateReference { earlier });
    }
    let mut hosts = Vec::with_capacity(raw.len());
    for (index, raw) in raw.iter().enumerate() {
        let path = path.index(index);
        let domain = reader.reference(
            &path.field("failure_domain"),
            &raw.failure_domain,
            "failure_domains",
            |name| document.find_failure_domain(name),
        );
        let count = reader.integer(&path.field("count"), &raw.count, 0..=u16::MAX);
        hosts.extend(domain.map(|domain| (domain, count)));
    }
    let all_zero = raw.iter().all(|raw| raw.count.0.as_u64() == Some(0));
    if all_zero && !raw.is_empty() {
        reader.fault(path.clone(), FaultKind::NoHosts);
    }
    hosts.sort_unstable();
    hosts
}

/// Validates the latency classes.
pub(super) fn latency_classes(reader: &mut Reader, raw: &[RawLatencyClass]) -> Vec<LatencyClass> {
    let list = named_list(reader, "latency_classes", raw.iter().map(|raw| &raw.name));
    let mut classes = Vec::with_capacity(raw.len());
    for (index, raw) in raw.iter().enumerate() {
        classes.push(latency_class(reader, &list.index(index), raw));
    }
    classes.sort_by(|a, b| a.name.cmp(&b.name));
    classes
}

fn latency_class(reader: &mut Reader, path: &FaultPath, raw: &RawLatencyClass) -> LatencyClass {
    let at = |field| path.field(field);
    let duration = 1..=MAX_DURATION_MS;
    let class = LatencyClass {
        name: reader.name(&at("name"), &raw.name),
        first_token_ms: reader.integer(
            &at("first_token_ms"),
            &raw.first_token_ms,
            duration.clone(),
        ),
        between_tokens_ms: reader.integer(
            &at("between_tokens_ms"),
            &raw.between_tokens_ms,
            duration.clone(),
        ),
        deadline_ms: reader.integer(&at("deadline_ms"), &raw.deadline_ms, duration),
        priority: reader.integer(&at("priority"), &raw.priority, 0..=MAX_PRIORITY),
    };
    if class.deadline_ms > 0 && class.deadline_ms < class.first_token_ms {
        reader.fault(at("deadline_ms"), FaultKind::DeadlineBeforeFirstToken);
    }
    class
}

/// Validates the teams; the latency classes must be read before.
pub(super) fn teams(reader: &mut Reader, raw: &[RawTeam], document: &Document) -> Vec<Team> {
    let list = named_list(reader, "teams", raw.iter().map(|raw| &raw.name));
    let mut teams = Vec::with_capacity(raw.len());
    for (index, raw) in raw.iter().enumerate() {
        teams.push(team(reader, &list.index(index), raw, document));
    }
    teams.sort_by(|a, b| a.name.cmp(&b.name));
    teams
}

fn team(reader: &mut Reader, path: &FaultPath, raw: &RawTeam, document: &Document) -> Team {
    let at = |field| path.field(field);
    let default_latency_class = reader.reference(
        &at("default_latency_class"),
        &raw.default_latency_class,
        "latency_classes",
        |name| document.find_latency_class(name),
    );
    Team {
        name: reader.name(&at("name"), &raw.name),
        token_sha256: reader.token_sha256(&at("token_sha256"), &raw.token_sha256),
        weight: reader.number(&at("weight"), &raw.weight, TEAM_WEIGHT_RANGE),
        max_waiting: reader.integer(&at("max_waiting"), &raw.max_waiting, 1..=1_000_000),
        default_latency_class: default_latency_class.unwrap_or(LatencyKey(0)),
    }
}

/// Validates the operators.
pub(super) fn operators(reader: &mut Reader, raw: &[RawOperator]) -> Vec<Operator> {
    let list = named_list(reader, "operators", raw.iter().map(|raw| &raw.name));
    let mut operators = Vec::with_capacity(raw.len());
    for (index, raw) in raw.iter().enumerate() {
        let path = list.index(index);
        operators.push(Operator {
            name: reader.label(&path.field("name"), &raw.name),
            token_sha256: reader.token_sha256(&path.field("token_sha256"), &raw.token_sha256),
        });
    }
    operators.sort_by(|a, b| a.name.cmp(&b.name));
    operators
}

fn named_list<'a>(
    reader: &mut Reader,
    field: &str,
    names: impl ExactSizeIterator<Item = &'a Scalar>,
) -> FaultPath {
    let list = FaultPath::root().field(field);
    reader.not_empty(&list, names.len());
    reader.unique_names(&list, names);
    list
}
