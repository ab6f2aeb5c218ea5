//! Tests of calls to a platform server whose heads do not end.

use bytes::Bytes;
use http::Method;

use super::{Call, CallError, Client};
use crate::head_limit::HeadTooLong;
use crate::head_limit::tests::endless_informational_heads;

/// Guards against informational heads of the platform that keep a node from all its requests until a timeout.
#[tokio::test]
async fn endless_heads_end_a_call() {
    let server = endless_informational_heads();
    let call = Call {
        method: Method::GET,
        path: "/",
        headers: Vec::new(),
        body: Bytes::new(),
        timeout_ms: 5_000,
    };
    let error = Client::new(server.address()).call(call).await;
    match error.expect_err("the head does not end") {
        CallError::Channel { source, .. } => {
            assert!(HeadTooLong::is_cause_of(&source), "{source:?}");
        }
        error => panic!("{error:?}"),
    }
}
