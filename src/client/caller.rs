//! Sends a request as a caller and retries or resumes it until it ends, across node failures.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::Full;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use url::Url;

use super::call::{Call, CallContent, EncodedCall};
use super::entries::{Authority, KnownNodes};
use super::http::{HttpClient, HttpError};
use super::policy::{self, Attempt, End, Event, Limits, Progress, Rejection, Step};
use super::reading::{self, EVENT_STREAM, Received, RequestKind};
use super::wire::{Entries, IDEMPOTENCY_KEY, IDEMPOTENT, LAST_EVENT_ID, REQUEST_ID};
use crate::options::Secret;
use crate::time::Clock;

/// Timeout for the list of recommended nodes; head and body have as much each.
const ENTRIES_TIMEOUT_MS: u64 = 2_000;

/// Result of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallReport {
    /// Final result.
    pub end: End,
    /// Request ids of the call, in order; the result is that of the last one.
    pub ids: Vec<String>,
    /// Position after the last received token.
    pub tokens: u64,
    /// Number of attempts, including those that found no node.
    pub attempts: u32,
}

/// Client of a caller, with a team's token and the known nodes; concurrent calls may share it.
#[derive(Debug)]
pub struct Caller {
    http: HttpClient,
    token: Option<Secret>,
    known_nodes: Mutex<KnownNodes>,
    rng: Mutex<SmallRng>,
    clock: Clock,
    ids_per_request: u32,
    max_failures: u32,
    max_resends: u32,
    timeout_ms: u64,
    retry_window_ms: u64,
}

impl Caller {
    /// A caller that initially knows the nodes at these URLs.
    #[must_use]
    pub fn new(nodes: &[Url], token: Option<Secret>) -> Self {
        let seeds = nodes.iter().filter_map(authority);
        Self {
            http: HttpClient::new(),
            token,
            known_nodes: Mutex::new(KnownNodes::new(seeds)),
            rng: Mutex::new(SmallRng::from_os_rng()),
            clock: Clock::new(),
            ids_per_request: 1,
            max_failures: 8,
            max_resends: 8,
            timeout_ms: 15_000,
            retry_window_ms: u64::MAX,
        }
    }

    /// Seeds the random jitter of the retry delays.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.rng = Mutex::new(SmallRng::seed_from_u64(seed));
        self
    }

    /// Sets how many request ids are requested at once; more ids save requests of busy callers.
    #[must_use]
    pub fn with_ids_per_request(mut self, ids_per_request: u32) -> Self {
        self.ids_per_request = ids_per_request;
        self
    }

    /// Sets the maximum numbers of consecutive failures and of resends after refusals.
    #[must_use]
    pub fn with_limits(mut self, max_failures: u32, max_resends: u32) -> Self {
        self.max_failures = max_failures;
        self.max_resends = max_resends;
        self
    }

    /// Sets the timeout for a response head, a whole body and each frame of a stream.
    #[must_use]
    pub fn with_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    /// Sets the time after the start of the call in which attempts may start.
    #[must_use]
    pub fn with_retry_window_ms(mut self, retry_window_ms: u64) -> Self {
        self.retry_window_ms = retry_window_ms;
        self
    }

    /// Sends a call and retries it until it ends; `on_token` receives each token once and in order,
    /// with its position.
    pub async fn call(&self, call: &Call, on_token: impl FnMut(u64, &str)) -> CallReport {
        self.call_with_id(None, call, on_token).await
    }

    /// Reserves an id for [`Caller::call_with_id`]; `None` if no node issues one.
    pub async fn take_id(&self) -> Option<String> {
        self.new_id().await.ok()
    }

    /// Like [`Caller::call`], under a reserved id; requests one if `id` is `None`.
    pub async fn call_with_id(
        &self,
        id: Option<String>,
        call: &Call,
        on_token: impl FnMut(u64, &str),
    ) -> CallReport {
        let is_idempotent = call.idempotent == Some(true);
        let progress = Progress::new(self.limits(), is_idempotent);
        let encoded_call = EncodedCall::new(call);
        let received = Received {
            is_tokenless: matches!(call.content, CallContent::Service { .. }),
            ..Received::default()
        };
        self.run(Some(&encoded_call), id, received, progress, on_token)
            .await
    }

    /// Reads the response of an earlier call, starting at `from_position`.
    pub async fn resume(
        &self,
        id: &str,
        from_position: u64,
        on_token: impl FnMut(u64, &str),
    ) -> CallReport {
        let progress = Progress::resuming(self.limits());
        let id = Some(id.to_owned());
        let received = Received {
            next_position: from_position,
            ..Received::default()
        };
        self.run(None, id, received, progress, on_token).await
    }

    fn limits(&self) -> Limits {
        Limits {
            max_failures: self.max_failures,
            max_resends: self.max_resends,
            retry_until_ms: self.clock.now().after(self.retry_window_ms),
        }
    }

    /// Makes attempts as the policy decides, until it ends the call.
    async fn run(
        &self,
        encoded_call: Option<&EncodedCall<'_>>,
        mut id: Option<String>,
        mut received: Received,
        mut progress: Progress,
        mut on_token: impl FnMut(u64, &str),
    ) -> CallReport {
        let mut ids: Vec<String> = id.iter().cloned().collect();
        let mut attempt = match encoded_call {
            Some(_) => Attempt::Send,
            None => Attempt::Resume,
        };
        let mut attempts = 0;
        let mut avoid = None;
        loop {
            attempts += 1;
            let event = match self.prepare(&mut id, &mut ids, avoid.as_ref()).await {
                Err(event) => event,
                Ok(node) => {
                    let encoded_call = match (attempt, encoded_call) {
                        (Attempt::Send | Attempt::SendUnderNewId, Some(encoded_call)) => {
                            Some(encoded_call)
                        }
                        _ => None,
                    };
                    let id = id.as_deref().unwrap_or_default();
                    avoid = Some(Arc::clone(&node));
                    self.attempt(&node, id, encoded_call, &mut received, &mut on_token)
                        .await
                }
            };
            if std::mem::take(&mut received.has_progress) {
                progress.record_progress();
            }
            let step = {
                let mut rng = self.rng.lock();
                policy::decide(&progress, &event, self.clock.now(), &mut rng)
            };
            progress.record(&event, &step);
            match step {
                Step::End(end) => {
                    return CallReport {
                        end,
                        ids,
                        tokens: received.next_position,
                        attempts,
                    };
                }
                Step::Try {
                    attempt: next,
                    delay_ms,
                } => {
                    if next == Attempt::SendUnderNewId {
                        id = None;
                    }
                    attempt = next;
                    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                }
            }
        }
    }

    /// Requests an id if there is none, refreshes a stale list of nodes, and picks the next node.
    async fn prepare(
        &self,
        id: &mut Option<String>,
        ids: &mut Vec<String>,
        avoid: Option<&Authority>,
    ) -> Result<Authority, Event> {
        if id.is_none() {
            let new = self.new_id().await?;
            ids.push(new.clone());
            *id = Some(new);
        }
        if self.known_nodes.lock().is_stale(self.clock.now()) {
            self.refresh_entries(0).await.map_err(Event::Rejected)?;
        }
        let node = self.known_nodes.lock().pick(avoid, self.clock.now());
        node.ok_or(Event::Unsent)
    }

    /// Sends one request to a node, records the node's failure or response, and returns the event.
    async fn attempt(
        &self,
        node: &Authority,
        id: &str,
        encoded_call: Option<&EncodedCall<'_>>,
        received: &mut Received,
        on_token: &mut impl FnMut(u64, &str),
    ) -> Event {
        let (request_kind, request) = match encoded_call {
            Some(encoded_call) => (RequestKind::Call, self.call_request(node, id, encoded_call)),
            None => (
                RequestKind::Resumption,
                self.query_request(node, id, received),
            ),
        };
        let sent = match request {
            Ok(request) => self.http.send(request, self.timeout_ms).await,
            Err(error) => Err(HttpError::Unwritable(error)),
        };
        let event = match sent {
            Ok(response) => {
                let timeout_ms = self.timeout_ms;
                reading::read_response(request_kind, response, received, timeout_ms, on_token).await
            }
            Err(error) => reading::event_of_error(&error),
        };
        let mut known_nodes = self.known_nodes.lock();
        match event {
            Event::Unsent | Event::Broken { .. } => {
                known_nodes.record_failure(node, self.clock.now());
            }
            _ => known_nodes.record_response(node),
        }
        event
    }

    /// Takes an unused id, or requests new ones.
    async fn new_id(&self) -> Result<String, Event> {
        let held = self.known_nodes.lock().take_id(self.clock.now());
        if let Some(id) = held {
            return Ok(id);
        }
        let refreshed = self.refresh_entries(self.ids_per_request).await;
        refreshed.map_err(Event::Rejected)?;
        let requested = self.known_nodes.lock().take_id(self.clock.now());
        requested.ok_or(Event::Unsent)
    }

    /// Requests the list of recommended nodes and `ids` request ids from the known nodes in turn, until
    /// one responds.
    ///
    /// # Errors
    ///
    /// If a node rejects the request, such as for a bad token, since the others will too.
    async fn refresh_entries(&self, ids: u32) -> Result<(), Rejection> {
        let known = self.known_nodes.lock().refresh_order(self.clock.now());
        for authority in known {
            let request = self.get(&authority, &format!("/v1/entries?ids={ids}"));
            let response = match request.body(Full::default()) {
                Ok(request) => self.http.fetch(request, ENTRIES_TIMEOUT_MS).await.ok(),
                Err(_) => None,
            };
            match &response {
                Some(response) if response.status.is_client_error() => {
                    return Err(reading::rejection(response));
                }
                _ => {}
            }
            let list = (response.filter(|response| response.status.is_success()))
                .and_then(|response| serde_json::from_slice::<Entries>(&response.body).ok());
            let now = self.clock.now();
            let mut known_nodes = self.known_nodes.lock();
            match list {
                Some(list) => {
                    known_nodes.record_response(&authority);
                    known_nodes.apply_list(&list, now);
                    return Ok(());
                }
                None => known_nodes.record_failure(&authority, now),
            }
        }
        Ok(())
    }

    fn call_request(
        &self,
        node: &Authority,
        id: &str,
        encoded_call: &EncodedCall<'_>,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut request = self
            .request(Method::POST, node, &encoded_call.path)
            .header(REQUEST_ID, id);
        if let Some(idempotent) = encoded_call.call.idempotent {
            request = request.header(IDEMPOTENT, if idempotent { "true" } else { "false" });
        }
        if let Some(key) = &encoded_call.call.idempotency_key {
            request = request.header(IDEMPOTENCY_KEY, key);
        }
        if matches!(encoded_call.call.content, CallContent::Completion { .. }) {
            request = (request.header(header::CONTENT_TYPE, "application/json"))
                .header(header::ACCEPT, EVENT_STREAM);
        }
        request.body(Full::new(encoded_call.body.clone()))
    }

    fn query_request(
        &self,
        node: &Authority,
        id: &str,
        received: &Received,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut request = self.get(node, &format!("/v1/requests/{id}"));
        if !received.is_tokenless {
            request = request.header(header::ACCEPT, EVENT_STREAM);
        }
        if let Some(last) = received.next_position.checked_sub(1) {
            request = request.header(LAST_EVENT_ID, last);
        }
        request.body(Full::default())
    }

    fn get(&self, node: &Authority, path: &str) -> http::request::Builder {
        self.request(Method::GET, node, path)
    }

    fn request(&self, method: Method, node: &Authority, path: &str) -> http::request::Builder {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{node}{path}"));
        match self.token.as_ref().and_then(Secret::expose_text) {
            Some(token) => request.header(header::AUTHORIZATION, format!("Bearer {token}")),
            None => request,
        }
    }
}

/// Host and port of a URL.
fn authority(url: &Url) -> Option<Authority> {
    let host = url.host_str()?;
    let port = url.port_or_known_default()?;
    Some(Authority::from(format!("{host}:{port}")))
}

#[cfg(test)]
mod tests;
