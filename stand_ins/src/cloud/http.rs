//! The cloud's calls.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::Full;
use serde_json::json;
use tokio::time::Instant;

use super::{
    HostEvent, Shared,
    state::{HostSpec, PurchaseBody},
};
use crate::server::{self, Answer, Call, Cut, Handler, empty, error, ok};

const MAX_WAIT_MS: u64 = 60_000;

impl Handler for Shared {
    type Body = Full<Bytes>;

    async fn handle(&self, call: Call) -> Answer {
        if self.knobs.lock().outage {
            return Ok(error(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        match call.route() {
            ("GET", path) if path == ["v1", "hosts"] => Ok(self.list()),
            ("GET", path) if path == ["v1", "notices"] => self.notices(&call).await,
            ("POST", path) if path == ["v1", "purchases"] => self.purchase(&call),
            ("GET", path) if path == ["v1", "purchases"] => {
                Ok(ok(&json!({ "purchases": self.state.lock().purchases() })))
            }
            ("GET", path) if path == ["v1", "prices"] => {
                Ok(ok(&json!({ "prices": self.state.lock().prices() })))
            }
            ("DELETE", path) if path.starts_with(&["v1", "hosts"]) && path.len() == 3 => {
                self.end(path[2]);
                Ok(empty(StatusCode::NO_CONTENT))
            }
            _ => Ok(error(StatusCode::NOT_FOUND, "unknown_path")),
        }
    }
}

impl Shared {
    fn list(&self) -> http::Response<Full<Bytes>> {
        let as_of_ms = crate::now_ms().saturating_sub(self.knobs.lock().list_lag_ms);
        ok(&json!({ "as_of_ms": as_of_ms, "hosts": self.state.lock().list(as_of_ms) }))
    }

    async fn notices(&self, call: &Call) -> Answer {
        let until = Instant::now() + Duration::from_millis(call.query("wait_ms").min(MAX_WAIT_MS));
        let from = call.query("from");
        let mut noticed = self.noticed.subscribe();
        loop {
            let page = self.state.lock().notices(from).to_vec();
            // An outage that begins during a long poll ends it, as it would a real one.
            if self.knobs.lock().outage {
                return Ok(error(StatusCode::SERVICE_UNAVAILABLE, "outage"));
            }
            if !page.is_empty() || Instant::now() >= until {
                let next = page.last().map_or(from, |notice| notice.sequence + 1);
                return Ok(ok(&json!({ "next": next, "notices": page })));
            }
            // On either end of the wait the notices are read again.
            drop(tokio::time::timeout_at(until, noticed.changed()).await);
        }
    }

    fn purchase(&self, call: &Call) -> Answer {
        let body: PurchaseBody = match call.json() {
            Ok(body) => body,
            Err(malformed) => return Ok(malformed.answer()),
        };
        let knobs = self.knobs.lock().clone();
        let mut state = self.state.lock();
        if let Some(host) = state.purchased(&body.purchase) {
            return Ok(server::json(StatusCode::CREATED, &json!({ "host": host })));
        }
        let is_exhausted = knobs.exhausted_domains.contains(&body.failure_domain)
            && state.is_reclaimable(&body.host_class, &body.failure_domain);
        if is_exhausted || self.chance.happens(knobs.refuse_probability) {
            return Ok(error(StatusCode::CONFLICT, "no_capacity"));
        }
        let spec = state.purchase(body, crate::now_ms());
        drop(state);
        let answer = json!({ "host": spec.host });
        self.start_later(spec, knobs.start_delay_ms);
        if self.chance.happens(knobs.lose_answer_probability) {
            return Err(Cut);
        }
        Ok(server::json(StatusCode::CREATED, &answer))
    }

    /// Asks the owner to start the host, unless it is given back before.
    fn start_later(&self, spec: HostSpec, delay_ms: u64) {
        let (Some(shared), delay) = (self.this.upgrade(), Duration::from_millis(delay_ms)) else {
            return;
        };
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            if shared.state.lock().is_held(&spec.host) {
                shared.emit(HostEvent::Start(spec));
            }
        });
    }
}
