//! What is logged and counted of one request.

use http::StatusCode;
use metrics::{Histogram, Key, Label, Metadata};

use crate::gateway::catalog::Route;
use crate::gateway::clock;
use crate::gateway::num;
use crate::gateway::quota::Shortfall;
use crate::gateway::refusal::Refusal;
use crate::time::TimeMs;

/// What a choice of upstream was made from.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Inputs {
    /// Until the first token or the answer.
    pub expected_ms: f64,
    /// Requests that were there, of all nodes, and those that it runs at once.
    pub running: u32,
    pub slots: u32,
    /// Prompt tokens that it had to read, and those that it could copy from another.
    pub unread_tokens: u64,
    pub copied_tokens: u64,
    /// Requests a second that it takes from all nodes, if it names a limit.
    pub limit_per_s: Option<f64>,
    /// How old the view of upstreams was, and the configuration.
    pub upstreams_age_ms: u64,
    pub configuration_age_ms: u64,
}

/// The histograms of one request's route; looked up once, since a stream has many events.
struct Measures {
    first_token: Histogram,
    pause: Histogram,
    expected: Histogram,
    answer: Histogram,
}

impl Measures {
    fn new(route: String, kind: &'static str) -> Self {
        let labels = [
            Label::new("route", route),
            Label::from_static_parts("kind", kind),
        ];
        let of = |name: &'static str| {
            let key = Key::from_parts(name, labels.to_vec());
            metrics::with_recorder(|recorder| recorder.register_histogram(&key, &METADATA))
        };
        Self {
            first_token: of("teaselline_first_token_ms"),
            pause: of("teaselline_pause_ms"),
            expected: of("teaselline_expected_ms"),
            answer: of("teaselline_answer_ms"),
        }
    }
}

impl std::fmt::Debug for Measures {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Measures")
    }
}

/// Where the histograms come from, for recorders that filter by it.
static METADATA: Metadata<'static> =
    Metadata::new(module_path!(), metrics::Level::INFO, Some(module_path!()));

/// Collects what decided about a request and writes one line when it ends.
#[derive(Debug)]
pub(super) struct Story {
    received_at: TimeMs,
    request_id: Option<String>,
    route: String,
    /// None until its route is known.
    measures: Option<Measures>,
    team: Option<String>,
    configuration_version: u64,
    upstream: String,
    inputs: Inputs,
    sends: u32,
    first_ms: Option<u64>,
    /// When the newest event of a stream came.
    event_at: TimeMs,
    /// When its caller was told to come back, if it was refused.
    retry_after_ms: Option<u64>,
    /// What its team's limit was judged by, if that refused it.
    shortfall: Option<Shortfall>,
    is_told: bool,
}

impl Story {
    pub fn new(received_at: TimeMs) -> Self {
        Self {
            received_at,
            request_id: None,
            route: String::new(),
            measures: None,
            team: None,
            configuration_version: 0,
            upstream: String::new(),
            inputs: Inputs::default(),
            sends: 0,
            first_ms: None,
            event_at: received_at,
            retry_after_ms: None,
            shortfall: None,
            is_told: false,
        }
    }

    pub fn request_id(&self) -> Option<&str> {
        self.request_id.as_deref()
    }

    pub fn identify(&mut self, id: &str) {
        self.request_id = Some(id.to_owned());
    }

    /// The request's route is known; `label` stands for it in metrics.
    pub fn routed(&mut self, route: &Route, label: String, team: Option<&str>) {
        route.name.clone_into(&mut self.route);
        let kind = if route.is_stream { "stream" } else { "plain" };
        self.measures = Some(Measures::new(label, kind));
        self.team = team.map(str::to_owned);
    }

    /// The configuration that it was judged by, and how old that was.
    pub fn configured(&mut self, version: u64, age_ms: u64) {
        self.configuration_version = version;
        self.inputs.configuration_age_ms = age_ms;
    }

    /// The request goes to an upstream.
    pub fn sent(&mut self, upstream: &str, inputs: Inputs) {
        upstream.clone_into(&mut self.upstream);
        if let Some(measures) = &self.measures {
            measures.expected.record(inputs.expected_ms);
        }
        self.inputs = inputs;
        self.sends += 1;
    }

    /// An attempt failed; says why, for those that are not the last too.
    pub fn attempt_failed(&self, reason: &'static str, detail: &str, now: TimeMs) {
        metrics::counter!("teaselline_attempts_failed_total", "reason" => reason).increment(1);
        log::info!(
            event = "attempt_failed",
            request_id = self.request_id.as_deref().unwrap_or_default(),
            route = self.route.as_str(),
            upstream = self.upstream.as_str(),
            expected_ms = self.inputs.expected_ms,
            upstream_running = self.inputs.running,
            upstream_slots = self.inputs.slots,
            upstreams_age_ms = self.inputs.upstreams_age_ms,
            send = self.sends,
            after_ms = now.since(self.received_at),
            reason,
            detail;
            "an upstream gave no answer"
        );
    }

    /// The first event or the answer came.
    pub fn first(&mut self, now: TimeMs) {
        let first_ms = now.since(self.received_at);
        self.first_ms = Some(first_ms);
        self.event_at = now;
        if let Some(measures) = &self.measures {
            measures.first_token.record(num::real(first_ms));
        }
    }

    /// Another event of a stream came.
    pub fn event(&mut self, now: TimeMs) {
        let pause_ms = now.since(self.event_at);
        self.event_at = now;
        if let Some(measures) = &self.measures {
            measures.pause.record(num::real(pause_ms));
        }
    }

    pub fn answered(&mut self, status: StatusCode, now: TimeMs) {
        self.tell("answered", status.as_str(), now);
    }

    pub fn refused(&mut self, refusal: &Refusal, now: TimeMs) {
        let outcome = match refusal {
            Refusal::NoAnswer | Refusal::AnswerTimeout => "failed",
            _ => "refused",
        };
        self.retry_after_ms = refusal.retry_after_ms();
        self.shortfall = refusal.shortfall().copied();
        self.tell(outcome, refusal.word(), now);
    }

    pub fn broken_off(&mut self, reason: &'static str, now: TimeMs) {
        self.tell("broken_off", reason, now);
    }

    fn tell(&mut self, outcome: &'static str, reason: &str, now: TimeMs) {
        self.is_told = true;
        metrics::counter!("teaselline_requests_total", "outcome" => outcome, "reason" => reason.to_owned())
            .increment(1);
        let took_ms = now.since(self.received_at);
        if let Some(measures) = &self.measures {
            measures.answer.record(num::real(took_ms));
        }
        log::info!(
            event = "request_ended",
            request_id = self.request_id.as_deref().unwrap_or_default(),
            outcome,
            reason,
            route = self.route.as_str(),
            team = self.team.as_deref().unwrap_or_default(),
            upstream = self.upstream.as_str(),
            expected_ms = self.inputs.expected_ms,
            upstream_running = self.inputs.running,
            upstream_slots = self.inputs.slots,
            unread_tokens = self.inputs.unread_tokens,
            copied_tokens = self.inputs.copied_tokens,
            upstream_limit_per_s = self.inputs.limit_per_s,
            upstreams_age_ms = self.inputs.upstreams_age_ms,
            configuration_age_ms = self.inputs.configuration_age_ms,
            sends = self.sends,
            first_ms = self.first_ms,
            took_ms,
            retry_after_ms = self.retry_after_ms,
            limit_cost = self.shortfall.map(|shortfall| shortfall.cost),
            limit_level = self.shortfall.map(|shortfall| shortfall.level),
            limit_capacity = self.shortfall.map(|shortfall| shortfall.capacity),
            limit_rate_per_s = self.shortfall.map(|shortfall| shortfall.rate_per_s),
            nodes_known = self.shortfall.map(|shortfall| shortfall.audience.known),
            nodes_heard = self.shortfall.map(|shortfall| shortfall.audience.heard),
            configuration_version = self.configuration_version;
            "a request ended"
        );
    }
}

impl Drop for Story {
    /// A request whose answer is dropped before its end was left by its caller.
    fn drop(&mut self) {
        if !self.is_told {
            self.tell("caller_left", "channel_closed", clock::now());
        }
    }
}
