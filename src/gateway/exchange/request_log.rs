//! The log line and the metrics of one request.

use http::StatusCode;
use metrics::{Histogram, Key, Label, Metadata};

use crate::gateway::catalog::{Route, Team};
use crate::gateway::clock;
use crate::gateway::crashes::breaks;
use crate::gateway::limits::credit::CreditSource;
use crate::gateway::limits::quota::Shortfall;
use crate::gateway::num;
use crate::gateway::refusal::Refusal;
use crate::gateway::request_head::{Prompt, RequestHead};
use crate::gateway::settings::LimitWindow;
use crate::gateway::streams::Begun;
use crate::gateway::upstreams::Announcement;
use crate::time::TimeMs;

/// The inputs of the last upstream selection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct SelectionInputs {
    /// Expected time until the first token or the response.
    pub expected_ms: f64,
    /// Time that the upstream takes as a multiple of its pool's mean one, as it was known.
    pub upstream_speed: f64,
    /// Requests of all nodes at the upstream.
    pub running: u32,
    /// Requests that the upstream executes concurrently.
    pub slots: u32,
    /// Prompt tokens that the upstream had to read.
    pub unread_tokens: u64,
    /// Prompt tokens whose KV cache it could copy from another upstream.
    pub copied_tokens: u64,
    /// The upstream's rate limit in requests per second over all nodes, if it announces one.
    pub limit_per_s: Option<f64>,
    /// Age of the node's view of the upstreams.
    pub upstreams_age_ms: u64,
    /// Age of the last confirmation of the configuration.
    pub configuration_age_ms: u64,
}

/// What a request was charged to its team's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Charge {
    /// In units of the limit.
    cost: f64,
    /// Units that the operators tolerate in a window; `None` without a limit or a window.
    window_allowance: Option<f64>,
    is_refunded: bool,
}

impl Charge {
    pub fn new(cost: f64, team: &Team, window: Option<LimitWindow>) -> Self {
        let limited = window.zip(team.rate_per_s);
        Self {
            cost,
            window_allowance: limited
                .map(|(window, rate_per_s)| window.allowance(rate_per_s, team.burst)),
            is_refunded: false,
        }
    }
}

/// The histograms of a request's route, looked up once because a stream has many events.
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

/// Origin of the histograms, for recorders that filter by it.
static METADATA: Metadata<'static> =
    Metadata::new(module_path!(), metrics::Level::INFO, Some(module_path!()));

/// Collects the inputs of the decisions on a request and logs one line when the request ends.
#[derive(Debug)]
pub(super) struct RequestLog {
    received_at: TimeMs,
    request_id: Option<String>,
    route: String,
    /// `None` until the route is known.
    measures: Option<Measures>,
    team: Option<String>,
    configuration_version: u64,
    upstream: String,
    /// Software version of that upstream; empty if not announced.
    upstream_version: String,
    /// Failure domain of that upstream.
    upstream_domain: String,
    /// The model that the request names.
    model: Option<String>,
    /// Ids of the parts of the prompt that other requests may share, in order.
    parts: Option<String>,
    /// Software version of the upstream that sent the first event of a stream.
    first_version: Option<String>,
    /// The event after which the caller resumes a stream.
    resume_after: Option<u64>,
    /// The request that brought the first event of the stream that the caller resumes.
    resumes: Option<String>,
    /// How it is known where that stream began.
    begun_by: Option<&'static str>,
    /// The peer that this node last asked to send the request.
    forwarded_to: String,
    /// The node that received the request from the caller, if that was another one.
    forwarded_by: Option<String>,
    inputs: SelectionInputs,
    sends: u32,
    /// Time that the request waited for room in its pool.
    queued_ms: Option<u64>,
    first_ms: Option<u64>,
    /// When the last event of a stream arrived.
    last_event_at: TimeMs,
    /// `Retry-After` sent to the caller, if the request was refused.
    retry_after_ms: Option<u64>,
    /// The quota state that refused the request, if the team's quota did.
    shortfall: Option<Shortfall>,
    /// What this node charged to the team's limit.
    charge: Option<Charge>,
    /// What decided on the charge, and for how long the request waited for it.
    credit: Option<(CreditSource, u64)>,
    is_finished: bool,
}

impl RequestLog {
    pub fn new(received_at: TimeMs) -> Self {
        Self {
            received_at,
            request_id: None,
            route: String::new(),
            measures: None,
            team: None,
            configuration_version: 0,
            upstream: String::new(),
            upstream_version: String::new(),
            upstream_domain: String::new(),
            model: None,
            parts: None,
            first_version: None,
            resume_after: None,
            resumes: None,
            begun_by: None,
            forwarded_to: String::new(),
            forwarded_by: None,
            inputs: SelectionInputs::default(),
            sends: 0,
            queued_ms: None,
            first_ms: None,
            last_event_at: received_at,
            retry_after_ms: None,
            shortfall: None,
            charge: None,
            credit: None,
            is_finished: false,
        }
    }

    /// Returns the log of a request that the node `by` received from the caller.
    ///
    /// That node counts the request and measures its times; this one only logs its end.
    pub fn of_forwarded(by: &str, received_at: TimeMs) -> Self {
        let mut request_log = Self::new(received_at);
        request_log.forwarded_by = Some(by.to_owned());
        request_log
    }

    pub fn request_id(&self) -> Option<&str> {
        self.request_id.as_deref()
    }

    /// Sets the request's id, and which stream it resumes, if any.
    pub fn set_head(&mut self, head: &RequestHead) {
        self.request_id = Some(head.id.clone());
        self.resume_after = head.resume_after;
        self.resumes.clone_from(&head.resumes);
        self.model = head.prompt.as_ref().map(|prompt| prompt.model.clone());
        self.parts = head.prompt.as_ref().map(shared_part_ids);
    }

    /// Sets the request's route; `label` is its metric label.
    pub fn set_route(&mut self, route: &Route, label: String, team: Option<&str>) {
        route.name.clone_into(&mut self.route);
        let kind = if route.is_stream { "stream" } else { "plain" };
        if self.forwarded_by.is_none() {
            self.measures = Some(Measures::new(label, kind));
        }
        self.team = team.map(str::to_owned);
    }

    /// Sets the version and the age of the configuration that the request was checked against.
    pub fn set_configuration(&mut self, version: u64, age_ms: u64) {
        self.configuration_version = version;
        self.inputs.configuration_age_ms = age_ms;
    }

    /// Records what the request was charged to its team's limit.
    pub fn record_charge(&mut self, charge: Charge) {
        self.charge = Some(charge);
    }

    /// Records what decided on the charge, and for how long the request waited for it.
    pub fn record_credit(&mut self, source: CreditSource, wait_ms: u64) {
        self.credit = Some((source, wait_ms));
    }

    /// Records that the charge was returned because the request did not run.
    pub fn record_refund(&mut self) {
        if let Some(charge) = &mut self.charge {
            charge.is_refunded = true;
        }
    }

    /// Records how it is known where the stream began that the request takes up.
    pub fn record_begun(&mut self, begun: Begun) {
        self.begun_by = Some(begun.source.as_str());
    }

    /// Records a send to an upstream.
    pub fn record_send(&mut self, upstream: &Announcement, inputs: SelectionInputs) {
        self.upstream.clone_from(&upstream.id);
        self.upstream_version.clone_from(&upstream.version);
        (self.upstream_domain).clone_from(&upstream.failure_domain);
        if let Some(measures) = &self.measures {
            measures.expected.record(inputs.expected_ms);
        }
        self.inputs = inputs;
        self.sends += 1;
    }

    /// Records the time that the request waited for room in its pool.
    pub fn record_queued(&mut self, queued_ms: u64) {
        self.queued_ms = Some(queued_ms);
    }

    /// Returns when the request arrived.
    pub fn received_at(&self) -> TimeMs {
        self.received_at
    }

    /// Records that a peer is asked to send the request.
    pub fn record_forward(&mut self, peer: &str) {
        peer.clone_into(&mut self.forwarded_to);
    }

    /// Logs and counts a failed attempt, whether or not another one follows.
    pub fn record_failed_attempt(&self, reason: &'static str, detail: &str, now: TimeMs) {
        metrics::counter!("teaselline_attempts_failed_total", "reason" => reason).increment(1);
        log::info!(
            event = "attempt_failed",
            request_id = self.request_id.as_deref().unwrap_or_default(),
            route = self.route.as_str(),
            upstream = self.upstream.as_str(),
            upstream_version = self.upstream_version.as_str(),
            upstream_domain = self.upstream_domain.as_str(),
            model = self.model.as_deref(),
            parts = self.parts.as_deref(),
            is_crash = breaks::is_crash(reason),
            first_version = self.first_version.as_deref(),
            resume_after = self.resume_after,
            resumes = self.resumes.as_deref(),
            begun_by = self.begun_by,
            expected_ms = self.inputs.expected_ms,
            upstream_running = self.inputs.running,
            upstream_slots = self.inputs.slots,
            upstreams_age_ms = self.inputs.upstreams_age_ms,
            send = self.sends,
            first_ms = self.first_ms,
            after_ms = now.since(self.received_at),
            reason,
            detail;
            "an attempt at an upstream failed"
        );
    }

    /// Logs and counts that the request stays at an upstream that has been silent for a while.
    pub fn record_stay(&self, reason: &'static str, silent_ms: u64, now: TimeMs) {
        metrics::counter!("teaselline_silences_total", "reason" => reason).increment(1);
        log::info!(
            event = "silent_upstream_kept",
            request_id = self.request_id.as_deref().unwrap_or_default(),
            route = self.route.as_str(),
            upstream = self.upstream.as_str(),
            send = self.sends,
            after_ms = now.since(self.received_at),
            silent_ms,
            reason;
            "a request stays at a silent upstream: nothing better is to be had"
        );
    }

    /// Records the arrival of the first event or of the complete response.
    pub fn record_first_event(&mut self, now: TimeMs) {
        let first_ms = now.since(self.received_at);
        self.first_ms = Some(first_ms);
        self.first_version = (!self.upstream.is_empty()).then(|| self.upstream_version.clone());
        self.last_event_at = now;
        if let Some(measures) = &self.measures {
            measures.first_token.record(num::to_f64(first_ms));
        }
    }

    /// Records the arrival of a further event of a stream.
    pub fn record_event(&mut self, now: TimeMs) {
        let pause_ms = now.since(self.last_event_at);
        self.last_event_at = now;
        if let Some(measures) = &self.measures {
            measures.pause.record(num::to_f64(pause_ms));
        }
    }

    /// Returns the refusal for a request that is under way when its node exits.
    pub fn last_refusal(&self) -> Refusal {
        if self.sends == 0 && self.forwarded_to.is_empty() {
            Refusal::Stopping
        } else {
            Refusal::NoAnswer
        }
    }

    pub fn finish_answered(&mut self, status: StatusCode, now: TimeMs) {
        self.finish("answered", status.as_str(), now);
    }

    pub fn finish_refused(&mut self, refusal: &Refusal, now: TimeMs) {
        let outcome = match refusal {
            Refusal::NoAnswer | Refusal::AnswerTimeout => "failed",
            _ => "refused",
        };
        self.retry_after_ms = refusal.retry_after_ms();
        self.shortfall = refusal.shortfall().copied();
        self.finish(outcome, refusal.reason(), now);
    }

    pub fn finish_interrupted(&mut self, reason: &'static str, now: TimeMs) {
        self.finish("broken_off", reason, now);
    }

    fn finish(&mut self, outcome: &'static str, reason: &str, now: TimeMs) {
        self.is_finished = true;
        if self.forwarded_by.is_none() {
            metrics::counter!("teaselline_requests_total", "outcome" => outcome, "reason" => reason.to_owned())
                .increment(1);
        }
        let took_ms = now.since(self.received_at);
        let is_blocked = matches!(reason, "breaking" | "breaking_part");
        if let Some(measures) = &self.measures {
            measures.answer.record(num::to_f64(took_ms));
        }
        log::info!(
            event = "request_ended",
            request_id = self.request_id.as_deref().unwrap_or_default(),
            outcome,
            reason,
            route = self.route.as_str(),
            team = self.team.as_deref().unwrap_or_default(),
            upstream = self.upstream.as_str(),
            upstream_version = self.upstream_version.as_str(),
            model = self.model.as_deref().filter(|_model| is_blocked),
            parts = self.parts.as_deref().filter(|_parts| is_blocked),
            first_version = self.first_version.as_deref(),
            resume_after = self.resume_after,
            resumes = self.resumes.as_deref(),
            begun_by = self.begun_by,
            forwarded_to = self.forwarded_to.as_str(),
            forwarded_by = self.forwarded_by.as_deref().unwrap_or_default(),
            expected_ms = self.inputs.expected_ms,
            upstream_running = self.inputs.running,
            upstream_slots = self.inputs.slots,
            upstream_speed = self.inputs.upstream_speed,
            unread_tokens = self.inputs.unread_tokens,
            copied_tokens = self.inputs.copied_tokens,
            upstream_limit_per_s = self.inputs.limit_per_s,
            upstreams_age_ms = self.inputs.upstreams_age_ms,
            configuration_age_ms = self.inputs.configuration_age_ms,
            sends = self.sends,
            queued_ms = self.queued_ms,
            first_ms = self.first_ms,
            took_ms,
            retry_after_ms = self.retry_after_ms,
            limit_cost = self.shortfall.map(|shortfall| shortfall.cost),
            limit_level = self.shortfall.map(|shortfall| shortfall.level),
            limit_capacity = self.shortfall.map(|shortfall| shortfall.capacity),
            limit_rate_per_s = self.shortfall.map(|shortfall| shortfall.rate_per_s),
            limit_share = self.shortfall.map(|shortfall| shortfall.share),
            limit_credit = self.shortfall.map(|shortfall| shortfall.credit),
            charged = self.charge.map(|charge| charge.cost),
            charge_refunded = self.charge.map(|charge| charge.is_refunded),
            credit_source = self.credit.map(|(source, _wait_ms)| source.as_str()),
            credit_wait_ms = self.credit.map(|(_source, wait_ms)| wait_ms),
            window_allowance = self.charge.and_then(|charge| charge.window_allowance),
            nodes_known = self.shortfall.map(|shortfall| shortfall.visibility.known),
            nodes_heard = self.shortfall.map(|shortfall| shortfall.visibility.heard),
            configuration_version = self.configuration_version;
            "a request ended"
        );
    }
}

/// Returns the ids of the parts of a prompt that other requests may share, separated by commas.
fn shared_part_ids(prompt: &Prompt) -> String {
    let ids: Vec<String> = (prompt.shared_parts().iter())
        .map(|part| format!("{:x}", part.id))
        .collect();
    ids.join(",")
}

impl Drop for RequestLog {
    /// A response that is dropped before its end means that the caller disconnected.
    fn drop(&mut self) {
        if !self.is_finished {
            self.finish("caller_left", "channel_closed", clock::now());
        }
    }
}
