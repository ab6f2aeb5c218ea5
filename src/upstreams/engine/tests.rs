//! Tests the engine client against engines that respond, reject, disconnect and stop sending.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::upstreams::{
    CallTimeouts, Delivery, EngineClient, EngineEvent, Engines, EventStream, Finish, LostCause,
    NotRunReason, StartStream, UpstreamError,
};

const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
const TOKEN: &str =
    "id: 0\nevent: token\ndata: {\"attempt\":\"a\",\"position\":0,\"token\":\"x\"}\n\n";
const DONE: &str = "event: done\ndata: {\"attempt\":\"a\",\"tokens\":1,\"finish\":\"stop\"}\n\n";

fn client() -> EngineClient {
    EngineClient::new(CallTimeouts::default())
}

fn start(delivery: Delivery) -> StartStream<'static> {
    StartStream {
        attempt: "a",
        model: "m",
        prompt: "p",
        prefix: "",
        position: 0,
        max_tokens: 1,
        priority: 5,
        seed: 0,
        import: None,
        delivery,
    }
}

/// Serves one connection: reads a request, writes `response`, then closes the connection or keeps it open.
async fn engine(response: String, close: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_request(&mut stream).await;
        stream.write_all(response.as_bytes()).await.unwrap();
        if !close {
            std::future::pending::<()>().await;
        }
    });
    address
}

async fn read_request(stream: &mut TcpStream) {
    let mut buffer = [0; 4096];
    assert!(stream.read(&mut buffer).await.unwrap() > 0);
}

fn response(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}")
}

async fn start_error(response: String, close: bool) -> UpstreamError {
    let address = engine(response, close).await;
    let started = client().start(address, &start(Delivery::AtMostOnce)).await;
    started.expect_err("the engine gives no stream")
}

#[tokio::test]
async fn stream_returns_its_events_and_ends() {
    let address = engine([STREAM_HEAD, TOKEN, DONE].concat(), true).await;
    let start = start(Delivery::Repeatable);
    let mut events = client().start(address, &start).await.unwrap();
    let token = events.next().await.unwrap().unwrap();
    assert!(matches!(token, EngineEvent::Token { position: 0, .. }));
    let done = events.next().await.unwrap().unwrap();
    let finish = Finish::Stop;
    assert!(matches!(done, EngineEvent::Done { finish: received, .. } if received == finish));
    assert!(events.next().await.is_none());
}

#[tokio::test]
async fn only_a_not_run_response_proves_that_the_call_did_not_start() {
    let not_run = r#"{"outcome":"not_run","error":"queue_full"}"#;
    let status = "503 Service Unavailable";
    let error = start_error(response(status, not_run), false).await;
    assert!(matches!(
        error,
        UpstreamError::NotRun(NotRunReason::QueueFull)
    ));
    assert!(error.is_not_started() && error.is_rejected() && !error.is_lost());
    for (status, body) in [
        (status, ""),
        (status, r#"{"outcome":"unknown"}"#),
        ("500 Internal Server Error", not_run),
    ] {
        let error = start_error(response(status, body), false).await;
        assert!(!error.is_not_started(), "{status} {body}");
    }
}

#[tokio::test]
async fn call_on_a_refused_connection_is_not_started() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = client().start(address, &start(Delivery::AtMostOnce)).await;
    assert!(error.unwrap_err().is_not_started());
}

// Guards against running a non-idempotent request twice: the engine receives the request and
// closes the connection before it responds. If the early close counted as proof that the request
// did not start, the node would send it to another engine.
#[tokio::test]
async fn call_on_a_connection_closed_without_response_may_have_started() {
    for delivery in [Delivery::AtMostOnce, Delivery::Repeatable] {
        let address = engine(String::new(), true).await;
        let error = client().start(address, &start(delivery)).await.unwrap_err();
        assert!(error.is_lost() && !error.is_not_started());
    }
}

// Guards against running a request twice: the engine receives a second request on a pooled
// connection and closes it. By default, the HTTP client resends a request when a reused connection
// closes.
#[tokio::test]
async fn call_on_a_closed_reused_connection_is_lost_and_not_resent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let served = tokio::spawn(async move {
        let (mut first, _) = listener.accept().await.unwrap();
        read_request(&mut first).await;
        let load = response("200 OK", "{\"models\":[],\"role\":\"batch\"}");
        first.write_all(load.as_bytes()).await.unwrap();
        read_request(&mut first).await;
        drop(first);
        let second = tokio::time::timeout(std::time::Duration::from_millis(200), listener.accept());
        second.await.is_ok()
    });
    let client = client();
    client.state(address).await.unwrap();
    let error = client.start(address, &start(Delivery::Repeatable)).await;
    assert!(error.unwrap_err().is_lost());
    assert!(!served.await.unwrap(), "the request was sent a second time");
}

// Guards against a caller that waits until its deadline after the response has started: the host's
// cable is cut during a stream, and the close of the connection never arrives. Only a timeout
// between events detects this.
#[tokio::test]
async fn stream_without_data_is_lost_after_the_timeout() {
    let address = engine([STREAM_HEAD, TOKEN].concat(), false).await;
    let start = start(Delivery::Repeatable);
    let mut events = client().start(address, &start).await.unwrap();
    events.next().await.unwrap().unwrap();
    events.set_data_timeout_ms(50);
    let error = events.next().await.unwrap().unwrap_err();
    assert!(matches!(
        error,
        UpstreamError::Lost(LostCause::TimedOut { waited_ms: 50 })
    ));
    assert!(events.next().await.is_none());
}

// Guards against passing a truncated response to the caller as complete: the engine's process
// crashes after some tokens and its connection closes. The close of the connection must not count
// as the end of the stream.
#[tokio::test]
async fn stream_without_its_last_event_is_lost() {
    let address = engine([STREAM_HEAD, TOKEN].concat(), true).await;
    let start = start(Delivery::Repeatable);
    let mut events = client().start(address, &start).await.unwrap();
    events.next().await.unwrap().unwrap();
    assert!(events.next().await.unwrap().unwrap_err().is_lost());
}

#[tokio::test]
async fn call_without_a_response_may_have_started() {
    let address = engine(String::new(), false).await;
    let client = EngineClient::new(CallTimeouts {
        response_timeout_ms: 50,
        ..CallTimeouts::default()
    });
    let start = start(Delivery::AtMostOnce);
    let error = client.start(address, &start).await.unwrap_err();
    assert!(error.is_lost() && !error.is_not_started());
}

#[tokio::test]
async fn stale_fencing_tokens_and_unknown_attempts_are_distinct_errors() {
    let body = r#"{"error":"stale_fencing","newest":7}"#;
    let address = engine(response("409 Conflict", body), false).await;
    let order = crate::upstreams::EngineOrder::SetRole {
        role: crate::upstreams::Role::Batch,
    };
    let error = client().order(address, &order, 3).await.unwrap_err();
    assert!(matches!(error, UpstreamError::StaleFencing { newest: 7 }));
    let body = r#"{"error":"unknown_attempt"}"#;
    let address = engine(response("404 Not Found", body), false).await;
    let error = client().attach(address, "a", 0).await.unwrap_err();
    assert!(matches!(error, UpstreamError::UnknownAttempt));
}
