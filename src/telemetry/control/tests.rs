//! Tests of the counts.

use http::{Request, Response};

use super::{call, head_bytes, headers};

#[test]
fn calls_are_told_apart_by_their_paths() {
    let calls = [
        ("/v1/streams/configuration/records", "log_configuration"),
        ("/v1/streams/claims-07/records", "log_claims"),
        ("/v1/streams/0000-1-2", "stream"),
        ("/v1/hosts/h-12", "hosts"),
        ("/v1/cache/events", "cache_events"),
        ("/elsewhere", "other"),
    ];
    for (path, name) in calls {
        assert_eq!(call(path), name, "{path}");
    }
}

#[test]
fn a_head_is_as_long_as_http_writes_it() {
    let answer = Response::builder()
        .header("content-type", "application/json")
        .header("content-length", "17")
        .body(())
        .unwrap();
    let written = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 17\r\n\r\n";
    assert_eq!(head_bytes(&answer), written.len());
}

#[test]
fn each_value_of_a_header_counts() {
    let request = Request::builder()
        .header("a", "1")
        .header("a", "22")
        .body(())
        .unwrap();
    assert_eq!(headers(request.headers()), "a: 1\r\na: 22\r\n".len());
}
