//! Streams that are read on at another node after the one that they came from has died.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use serde_json::json;
use teaselline::client::events::{Event, Splitter};
use teaselline::client::http::HttpClient;
use teaselline::client::wire::TokenData;
use teaselline::requests::RequestId;
use teaselline_stand_ins::engine::expected_answer;

use crate::BINARY;
use crate::fleet::{Client, Fleet, FleetSettings};
use crate::trial;

const PATIENCE_MS: u64 = 60_000;
/// Tokens of each answer; with ten milliseconds between them, nodes die in the middle of it.
pub const TOKENS: u64 = 150;
/// Tokens after which a node is killed.
const KILLED_AFTER: usize = 20;
pub const PROMPT: &str = "Šariš, 42 sudov: zosúlaďte zálohy.";

/// What came of one connection.
#[derive(Debug, Default)]
pub struct Read {
    pub tokens: Vec<TokenData>,
    pub is_whole: bool,
}

impl Read {
    /// The text of its tokens.
    pub fn text(&self) -> String {
        let texts = self.tokens.iter().map(|token| token.token.as_str());
        texts.collect()
    }
}

/// Asks a node for a stream and reads it to its end, or until it breaks; `after` is called once so
/// many tokens have come.
pub async fn read(
    request: http::request::Builder,
    body: String,
    mut after: impl FnMut(usize),
) -> Read {
    let request = request
        .header("accept", "text/event-stream")
        .header("authorization", format!("Bearer {}", trial::TOKEN))
        .body(Full::from(body))
        .unwrap();
    let mut read = Read::default();
    let Ok(response) = HttpClient::new().send(request, PATIENCE_MS).await else {
        return read;
    };
    let (mut body, mut splitter) = (response.into_body(), Splitter::default());
    while let Some(Ok(frame)) = body.frame().await {
        splitter.push(frame.data_ref().unwrap());
        while let Ok(Some(Event { kind, data })) = splitter.next_event() {
            match kind.as_str() {
                "token" => read.tokens.push(serde_json::from_str(&data).unwrap()),
                "done" => read.is_whole = true,
                other => panic!("{other}: {data}"),
            }
            after(read.tokens.len());
        }
    }
    read
}

pub fn start(at: SocketAddr, id: &str, idempotent: &str) -> (http::request::Builder, String) {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{at}/v1/completions"))
        .header("request-id", id)
        .header("idempotent", idempotent);
    let body = json!({
        "model": trial::MODEL, "prompt": PROMPT, "max_tokens": TOKENS, "stream": true
    });
    (request, body.to_string())
}

fn resume(at: SocketAddr, id: &str, last: u64) -> http::request::Builder {
    Request::builder()
        .uri(format!("http://{at}/v1/requests/{id}"))
        .header("last-event-id", last)
}

/// Starts a stream through the node `through`, whose home is node 0, kills node `killed` in the
/// middle of it, and reads it on through node 2.
async fn read_on(idempotent: &str, through: usize, killed: usize) {
    let fleet = Fleet::start(FleetSettings::new(BINARY)).await.unwrap();
    let client = Client::new(trial::TOKEN);
    let id = client.id(fleet.node(0).callers).await.unwrap();
    let victim = fleet.node(killed);
    let (request, body) = start(fleet.node(through).callers, &id, idempotent);
    let kill_in_time = |tokens| {
        if tokens == KILLED_AFTER {
            victim.kill();
        }
    };
    let mut heard = read(request, body, kill_in_time).await;
    assert!(heard.tokens.len() >= KILLED_AFTER);
    if !heard.is_whole {
        let last = heard.tokens.last().unwrap().position;
        let request = resume(fleet.node(2).callers, &id, last);
        let rest = read(request, String::new(), |_| {}).await;
        assert!(rest.is_whole, "{rest:?}");
        heard.tokens.extend(rest.tokens);
    }
    let seed = id.parse::<RequestId>().unwrap().seed();
    assert_eq!(heard.text(), expected_answer(PROMPT, seed, TOKENS));
    let positions = heard.tokens.iter().map(|token| token.position);
    assert_eq!(
        positions.collect::<Vec<_>>(),
        (0..TOKENS).collect::<Vec<_>>()
    );
    let history = fleet.site.history();
    let doubled: BTreeSet<_> = history.doubled().into_iter().collect();
    assert!(!doubled.contains(id.as_str()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_read_on_from_another_node_when_its_entry_dies() {
    // Symptom: a colourist's report ends in the middle, or has a token twice.
    // Sequence: the node that the caller is connected to dies; its home lives.
    // Cause: a position that the new node does not go on from exactly.
    read_on("true", 1, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_stream_is_read_on_when_its_home_dies() {
    // Symptom: a ledger that must be drawn up once is drawn up twice, or never arrives.
    // Sequence: the home dies while the engine streams; the witness finds the stream there.
    // Cause: a witness that starts a stream anew, or does not know where it runs.
    read_on("false", 0, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_stream_goes_on_through_its_entry_when_its_home_dies() {
    // Symptom: as above.
    // Sequence: the home dies, and the caller's node follows the request to the witness.
    // Cause: a follower that starts again from the first token, or that gives up.
    read_on("true", 2, 0).await;
}
