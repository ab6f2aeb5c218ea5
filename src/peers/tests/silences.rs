//! Streams whose callers wait for a bounded time, on a path that is silent.

use super::*;

/// Silence after which a stream without a deadline ends.
const LOSS_TIMEOUT_MS: u64 = 100;

const SILENCE: Duration = Duration::from_millis(8 * LOSS_TIMEOUT_MS);

struct SilentStream {
    node: Node,
    flow: watch::Sender<bool>,
    items: Items<TestProtocol>,
    _connections: Connections<TestProtocol>,
}

/// Opens a stream for a caller that waits for so long, and silences its path.
async fn silence(time_left_ms: u64) -> SilentStream {
    let settings = Settings::default().with_silence_timeout_ms(LOSS_TIMEOUT_MS);
    let (node, address, flow) = start_node_behind_proxy(settings).await;
    let connections = pool(key()).with_settings(settings);
    let request = TestRequest::QuietFor { time_left_ms };
    let (_, items) = connections
        .open(address, request, TIMEOUT_MS)
        .await
        .unwrap();
    flow.send(false).unwrap();
    SilentStream {
        node,
        flow,
        items,
        _connections: connections,
    }
}

/// Guards against an answer that is cut because its path was silent, long before its caller stops to wait for it.
#[tokio::test]
async fn stream_within_its_deadline_outlasts_a_silent_path() {
    let mut stream = silence(600_000).await;
    tokio::time::sleep(SILENCE).await;
    stream.flow.send(true).unwrap();
    let next = tokio::time::timeout(SILENCE, stream.items.next()).await;
    assert!(next.is_err(), "the stream ended: {next:?}");
    assert_eq!(stream.node.handler.counting.load(SeqCst), 1);
}

/// Guards against streams of a lost peer that stay on either side once their callers have left.
#[tokio::test]
async fn stream_beyond_its_deadline_ends_on_both_sides_of_a_silent_path() {
    let mut stream = silence(4 * LOSS_TIMEOUT_MS).await;
    let next = tokio::time::timeout(Duration::from_secs(20), stream.items.next()).await;
    let ended = next.expect("the stream ends");
    assert!(matches!(ended, Some(Err(PeerError::Silent))), "{ended:?}");
    eventually(|| stream.node.handler.counting.load(SeqCst) == 0).await;
}
