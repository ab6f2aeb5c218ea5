//! Tests of the clients with pooled connections against servers whose heads do not end.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use url::Url;

use super::PooledClient;
use crate::client::http::{HttpClient, HttpError};
use crate::coordination::http::{CallError, JsonClient, LostCause};
use crate::head_limit::tests::{StandIn, endless_informational_heads, is_head_too_long};

/// Timeout of a request, beyond the time that a bounded head takes.
const TIMEOUT_MS: u64 = 5_000;

/// Guards against informational heads of a platform server that hold up a node of the role `serve`.
#[tokio::test]
async fn endless_heads_of_the_platform_end_a_call() {
    let server = endless_informational_heads();
    let base = Url::parse(&format!("http://{}", server.address())).expect("a URL");
    let client = JsonClient::new(base).response_timeout_ms(TIMEOUT_MS);
    let error = client.get::<Value>(&client.url(&["x"]), 0).await;
    match error.expect_err("the head does not end") {
        CallError::ResponseLost {
            source: LostCause::Connection(cause),
            ..
        } => assert!(is_head_too_long(&cause), "{cause:?}"),
        error => panic!("{error:?}"),
    }
}

/// Guards against informational heads of a node that hold up a client.
#[tokio::test]
async fn endless_heads_of_a_node_end_a_request() {
    let server = endless_informational_heads();
    let error = HttpClient::new().send(server.request(), TIMEOUT_MS).await;
    match error.expect_err("the head does not end") {
        HttpError::Broken(cause) => assert!(is_head_too_long(&cause), "{cause:?}"),
        error => panic!("{error:?}"),
    }
}

/// Guards against a bound that counts the body, or the responses before, toward a head of a pooled connection.
#[tokio::test]
async fn large_bodies_on_a_pooled_connection_are_read_whole() {
    const BODY_BYTES: usize = 1024 * 1024;
    let head = "HTTP/1.1 103 Early Hints\r\nhint: value\r\n\r\n".repeat(20);
    let head = format!("{head}HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
    let server = StandIn::answering([head.into_bytes(), vec![b'x'; BODY_BYTES]].concat());
    let client = PooledClient::new(
        &mut Client::builder(TokioExecutor::new()),
        HttpConnector::new(),
    );
    for _request in 0..5 {
        let response = client.request(server.request()).await.expect("a response");
        assert!(response.extensions().get::<super::HeadReceipt>().is_none());
        let body = response.collect().await.expect("a whole body").to_bytes();
        assert_eq!(body.len(), BODY_BYTES);
        // The connection returns to the pool once the library has seen the end of the body.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(server.connections(), 1);
}

/// Guards against an early response whose body counts toward a head while the request is still being written.
#[tokio::test]
async fn early_response_to_a_large_request_is_read_whole() {
    const BODY_BYTES: usize = 8 * 1024 * 1024;
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
    let server = StandIn::answering([head.into_bytes(), vec![b'x'; BODY_BYTES]].concat());
    let client = PooledClient::new(
        &mut Client::builder(TokioExecutor::new()),
        HttpConnector::new(),
    );
    let (parts, _empty) = server.request().into_parts();
    let request = Request::from_parts(parts, Full::new(Bytes::from(vec![b'y'; BODY_BYTES])));
    let response = client.request(request).await.expect("a response");
    let body = response.collect().await.expect("a whole body").to_bytes();
    assert_eq!(body.len(), BODY_BYTES);
}
