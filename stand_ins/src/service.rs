//! A plain service: answers any `POST`, and records what it did.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;
use parking_lot::Mutex;
use serde_json::json;
use twox_hash::XxHash3_64;

use crate::{
    chance::Chance,
    server::{Answer, Call, Cut, Handler, Server, empty, error, ok},
};

/// What a plain service is like.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Where to listen; port 0 takes a free one.
    pub address: SocketAddr,
    /// The seed of which calls go wrong.
    pub seed: u64,
    /// What may change at run time.
    pub knobs: ServiceKnobs,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            seed: 1,
            knobs: ServiceKnobs::default(),
        }
    }
}

/// What may change while a service runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceKnobs {
    /// The time between the effect and the answer.
    pub delay_ms: u64,
    /// Whether it leaves: calls are refused and `GET /healthz` answers `503`.
    pub draining: bool,
    /// What goes wrong.
    pub fault: ServiceFault,
    /// The share of calls that it happens to.
    pub fault_probability: f64,
}

/// What goes wrong with a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServiceFault {
    /// Nothing.
    #[default]
    None,
    /// It is refused as not run.
    NotRun,
    /// It runs, then gets `500`.
    ErrorAfterEffect,
    /// It runs, then the connection is cut.
    CutAfterEffect,
    /// The connection is cut before it runs.
    CutBeforeEffect,
}

/// A call that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceExecution {
    /// The `Attempt` header, empty if there was none.
    pub attempt: String,
    /// The path.
    pub path: String,
    /// The xxh3-64 hash of the body.
    pub body_hash: u64,
    /// When.
    pub at_ms: u64,
}

/// The body of the answer to a call, for checkers.
#[must_use]
pub fn service_answer(path: &str, body: &[u8]) -> String {
    json!({ "path": path, "body_hash": format!("{:016x}", XxHash3_64::oneshot(body)) }).to_string()
}

/// A running plain service.
#[derive(Debug)]
pub struct Service {
    address: SocketAddr,
    server: Mutex<Option<Server>>,
    calls: Arc<Calls>,
}

#[derive(Debug)]
struct Calls {
    knobs: Mutex<ServiceKnobs>,
    chance: Chance,
    executions: Mutex<Vec<ServiceExecution>>,
}

impl Service {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// If its address cannot be listened on.
    #[expect(
        clippy::unused_async,
        reason = "it needs a running runtime, which async callers have"
    )]
    pub async fn start(settings: ServiceSettings) -> io::Result<Self> {
        let calls = Arc::new(Calls {
            knobs: Mutex::new(settings.knobs),
            chance: Chance::new(settings.seed),
            executions: Mutex::default(),
        });
        let server = Server::start(settings.address, Arc::clone(&calls))?;
        Ok(Self {
            address: server.address(),
            server: Mutex::new(Some(server)),
            calls,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what may change at run time.
    pub fn change(&self, change: impl FnOnce(&mut ServiceKnobs)) {
        change(&mut self.calls.knobs.lock());
    }

    /// Dies at once: cuts all connections. The records stay.
    pub fn kill(&self) {
        self.server.lock().take();
    }

    /// Every call that took effect, in order.
    #[must_use]
    pub fn executions(&self) -> Vec<ServiceExecution> {
        self.calls.executions.lock().clone()
    }
}

impl Handler for Calls {
    type Body = Full<Bytes>;

    async fn handle(&self, call: Call) -> Answer {
        let knobs = *self.knobs.lock();
        match call.route() {
            ("GET", path) if path == ["healthz"] && knobs.draining => {
                Ok(empty(StatusCode::SERVICE_UNAVAILABLE))
            }
            ("GET", path) if path == ["healthz"] => Ok(empty(StatusCode::OK)),
            ("POST", _) => self.call(&call, knobs).await,
            _ => Ok(error(StatusCode::METHOD_NOT_ALLOWED, "unknown_path")),
        }
    }
}

impl Calls {
    async fn call(&self, call: &Call, knobs: ServiceKnobs) -> Answer {
        let is_hit = self.chance.happens(knobs.fault_probability);
        let fault = if is_hit {
            knobs.fault
        } else {
            ServiceFault::None
        };
        match fault {
            ServiceFault::CutBeforeEffect => return Err(Cut),
            ServiceFault::NotRun => return Ok(not_run()),
            _ if knobs.draining => return Ok(not_run()),
            _ => self.record(call),
        }
        tokio::time::sleep(Duration::from_millis(knobs.delay_ms)).await;
        match fault {
            ServiceFault::CutAfterEffect => Err(Cut),
            ServiceFault::ErrorAfterEffect => Ok(error(
                StatusCode::INTERNAL_SERVER_ERROR,
                "failed_after_effect",
            )),
            _ => {
                let answer = service_answer(call.head.uri.path(), &call.body);
                Ok(Response::new(Full::from(answer)))
            }
        }
    }

    fn record(&self, call: &Call) {
        let attempt = call.head.headers.get("attempt");
        let attempt = attempt.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned());
        self.executions.lock().push(ServiceExecution {
            attempt: attempt.unwrap_or_default(),
            path: call.head.uri.path().to_owned(),
            body_hash: XxHash3_64::oneshot(&call.body),
            at_ms: crate::now_ms(),
        });
    }
}

fn not_run() -> Response<Full<Bytes>> {
    let mut answer = ok(&json!({ "outcome": "not_run" }));
    *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    answer
        .headers_mut()
        .insert("outcome", HeaderValue::from_static("not_run"));
    answer
}
