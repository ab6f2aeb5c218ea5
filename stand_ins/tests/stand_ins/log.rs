//! The log's offsets, limits and losses.

use std::{net::SocketAddr, time::Duration};

use serde_json::json;
use teaselline_stand_ins::log::{Log, LogSettings, Outage};
use tokio::time::timeout;

use crate::client::{Answer, call};

const RECORDS: &str = "/v1/streams/audit/records";

async fn append(at: SocketAddr, sequence: u64) -> Option<Answer> {
    let body = json!({ "writer": "w", "sequence": sequence, "payload": "p" }).to_string();
    call(at, "POST", RECORDS, &body).await
}

#[tokio::test]
async fn a_long_poll_ends_with_the_next_append() {
    let log = Log::start(LogSettings::default()).await.unwrap();
    let at = log.address();
    let path = format!("{RECORDS}?from=1&limit=10&wait_ms=30000");
    let (page, offset) = tokio::join!(call(at, "GET", &path, ""), append(at, 1));
    assert_eq!(offset.unwrap().json(), json!({ "offset": 1 }));
    let page = page.unwrap().json();
    assert_eq!((&page["first"], &page["next"]), (&json!(1), &json!(2)));
    assert_eq!(page["records"][0]["payload"], "p");
}

// Symptom: a record stands twice. Sequence: an append takes effect, its answer is lost, the
// writer appends again. Cause: the log does not deduplicate.
#[tokio::test]
async fn an_append_whose_answer_is_lost_has_taken_effect() {
    let log = Log::start(LogSettings::default()).await.unwrap();
    log.change(|knobs| knobs.lose_answer_probability = 1.0);
    assert!(append(log.address(), 1).await.is_none());
    assert_eq!((log.records("audit").len(), log.lost_answers()), (1, 1));
}

#[tokio::test]
async fn the_rate_the_retention_and_an_outage_are_kept() {
    let log = Log::start(LogSettings::default()).await.unwrap();
    let at = log.address();
    log.change(|knobs| {
        (
            knobs.appends_per_second,
            knobs.burst,
            knobs.retained_records,
        ) = (0.0, 3.0, 2);
    });
    let mut statuses = Vec::new();
    for sequence in 0..4 {
        statuses.push(append(at, sequence).await.unwrap().status);
    }
    assert_eq!(statuses, [200, 200, 200, 429]);
    let page = call(at, "GET", &format!("{RECORDS}?from=1"), "")
        .await
        .unwrap()
        .json();
    assert_eq!((&page["first"], &page["next"]), (&json!(2), &json!(4)));
    log.change(|knobs| knobs.outage = Outage::Refuse);
    assert_eq!(call(at, "GET", RECORDS, "").await.unwrap().status, 503);
}

// Symptom: a follower sits out an outage without noticing. Sequence: it polls, the outage begins,
// nothing is appended. Cause: the poll waits for an append only.
#[tokio::test]
async fn an_outage_ends_a_long_poll_and_a_hang_delays_calls() {
    let log = Log::start(LogSettings::default()).await.unwrap();
    let at = log.address();
    let path = format!("{RECORDS}?from=1&wait_ms=60000");
    let (page, ()) = tokio::join!(call(at, "GET", &path, ""), async {
        tokio::time::sleep(Duration::from_millis(30)).await;
        log.change(|knobs| knobs.outage = Outage::Refuse);
    });
    assert_eq!(page.unwrap().status, 503);
    log.change(|knobs| knobs.outage = Outage::Hang);
    let mut appended = std::pin::pin!(append(at, 1));
    timeout(Duration::from_millis(30), &mut appended)
        .await
        .unwrap_err();
    log.change(|knobs| knobs.outage = Outage::None);
    assert_eq!(appended.await.unwrap().status, 200);
}
