//! Nodes that cannot hear each other.

use std::sync::Arc;

use http::{Method, StatusCode};
use serde_json::{Value, json};

use teaselline::keys::Incarnation;
use teaselline::node::dependencies::PeerProtocol as FleetProtocol;
use teaselline::node::messages::{Item, Reply, Request};
use teaselline::peers::{Connections, FleetKey};
use teaselline::requests::id::{IdFields, IdKey};
use teaselline::requests::{Call, Outcome, TeamTag, Work};
use teaselline::time::Clock;
use teaselline_stand_ins::site::Upstream;

use crate::BINARY;
use crate::fleet::{Client, Fleet, FleetSettings};
use crate::process::{Cut, Process};
use crate::trial;

/// Digits of an id that name its home.
const HOME_DIGITS: std::ops::Range<usize> = 0..16;

/// Digits of an id that name its witness.
const WITNESS_DIGITS: std::ops::Range<usize> = 16..32;

const HEARS_NOTHING: Cut = Cut {
    hears_nothing: true,
    is_not_heard: false,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_is_refused_as_not_run_while_its_witness_cannot_be_asked() {
    // Symptom: a claim runs although another node has said `not_run`.
    // Sequence: nobody can reach any other node; the home takes a claim in.
    // Cause: a home that dispatches without consent when nobody contradicts.
    let fleet = Fleet::start(FleetSettings::new(BINARY)).await.unwrap();
    let client = Client::new(trial::TOKEN).with_patience_ms(60_000);
    let home = fleet.node(0);
    let id = client.id(home.callers).await.unwrap();
    for node in fleet.nodes() {
        node.cut_off(HEARS_NOTHING);
    }
    let headers = [("request-id", id.as_str())];
    let path = "/v1/services/claims/deposits";
    let send = || client.send(Method::POST, home.callers, path, &headers, "keg 8");
    let answer = send().await.unwrap();
    let refusal: Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(refusal["outcome"], "not_run");
    for node in fleet.nodes() {
        node.cut_off(Cut::default());
        node.reset_connections();
    }
    let again = send().await.unwrap();
    assert_eq!(again.body, answer.body);
    assert!(!fleet.site.history().has_run(&id));
    assert_eq!(again.status, StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_home_that_is_its_own_witness_keeps_the_word_that_it_gave_as_witness() {
    // Symptom: a deposit is paid twice, once under an id that was refused as not run.
    // Sequence: a home without live peers mints an id with itself as witness; a copy of the claim
    // comes late; a node that got no answer for it has the id settled by the same node meanwhile.
    // Cause: a home that does not ask its witness when that is itself.
    let fleet = Fleet::start(FleetSettings::new(BINARY)).await.unwrap();
    let (client, home) = (Client::new(trial::TOKEN), fleet.node(0));
    let now = Clock::new().now();
    let draft = IdFields {
        issued_at_ms: now,
        home: home.incarnation,
        witness: home.incarnation,
        minter: home.incarnation,
        sequence: 1 << 30,
    };
    let key = IdKey::derive(fleet.key.as_bytes());
    let id = key.mint(draft, TeamTag::of(trial::TEAM));
    let call = Call {
        team: trial::TEAM.to_owned(),
        idempotent: false,
        latency_class: "clerk".to_owned(),
        deadline_ms: now.after(60_000),
        work: Work::Service {
            service: trial::CLAIMS.to_owned(),
            path: "deposits".to_owned(),
            body: b"keg 10".to_vec(),
        },
    };
    let key = FleetKey::try_from(fleet.key.as_bytes()).unwrap();
    let peers = Connections::<FleetProtocol>::new(key, Incarnation(7));
    let call = Some(Box::new(call));
    let settle = Request::Settle { id, call, from: 0 };
    let (reply, mut items) = peers.open(home.peers, settle, 60_000).await.unwrap();
    assert!(matches!(reply, Reply::Stream));
    let said = items.next().await.unwrap().unwrap();
    assert!(matches!(said, Item::End(Outcome::NotRun(_))), "{said:?}");
    let id = id.to_string();
    let headers = [("request-id", id.as_str())];
    let path = "/v1/services/claims/deposits";
    let late = client.send(Method::POST, home.callers, path, &headers, "keg 10");
    let refusal: Value = serde_json::from_slice(&late.await.unwrap().body).unwrap();
    assert_eq!(refusal["outcome"], "not_run");
    assert!(!fleet.site.history().has_run(&id));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_call_is_answered_by_a_node_that_can_ask_nobody() {
    // Symptom: a node that is cut off from the others answers none of the calls that reach it.
    // Sequence: home and witness of the call's id are out of reach.
    // Cause: an id taken for the only one under which a call may run, though it may run again.
    let fleet = Fleet::start(FleetSettings::new(BINARY)).await.unwrap();
    let client = Client::new(trial::TOKEN).with_patience_ms(60_000);
    let (id, alone) = isolate(&fleet, &client).await;
    let headers = [("request-id", id.as_str())];
    let path = "/v1/services/tracking/deposits";
    let answer = client.send(Method::POST, alone.callers, path, &headers, "keg 11");
    let answer = answer.await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert!(!fleet.site.history().has_run(&id));
    let named = answer.headers["request-id"].to_str().unwrap();
    assert!(fleet.site.history().has_run(named));
}

// Guards against an idempotent call that is told `not_run` and answered under the same id: the node
// that refused it had run it under a substitute id, and the home of the caller's id runs it still.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_a_substitute_is_unknown_under_the_callers_id() {
    let fleet = Fleet::start(FleetSettings::new(BINARY)).await.unwrap();
    let client = Client::new(trial::TOKEN).with_patience_ms(60_000);
    let (id, alone) = isolate(&fleet, &client).await;
    for (_host, upstream) in fleet.site.upstreams() {
        match &*upstream {
            Upstream::Service(service) => service.change(|knobs| knobs.draining = true),
            Upstream::Engine(engine) => engine.change(|knobs| knobs.draining = true),
        }
    }
    let completion = |stream: bool| {
        json!({ "model": trial::MODEL, "prompt": "keg 12", "max_tokens": 4, "stream": stream })
            .to_string()
    };
    let calls = [
        ("/v1/services/tracking/deposits", "keg 12".to_owned()),
        ("/v1/completions", completion(false)),
        ("/v1/completions", completion(true)),
    ];
    for (path, body) in calls {
        let headers = [("request-id", id.as_str())];
        let answer = client.send(Method::POST, alone.callers, path, &headers, body.clone());
        let answer = answer.await.unwrap();
        let refusal: Value = serde_json::from_slice(&answer.body).unwrap();
        assert_eq!(refusal["outcome"], "unknown", "{path} {body}: {refusal}");
        assert_eq!(refusal["id"], id.as_str(), "{path} {body}: {refusal}");
        assert_eq!(answer.headers["request-id"], id.as_str(), "{path} {body}");
    }
    let log = alone.log();
    let substituted = log.iter().filter(|line| line.contains("substitute id"));
    assert!(
        substituted.clone().all(|line| line.contains(&id)),
        "{log:?}"
    );
    assert_eq!(substituted.count(), 3, "{log:?}");
}

/// Lets no node hear another; returns an id, and a node that is neither its home nor its witness.
async fn isolate(fleet: &Fleet, client: &Client) -> (String, Arc<Process>) {
    let id = client.id(fleet.node(0).callers).await.unwrap();
    // The witness of the id may go on with the call under it; this is about a third node.
    let second = client.id(fleet.node(1).callers).await.unwrap();
    let third = if id[WITNESS_DIGITS] == second[HOME_DIGITS] {
        2
    } else {
        1
    };
    for node in fleet.nodes() {
        node.cut_off(HEARS_NOTHING);
        node.reset_connections();
    }
    (id, fleet.node(third))
}
