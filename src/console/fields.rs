//! Describes the form's groups, fields and labels once, for rendering and for parsing.

use crate::document::faults::FaultPath;
use crate::document::raw::{
    RawDocument, RawFailureDomain, RawHostClass, RawLatencyClass, RawMeasure, RawModel,
    RawOperator, RawPool, RawPoolHosts, RawPoolKind, RawTeam, Scalar,
};

/// A list of the document whose entries other entries refer to by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReferencedList {
    FailureDomains,
    HostClasses,
    Models,
    LatencyClasses,
}

/// A button that adds an entry to a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AddButton {
    /// Form value of the `action` field.
    pub action: &'static str,
    /// Text of the button.
    pub label: &'static str,
}

/// Description of a list of entries.
#[derive(Debug)]
pub(super) struct Group<T> {
    /// Name of the list's field in the document.
    pub field: &'static str,
    /// Heading of the list.
    pub title: &'static str,
    /// Purpose of the list, shown below the heading.
    pub hint: &'static str,
    /// Buttons that add an entry.
    pub add_buttons: &'static [AddButton],
    /// Returns the name of an entry.
    pub name: fn(&T) -> &Scalar,
}

/// Visits the form's fields in their order on the page.
pub(super) trait FieldVisitor: Sized {
    /// Visits a text field.
    fn text(&mut self, path: &FaultPath, label: &'static str, value: &mut Scalar);
    /// Visits a number field.
    fn number(&mut self, path: &FaultPath, label: &'static str, value: &mut Scalar);
    /// Visits a boolean field.
    fn flag(&mut self, path: &FaultPath, label: &'static str, value: &mut Scalar);
    /// Visits the SHA-256 hash of a token, which a newly entered token replaces.
    fn token(&mut self, path: &FaultPath, value: &mut Scalar);
    /// Visits a reference by name to an entry of `list`.
    fn reference(
        &mut self,
        path: &FaultPath,
        label: &'static str,
        list: ReferencedList,
        value: &mut Scalar,
    );
    /// Visits references by name to entries of `list`.
    fn references(
        &mut self,
        path: &FaultPath,
        label: &'static str,
        list: ReferencedList,
        values: &mut Vec<Scalar>,
    );
    /// Visits a list of words, which the form shows separated by commas.
    fn word_list(&mut self, path: &FaultPath, label: &'static str, values: &mut Vec<Scalar>);
    /// Visits the kind of a pool's upstreams, which is fixed when the pool is added.
    fn pool_kind(&mut self, path: &FaultPath, kind: &mut RawPoolKind);
    /// Visits the number of hosts in each failure domain.
    fn pool_hosts(&mut self, path: &FaultPath, hosts: &mut Vec<RawPoolHosts>);
    /// Visits the fields under a heading.
    fn section(&mut self, title: &'static str, hint: &'static str, fields: impl FnOnce(&mut Self));
    /// Visits the entries of a list, each by `entry`.
    fn group<T: Default>(
        &mut self,
        group: &Group<T>,
        entries: &mut Vec<T>,
        entry: fn(&mut Self, &FaultPath, &mut T),
    );
}

/// Visits all fields of the document.
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
    add_buttons: &[AddButton {
        action: "add teams",
        label: "Add a team",
    }],
    name: |team| &team.name,
};

const LATENCY_CLASSES: Group<RawLatencyClass> = Group {
    field: "latency_classes",
    title: "Latency classes",
    hint: "What callers may expect, for 95 in 100 requests.",
    add_buttons: &[AddButton {
        action: "add latency_classes",
        label: "Add a latency class",
    }],
    name: |class| &class.name,
};

const FAILURE_DOMAINS: Group<RawFailureDomain> = Group {
    field: "failure_domains",
    title: "Failure domains",
    hint: "Hosts that fail or are reclaimed together.",
    add_buttons: &[AddButton {
        action: "add failure_domains",
        label: "Add a failure domain",
    }],
    name: |domain| &domain.name,
};

const HOST_CLASSES: Group<RawHostClass> = Group {
    field: "host_classes",
    title: "Host classes and prices",
    hint: "Classes of hosts that the platform offers.",
    add_buttons: &[AddButton {
        action: "add host_classes",
        label: "Add a host class",
    }],
    name: |class| &class.name,
};

const MODELS: Group<RawModel> = Group {
    field: "models",
    title: "Models and versions",
    hint: "Models that callers may name.",
    add_buttons: &[AddButton {
        action: "add models",
        label: "Add a model",
    }],
    name: |model| &model.name,
};

const POOLS: Group<RawPool> = Group {
    field: "pools",
    title: "Upstreams",
    hint: "Pools of upstreams that serve the same thing.",
    add_buttons: &[
        AddButton {
            action: "add engines",
            label: "Add a pool of model engines",
        },
        AddButton {
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
    add_buttons: &[AddButton {
        action: "add operators",
        label: "Add an operator",
    }],
    name: |operator| &operator.name,
};

fn measure<V: FieldVisitor>(visitor: &mut V, path: &FaultPath, raw: &mut RawMeasure) {
    let cost = path.field("cost_weight");
    visitor.number(&cost, "Weight of cost, 0 to 1", &mut raw.cost_weight);
    let recomputed = path.field("recomputed_tokens_weight");
    let label = "Weight of tokens computed again, 0 to 1";
    visitor.number(&recomputed, label, &mut raw.recomputed_tokens_weight);
}

fn team<V: FieldVisitor>(visitor: &mut V, path: &FaultPath, raw: &mut RawTeam) {
    visitor.text(&path.field("name"), "Name", &mut raw.name);
    visitor.number(
        &path.field("weight"),
        "Share of capacity, relative",
        &mut raw.weight,
    );
    visitor.number(
        &path.field("max_waiting"),
        "Requests waiting, at most",
        &mut raw.max_waiting,
    );
    visitor.reference(
        &path.field("default_latency_class"),
        "Latency class of requests that name none",
        ReferencedList::LatencyClasses,
        &mut raw.default_latency_class,
    );
    visitor.token(&path.field("token_sha256"), &mut raw.token_sha256);
}

fn latency_class<V: FieldVisitor>(visitor: &mut V, path: &FaultPath, raw: &mut RawLatencyClass) {
    visitor.text(&path.field("name"), "Name", &mut raw.name);
    visitor.number(
        &path.field("first_token_ms"),
        "First token, ms",
        &mut raw.first_token_ms,
    );
    let between = path.field("between_tokens_ms");
    visitor.number(&between, "Between tokens, ms", &mut raw.between_tokens_ms);
    visitor.number(
        &path.field("deadline_ms"),
        "Given up after, ms",
        &mut raw.deadline_ms,
    );
    visitor.number(
        &path.field("priority"),
        "Priority, 0 to 9, higher first",
        &mut raw.priority,
    );
}

fn failure_domain<V: FieldVisitor>(visitor: &mut V, path: &FaultPath, raw: &mut RawFailureDomain) {
    visitor.text(&path.field("name"), "Name", &mut raw.name);
    visitor.text(&path.field("region"), "Region", &mut raw.region);
}

fn host_class<V: FieldVisitor>(visitor: &mut V, path: &FaultPath, raw: &mut RawHostClass) {
    visitor.text(&path.field("name"), "Name", &mut raw.name);
    visitor.text(&path.field("provider"), "Provider", &mut raw.provider);
    visitor.flag(
        &path.field("reclaimable"),
        "May be reclaimed",
        &mut raw.reclaimable,
    );
    visitor.number(
        &path.field("price_per_hour"),
        "Price per hour",
        &mut raw.price_per_hour,
    );
    visitor.number(&path.field("slots"), "Streams at once", &mut raw.slots);
    let generated = path.field("tokens_per_second");
    visitor.number(
        &generated,
        "Tokens generated per second",
        &mut raw.tokens_per_second,
    );
    visitor.number(
        &path.field("prefill_tokens_per_second"),
        "Prompt tokens computed per second",
        &mut raw.prefill_tokens_per_second,
    );
    let capacity = path.field("kv_tokens_capacity");
    visitor.number(&capacity, "KV cache, tokens", &mut raw.kv_tokens_capacity);
    let link = path.field("kv_bytes_per_second");
    visitor.number(
        &link,
        "KV cache moved, bytes per second",
        &mut raw.kv_bytes_per_second,
    );
}

fn model<V: FieldVisitor>(visitor: &mut V, path: &FaultPath, raw: &mut RawModel) {
    visitor.text(&path.field("name"), "Name", &mut raw.name);
    visitor.text(&path.field("version"), "Version", &mut raw.version);
    visitor.word_list(
        &path.field("adapters"),
        "Adapters, separated by commas",
        &mut raw.adapters,
    );
    visitor.number(
        &path.field("weights_bytes"),
        "Weights, bytes",
        &mut raw.weights_bytes,
    );
    let per_token = path.field("kv_bytes_per_token");
    visitor.number(
        &per_token,
        "KV cache per token, bytes",
        &mut raw.kv_bytes_per_token,
    );
}

fn pool<V: FieldVisitor>(visitor: &mut V, path: &FaultPath, raw: &mut RawPool) {
    visitor.text(&path.field("name"), "Name", &mut raw.name);
    let kind = path.field("kind");
    visitor.pool_kind(&kind, &mut raw.kind);
    match &mut raw.kind {
        RawPoolKind::Engine(engine) => {
            let path = kind.field("engine");
            let models = &mut engine.models;
            visitor.references(
                &path.field("models"),
                "Models",
                ReferencedList::Models,
                models,
            );
            let label = "Checks who gives an order, by its fencing number";
            visitor.flag(
                &path.field("checks_orders"),
                label,
                &mut engine.checks_orders,
            );
        }
        RawPoolKind::Service(service) => {
            let path = kind.field("service");
            let label = "A call may be repeated unless the caller says otherwise";
            visitor.flag(&path.field("idempotent"), label, &mut service.idempotent);
            let label = "A call may take, ms";
            visitor.number(&path.field("timeout_ms"), label, &mut service.timeout_ms);
        }
    }
    let classes = &mut raw.host_classes;
    visitor.references(
        &path.field("host_classes"),
        "Host classes",
        ReferencedList::HostClasses,
        classes,
    );
    visitor.pool_hosts(&path.field("hosts"), &mut raw.hosts);
}

fn operator<V: FieldVisitor>(visitor: &mut V, path: &FaultPath, raw: &mut RawOperator) {
    visitor.text(&path.field("name"), "Name", &mut raw.name);
    visitor.token(&path.field("token_sha256"), &mut raw.token_sha256);
}
