//! Invalid requests, reused connections and settings that are reloaded.

use std::fs;
use std::time::Duration;

use nix::sys::signal::Signal;
use teaselline_stand_ins::operators::caller::parse;
use teaselline_stand_ins::operators::deployment::{HOST, KEYS, asked};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::support::{deployment, eventually, send};

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_get_specific_statuses_and_reach_no_upstream() {
    let deployment = deployment(1, 1).await;
    let expect =
        async |name: &str,
               status: u16,
               change: &dyn Fn(&mut teaselline_stand_ins::operators::Asked)| {
            let mut call = asked(name, "once");
            change(&mut call);
            let ended = send(&deployment, 0, &call).await;
            assert_eq!(ended.status(), Some(status), "{name}: {ended:?}");
            assert_eq!(deployment.runs_of(name), []);
        };
    expect("unknown-key", 401, &|call| {
        "nobody".clone_into(&mut call.key);
    })
    .await;
    expect("unknown-host", 404, &|call| {
        "other.example".clone_into(&mut call.host);
    })
    .await;
    expect("unknown-path", 404, &|call| {
        "/nowhere/".clone_into(&mut call.path);
    })
    .await;
    expect("wrong-tokens", 400, &|call| {
        call.extra.push_str("Token-Count: many\r\n");
    })
    .await;
    expect("too-long", 413, &|call| call.body = "x".repeat(200_000)).await;
}

/// Guards against request smuggling: a request with both a content length and chunked encoding, or
/// with two lengths, may end at different offsets for two parties, and the bytes that follow would
/// run as a request that no caller sent.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_after_a_request_with_conflicting_lengths_are_not_run() {
    let deployment = deployment(1, 1).await;
    let inner = asked("smuggled", "once").text();
    for (id, lengths) in [
        (
            "te-first",
            format!(
                "Transfer-Encoding: chunked\r\nContent-Length: {}\r\n",
                5 + inner.len()
            ),
        ),
        (
            "cl-first",
            format!(
                "Content-Length: {}\r\nTransfer-Encoding: chunked\r\n",
                5 + inner.len()
            ),
        ),
        (
            "two",
            format!(
                "Content-Length: 5\r\nContent-Length: {}\r\n",
                5 + inner.len()
            ),
        ),
    ] {
        let text = format!(
            "POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Attempt-Id: {id}\r\nAuthorization: Bearer {}\r\nDeadline-Ms: 2000\r\n{lengths}\r\n0\r\n\r\n{inner}",
            KEYS[0]
        );
        let mut socket = TcpStream::connect(deployment.nodes[0].callers())
            .await
            .expect("the node accepts the connection");
        socket
            .write_all(text.as_bytes())
            .await
            .expect("the request is written");
        let mut received = Vec::new();
        let read = tokio::time::timeout(Duration::from_secs(3), socket.read_to_end(&mut received));
        drop(read.await);
        assert_eq!(deployment.runs_of("smuggled"), [], "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_carries_several_requests_in_sequence() {
    let deployment = deployment(1, 1).await;
    let mut socket = TcpStream::connect(deployment.nodes[0].callers())
        .await
        .expect("the node accepts the connection");
    for place in 0..5 {
        let call = asked(&format!("kept-{place}"), "once");
        socket
            .write_all(call.text().as_bytes())
            .await
            .expect("the request is written");
        let mut received = Vec::new();
        while parse(&received).is_none() {
            let read = socket
                .read_buf(&mut received)
                .await
                .expect("the response is readable");
            assert!(read > 0, "the node closed the connection");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_settings_are_rejected_and_valid_ones_reloaded() {
    let deployment = deployment(1, 1).await;
    let file = deployment.nodes[0].settings_file();
    let before = fs::read_to_string(&file).expect("the settings file is readable");
    fs::write(&file, &before[..before.len() / 2]).expect("the settings are written");
    deployment.nodes[0]
        .signal(Signal::SIGHUP)
        .expect("the node runs");
    let has_logged = async |event: &str| {
        let log = deployment.nodes[0].log();
        log.iter().any(|line| line.contains(event))
    };
    eventually("the truncated file is rejected", async || {
        has_logged("settings_rejected").await
    })
    .await;
    let ended = send(&deployment, 0, &asked("torn", "once")).await;
    assert_eq!(ended.status(), Some(200), "{ended:?}");
    fs::write(&file, before.replace("\"graceS\":6", "\"graceS\":7"))
        .expect("the settings are written");
    eventually("the changed settings are reloaded", async || {
        has_logged("settings_reloaded").await
    })
    .await;
}
