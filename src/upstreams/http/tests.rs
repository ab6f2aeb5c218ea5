//! Tests of exchanges with upstreams whose heads do not end.

use super::{CallTimeouts, HttpClient};
use crate::head_limit::tests::{endless_informational_heads, is_head_too_long};
use crate::upstreams::Delivery;
use crate::upstreams::error::{LostCause, UpstreamError};

/// Requests under way at once.
const REQUESTS_AT_ONCE: usize = 20;

/// Timeout of a response head, beyond the time that a bounded head takes.
const ANSWER_TIMEOUT_MS: u64 = 5_000;

/// Guards against informational heads without end that keep a node from all its other requests until a timeout.
#[tokio::test]
async fn endless_informational_heads_end_the_call() {
    let server = endless_informational_heads();
    let client = HttpClient::new(CallTimeouts::default());
    for delivery in [Delivery::Repeatable, Delivery::AtMostOnce] {
        let calls = (0..REQUESTS_AT_ONCE).map(|_call| {
            client.send(
                server.address(),
                server.request(),
                delivery,
                ANSWER_TIMEOUT_MS,
            )
        });
        for ended in futures::future::join_all(calls).await {
            match ended.expect_err("the head does not end") {
                UpstreamError::Lost(LostCause::Connection(cause)) => {
                    assert!(is_head_too_long(&cause), "{cause:?}");
                }
                error => panic!("{error:?}"),
            }
        }
    }
}
