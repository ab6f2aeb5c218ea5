//! Callers that send planned calls to a node, or directly to engines without any node.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use serde_json::json;
use teaselline::client::events::Splitter;
use teaselline::client::http::{HttpClient, read_body};
use teaselline::client::wire::{Refusal, RefusalOutcome};
use teaselline::upstreams::{
    CallTimeouts, Delivery, EngineClient, EngineEvent, Engines, EventStream, StartStream,
};
use tokio::task::JoinSet;

use super::site::{DEADLINE_MS, MODEL, token};

/// A call to send.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    /// Send time, as an offset from the start of the plan.
    pub at: Duration,
    /// The index of the node that receives the call.
    pub node: usize,
    /// The team that sends the call.
    pub team: &'static str,
    /// The prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub tokens: u32,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Completed.
    Completed,
    /// Refused without having run.
    NotRun,
    /// Failed for the given reason.
    Failed(String),
    /// Cancelled, unknown or without a final outcome.
    Unknown,
}

/// A call that was sent, with its outcome.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// The call.
    pub planned: PlannedCall,
    /// The outcome.
    pub ended: CallOutcome,
    /// Time from the sending to the first token.
    pub first_token: Option<Duration>,
    /// Time from the sending to the end.
    pub duration: Duration,
    /// Attempts at engines that the caller itself made; 0 for calls to nodes.
    pub attempts: u32,
}

impl CallResult {
    /// Returns when the call ended, as an offset from the start of the plan.
    pub fn ended_at(&self) -> Duration {
        self.planned.at + self.duration
    }
}

/// Sends every call at its time; returns the results in the order of completion.
pub async fn send_all<S, F>(plan: Vec<PlannedCall>, send: S) -> Vec<CallResult>
where
    S: Fn(usize, PlannedCall) -> F,
    F: Future<Output = CallResult> + Send + 'static,
{
    let start = tokio::time::Instant::now();
    let mut calls = JoinSet::new();
    for (index, planned) in plan.into_iter().enumerate() {
        tokio::time::sleep_until(start + planned.at).await;
        calls.spawn(send(index, planned));
    }
    calls.join_all().await
}

/// Sends a call to its node, once.
pub async fn send_to_node(
    http: HttpClient,
    nodes: Vec<SocketAddr>,
    planned: PlannedCall,
) -> CallResult {
    let start = Instant::now();
    let mut first_token = None;
    let at = nodes[planned.node % nodes.len()];
    let ended = complete(&http, at, &planned, || {
        first_token.get_or_insert_with(|| start.elapsed());
    });
    let ended = ended.await.unwrap_or(CallOutcome::Unknown);
    CallResult {
        planned,
        ended,
        first_token,
        duration: start.elapsed(),
        attempts: 0,
    }
}

async fn complete(
    http: &HttpClient,
    at: SocketAddr,
    planned: &PlannedCall,
    mut on_token: impl FnMut(),
) -> Option<CallOutcome> {
    let body = json!({
        "model": MODEL,
        "prompt": planned.prompt,
        "max_tokens": planned.tokens,
        "stream": true,
    });
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{at}/v1/completions"))
        .header("authorization", format!("Bearer {}", token(planned.team)))
        .body(Full::new(Bytes::from(body.to_string())))
        .ok()?;
    let response = http.send(request, DEADLINE_MS).await.ok()?;
    if !response.status().is_success() {
        let answer = read_body(response, DEADLINE_MS).await.ok()?;
        return serde_json::from_slice(&answer.body)
            .ok()
            .as_ref()
            .map(refused);
    }
    let (mut body, mut splitter) = (response.into_body(), Splitter::default());
    loop {
        while let Some(event) = splitter.next_event().ok()? {
            match event.kind.as_str() {
                "token" => on_token(),
                "done" => return Some(CallOutcome::Completed),
                "error" => return serde_json::from_str(&event.data).ok().as_ref().map(refused),
                _ => {}
            }
        }
        let frame = body.frame().await?.ok()?;
        if let Some(bytes) = frame.data_ref() {
            splitter.push(bytes);
        }
    }
}

fn refused(refusal: &Refusal) -> CallOutcome {
    match refusal.outcome {
        RefusalOutcome::NotRun => CallOutcome::NotRun,
        RefusalOutcome::Failed => CallOutcome::Failed(refusal.shown_reason().to_owned()),
        RefusalOutcome::Unknown | RefusalOutcome::Cancelled => CallOutcome::Unknown,
    }
}

/// A baseline client that calls engines round robin and retries at the next one without a delay.
#[derive(Clone, Debug)]
pub struct BaselineClient {
    engines: EngineClient,
    addresses: Vec<SocketAddr>,
    retries: u32,
}

impl BaselineClient {
    /// Returns a client of these engines that retries a call up to `retries` times.
    pub fn new(addresses: Vec<SocketAddr>, retries: u32) -> Self {
        Self {
            engines: EngineClient::new(CallTimeouts::default()),
            addresses,
            retries,
        }
    }

    /// Sends a call; each retry generates the response from its first token.
    pub async fn send(self, index: usize, planned: PlannedCall) -> CallResult {
        let start = Instant::now();
        let mut first_token = None;
        let mut attempts = 0;
        let mut ended = CallOutcome::Unknown;
        while attempts <= self.retries && ended != CallOutcome::Completed {
            let at = self.addresses[(index + attempts as usize) % self.addresses.len()];
            attempts += 1;
            let name = format!("plain-{index}.{attempts}");
            let attempt = self.attempt(at, &name, &planned, || {
                first_token.get_or_insert_with(|| start.elapsed());
            });
            let remaining = Duration::from_millis(DEADLINE_MS).saturating_sub(start.elapsed());
            ended = match tokio::time::timeout(remaining, attempt).await {
                Ok(Some(())) => CallOutcome::Completed,
                Ok(None) => CallOutcome::Unknown,
                Err(_) => break,
            };
        }
        CallResult {
            planned,
            ended,
            first_token,
            duration: start.elapsed(),
            attempts,
        }
    }

    async fn attempt(
        &self,
        at: SocketAddr,
        name: &str,
        planned: &PlannedCall,
        mut on_token: impl FnMut(),
    ) -> Option<()> {
        let start = StartStream {
            attempt: name,
            model: MODEL,
            prompt: &planned.prompt,
            prefix: "",
            position: 0,
            max_tokens: u64::from(planned.tokens),
            priority: 7,
            seed: 1,
            import: None,
            delivery: Delivery::Repeatable,
        };
        let mut events = self.engines.start(at, &start).await.ok()?;
        loop {
            match events.next().await? {
                Ok(EngineEvent::Token { .. }) => on_token(),
                Ok(EngineEvent::Done { .. }) => return Some(()),
                Ok(EngineEvent::Error { .. }) | Err(_) => return None,
            }
        }
    }
}

/// Returns the 95th percentile in milliseconds, or 0 without durations.
pub fn p95_ms(durations: impl Iterator<Item = Duration>) -> f64 {
    let mut sorted: Vec<_> = durations.collect();
    sorted.sort_unstable();
    let index = (sorted.len() * 95 / 100).min(sorted.len().saturating_sub(1));
    let at = sorted.get(index).copied().unwrap_or_default();
    at.as_secs_f64() * 1e3
}
