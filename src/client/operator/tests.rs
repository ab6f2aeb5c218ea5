//! Tests of the operators' client against scripted nodes.

use serde_json::json as value;
use tokio::net::TcpListener;
use url::Url;

use super::{Operator, OperatorError};
use crate::client::scripted::{RequestLog, json, start_node};
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
async fn unreachable_node_is_skipped() {
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let unreachable = closed.local_addr().unwrap().to_string();
    drop(closed);
    let requests = RequestLog::default();
    let address = start_node(&requests, |_| json("200 OK", r#"{"revision":8}"#)).await;
    let result = operator(&[&unreachable, &address])
        .apply(7, value!({}))
        .await;
    assert_eq!(result.unwrap(), 8);
}

#[tokio::test]
async fn stale_base_reports_active_revision() {
    let requests = RequestLog::default();
    let script = |_| json("409 Conflict", r#"{"error":"stale_base","in_force":9}"#);
    let address = start_node(&requests, script).await;
    let result = operator(&[&address]).apply(7, value!({})).await;
    assert!(matches!(
        result,
        Err(OperatorError::Stale {
            base: 7,
            in_force: 9
        })
    ));
}

#[tokio::test]
async fn faults_found_by_the_node_are_reported() {
    let requests = RequestLog::default();
    let script = |_| {
        let body = r#"{"faults":[{"path":"teams[0].weight","message":"too small"}]}"#;
        json("422 Unprocessable Entity", body)
    };
    let address = start_node(&requests, script).await;
    let result = operator(&[&address])
        .apply(7, value!({}))
        .await
        .unwrap_err();
    assert!(result.is_invalid_document());
    assert!(format!("{:?}", miette::Report::new(result)).contains("teams[0].weight"));
}

/// Guards against a change that reports a conflict with itself: it takes effect, its response is
/// lost, and a retry on the replaced base fails. The client must read the configuration instead.
#[tokio::test]
async fn change_with_lost_response_is_confirmed_by_reading() {
    let requests = RequestLog::default();
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
    let address = start_node(&requests, script).await;
    let result = operator(&[&address])
        .apply(7, value!({"deployment": "keg"}))
        .await;
    assert_eq!(result.unwrap(), 8);
    let posts = requests
        .lock()
        .iter()
        .filter(|line| line.starts_with("POST"))
        .count();
    assert_eq!(posts, 1);
}

#[tokio::test]
async fn replaced_change_with_lost_response_is_unknown() {
    let requests = RequestLog::default();
    let script = |count| match count {
        0 => String::new(),
        _ => json(
            "200 OK",
            r#"{"revision":9,"document":{"deployment":"other"}}"#,
        ),
    };
    let address = start_node(&requests, script).await;
    let result = operator(&[&address])
        .apply(7, value!({"deployment": "keg"}))
        .await;
    assert!(matches!(result, Err(OperatorError::Unknown)));
}

#[tokio::test]
async fn change_not_accepted_is_reported() {
    let requests = RequestLog::default();
    let script = |_| {
        let body = r#"{"error":"log_unavailable","outcome":"not_run"}"#;
        json("503 Service Unavailable", body)
    };
    let address = start_node(&requests, script).await;
    let result = operator(&[&address]).apply(7, value!({})).await;
    assert!(matches!(result, Err(OperatorError::NotAccepted)));
}
