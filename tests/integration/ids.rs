//! Ids that are forged, changed, expired, or of another team, and ids used for two calls.

use http::{Method, StatusCode};
use serde_json::{Value, json};
use teaselline::client::http::BufferedResponse;
use teaselline::requests::id::{ID_VALIDITY_MS, IdFields, IdKey};
use teaselline::requests::{RequestId, TeamTag};
use teaselline::time::{Clock, TimeMs};

use crate::BINARY;
use crate::fleet::{Client, Fleet, FleetSettings};
use crate::trial;

const CLAIMS: &str = "/v1/services/claims/deposits";
const COMPLETIONS: &str = "/v1/completions";

fn completion(prompt: &str) -> String {
    json!({ "model": trial::MODEL, "prompt": prompt, "max_tokens": 4 }).to_string()
}

/// An id as the fleet would have minted it for the trials' team.
fn mint(fleet: &Fleet, issued_at_ms: TimeMs, sequence: u32) -> RequestId {
    let draft = IdFields {
        issued_at_ms,
        home: fleet.node(0).incarnation,
        witness: fleet.node(1).incarnation,
        minter: fleet.node(0).incarnation,
        sequence,
    };
    let key = IdKey::derive(fleet.key.as_bytes());
    key.mint(draft, TeamTag::of(trial::TEAM))
}

/// All that a caller sees of an answer, but for the time at which it was given.
fn seen(answer: &BufferedResponse) -> (StatusCode, Vec<(String, String)>, String) {
    let headers = answer.headers.iter().filter(|(name, _)| *name != "date");
    let headers = headers.map(|(name, value)| (name.to_string(), format!("{value:?}")));
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    (answer.status, headers.collect(), body)
}

#[tokio::test(flavor = "multi_thread")]
async fn another_team_is_told_the_same_of_a_request_as_of_one_that_never_was() {
    // Symptom: a team finds out that another one has sent a request, or reads its answer.
    // Sequence: the id of one team's request is used with another team's token, on every call.
    // Cause: any difference between a request that is another's and one that there is none of.
    let fleet = Fleet::start(FleetSettings::new(BINARY)).await.unwrap();
    let (owner, other) = (Client::new(trial::TOKEN), Client::new(trial::OTHER_TOKEN));
    let home = fleet.node(0).callers;
    let used = owner.id(home).await.unwrap();
    let headers = [("request-id", used.as_str())];
    let ran = owner
        .send(Method::POST, home, CLAIMS, &headers, "keg 1")
        .await;
    assert_eq!(ran.unwrap().status, StatusCode::OK);
    let never = RequestId::to_string(&mint(&fleet, Clock::new().now(), 1 << 30));
    for node in fleet.nodes() {
        let ask = async |method: &Method, path: &str, id: &str, body: &str| {
            let headers = [("request-id", id)];
            let answer = other.send(
                method.clone(),
                node.callers,
                path,
                &headers,
                body.to_owned(),
            );
            seen(&answer.await.unwrap())
        };
        let calls = [
            (Method::POST, CLAIMS.to_owned(), "keg 1".to_owned()),
            (Method::POST, COMPLETIONS.to_owned(), completion("a letter")),
            (Method::GET, "/v1/requests/{id}".to_owned(), String::new()),
            (
                Method::GET,
                "/v1/requests/{id}?from=1".to_owned(),
                String::new(),
            ),
            (
                Method::DELETE,
                "/v1/requests/{id}".to_owned(),
                String::new(),
            ),
        ];
        for (method, path, body) in calls {
            let of_owner = ask(&method, &path.replace("{id}", &used), &used, &body).await;
            let of_none = ask(&method, &path.replace("{id}", &never), &never, &body).await;
            assert_eq!(of_owner, of_none, "{method} {path}");
            assert_eq!(of_owner.0, StatusCode::NOT_FOUND, "{method} {path}");
        }
    }
    assert_eq!(fleet.site.history().ran.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_id_that_was_changed_in_any_digit_is_no_id() {
    // Symptom: a caller names a home and a witness of its choice, and has its claim run twice.
    // Sequence: one digit of an id is changed, at each place in turn.
    // Cause: a part of the id that the signature does not cover.
    let fleet = Fleet::start(FleetSettings::new(BINARY)).await.unwrap();
    let client = Client::new(trial::TOKEN);
    let at = fleet.node(1).callers;
    let id = client.id(at).await.unwrap();
    for place in 0..id.len() {
        let digit = if &id[place..=place] == "0" { "1" } else { "0" };
        let changed = format!("{}{digit}{}", &id[..place], &id[place + 1..]);
        let headers = [("request-id", changed.as_str())];
        let answer = client
            .send(Method::POST, at, CLAIMS, &headers, "keg 2")
            .await;
        assert_eq!(
            answer.unwrap().status,
            StatusCode::NOT_FOUND,
            "digit {place}"
        );
    }
    assert!(fleet.site.history().ran.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_expired_id_never_starts() {
    // Symptom: a claim runs twice, a quarter of an hour apart.
    // Sequence: its record has been forgotten, and a caller sends it again.
    // Cause: an absent record taken for a call that never came.
    let fleet = Fleet::start(FleetSettings::new(BINARY)).await.unwrap();
    let client = Client::new(trial::TOKEN).with_patience_ms(60_000);
    let now = Clock::new().now();
    for (sequence, age_ms) in [(1, ID_VALIDITY_MS), (2, 3 * ID_VALIDITY_MS)] {
        let issued_at_ms = TimeMs(now.0 - age_ms);
        let id = mint(&fleet, issued_at_ms, sequence).to_string();
        for node in fleet.nodes() {
            let headers = [("request-id", id.as_str())];
            let answer = client.send(Method::POST, node.callers, CLAIMS, &headers, "keg 3");
            let refusal: Value = serde_json::from_slice(&answer.await.unwrap().body).unwrap();
            assert_eq!(refusal["outcome"], "unknown", "{refusal}");
        }
    }
    assert!(fleet.site.history().ran.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_id_serves_one_call_only() {
    // Symptom: a caller that mixes its ids up gets the answer to another of its calls.
    // Sequence: two calls that differ in one thing are sent under one id, to different nodes.
    // Cause: a thing that tells calls apart and is not compared.
    let fleet = Fleet::start(FleetSettings::new(BINARY)).await.unwrap();
    let client = Client::new(trial::TOKEN);
    let send = async |at, id: &str, idempotent: &str, path: &str, body: &str| {
        let headers = [("request-id", id), ("idempotent", idempotent)];
        let answer = client.send(Method::POST, at, path, &headers, body.to_owned());
        answer.await.unwrap().status
    };
    let first = completion("a letter");
    let seeded = json!({ "model": trial::MODEL, "prompt": "a letter", "max_tokens": 4, "seed": 7 });
    let others = [
        ("false", COMPLETIONS, completion("another letter")),
        ("false", COMPLETIONS, seeded.to_string()),
        ("true", COMPLETIONS, first.clone()),
        ("false", CLAIMS, first.clone()),
    ];
    for (idempotent, path, body) in others {
        let id = client.id(fleet.node(0).callers).await.unwrap();
        let ran = send(fleet.node(0).callers, &id, "false", COMPLETIONS, &first).await;
        assert_eq!(ran, StatusCode::OK);
        for node in fleet.nodes() {
            let status = send(node.callers, &id, idempotent, path, &body).await;
            assert_eq!(
                status,
                StatusCode::UNPROCESSABLE_ENTITY,
                "{idempotent} {path} {body}"
            );
        }
    }
    assert_eq!(fleet.site.history().ran.len(), 4);
}
