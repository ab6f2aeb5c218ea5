//! Odd entries of another writer among the records that nodes read from the store.

use std::time::Duration;

use bytes::Bytes;
use nix::sys::signal::Signal;
use serde_json::json;
use teaselline_stand_ins::operators::deployment::{asked, document};
use teaselline_stand_ins::operators::{Deployment, Node};

use super::support::{deployment, eventually, send};

/// Topic of the upstreams' announcements.
const SERVERS: &str = "keyed.servers";

/// An announcement that differs from a sound one only in what a case replaces.
const SOUND: &str = r#"{"service":"desk","address":"127.0.0.1:9","zone":"zone-0","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"seq":4,"born":1771804498245}"#;

/// Entries beyond which a test would only repeat itself; a page of the store holds 500.
const MANY: usize = 5_000;

/// Entries whose lines are fewer than what a node may log at once.
const FEW: usize = 40;

/// An entry that names no upstream.
const ODD: &str = "{\"service\":[[[[";

/// Odd announcements: another text, or a sound one with a part replaced.
fn odd_announcements() -> Vec<String> {
    let deep = format!("{}{}", "[".repeat(30_000), "]".repeat(30_000));
    let deeper = "[".repeat(100_000);
    let long = "9".repeat(400);
    let huge_name = format!("\"zone\":\"{}\"", "z".repeat(60_000));
    let replaced = [
        ("\"desk\"", deep.as_str()),
        ("\"desk\"", deeper.as_str()),
        ("\"zone\":\"zone-0\"", huge_name.as_str()),
        (
            "\"zone\":\"zone-0\"",
            "\"zone\":\"a\\nb\\u0000c\",\"slots\":1",
        ),
        ("\"slots\":64", "\"slots\":-1"),
        ("\"slots\":64", "\"slots\":1e999"),
        ("\"slots\":64", "\"slots\":4294967296"),
        ("\"slots\":64", "\"slots\":64,\"slots\":64"),
        ("\"seq\":4", "\"seq\":18446744073709551616"),
        ("\"seq\":4", &format!("\"seq\":{long}")),
        ("1771804498245", &long),
        ("1771804498245", "18446744073709551615"),
        ("127.0.0.1:9", "127.0.0.1:0"),
        ("127.0.0.1:9", "127.0.0.1:65536"),
        ("127.0.0.1:9", "127.0.0.1:99999"),
        ("127.0.0.1:9", "[fe80::1%eth0]:80"),
        ("127.0.0.1:9", "0.0.0.0:80"),
        ("\"ready\"", "\"\""),
        ("}", ",\"leaves_ms\":1e999}"),
        ("}", ",\"leaves_ms\":NaN}"),
    ];
    let mut texts: Vec<String> = replaced
        .iter()
        .map(|(sound, odd)| SOUND.replace(sound, odd))
        .collect();
    texts.extend(["", "null", "[]", "7", "\"ready\"", "{"].map(String::from));
    texts.retain(|text| !text.is_empty());
    texts
}

/// Leaves the odd announcements under keys of their own, and some under keys that are no text.
fn leave_odd_announcements(deployment: &Deployment) -> usize {
    let texts = odd_announcements();
    for (place, text) in texts.iter().enumerate() {
        deployment.store.put(SERVERS, &format!("odd-{place}"), text);
    }
    let odd_bytes: [(&[u8], &[u8]); 4] = [
        (b"line\nbreak\0", b"{"),
        (b"\xff\xfe", SOUND.as_bytes()),
        (b"", b"{"),
        (b"odd-bytes", b"\xff\xfe{"),
    ];
    for (key, value) in odd_bytes {
        deployment.store.put_bytes(SERVERS, key, value);
    }
    deployment.store.append_bytes(SERVERS, Bytes::new());
    deployment
        .store
        .append_bytes(SERVERS, Bytes::from_static(b"\xffcut"));
    texts.len() + odd_bytes.len() + 2
}

/// Adds an upstream, has all others of its service leave, and waits until the calls of each node run at it.
async fn eventually_followed(deployment: &mut Deployment, id: &str) {
    let added = deployment.add_upstream("desk", id).await;
    added.expect("a port is free");
    let others = deployment.upstreams.iter();
    for other in others.filter(|one| one.id().starts_with("desk") && one.id() != id) {
        other.drain();
    }
    for node in 0..deployment.nodes.len() {
        let mut place = 0;
        eventually(
            "the calls of each node run at the new upstream",
            async || {
                place += 1;
                let call = format!("{id}-{node}-{place}");
                send(deployment, node, &asked(&call, "once")).await;
                let runs = deployment.runs_of(&call);
                runs.last().is_some_and(|run| run.upstream == id)
            },
        )
        .await;
    }
}

fn assert_all_run(deployment: &Deployment) {
    for node in &deployment.nodes {
        assert_eq!(node.ended(), None);
        let log = node.log();
        let panics: Vec<_> = (log.iter())
            .filter(|line| line.contains("panicked") || line.contains("\"event\":\"panic"))
            .collect();
        assert!(panics.is_empty(), "{panics:?}");
    }
}

fn malformed_lines(node: &Node) -> usize {
    let log = node.log();
    let lines = log.iter().filter(|line| line.contains("record_malformed"));
    lines.count()
}

/// Guards against nodes that end, or stop following the upstreams, over one odd announcement.
#[tokio::test(flavor = "multi_thread")]
async fn odd_announcements_are_passed_over_while_running_and_at_the_start() {
    let mut deployment = deployment(3, 2).await;
    let odd = leave_odd_announcements(&deployment);
    eventually_followed(&mut deployment, "desk-running").await;
    assert_all_run(&deployment);
    let lines: usize = deployment.nodes.iter().map(malformed_lines).sum();
    assert!(lines >= 1, "no line names an odd entry of {odd}");
    for node in &deployment.nodes {
        node.signal(Signal::SIGKILL).expect("the node runs");
    }
    for node in &deployment.nodes {
        node.restart().expect("the node starts");
    }
    for place in 0..deployment.nodes.len() {
        assert!(deployment.wait_until_ready(place).await, "node {place}");
    }
    eventually_followed(&mut deployment, "desk-started").await;
    assert_all_run(&deployment);
}

/// Guards against an upstream that stays out of use after another writer's odd entry under its key.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_is_used_again_after_an_odd_entry_under_its_key() {
    let deployment = deployment(2, 1).await;
    for (case, (sound, odd)) in [
        ("\"desk\"", "[[[["),
        ("127.0.0.1:9", "127.0.0.1:0"),
        ("1771804498245", "18446744073709551615"),
        ("1771804498245", "9223372036854775807"),
        ("\"seq\":4", "\"seq\":18446744073709551615"),
    ]
    .into_iter()
    .enumerate()
    {
        let text = SOUND.replace(sound, odd);
        deployment.store.put(SERVERS, "desk-0", &text);
        tokio::time::sleep(Duration::from_secs(1)).await;
        for node in 0..2 {
            let mut place = 0;
            eventually("the upstream receives calls again", async || {
                place += 1;
                let call = format!("case-{case}-{node}-{place}");
                send(&deployment, node, &asked(&call, "once")).await;
                !deployment.runs_of(&call).is_empty()
            })
            .await;
        }
    }
    assert_all_run(&deployment);
}

/// Guards against peers that get no changes any more, because odd announcements among them make a message too long.
#[tokio::test(flavor = "multi_thread")]
async fn announcements_with_huge_names_do_not_exceed_the_largest_message() {
    let mut deployment = deployment(3, 1).await;
    for place in 0..60 {
        let zone = format!("\"zone\":\"{}\"", "z".repeat(60_000));
        let text = SOUND.replace("\"zone\":\"zone-0\"", &zone);
        let text = text.replace("desk", "other");
        let key = format!("huge-{place}");
        deployment.store.put(SERVERS, &key, &text);
    }
    eventually_followed(&mut deployment, "desk-beside").await;
    for node in &deployment.nodes {
        let log = node.log();
        let dropped = log
            .iter()
            .filter(|line| line.contains("exceeds the largest"));
        assert_eq!(dropped.collect::<Vec<_>>(), Vec::<&String>::new());
    }
    assert_all_run(&deployment);
}

/// Guards against a list that ends early, or a node that falls behind, over thousands of odd announcements.
#[tokio::test(flavor = "multi_thread")]
async fn sound_announcements_beside_thousands_of_odd_ones_are_followed() {
    let mut deployment = deployment(3, 1).await;
    for place in 0..MANY {
        let key = format!("a-{place}");
        deployment.store.put(SERVERS, &key, ODD);
    }
    eventually_followed(&mut deployment, "desk-before").await;
    have_all_read_again(&deployment).await;
    eventually_followed(&mut deployment, "desk-with-many").await;
    assert_all_run(&deployment);
}

/// Guards against logs that grow with each read of an odd entry.
#[tokio::test(flavor = "multi_thread")]
async fn odd_announcements_are_logged_once_however_often_they_are_read() {
    let deployment = deployment(3, 1).await;
    for place in 0..FEW {
        let key = format!("a-{place}");
        deployment.store.put(SERVERS, &key, ODD);
    }
    for _round in 0..3 {
        have_all_read_again(&deployment).await;
    }
    deployment.store.put(SERVERS, "a-0", "{}");
    eventually(
        "an entry that is odd in another way is logged",
        async || {
            let lines: usize = deployment.nodes.iter().map(malformed_lines).sum();
            lines > FEW
        },
    )
    .await;
    for node in &deployment.nodes {
        let lines = malformed_lines(node);
        assert!(
            lines <= FEW + 1,
            "{lines} lines of one node for {FEW} odd entries"
        );
    }
}

/// Has the store forget records that no node has read, so that the readers read all keys again.
async fn have_all_read_again(deployment: &Deployment) {
    deployment.store.put(SERVERS, "a-0", ODD);
    deployment.store.forget_history(SERVERS);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
}

/// Guards against nodes that end, or refuse all, over a number of a configuration that no sum or point in time holds.
#[tokio::test(flavor = "multi_thread")]
async fn calls_succeed_under_a_configuration_with_excessive_numbers() {
    let deployment = deployment(2, 2).await;
    let mut excessive = document(2);
    for route in 0..4 {
        let route = &mut excessive["routes"][route];
        for field in ["timeoutMs", "targetLatencyMs", "gapAimMs", "priority"] {
            route[field] = json!(1e308);
        }
        route["maxAttempts"] = json!(u32::MAX);
        let target = json!({ "service": route["service"], "weight": 1e308 });
        route["trafficSplit"] = json!([target, target]);
    }
    for service in 0..2 {
        let service = &mut excessive["services"][service];
        service["maxConnections"] = json!(u64::MAX);
        service["scaling"] = json!({
            "min": u32::MAX, "max": u32::MAX, "bootS": 1e308, "spotPrice": 1e308,
            "zonePrices": { "zone-0": 1e308, "zone-1": 1e308 },
        });
        service["engine"] = json!({
            "slots": u32::MAX, "kvCapacity": 1e308, "kvTokenBytes": 1e308, "linkMbps": 1e308,
        });
    }
    excessive["tenants"][0]["ratePerS"] = json!(1e308);
    excessive["tenants"][0]["burst"] = json!(1e308);
    for field in ["headerTimeoutMs", "idleTimeoutMs"] {
        excessive["limits"][field] = json!(u64::MAX);
    }
    deployment.configure(&excessive);
    tokio::time::sleep(Duration::from_secs(3)).await;
    for node in 0..2 {
        for route in ["once", "again", "stream", "stream-on"] {
            let call = asked(&format!("{route}-{node}"), route);
            let ended = send(&deployment, node, &call).await;
            assert_all_run(&deployment);
            assert_eq!(ended.status(), Some(200), "{route}: {ended:?}");
        }
    }
    let log = deployment.nodes[0].log();
    let is_active = log
        .iter()
        .any(|line| line.contains("configuration_changed") && line.contains("\"version\":2"));
    assert!(is_active, "the configuration was not activated");
}

/// Guards against nodes that end over another writer's records in the other topics that they read.
#[tokio::test(flavor = "multi_thread")]
async fn odd_records_of_other_topics_are_passed_over() {
    let mut deployment = deployment(2, 1).await;
    for text in odd_announcements() {
        deployment.store.put("keyed.op", "config", &text);
        deployment.store.put("keyed.op", "rollout/desk", &text);
        deployment.store.put("keyed.status", "node-0", &text);
        deployment.store.put("keyed.status", "rollout/desk", &text);
    }
    // The marker of a number of eight bytes, lowest first, where the length of a name is due.
    let lengths = [1_u64 << 42, 1 << 63, u64::MAX].map(u64::to_le_bytes);
    for length in lengths {
        for first in 0..4_u8 {
            let mut record = vec![first, 0xfd];
            record.extend(length);
            for topic in ["duties", "streams"] {
                deployment.store.append_bytes(topic, record.clone().into());
                deployment
                    .store
                    .append_bytes(topic, record[1..].to_vec().into());
            }
            deployment
                .store
                .put_bytes("keyed.status", b"node-odd", &record);
            deployment
                .store
                .put_bytes("keyed.status", b"node-other", &record[1..]);
        }
    }
    eventually_followed(&mut deployment, "desk-running").await;
    eventually("a node has the duties", async || {
        super::support::holder(&deployment).is_some()
    })
    .await;
    let reports = deployment.cloud.reports().len();
    eventually("usage is reported", async || {
        send(&deployment, 0, &asked("usage", "once")).await;
        deployment.cloud.reports().len() > reports
    })
    .await;
    assert_all_run(&deployment);
}
