//! Describes the form once: its groups, fields and labels, for writing it and for reading it back.

use crate::document::faults::FaultPath;
use crate::document::raw::{
    RawDocument, RawFailureDomain, RawHostClass, RawLatencyClass, RawMeasure, RawModel,
    RawOperator, RawPool, RawPoolHosts, RawPoolKind, RawTeam, Scalar,
};

/// A list of the document whose entries others name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Named {
    FailureDomains,
    HostClasses,
    Models,
    LatencyClasses,
}

/// What a button adds to a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Adding {
    /// The value of the button's action.
    pub action: &'static str,
    /// What it says.
    pub label: &'static str,
}

/// A list of entries.
#[derive(Debug)]
pub(super) struct Group<T> {
    /// The field of the document.
    pub field: &'static str,
    /// Its heading.
    pub title: &'static str,
    /// What the list is for.
    pub hint: &'static str,
    /// Buttons that add to it.
    pub adding: &'static [Adding],
    /// The name of an entry.
    pub name: fn(&T) -> &Scalar,
}

/// Goes through the form's fields, in order.
pub(super) trait FieldVisitor: Sized {
    /// A text.
    fn text(&mut self, at: &FaultPath, label: &'static str, value: &mut Scalar);
    /// A number.
    fn number(&mut self, at: &FaultPath, label: &'static str, value: &mut Scalar);
    /// True or false.
    fn flag(&mut self, at: &FaultPath, label: &'static str, value: &mut Scalar);
    /// SHA-256 of a token, or a new token that takes its place.
    fn token(&mut self, at: &FaultPath, value: &mut Scalar);
    /// The name of an entry of another list.
    fn choice(&mut self, at: &FaultPath, label: &'static str, list: Named, value: &mut Scalar);
    /// Names of entries of another list.
    fn choices(
        &mut self,
        at: &FaultPath,
        label: &'static str,
        list: Named,
        values: &mut Vec<Scalar>,
    );
    /// Words, separated by commas.
    fn words(&mut self, at: &FaultPath, label: &'static str, values: &mut Vec<Scalar>);
    /// What a pool's upstreams are; fixed when the pool is added.
    fn pool_kind(&mut self, at: &FaultPath, kind: &mut RawPoolKind);
    /// A number of hosts for each failure domain.
    fn pool_hosts(&mut self, at: &FaultPath, hosts: &mut Vec<RawPoolHosts>);
    /// Fields under a heading.
    fn section(&mut self, title: &'static str, hint: &'static str, fields: impl FnOnce(&mut Self));
    /// A list of entries.
    fn group<T: Default>(
        &mut self,
        group: &Group<T>,
        entries: &mut Vec<T>,
        entry: fn(&mut Self, &FaultPath, &mut T),
    );
}

/// Goes through the whole document.
pub(super) fn document<V: FieldVisitor>(visitor: &mut V, raw: &mut RawDocument) {
    let root = FaultPath::root();
    visitor.section(
        "Deployment and measure",
        "The two weights add up to 1 and decide where cost and tokens computed again pull apart.",
        |visitor| {
            visitor.text(
                &root.field("deployment"),
                "Name of the deployment",
                &mut raw.deployment,
            );
            measure(visitor, &root.field("measure"), &mut raw.measure);
        },
    );
    visitor.group(&TEAMS, &mut raw.teams, team);
    visitor.group(&LATENCY_CLASSES, &mut raw.latency_classes, latency_class);
    visitor.group(&FAILURE_DOMAINS, &mut raw.failure_domains, failure_domain);
    visitor.group(&HOST_CLASSES, &mut raw.host_classes, host_class);
    visitor.group(&MODELS, &mut raw.models, model);
    visitor.group(&POOLS, &mut raw.pools, pool);
    visitor.group(&OPERATORS, &mut raw.operators, operator);
}

const TEAMS: Group<RawTeam> = Group {
    field: "teams",
    title: "Teams",
    hint: "Callers that share a token and limits.",
    adding: &[Adding {
        action: "add teams",
        label: "Add a team",
    }],
    name: |team| &team.name,
};

const LATENCY_CLASSES: Group<RawLatencyClass> = Group {
    field: "latency_classes",
    title: "Latency classes",
    hint: "What callers may expect, for 95 in 100 requests.",
    adding: &[Adding {
        action: "add latency_classes",
        label: "Add a latency class",
    }],
    name: |class| &class.name,
};

const FAILURE_DOMAINS: Group<RawFailureDomain> = Group {
    field: "failure_domains",
    title: "Failure domains",
    hint: "Hosts that fail or are reclaimed together.",
    adding: &[Adding {
        action: "add failure_domains",
        label: "Add a failure domain",
    }],
    name: |domain| &domain.name,
};

const HOST_CLASSES: Group<RawHostClass> = Group {
    field: "host_classes",
    title: "Host classes and prices",
    hint: "Classes of hosts that the platform offers.",
    adding: &[Adding {
        action: "add host_classes",
        label: "Add a host class",
    }],
    name: |class| &class.name,
};

const MODELS: Group<RawModel> = Group {
    field: "models",
    title: "Models and versions",
    hint: "Models that callers may name.",
    adding: &[Adding {
        action: "add models",
        label: "Add a model",
    }],
    name: |model| &model.name,
};

const POOLS: Group<RawPool> = Group {
    field: "pools",
    title: "Upstreams",
    hint: "Pools of upstreams that serve the same thing.",
    adding: &[
        Adding {
            action: "add engines",
            label: "Add a pool of model engines",
        },
        Adding {
            action: "add services",
            label: "Add a pool of plain services",
        },
    ],
    name: |pool| &pool.name,
};

const OPERATORS: Group<RawOperator> = Group {
    field: "operators",
    title: "Operators",
    hint: "Who may change this document.",
    adding: &[Adding {
        action: "add operators",
        label: "Add an operator",
    }],
    name: |operator| &operator.name,
};

fn measure<V: FieldVisitor>(visitor: &mut V, at: &FaultPath, raw: &mut RawMeasure) {
    let cost = at.field("cost_weight");
    visitor.number(&cost, "Weight of cost, 0 to 1", &mut raw.cost_weight);
    let recomputed = at.field("recomputed_tokens_weight");
    let label = "Weight of tokens computed again, 0 to 1";
    visitor.number(&recomputed, label, &mut raw.recomputed_tokens_weight);
}

fn team<V: FieldVisitor>(visitor: &mut V, at: &FaultPath, raw: &mut RawTeam) {
    visitor.text(&at.field("name"), "Name", &mut raw.name);
    visitor.number(
        &at.field("weight"),
        "Share of capacity, relative",
        &mut raw.weight,
    );
    visitor.number(
        &at.field("max_waiting"),
        "Requests waiting, at most",
        &mut raw.max_waiting,
    );
    visitor.choice(
        &at.field("default_latency_class"),
        "Latency class of requests that name none",
        Named::LatencyClasses,
        &mut raw.default_latency_class,
    );
    visitor.token(&at.field("token_sha256"), &mut raw.token_sha256);
}

fn latency_class<V: FieldVisitor>(visitor: &mut V, at: &FaultPath, raw: &mut RawLatencyClass) {
    visitor.text(&at.field("name"), "Name", &mut raw.name);
    visitor.number(
        &at.field("first_token_ms"),
        "First token, ms",
        &mut raw.first_token_ms,
    );
    let between = at.field("between_tokens_ms");
    visitor.number(&between, "Between tokens, ms", &mut raw.between_tokens_ms);
    visitor.number(
        &at.field("deadline_ms"),
        "Given up after, ms",
        &mut raw.deadline_ms,
    );
    visitor.number(
        &at.field("priority"),
        "Priority, 0 to 9, higher first",
        &mut raw.priority,
    );
}

fn failure_domain<V: FieldVisitor>(visitor: &mut V, at: &FaultPath, raw: &mut RawFailureDomain) {
    visitor.text(&at.field("name"), "Name", &mut raw.name);
    visitor.text(&at.field("region"), "Region", &mut raw.region);
}

fn host_class<V: FieldVisitor>(visitor: &mut V, at: &FaultPath, raw: &mut RawHostClass) {
    visitor.text(&at.field("name"), "Name", &mut raw.name);
    visitor.text(&at.field("provider"), "Provider", &mut raw.provider);
    visitor.flag(
        &at.field("reclaimable"),
        "May be reclaimed",
        &mut raw.reclaimable,
    );
    visitor.number(
        &at.field("price_per_hour"),
        "Price per hour",
        &mut raw.price_per_hour,
    );
    visitor.number(&at.field("slots"), "Streams at once", &mut raw.slots);
    let generated = at.field("tokens_per_second");
    visitor.number(
        &generated,
        "Tokens generated per second",
        &mut raw.tokens_per_second,
    );
    visitor.number(
        &at.field("prefill_tokens_per_second"),
        "Prompt tokens computed per second",
        &mut raw.prefill_tokens_per_second,
    );
    let capacity = at.field("kv_tokens_capacity");
    visitor.number(&capacity, "KV cache, tokens", &mut raw.kv_tokens_capacity);
    let link = at.field("kv_bytes_per_second");
    visitor.number(
        &link,
        "KV cache moved, bytes per second",
        &mut raw.kv_bytes_per_second,
    );
}

fn model<V: FieldVisitor>(visitor: &mut V, at: &FaultPath, raw: &mut RawModel) {
    visitor.text(&at.field("name"), "Name", &mut raw.name);
    visitor.text(&at.field("version"), "Version", &mut raw.version);
    visitor.words(
        &at.field("adapters"),
        "Adapters, separated by commas",
        &mut raw.adapters,
    );
    visitor.number(
        &at.field("weights_bytes"),
        "Weights, bytes",
        &mut raw.weights_bytes,
    );
    let per_token = at.field("kv_bytes_per_token");
    visitor.number(
        &per_token,
        "KV cache per token, bytes",
        &mut raw.kv_bytes_per_token,
    );
}

fn pool<V: FieldVisitor>(visitor: &mut V, at: &FaultPath, raw: &mut RawPool) {
    visitor.text(&at.field("name"), "Name", &mut raw.name);
    let kind = at.field("kind");
    visitor.pool_kind(&kind, &mut raw.kind);
    match &mut raw.kind {
        RawPoolKind::Engine(engine) => {
            let at = kind.field("engine");
            let models = &mut engine.models;
            visitor.choices(&at.field("models"), "Models", Named::Models, models);
            let label = "Checks who gives an order, by its fencing number";
            visitor.flag(&at.field("checks_orders"), label, &mut engine.checks_orders);
        }
        RawPoolKind::Service(service) => {
            let at = kind.field("service");
            let label = "A call may be repeated unless the caller says otherwise";
            visitor.flag(&at.field("idempotent"), label, &mut service.idempotent);
            let label = "A call may take, ms";
            visitor.number(&at.field("timeout_ms"), label, &mut service.timeout_ms);
        }
    }
    let classes = &mut raw.host_classes;
    visitor.choices(
        &at.field("host_classes"),
        "Host classes",
        Named::HostClasses,
        classes,
    );
    visitor.pool_hosts(&at.field("hosts"), &mut raw.hosts);
}

fn operator<V: FieldVisitor>(visitor: &mut V, at: &FaultPath, raw: &mut RawOperator) {
    visitor.text(&at.field("name"), "Name", &mut raw.name);
    visitor.token(&at.field("token_sha256"), &mut raw.token_sha256);
}
