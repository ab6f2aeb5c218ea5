//! Sends one request as a caller and sees it to its end, whatever happens to nodes on the way.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::Full;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use url::Url;

use super::call::{Call, CallContent, Sending};
use super::entries::{Authority, EntryBook};
use super::http::{Http, HttpError};
use super::policy::{self, Attempt, End, Event, Limits, Progress, Rejection, Step};
use super::reading::{self, EVENT_STREAM, Question, Received};
use super::wire::{Entries, IDEMPOTENCY_KEY, IDEMPOTENT, LAST_EVENT_ID, REQUEST_ID};
use crate::options::Secret;
use crate::time::Clock;

/// How long a node may take to say which nodes to use.
const ENTRIES_PATIENCE_MS: u64 = 2_000;

/// How a call went.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// How it ended.
    pub end: End,
    /// The ids that it was sent under, in order; the last one ended so.
    pub ids: Vec<String>,
    /// Tokens that came.
    pub tokens: u64,
    /// Attempts to reach a node with the call or for its answer.
    pub attempts: u32,
}

/// A caller: a team's token and what is known of nodes. It may be shared by many calls at once.
#[derive(Debug)]
pub struct Caller {
    http: Http,
    token: Option<Secret>,
    book: Mutex<EntryBook>,
    rng: Mutex<SmallRng>,
    clock: Clock,
    ids_per_ask: u32,
    failures: u32,
    resends: u32,
    patience_ms: u64,
    give_up_after_ms: u64,
}

impl Caller {
    /// A caller that knows these nodes, given by URL.
    #[must_use]
    pub fn new(nodes: &[Url], token: Option<Secret>) -> Self {
        let seeds = nodes.iter().filter_map(authority);
        Self {
            http: Http::new(),
            token,
            book: Mutex::new(EntryBook::new(seeds)),
            rng: Mutex::new(SmallRng::from_os_rng()),
            clock: Clock::new(),
            ids_per_ask: 1,
            failures: 8,
            resends: 8,
            patience_ms: 15_000,
            give_up_after_ms: u64::MAX,
        }
    }

    /// Draws the spread of its pauses from a seed.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.rng = Mutex::new(SmallRng::seed_from_u64(seed));
        self
    }

    /// Asks for this many ids at once, for callers that send much.
    #[must_use]
    pub fn with_ids_per_ask(mut self, ids_per_ask: u32) -> Self {
        self.ids_per_ask = ids_per_ask;
        self
    }

    /// Gives up after this many failures in a row, and takes this many new ids after refusals.
    #[must_use]
    pub fn with_limits(mut self, failures: u32, resends: u32) -> Self {
        self.failures = failures;
        self.resends = resends;
        self
    }

    /// Takes a connection for broken when nothing comes for so long.
    #[must_use]
    pub fn with_patience_ms(mut self, patience_ms: u64) -> Self {
        self.patience_ms = patience_ms;
        self
    }

    /// Starts no attempt later than this after the call began.
    #[must_use]
    pub fn with_give_up_after_ms(mut self, give_up_after_ms: u64) -> Self {
        self.give_up_after_ms = give_up_after_ms;
        self
    }

    /// Sends a call and sees it to its end; `on_token` gets each token once, in order, with its
    /// position.
    pub async fn call(&self, call: &Call, on_token: impl FnMut(u64, &str)) -> Report {
        self.call_under(None, call, on_token).await
    }

    /// An id for [`Caller::call_under`], if a node gives one.
    pub async fn take_id(&self) -> Option<String> {
        self.new_id().await.ok()
    }

    /// Like [`Caller::call`], under an id that the caller has; one is asked for if it has none.
    pub async fn call_under(
        &self,
        id: Option<String>,
        call: &Call,
        on_token: impl FnMut(u64, &str),
    ) -> Report {
        let repeatable = call.idempotent == Some(true);
        let progress = Progress::new(self.limits(), repeatable);
        let sending = Sending::new(call);
        let received = Received {
            is_whole: matches!(call.content, CallContent::Service { .. }),
            ..Received::default()
        };
        self.run(Some(&sending), id, received, progress, on_token)
            .await
    }

    /// Reads the answer of an earlier call from a position on.
    pub async fn resume(
        &self,
        id: &str,
        from_position: u64,
        on_token: impl FnMut(u64, &str),
    ) -> Report {
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
            failures: self.failures,
            resends: self.resends,
            give_up_at_ms: self.clock.now().after(self.give_up_after_ms),
        }
    }

    async fn run(
        &self,
        sending: Option<&Sending<'_>>,
        mut id: Option<String>,
        mut received: Received,
        mut progress: Progress,
        mut on_token: impl FnMut(u64, &str),
    ) -> Report {
        let mut ids: Vec<String> = id.iter().cloned().collect();
        let mut what = match sending {
            Some(_) => Attempt::Send,
            None => Attempt::Resume,
        };
        let mut attempts = 0;
        let mut avoid = None;
        loop {
            attempts += 1;
            let event = match self.prepare(&mut id, &mut ids, avoid.as_ref()).await {
                Err(event) => event,
                Ok(aim) => {
                    let question = match (what, sending) {
                        (Attempt::Send | Attempt::SendUnderNewId, Some(sending)) => Some(sending),
                        _ => None,
                    };
                    let id = id.as_deref().unwrap_or_default();
                    avoid = Some(Arc::clone(&aim));
                    self.attempt(&aim, id, question, &mut received, &mut on_token)
                        .await
                }
            };
            if std::mem::take(&mut received.has_news) {
                progress.note_news();
            }
            let step = {
                let mut rng = self.rng.lock();
                policy::decide(&progress, &event, self.clock.now(), &mut rng)
            };
            progress.note(&event, &step);
            match step {
                Step::End(end) => {
                    return Report {
                        end,
                        ids,
                        tokens: received.next_position,
                        attempts,
                    };
                }
                Step::Try {
                    what: next,
                    pause_ms,
                } => {
                    if next == Attempt::SendUnderNewId {
                        id = None;
                    }
                    what = next;
                    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                }
            }
        }
    }

    /// Sees that there is an id, and finds the node to use next.
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
        if self.book.lock().is_stale(self.clock.now()) {
            self.ask_entries(0).await.map_err(Event::Rejected)?;
        }
        let aim = self.book.lock().pick(avoid, self.clock.now());
        aim.ok_or(Event::Unsent)
    }

    async fn attempt(
        &self,
        aim: &Authority,
        id: &str,
        sending: Option<&Sending<'_>>,
        received: &mut Received,
        on_token: &mut impl FnMut(u64, &str),
    ) -> Event {
        let (question, request) = match sending {
            Some(sending) => (Question::Call, self.sending(aim, id, sending)),
            None => (Question::Resumption, self.resuming(aim, id, received)),
        };
        let sent = match request {
            Ok(request) => self.http.send(request, self.patience_ms).await,
            Err(error) => Err(HttpError::Unwritable(error)),
        };
        let event = match sent {
            Ok(response) => {
                let patience_ms = self.patience_ms;
                reading::read_answer(question, response, received, patience_ms, on_token).await
            }
            Err(error) => reading::failed(&error),
        };
        let mut book = self.book.lock();
        match event {
            Event::Unsent | Event::Broken { .. } => book.note_failure(aim, self.clock.now()),
            _ => book.note_answer(aim),
        }
        event
    }

    async fn new_id(&self) -> Result<String, Event> {
        let held = self.book.lock().take_id(self.clock.now());
        if let Some(id) = held {
            return Ok(id);
        }
        let asked = self.ask_entries(self.ids_per_ask).await;
        asked.map_err(Event::Rejected)?;
        let got = self.book.lock().take_id(self.clock.now());
        got.ok_or(Event::Unsent)
    }

    /// Asks the known nodes in turn which nodes to use, until one answers; fails if one finds the
    /// token at fault, since the others will too.
    async fn ask_entries(&self, ids: u32) -> Result<(), Rejection> {
        let known = self.book.lock().to_ask(self.clock.now());
        for authority in known {
            let request = self.get(&authority, &format!("/v1/entries?ids={ids}"));
            let answer = match request.body(Full::default()) {
                Ok(request) => self.http.fetch(request, ENTRIES_PATIENCE_MS).await.ok(),
                Err(_) => None,
            };
            match &answer {
                Some(answer) if answer.status.is_client_error() => {
                    return Err(reading::rejection(answer));
                }
                _ => {}
            }
            let list = (answer.filter(|answer| answer.status.is_success()))
                .and_then(|answer| serde_json::from_slice::<Entries>(&answer.body).ok());
            let now = self.clock.now();
            let mut book = self.book.lock();
            match list {
                Some(list) => {
                    book.note_answer(&authority);
                    book.take_list(&list, now);
                    return Ok(());
                }
                None => book.note_failure(&authority, now),
            }
        }
        Ok(())
    }

    fn sending(
        &self,
        aim: &Authority,
        id: &str,
        sending: &Sending<'_>,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut request = self
            .request(Method::POST, aim, &sending.path)
            .header(REQUEST_ID, id);
        if let Some(idempotent) = sending.call.idempotent {
            request = request.header(IDEMPOTENT, if idempotent { "true" } else { "false" });
        }
        if let Some(key) = &sending.call.idempotency_key {
            request = request.header(IDEMPOTENCY_KEY, key);
        }
        if matches!(sending.call.content, CallContent::Completion { .. }) {
            request = (request.header(header::CONTENT_TYPE, "application/json"))
                .header(header::ACCEPT, EVENT_STREAM);
        }
        request.body(Full::new(sending.body.clone()))
    }

    fn resuming(
        &self,
        aim: &Authority,
        id: &str,
        received: &Received,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut request = self.get(aim, &format!("/v1/requests/{id}"));
        if !received.is_whole {
            request = request.header(header::ACCEPT, EVENT_STREAM);
        }
        if let Some(last) = received.next_position.checked_sub(1) {
            request = request.header(LAST_EVENT_ID, last);
        }
        request.body(Full::default())
    }

    fn get(&self, aim: &Authority, path: &str) -> http::request::Builder {
        self.request(Method::GET, aim, path)
    }

    fn request(&self, method: Method, aim: &Authority, path: &str) -> http::request::Builder {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{aim}{path}"));
        match self.token.as_ref().and_then(Secret::expose_text) {
            Some(token) => request.header(header::AUTHORIZATION, format!("Bearer {token}")),
            None => request,
        }
    }
}

fn authority(url: &Url) -> Option<Authority> {
    let host = url.host_str()?;
    let port = url.port_or_known_default()?;
    Some(Authority::from(format!("{host}:{port}")))
}

#[cfg(test)]
mod tests;
