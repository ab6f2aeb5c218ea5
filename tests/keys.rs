//! Callers' own idempotency keys: one key runs one call, whichever nodes it is sent to.
//!
//! Nodes and stand-ins run in this process over real sockets.

#[path = "support/deployment.rs"]
mod deployment;
#[path = "support/trial.rs"]
mod trial;

use std::net::SocketAddr;

use bytes::Bytes;
use deployment::{site_settings, start_nodes, wait_until_ready};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use teaselline::client::http::{BufferedResponse, HttpClient};
use teaselline::coordination::claims::{ClaimError, ClaimKey, PARTITIONS, choose_claimer, stream};
use teaselline::coordination::log::{Log, NewRecord};
use teaselline::document::Document;
use teaselline::node::RunningNode;
use teaselline::node::change::Proposal;
use teaselline::requests::idempotency_keys::ClaimResult;
use teaselline::requests::{Call, TeamTag, Work};
use teaselline_stand_ins::log::Outage;
use teaselline_stand_ins::service::{ServiceFault, service_answer};
use teaselline_stand_ins::site::{Site, Upstream};
use tokio::task::JoinSet;
use twox_hash::XxHash3_64;

/// The deadline of calls.
const DEADLINE_MS: u64 = 10_000;
/// How long a caller waits for a node.
const PATIENCE_MS: u64 = 20_000;
/// Most answers that may be asked for before one is due.
const TRIES: u32 = 200;

/// Three nodes over a site.
struct Trial {
    site: Site,
    nodes: Vec<RunningNode>,
    http: HttpClient,
}

impl Trial {
    async fn start() -> Self {
        let text = trial::document(DEADLINE_MS);
        let document = Document::parse(&text).unwrap();
        let site = Site::start(site_settings(&document)).await.unwrap();
        let nodes = start_nodes(&document, &site, 3).await.unwrap();
        let proposal = Proposal {
            base_revision: 0,
            operator: "novakova".to_owned(),
            document: text,
        };
        let revision = nodes[0].node.propose(proposal).await.unwrap();
        assert!(wait_until_ready(&nodes, revision, site.upstreams().len()).await);
        let http = HttpClient::new();
        Self { site, nodes, http }
    }

    fn address(&self, node: usize) -> SocketAddr {
        self.nodes[node].caller_address
    }

    /// Sends a claim under a key to a node.
    async fn send(&self, node: usize, key: &str, body: &str) -> BufferedResponse {
        send(self.http.clone(), self.address(node), key, body)
            .await
            .expect("the node answers")
    }

    /// Sends the same call to all nodes at once.
    async fn send_to_all(&self, key: &str, body: &str) -> Vec<BufferedResponse> {
        let mut sent = JoinSet::new();
        for node in 0..self.nodes.len() {
            let (http, at) = (self.http.clone(), self.address(node));
            let (key, body) = (key.to_owned(), body.to_owned());
            sent.spawn(async move { send(http, at, &key, &body).await });
        }
        let answers = sent.join_all().await;
        let answers = answers.into_iter();
        answers
            .map(|answer| answer.expect("the node answers"))
            .collect()
    }

    /// How often a body was worked on, under whatever ids.
    fn runs(&self, body: &str) -> usize {
        let hash = XxHash3_64::oneshot(body.as_bytes());
        let upstreams = self.site.upstreams().into_iter();
        let executions = upstreams.flat_map(|(_, upstream)| match &*upstream {
            Upstream::Service(service) => service.executions(),
            Upstream::Engine(_) => Vec::new(),
        });
        executions
            .filter(|execution| execution.body_hash == hash)
            .count()
    }

    /// Lets calls to plain services take so long.
    fn slow_down(&self, delay_ms: u64) {
        for (_, upstream) in self.site.upstreams() {
            if let Upstream::Service(service) = &*upstream {
                service.change(|knobs| knobs.delay_ms = delay_ms);
            }
        }
    }

    /// A key that a node claims for all.
    fn key_claimed_by(&self, node: usize) -> String {
        let live = self.nodes[0].node.directory.live();
        let own = self.nodes[node].node.core.own;
        let mut keys = (0..).map(|number| format!("claim {number}"));
        let claimed =
            |key: &String| choose_claimer(ClaimKey::of(trial::TEAM, key), &live, 0) == Some(own);
        keys.find(claimed).expect("some key falls to each node")
    }
}

async fn send(http: HttpClient, at: SocketAddr, key: &str, body: &str) -> Option<BufferedResponse> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{at}/v1/services/{}/file", trial::CLAIMS))
        .header("authorization", format!("Bearer {}", trial::TOKEN))
        .header("idempotency-key", key)
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("the request is well formed");
    http.fetch(request, PATIENCE_MS).await.ok()
}

fn id(answer: &BufferedResponse) -> &str {
    let id = answer.headers.get("request-id");
    id.and_then(|id| id.to_str().ok())
        .expect("an answer names its request")
}

fn said(answer: &BufferedResponse) -> Value {
    serde_json::from_slice(&answer.body).unwrap_or_default()
}

fn is_answer(answer: &BufferedResponse, body: &str) -> bool {
    answer.status == StatusCode::OK
        && answer.body == service_answer("/file", body.as_bytes()).as_bytes()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_sent_to_all_nodes_at_once_runs_once() {
    // Symptom: a claim is filed twice.
    // Sequence: a caller sends the same call to three nodes at once, and again later.
    // Cause: each node takes the key for new.
    let trial = Trial::start().await;
    for number in 0..8 {
        let (key, body) = (format!("k {number}"), format!("claim {number}"));
        let mut answers = trial.send_to_all(&key, &body).await;
        answers.push(trial.send(number % 3, &key, &body).await);
        for answer in &answers {
            assert!(is_answer(answer, &body), "{answer:?}");
            assert_eq!(id(answer), id(&answers[0]));
        }
        assert_eq!(trial.runs(&body), 1);
        assert!(trial.site.history().has_run(id(&answers[0])));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_with_another_call_is_refused() {
    // Symptom: a caller that uses a key twice by mistake gets the answer to its other call.
    // Sequence: a call under a key, then another one under the same key, to each node.
    // Cause: the key alone is compared.
    let trial = Trial::start().await;
    let first = trial.send(0, "k", "one").await;
    assert!(is_answer(&first, "one"), "{first:?}");
    for node in 0..3 {
        let other = trial.send(node, "k", "two").await;
        assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY, "{other:?}");
    }
    assert_eq!(trial.runs("two"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn while_the_log_is_out_a_key_does_not_run_and_later_it_does() {
    // Symptom: a call runs although it was refused as not run, or never runs afterwards.
    // Sequence: the log refuses or hangs, and what hung lands when it is back; the key is sent
    // again until it is answered.
    // Cause: a claim that lands late is taken for one that may run, or holds the key for ever.
    let trial = Trial::start().await;
    let warm = trial.send(0, "warm", "warm").await;
    assert!(is_answer(&warm, "warm"), "{warm:?}");
    for (number, outage) in [Outage::Refuse, Outage::Hang].into_iter().enumerate() {
        let (key, body) = (trial.key_claimed_by(number), format!("out {number}"));
        trial.site.log.change(|knobs| knobs.outage = outage);
        let refused = trial.send(2, &key, &body).await;
        let refusal = said(&refused);
        assert_eq!(refusal["outcome"], "not_run", "{refusal}");
        assert_eq!(refusal["reason"], "log_unavailable", "{refusal}");
        assert!(refusal["retry_after_ms"].as_u64() > Some(0), "{refusal}");
        assert_eq!(trial.runs(&body), 0);
        let held = trial.send(1, "warm", "warm").await;
        assert!(is_answer(&held, "warm"), "{held:?}");
        trial.site.log.change(|knobs| knobs.outage = Outage::None);
        let mut answered = false;
        for _try in 0..TRIES {
            let again = trial.send(1, &key, &body).await;
            answered = is_answer(&again, &body);
            if answered {
                break;
            }
            assert_eq!(said(&again)["outcome"], "not_run", "{again:?}");
        }
        assert!(answered);
        assert_eq!(trial.runs(&body), 1);
        assert!(!trial.site.history().has_run(id(&refused)));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_append_lost_its_answer_is_found() {
    // Symptom: a call is refused although its claim holds the key, or runs twice.
    // Sequence: the log takes each claim and cuts the connection before its answer.
    // Cause: an append without an answer is taken for one without effect.
    let trial = Trial::start().await;
    trial
        .site
        .log
        .change(|knobs| knobs.lose_answer_probability = 1.0);
    for number in 0..4 {
        let (key, body) = (format!("k {number}"), format!("lost {number}"));
        for answer in trial.send_to_all(&key, &body).await {
            assert!(is_answer(&answer, &body), "{answer:?}");
        }
        assert_eq!(trial.runs(&body), 1);
    }
    assert!(trial.site.log.lost_answers() >= 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claimer_that_dies_after_it_won_leads_to_no_second_run() {
    // Symptom: a claim is filed twice after a node died.
    // Sequence: a node claims a key and starts the call; it dies while the call runs; the caller
    // sends the key again to the other nodes.
    // Cause: nobody answers for the key's holder, so that the key is claimed anew.
    let trial = Trial::start().await;
    trial.slow_down(1_500);
    let key = trial.key_claimed_by(0);
    let (http, at) = (trial.http.clone(), trial.address(1));
    let first = tokio::spawn({
        let key = key.clone();
        async move { send(http, at, &key, "claim").await }
    });
    for _try in 0..TRIES {
        if trial.runs("claim") > 0 {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    assert_eq!(trial.runs("claim"), 1);
    trial.nodes[0].abort();
    for node in [1, 2, 1, 2] {
        let again = trial.send(node, &key, "claim").await;
        let is_unknown = said(&again)["outcome"] == "unknown";
        assert!(is_unknown || is_answer(&again, "claim"), "{again:?}");
    }
    let first = first.await.unwrap().expect("the node answers");
    let is_unknown = said(&first)["outcome"] == "unknown";
    assert!(is_unknown || is_answer(&first, "claim"), "{first:?}");
    assert_eq!(trial.runs("claim"), 1);
    assert!(trial.site.history().doubled().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claimer_that_leaves_hands_its_keys_answers_on() {
    // Symptom: a planned stop makes callers who send their keys again get `unknown`, or a second
    // run.
    // Sequence: a call runs; the node that claimed its key stops; the key is sent again.
    // Cause: what the key's holder answered is lost with its home.
    let trial = Trial::start().await;
    let key = trial.key_claimed_by(0);
    let first = trial.send(1, &key, "claim").await;
    assert!(is_answer(&first, "claim"), "{first:?}");
    trial.nodes[0].stop().await;
    for node in [1, 2] {
        let again = trial.send(node, &key, "claim").await;
        assert!(is_answer(&again, "claim"), "{again:?}");
        assert_eq!(id(&again), id(&first));
    }
    assert_eq!(trial.runs("claim"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_whose_call_did_not_run_may_be_sent_again() {
    // Symptom: a call is refused for a quarter of an hour, although it never ran.
    // Sequence: all hosts refuse a call as not run; they take work again; the key is sent again to
    // all nodes at once.
    // Cause: the refused request goes on holding the key, or each node supersedes it for itself.
    let trial = Trial::start().await;
    let refuse = |fault| {
        for (_, upstream) in trial.site.upstreams() {
            if let Upstream::Service(service) = &*upstream {
                service.change(|knobs| (knobs.fault, knobs.fault_probability) = (fault, 1.0));
            }
        }
    };
    refuse(ServiceFault::NotRun);
    let refused = trial.send(0, "k", "claim").await;
    assert_eq!(said(&refused)["outcome"], "not_run", "{refused:?}");
    refuse(ServiceFault::None);
    let answers = trial.send_to_all("k", "claim").await;
    for answer in &answers {
        assert!(is_answer(answer, "claim"), "{answer:?}");
        assert_eq!(id(answer), id(&answers[0]));
    }
    assert_eq!(trial.runs("claim"), 1);
    assert!(!trial.site.history().has_run(id(&refused)));
    let claims = claims_records(&trial.site);
    let superseding = claims
        .iter()
        .filter(|claim| claim["supersedes"] == id(&refused));
    assert!(superseding.count() > 0, "{claims:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_that_lands_after_it_was_ruled_out_never_runs() {
    // Symptom: a call runs after its caller was told that it did not, or its key is lost.
    // Sequence: the answer to a claim's append is lost and the log cannot be read; the caller is
    // refused; the append lands; the key is sent again to all nodes at once.
    // Cause: whoever loses against the late claim starts the call under its id.
    let trial = Trial::start().await;
    let (key, body) = (trial.key_claimed_by(0), "late");
    let core = &trial.nodes[0].node.core;
    let now = core.clock.now();
    let (home, witness) = (core.own, trial.nodes[1].node.core.own);
    let late = core.mint(home, witness, TeamTag::of(trial::TEAM), now);
    let call = Call {
        team: trial::TEAM.to_owned(),
        idempotent: false,
        latency_class: "clerk".to_owned(),
        deadline_ms: now.after(DEADLINE_MS),
        work: Work::Service {
            service: trial::CLAIMS.to_owned(),
            path: "file".to_owned(),
            body: body.as_bytes().to_vec(),
        },
    };
    let unresolved = Err(ClaimError::Unresolved(None));
    let refused = core.conclude_claim(late, &call, unresolved);
    assert!(matches!(refused, ClaimResult::NotRun(id, _) if id == late));

    let key_hash = ClaimKey::of(trial::TEAM, &key);
    let claim = json!([{ "key": key_hash, "id": late.to_string() }]);
    let record = NewRecord {
        writer: "a late append".to_owned(),
        sequence: 1,
        payload: claim.to_string(),
    };
    let log = &trial.nodes[0].node.log;
    log.append(&stream(key_hash.partition()), &record)
        .await
        .unwrap();

    let answers = trial.send_to_all(&key, body).await;
    for answer in &answers {
        assert!(is_answer(answer, body), "{answer:?}");
        assert_eq!(id(answer), id(&answers[0]));
    }
    assert_eq!(trial.runs(body), 1);
    assert!(!trial.site.history().has_run(&late.to_string()));
}

/// Every claim in the log.
fn claims_records(site: &Site) -> Vec<Value> {
    let streams = (0..PARTITIONS).map(stream);
    let records = streams.flat_map(|stream| site.log.records(&stream));
    let claims = records.map(|record| serde_json::from_str::<Vec<Value>>(&record.payload).unwrap());
    claims.flatten().collect()
}
