//! Bodies that are cut, malformed, huge or empty.

use std::net::SocketAddr;

use http::{Method, StatusCode};
use serde_json::{Value, json};
use teaselline::client::http::BufferedResponse;
use teaselline::requests::RequestId;
use teaselline_stand_ins::engine::expected_answer;
use teaselline_stand_ins::service::service_answer;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::BINARY;
use crate::fleet::{Client, Fleet, FleetSettings};
use crate::trial;

const COMPLETIONS: &str = "/v1/completions";
const CLAIMS: &str = "/v1/services/claims/deposits";

/// A ledger in four scripts, whose characters take one to four bytes.
const LEDGER: &str = "Šariš 42 sudov, 小樽の記録, splice 7 🎞; ";

fn completion(prompt: &str) -> String {
    json!({ "model": trial::MODEL, "prompt": prompt, "max_tokens": 3 }).to_string()
}

async fn send(
    client: &Client,
    at: SocketAddr,
    path: &str,
    id: &str,
    body: Vec<u8>,
) -> BufferedResponse {
    let headers = [("request-id", id)];
    let answer = client.send(Method::POST, at, path, &headers, body);
    answer.await.unwrap()
}

fn refusal(answer: &BufferedResponse) -> (String, String) {
    let refusal: Value = serde_json::from_slice(&answer.body).unwrap();
    let field = |name: &str| refusal[name].as_str().unwrap().to_owned();
    (field("outcome"), field("reason"))
}

/// Sends part of a request and hangs up; waits until the node has noticed.
async fn hang_up_after(at: SocketAddr, part: &[u8]) {
    let mut socket = TcpStream::connect(at).await.unwrap();
    socket.write_all(part).await.unwrap();
    socket.shutdown().await.unwrap();
    // A refusal may come or may not; the end comes for certain.
    let mut said = Vec::new();
    drop(socket.read_to_end(&mut said).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_is_cut_half_way_runs_nothing_and_uses_no_id_up() {
    // Symptom: a ledger that lost its end is reconciled as if it were whole.
    // Sequence: the connection breaks at each of several places in the body.
    // Cause: an early end taken for the end of the body.
    let fleet = Fleet::start(FleetSettings::new(BINARY)).await.unwrap();
    let client = Client::new(trial::TOKEN);
    let at = fleet.node(0).callers;
    let body = "keg 7; ".repeat(1_000);
    for (path, framing) in [
        (CLAIMS, format!("content-length: {}", body.len())),
        (CLAIMS, "transfer-encoding: chunked".to_owned()),
        (COMPLETIONS, format!("content-length: {}", body.len())),
    ] {
        let id = client.id(at).await.unwrap();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {at}\r\nauthorization: Bearer {}\r\n\
             request-id: {id}\r\n{framing}\r\n\r\n",
            trial::TOKEN
        );
        for sent in [0, 1, body.len() / 2, body.len() - 1] {
            let part = &body[..sent];
            let chunk = if framing.starts_with("transfer") {
                format!("{:x}\r\n{part}", body.len())
            } else {
                part.to_owned()
            };
            hang_up_after(at, format!("{head}{chunk}").as_bytes()).await;
        }
        assert!(!fleet.site.history().has_run(&id));
        let whole = send(&client, at, CLAIMS, &id, body.clone().into_bytes()).await;
        assert_eq!(whole.status, StatusCode::OK);
        assert_eq!(whole.body, service_answer("/deposits", body.as_bytes()));
    }
    assert_eq!(fleet.site.history().ran.len(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn what_is_no_json_in_utf_8_is_refused_before_work() {
    let fleet = Fleet::start(FleetSettings::new(BINARY)).await.unwrap();
    let client = Client::new(trial::TOKEN);
    let at = fleet.node(0).callers;
    let mut invalid = completion("Šariš").into_bytes();
    let place = invalid.iter().position(|byte| *byte > 0x7f).unwrap();
    invalid[place] = 0xff;
    let bodies = [
        (invalid, "body_malformed"),
        (Vec::new(), "body_malformed"),
        (b"{".to_vec(), "body_malformed"),
        (completion("").into_bytes(), "out_of_range"),
    ];
    for (body, expected) in bodies {
        let id = client.id(at).await.unwrap();
        let answer = send(&client, at, COMPLETIONS, &id, body).await;
        assert_eq!(answer.status, StatusCode::BAD_REQUEST);
        assert_eq!(
            refusal(&answer),
            ("not_run".to_owned(), expected.to_owned())
        );
    }
    assert!(fleet.site.history().ran.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_any_bytes_and_megabytes_arrive_whole() {
    let fleet = Fleet::start(FleetSettings::new(BINARY)).await.unwrap();
    let client = Client::new(trial::TOKEN).with_patience_ms(60_000);
    let (home, other) = (fleet.node(0).callers, fleet.node(1).callers);
    let prompt = LEDGER.repeat((1 << 20) / LEDGER.len());
    let id = client.id(home).await.unwrap();
    let answer = send(&client, other, COMPLETIONS, &id, completion(&prompt).into()).await;
    let answer: Value = serde_json::from_slice(&answer.body).unwrap();
    let seed = id.parse::<RequestId>().unwrap().seed();
    assert_eq!(
        answer["text"],
        expected_answer(&prompt, seed, 3),
        "{answer}"
    );
    let any_bytes: Vec<u8> = (0..=u8::MAX).cycle().take(1 << 20).collect();
    for body in [Vec::new(), any_bytes] {
        let id = client.id(home).await.unwrap();
        let answer = send(&client, other, CLAIMS, &id, body.clone()).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.body, service_answer("/deposits", &body));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_over_the_limit_is_refused_with_a_typed_error() {
    let fleet = Fleet::start(FleetSettings::new(BINARY)).await.unwrap();
    let client = Client::new(trial::TOKEN).with_patience_ms(60_000);
    let at = fleet.node(0).callers;
    let body = vec![b'k'; 5 << 20];
    let unnamed = client
        .send(Method::POST, at, CLAIMS, &[], body.clone())
        .await;
    // A node may hang up on a body that it does not want to read to its end.
    if let Ok(unnamed) = unnamed {
        assert_eq!(unnamed.status, StatusCode::PAYLOAD_TOO_LARGE);
        assert_eq!(refusal(&unnamed).0, "not_run");
    }
    assert!(fleet.site.history().ran.is_empty());
}
