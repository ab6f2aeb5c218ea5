//! Tests of what an operator is told.

use serde_json::json as value;
use tokio::net::TcpListener;
use url::Url;

use super::{Operator, OperatorError};
use crate::client::scripted::{Asked, json, node};
use crate::options::ClientSettings;

fn operator(nodes: &[&str]) -> Operator {
    let urls = nodes
        .iter()
        .map(|node| Url::parse(&format!("http://{node}")).unwrap());
    Operator::new(ClientSettings {
        node_urls: urls.collect(),
        token: None,
    })
}

#[tokio::test]
async fn the_next_node_is_asked_when_one_cannot_be_reached() {
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let gone = closed.local_addr().unwrap().to_string();
    drop(closed);
    let asked = Asked::default();
    let address = node(&asked, |_| json("200 OK", r#"{"revision":8}"#)).await;
    let told = operator(&[&gone, &address]).apply(7, value!({})).await;
    assert_eq!(told.unwrap(), 8);
}

#[tokio::test]
async fn a_race_is_told_with_the_revision_in_force() {
    let asked = Asked::default();
    let script = |_| json("409 Conflict", r#"{"error":"stale_base","in_force":9}"#);
    let address = node(&asked, script).await;
    let told = operator(&[&address]).apply(7, value!({})).await;
    assert!(matches!(
        told,
        Err(OperatorError::Stale {
            base: 7,
            in_force: 9
        })
    ));
}

#[tokio::test]
async fn faults_that_only_the_node_finds_are_listed() {
    let asked = Asked::default();
    let script = |_| {
        let body = r#"{"faults":[{"path":"teams[0].weight","message":"too small"}]}"#;
        json("422 Unprocessable Entity", body)
    };
    let address = node(&asked, script).await;
    let told = operator(&[&address])
        .apply(7, value!({}))
        .await
        .unwrap_err();
    assert!(told.is_invalid_document());
    assert!(format!("{:?}", miette::Report::new(told)).contains("teams[0].weight"));
}

/// Symptom: an operator is told that somebody else came first, and it was this change itself.
/// Sequence: the change takes effect, its answer is lost, and the change is sent again on the base
/// that it has replaced. Cause: sending again in place of reading back.
#[tokio::test]
async fn a_change_whose_answer_was_lost_is_read_back() {
    let asked = Asked::default();
    let script = |count| match count {
        0 => json(
            "503 Service Unavailable",
            r#"{"error":"log_unavailable","outcome":"unknown"}"#,
        ),
        _ => json(
            "200 OK",
            r#"{"revision":8,"document":{"deployment":"keg"}}"#,
        ),
    };
    let address = node(&asked, script).await;
    let told = operator(&[&address])
        .apply(7, value!({"deployment": "keg"}))
        .await;
    assert_eq!(told.unwrap(), 8);
    let posts = asked
        .lock()
        .iter()
        .filter(|line| line.starts_with("POST"))
        .count();
    assert_eq!(posts, 1);
}

#[tokio::test]
async fn a_lost_change_that_another_replaced_is_unknown() {
    let asked = Asked::default();
    let script = |count| match count {
        0 => String::new(),
        _ => json(
            "200 OK",
            r#"{"revision":9,"document":{"deployment":"other"}}"#,
        ),
    };
    let address = node(&asked, script).await;
    let told = operator(&[&address])
        .apply(7, value!({"deployment": "keg"}))
        .await;
    assert!(matches!(told, Err(OperatorError::Unknown)));
}

#[tokio::test]
async fn a_change_that_was_not_accepted_is_told_so() {
    let asked = Asked::default();
    let script = |_| {
        let body = r#"{"error":"log_unavailable","outcome":"not_run"}"#;
        json("503 Service Unavailable", body)
    };
    let address = node(&asked, script).await;
    let told = operator(&[&address]).apply(7, value!({})).await;
    assert!(matches!(told, Err(OperatorError::NotAccepted)));
}
