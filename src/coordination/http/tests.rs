use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use url::Url;

use super::{CallError, JsonClient, LostCause};

/// Serves one connection: reads the request, writes `response` and closes.
async fn respond_once(response: &'static str) -> JsonClient {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a client connects");
        let mut request = Vec::new();
        while !request.ends_with(b"\"question\"") {
            let read = stream.read_buf(&mut request).await.expect("a request");
            assert!(read > 0, "the client sends the whole request");
        }
        stream
            .write_all(response.as_bytes())
            .await
            .expect("the client reads the response");
    });
    client(&format!("http://{address}/"))
}

fn client(base: &str) -> JsonClient {
    let base = Url::parse(base).expect("a URL");
    JsonClient::new(base).response_timeout_ms(2_000)
}

async fn post(client: &JsonClient) -> CallError {
    let url = client.url(&["v1", "purchases"]);
    let response = client.post::<u32>(&url, &"question").await;
    response.expect_err("the call fails")
}

#[tokio::test]
async fn refused_connection_has_no_effect() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    drop(listener);
    let error = post(&client(&format!("http://{address}"))).await;
    assert!(matches!(error, CallError::NotSent { .. }));
    assert!(!error.may_have_taken_effect());
}

/// Guards against a host that is bought twice: the cloud accepts the order and fails before it
/// responds, and the client takes the closed connection for a rejection.
#[tokio::test]
async fn connection_closed_after_sending_may_have_taken_effect() {
    let error = post(&respond_once("").await).await;
    assert!(matches!(
        error,
        CallError::ResponseLost {
            source: LostCause::Connection(_),
            ..
        }
    ));
    assert!(error.may_have_taken_effect());
}

#[tokio::test]
async fn truncated_body_may_have_taken_effect() {
    let client = respond_once("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n12").await;
    let error = post(&client).await;
    assert!(matches!(
        error,
        CallError::ResponseLost {
            source: LostCause::Body(_),
            ..
        }
    ));
}

#[tokio::test]
async fn error_response_carries_status_and_retry_delay() {
    let client = respond_once(
        "HTTP/1.1 429 Too Many Requests\r\ncontent-length: 38\r\n\r\n\
         {\"error\":\"rate\",\"retry_after_ms\":1500}",
    )
    .await;
    let error = post(&client).await;
    assert_eq!(error.retry_after_ms(), Some(1_500));
    assert_eq!(error.status().map(|status| status.as_u16()), Some(429));
    assert!(!error.may_have_taken_effect());
}

#[tokio::test]
async fn gateway_timeout_may_have_taken_effect() {
    let client = respond_once("HTTP/1.1 504 Gateway Timeout\r\ncontent-length: 0\r\n\r\n").await;
    assert!(post(&client).await.may_have_taken_effect());
}

#[test]
fn path_segments_are_percent_encoded() {
    let url = client("http://10.0.0.7:8400/").url(&["v1", "hosts", "a/b c"]);
    assert_eq!(url.as_str(), "http://10.0.0.7:8400/v1/hosts/a%2Fb%20c");
}
