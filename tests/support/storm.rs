//! Callers that send one call to several nodes at once, and again until they have its last word.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use teaselline::client::call::{Call, CallContent};
use teaselline::client::caller::Caller;
use teaselline::client::http::{BufferedResponse, HttpError};
use teaselline::client::policy::End;
use teaselline::client::wire::RefusalOutcome;
use tokio::time::Instant;
use twox_hash::XxHash3_64;

use super::fleet::{Client, Fleet};
use super::trial;

/// How long a caller waits for one node.
pub const PATIENCE_MS: u64 = 4_000;

/// How long a naive caller waits for one node.
const NAIVE_PATIENCE_MS: u64 = 1_000;

/// Ids that a call is sent under, one after another was refused as not run.
const MOST_IDS: usize = 6;

/// How often a caller hears `unknown` of an idempotent call before it takes a new id.
const UNKNOWN_ASKS: usize = 4;

/// Tokens of the shortest and of the longest answer.
const TOKENS: (u32, u32) = (4, 60);

const SUBJECTS: [&str; 4] = [
    "Žiadosť o vrátenie zálohy: pivovar Šariš, 42 sudov, hala-b.",
    "Dopis pro pivovar: sporný účet zálohy za duben, sudy č. 118–164.",
    "小樽の保管庫、リール12：継ぎ目の記録。",
    "Reconcile this deposit ledger; the hauler's log and the pub's report differ in six rows.",
];

/// What a call asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// A call to a plain service; that of claims must run at most once.
    Service {
        /// The service.
        name: &'static str,
        /// The body.
        body: String,
        /// Whether it is sent under a key of the caller's own, in place of an id.
        keyed: bool,
    },
    /// Tokens of the model.
    Completion {
        /// The prompt.
        prompt: String,
        /// The most tokens.
        max_tokens: u32,
        /// Whether it may run more than once.
        idempotent: bool,
    },
}

/// The path of service calls below the service.
pub const SERVICE_PATH: &str = "deposits";

impl Content {
    /// The `index`th call of a seed.
    pub fn new(rng: &mut SmallRng, index: usize) -> Self {
        let subject = SUBJECTS.choose(rng).copied().unwrap_or_default();
        let text = format!("{subject} no. {index}");
        match rng.random_range(0..100) {
            roll @ 0..45 => Self::Service {
                name: trial::CLAIMS,
                body: text,
                keyed: roll >= 30,
            },
            45..55 => Self::Service {
                name: trial::TRACKING,
                body: text,
                keyed: false,
            },
            roll => Self::Completion {
                prompt: text,
                max_tokens: rng.random_range(TOKENS.0..=TOKENS.1),
                idempotent: roll >= 80,
            },
        }
    }

    /// Whether it may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self {
            Self::Service { name, .. } => *name == trial::TRACKING,
            Self::Completion { idempotent, .. } => *idempotent,
        }
    }

    /// Whether it is sent under a key of the caller's own.
    pub fn is_keyed(&self) -> bool {
        matches!(self, Self::Service { keyed: true, .. })
    }

    fn path(&self) -> String {
        match self {
            Self::Service { name, .. } => format!("/v1/services/{name}/{SERVICE_PATH}"),
            Self::Completion { .. } => "/v1/completions".to_owned(),
        }
    }

    fn body(&self) -> String {
        match self {
            Self::Service { body, .. } => body.clone(),
            Self::Completion {
                prompt, max_tokens, ..
            } => json!({ "model": trial::MODEL, "prompt": prompt, "max_tokens": max_tokens })
                .to_string(),
        }
    }
}

impl From<Content> for CallContent {
    fn from(content: Content) -> Self {
        match content {
            Content::Service { name, body, .. } => Self::Service {
                name: name.to_owned(),
                path: SERVICE_PATH.to_owned(),
                body: Bytes::from(body),
            },
            Content::Completion {
                prompt, max_tokens, ..
            } => Self::Completion {
                model: trial::MODEL.to_owned(),
                prompt,
                max_tokens,
                latency_class: None,
            },
        }
    }
}

/// What one node said of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    /// The text of the answer.
    Answered(String),
    /// It did not run and never will under this id, for this reason.
    NotRun(String),
    /// It may have run; why that is not known.
    Unknown(String),
    /// It ran and failed.
    Failed,
    /// The tokens that came, from the first one on.
    Part(String),
    /// The node does not know it; only said when it was asked for and not sent.
    NoSuchRequest,
    /// Something that no node should say here.
    Unexpected(u16, String),
    /// Nothing.
    Silence,
}

/// What was said under one id.
#[derive(Clone, Debug)]
pub struct Told {
    /// The id.
    pub id: String,
    /// What was said, in the order in which it was heard.
    pub words: Vec<Word>,
}

/// A call and all that was said of it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The call.
    pub content: Content,
    /// What was said, id by id.
    pub told: Vec<Told>,
}

/// How callers go about a call that is not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// They send it again under its id, to several nodes at once.
    SameId,
    /// They have another node run it again, as if nothing had come of the first try.
    RunAgain,
}

/// What callers need.
#[derive(Clone, Debug)]
pub struct Callers {
    /// The nodes.
    pub fleet: Arc<Fleet>,
    /// The product's own caller, which streams answers and resumes them elsewhere.
    pub streaming: Arc<Caller>,
    /// What they do when a call is not answered.
    pub manner: Manner,
    /// When they stop sending calls again.
    pub give_up_at: Instant,
}

impl Callers {
    /// Makes a call and sees it to its end, or until it is time to give up.
    pub async fn make(self, content: Content, seed: u64) -> Seen {
        let mut rng = SmallRng::seed_from_u64(seed);
        if content.is_keyed() && self.manner == Manner::SameId {
            let told = self.send_keyed_until_told(&content, &mut rng).await;
            return Seen { content, told };
        }
        let mut told = Vec::new();
        while told.len() < MOST_IDS && Instant::now() < self.give_up_at {
            let Some(id) = self.new_id(&mut rng).await else {
                break;
            };
            let words = match self.manner {
                Manner::SameId => self.send_until_told(&content, &id, &mut rng).await,
                Manner::RunAgain => self.send_once(&content, &id, &mut rng).await,
            };
            let again = match self.manner {
                Manner::SameId => may_take_new_id(&content, &words),
                Manner::RunAgain => !words.iter().any(|word| matches!(word, Word::Answered(_))),
            };
            told.push(Told { id, words });
            if !again {
                break;
            }
            pause(&mut rng, 50, 300).await;
        }
        Seen { content, told }
    }

    /// Makes a call as the product's own caller does, and resumes its stream where it breaks.
    pub async fn stream(self, content: Content) -> Seen {
        let (idempotent, sent) = (content.is_idempotent(), content.clone());
        let call = Call::new(sent.into()).with_idempotent(idempotent);
        let mut heard = String::new();
        let on_token = |_position: u64, token: &str| heard.push_str(token);
        let report = self.streaming.call(&call, on_token).await;
        // An id was left only where a node said that it did not run, or where that does no harm.
        let left = || {
            let reason = "left for a new id".to_owned();
            if idempotent {
                return Word::Unknown(reason);
            }
            Word::NotRun(reason)
        };
        let told = report.ids.into_iter().map(|id| Told {
            id,
            words: vec![left()],
        });
        let mut told: Vec<_> = told.collect();
        let last = match report.end {
            End::Completed { .. } => Word::Answered(heard.clone()),
            End::Answered { body, .. } => Word::Answered(text(&body)),
            End::Refused(refusal) => match refusal.outcome {
                RefusalOutcome::NotRun => Word::NotRun(refusal.shown_reason().to_owned()),
                RefusalOutcome::Unknown => Word::Unknown(refusal.shown_reason().to_owned()),
                RefusalOutcome::Failed | RefusalOutcome::Cancelled => Word::Failed,
            },
            End::Rejected(rejection) => Word::Unexpected(rejection.status, rejection.message),
            End::Unsent | End::RetriesExhausted => Word::Silence,
        };
        if let Some(told) = told.last_mut() {
            told.words = vec![Word::Part(heard), last];
        }
        Seen { content, told }
    }

    async fn new_id(&self, rng: &mut SmallRng) -> Option<String> {
        while Instant::now() < self.give_up_at {
            let client = Client::new(trial::TOKEN).with_patience_ms(NAIVE_PATIENCE_MS);
            match client.id(self.some_node(rng)).await {
                Some(id) => return Some(id),
                None => pause(rng, 20, 100).await,
            }
        }
        None
    }

    async fn send_once(&self, content: &Content, id: &str, rng: &mut SmallRng) -> Vec<Word> {
        let client = Client::new(trial::TOKEN).with_patience_ms(NAIVE_PATIENCE_MS);
        vec![send(client, self.some_node(rng), content.clone(), id.to_owned()).await]
    }

    async fn send_until_told(&self, content: &Content, id: &str, rng: &mut SmallRng) -> Vec<Word> {
        let mut words = Vec::new();
        let mut at_once = rng.random_range(1..=3);
        loop {
            let mut wave = tokio::task::JoinSet::new();
            for _ in 0..at_once {
                let (at, content, id) = (self.some_node(rng), content.clone(), id.to_owned());
                let delay = Duration::from_millis(rng.random_range(0..300));
                let asks = !words.is_empty() && rng.random_bool(0.3);
                wave.spawn(async move {
                    tokio::time::sleep(delay).await;
                    let client = Client::new(trial::TOKEN).with_patience_ms(PATIENCE_MS);
                    if asks {
                        return ask(client, at, id).await;
                    }
                    send(client, at, content, id).await
                });
            }
            words.extend(wave.join_all().await);
            let is_told = words.iter().any(Word::is_final);
            if is_told || may_take_new_id(content, &words) || Instant::now() >= self.give_up_at {
                return words;
            }
            pause(rng, 100, 600).await;
            at_once = rng.random_range(1..=2);
        }
    }

    /// Sends a call under its key, to several nodes at once, until it is answered.
    ///
    /// A key that was refused as not run may be sent again: the refusal is of the id that stood for
    /// it that time.
    async fn send_keyed_until_told(&self, content: &Content, rng: &mut SmallRng) -> Vec<Told> {
        let mut told = Vec::new();
        loop {
            let mut wave = tokio::task::JoinSet::new();
            for _ in 0..rng.random_range(1..=3) {
                let (at, content) = (self.some_node(rng), content.clone());
                let delay = Duration::from_millis(rng.random_range(0..300));
                wave.spawn(async move {
                    tokio::time::sleep(delay).await;
                    send_keyed(Client::new(trial::TOKEN), at, content).await
                });
            }
            told.extend(wave.join_all().await);
            let is_over = |word: &Word| matches!(word, Word::Answered(_) | Word::Failed);
            let words = told.iter().flat_map(|told| &told.words);
            if words.into_iter().any(is_over) || Instant::now() >= self.give_up_at {
                return told;
            }
            pause(rng, 100, 600).await;
        }
    }

    fn some_node(&self, rng: &mut SmallRng) -> SocketAddr {
        let nodes = self.fleet.nodes();
        nodes.choose(rng).expect("a fleet has nodes").callers
    }
}

impl Word {
    /// Whether it says that the id did not run and never will.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun(_))
    }

    /// Whether nothing else may be said of the id afterwards.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Answered(_) | Self::NotRun(_) | Self::Failed)
    }
}

/// Whether a call may be sent under a new id: it did not run under this one, or a second run does no
/// harm and nobody knows of the first.
fn may_take_new_id(content: &Content, words: &[Word]) -> bool {
    let unknown = words.iter().filter(|word| matches!(word, Word::Unknown(_)));
    let is_given_up = content.is_idempotent() && unknown.count() >= UNKNOWN_ASKS;
    let is_told = words.iter().any(Word::is_final);
    words.iter().any(Word::is_not_run) || (is_given_up && !is_told)
}

/// Sends a call to one node.
pub async fn send(client: Client, at: SocketAddr, content: Content, id: String) -> Word {
    let idempotent = if content.is_idempotent() {
        "true"
    } else {
        "false"
    };
    let headers = [("request-id", id.as_str()), ("idempotent", idempotent)];
    let (path, body) = (content.path(), content.body());
    let answer = client.send(Method::POST, at, &path, &headers, body).await;
    word(answer)
}

/// Sends a call under its key to one node.
pub async fn send_keyed(client: Client, at: SocketAddr, content: Content) -> Told {
    let client = client.with_patience_ms(PATIENCE_MS);
    let (path, body) = (content.path(), content.body());
    // Bodies differ, so that each can be its own key.
    let key = XxHash3_64::oneshot(body.as_bytes()).to_string();
    let headers = [("idempotency-key", key.as_str()), ("idempotent", "false")];
    let answer = client.send(Method::POST, at, &path, &headers, body).await;
    let id = answer.as_ref().ok().and_then(id_of).unwrap_or_default();
    let words = vec![word(answer)];
    Told { id, words }
}

/// The id that an answer names, empty if none.
fn id_of(answer: &BufferedResponse) -> Option<String> {
    Some(answer.headers.get("request-id")?.to_str().ok()?.to_owned())
}

/// Asks one node for the answer of a call.
async fn ask(client: Client, at: SocketAddr, id: String) -> Word {
    let answer = client.get(at, &format!("/v1/requests/{id}")).await;
    word(answer)
}

fn word(answer: Result<BufferedResponse, HttpError>) -> Word {
    let Ok(answer) = answer else {
        return Word::Silence;
    };
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let reason = || body["reason"].as_str().unwrap_or_default().to_owned();
    match (answer.status, body["outcome"].as_str()) {
        // A node that can ask nobody of an idempotent call answers under an id of its own.
        (StatusCode::OK, Some("answered")) => {
            Word::Answered(body["text"].as_str().unwrap_or_default().to_owned())
        }
        (StatusCode::OK, None) => Word::Answered(text(&answer.body)),
        (StatusCode::NOT_FOUND, _) if body["reason"] == "no_such_request" => Word::NoSuchRequest,
        (_, Some("not_run")) => Word::NotRun(reason()),
        (_, Some("unknown")) => Word::Unknown(reason()),
        (_, Some("failed")) => Word::Failed,
        (status, _) => Word::Unexpected(status.as_u16(), text(&answer.body)),
    }
}

fn text(bytes: &Bytes) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

async fn pause(rng: &mut SmallRng, least_ms: u64, most_ms: u64) {
    let pause_ms = rng.random_range(least_ms..=most_ms);
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}
