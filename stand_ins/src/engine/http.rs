//! The engine's calls.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::Full;
use serde::Deserialize;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::{
    Shared,
    core::{Core, Refusal, StreamBody},
    kv::Kv,
    orders::{OrderBody, OrderRecord},
    stream::{Events, Finish, Stream},
};
use crate::server::{self, Answer, Call, Handler, empty, error, ok, sleep_until_ms};

type Whole = Response<Full<Bytes>>;

#[derive(Debug)]
pub(super) struct Http {
    core: Arc<Core>,
    shared: Arc<Shared>,
}

/// The body of an answer.
#[derive(Debug)]
pub(super) enum Reply {
    Whole(Full<Bytes>),
    Events(Events),
}

impl http_body::Body for Reply {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(cx),
            Self::Events(events) => Pin::new(events).poll_frame(cx),
        }
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Events(_) => http_body::SizeHint::default(),
        }
    }
}

#[derive(Debug, Deserialize)]
struct ImportBody {
    handle: String,
    source: String,
    bytes: u64,
}

impl Handler for Http {
    type Body = Reply;

    async fn handle(&self, call: Call) -> Answer<Self::Body> {
        self.shared.unpaused().await;
        let now_ms = crate::now_ms();
        let whole = match call.route() {
            ("POST", path) if path == ["v1", "streams"] => return Ok(self.start(&call)),
            ("GET", path) if path.starts_with(&["v1", "streams"]) && path.len() == 3 => {
                let stream = self.core.state.lock().streams.get(path[2]).cloned();
                match stream {
                    Some(stream) => return Ok(self.attach(stream, call.query("from"))),
                    None => error(StatusCode::NOT_FOUND, "unknown_attempt"),
                }
            }
            ("DELETE", path) if path.starts_with(&["v1", "streams"]) && path.len() == 3 => {
                self.core.cancel(path[2], now_ms);
                empty(StatusCode::NO_CONTENT)
            }
            ("POST", path) if path == ["v1", "kv", "import"] => self.import(&call).await,
            ("POST", path) if path.len() == 4 && path[1] == "kv" && path[3] == "export" => {
                self.export(path[2]).await
            }
            ("GET", path) if path.starts_with(&["v1", "kv"]) && path.len() == 3 => {
                let kv = self.core.state.lock().kv.get(path[2]);
                kv.map_or_else(
                    || error(StatusCode::NOT_FOUND, "unknown_handle"),
                    |kv| ok(&kv),
                )
            }
            ("GET", path) if path == ["v1", "load"] => self.load(now_ms),
            ("GET", path) if path == ["v1", "cache", "events"] => self.cache_events(&call, now_ms),
            ("POST", path) if path == ["v1", "orders"] => self.order(&call, now_ms),
            ("GET", path) if path == ["v1", "state"] => {
                ok(&self.core.state.lock().orders.state(now_ms))
            }
            ("GET", path) if path == ["healthz"] => empty(StatusCode::OK),
            _ => error(StatusCode::NOT_FOUND, "unknown_path"),
        };
        Ok(whole.map(Reply::Whole))
    }
}

impl Http {
    pub fn new(core: Arc<Core>, shared: Arc<Shared>) -> Self {
        Self { core, shared }
    }

    fn start(&self, call: &Call) -> Response<Reply> {
        let body: StreamBody = match call.json() {
            Ok(body) => body,
            Err(malformed) => return malformed.answer().map(Reply::Whole),
        };
        let knobs = self.shared.knobs.lock().clone();
        let started = self
            .core
            .start(body, &self.shared.settings, &knobs, crate::now_ms());
        match started {
            Ok(stream) => self.attach(stream, 0),
            Err(refusal) => refuse(refusal).map(Reply::Whole),
        }
    }

    fn attach(&self, stream: Arc<Stream>, from: u64) -> Response<Reply> {
        let events = Events::new(stream, from, Arc::clone(&self.shared.paused));
        let mut response = Response::new(Reply::Events(events));
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        response
    }

    fn load(&self, now_ms: u64) -> Whole {
        let knobs = self.shared.knobs.lock().clone();
        let as_of_ms = now_ms.saturating_sub(knobs.load_lag_ms);
        ok(&self.core.state.lock().load.report(as_of_ms, knobs.draining))
    }

    fn cache_events(&self, call: &Call, now_ms: u64) -> Whole {
        let latest_ms = now_ms.saturating_sub(self.shared.knobs.lock().cache_event_lag_ms);
        let (next, events) = self
            .core
            .state
            .lock()
            .cache
            .events(call.query("from"), latest_ms);
        ok(&json!({ "next": next, "events": events }))
    }

    fn order(&self, call: &Call, now_ms: u64) -> Whole {
        let body: OrderBody = match call.json() {
            Ok(body) => body,
            Err(malformed) => return malformed.answer(),
        };
        let applied = self.core.state.lock().orders.apply(&body, now_ms);
        let record = OrderRecord {
            at_ms: now_ms,
            body,
            applied: applied.is_ok(),
        };
        self.shared.orders.lock().push(record);
        match applied {
            Ok(()) => ok(&json!({ "applied": true })),
            Err(newest) => server::json(
                StatusCode::CONFLICT,
                &json!({ "error": "stale_fencing", "newest": newest }),
            ),
        }
    }

    async fn export(&self, attempt: &str) -> Whole {
        let Some((kv, ready_ms)) = self.take_kv(attempt) else {
            let is_known = self.core.state.lock().streams.contains_key(attempt);
            return if is_known {
                error(StatusCode::CONFLICT, "not_decoding")
            } else {
                error(StatusCode::NOT_FOUND, "unknown_attempt")
            };
        };
        sleep_until_ms(ready_ms).await;
        let answer = json!({
            "handle": kv.handle, "bytes": kv.bytes, "tokens": kv.tokens, "position": kv.position
        });
        self.core.state.lock().kv.keep(kv);
        ok(&answer)
    }

    /// Ends the stream and gives its cache, with the time at which the transfer ends.
    fn take_kv(&self, attempt: &str) -> Option<(Kv, u64)> {
        let (settings, now_ms) = (&self.shared.settings, crate::now_ms());
        let mut state = self.core.state.lock();
        let is_it = |job: &super::core::Job| job.stream.attempt == attempt && job.is_decoding();
        let index = state.running.iter().position(is_it)?;
        let job = state.running.swap_remove(index);
        let position = job.stream.position();
        let tokens = job.stream.prompt_tokens + position - job.stream.start;
        let bytes = tokens * settings.kv_bytes_per_token;
        let number = state.kv.next_number();
        let handle = format!("kv-{}-{now_ms}-{number}", self.shared.address.port());
        let text = String::from_utf8_lossy(&job.whole_text()).into_owned();
        let ready_ms = state
            .kv
            .reserve_link(bytes, settings.kv_bytes_per_second, now_ms);
        job.stream.end(Finish::Exported, now_ms);
        drop(state);
        self.core.wake.notify_one();
        Some((
            Kv {
                handle,
                bytes,
                tokens,
                position,
                text,
                at_ms: ready_ms,
            },
            ready_ms,
        ))
    }

    async fn import(&self, call: &Call) -> Whole {
        let body: ImportBody = match call.json() {
            Ok(body) => body,
            Err(malformed) => return malformed.answer(),
        };
        let rate = self.shared.settings.kv_bytes_per_second;
        let ready_ms = self
            .core
            .state
            .lock()
            .kv
            .reserve_link(body.bytes, rate, crate::now_ms());
        sleep_until_ms(ready_ms).await;
        // The source is asked last, so that its death during the transfer fails the import.
        match fetch_kv(&body.source, &body.handle).await {
            Some(kv) => {
                self.core.state.lock().kv.keep(kv);
                ok(&json!({ "handle": body.handle }))
            }
            None => error(StatusCode::BAD_GATEWAY, "source_gone"),
        }
    }
}

fn refuse(refusal: Refusal) -> Whole {
    let reason = match refusal {
        Refusal::Draining => "draining",
        Refusal::QueueFull => "queue_full",
        Refusal::ModelNotLoaded => "model_not_loaded",
        Refusal::Cancelled => "cancelled",
        Refusal::Fault => return error(StatusCode::INTERNAL_SERVER_ERROR, "engine_fault"),
    };
    server::json(
        StatusCode::SERVICE_UNAVAILABLE,
        &json!({ "outcome": "not_run", "error": reason }),
    )
}

async fn fetch_kv(source: &str, handle: &str) -> Option<Kv> {
    let mut socket = TcpStream::connect(source).await.ok()?;
    let request =
        format!("GET /v1/kv/{handle} HTTP/1.1\r\nHost: {source}\r\nConnection: close\r\n\r\n");
    socket.write_all(request.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    socket.read_to_end(&mut answer).await.ok()?;
    let body = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    serde_json::from_slice(&answer[body..]).ok()
}
