//! Tests of the call labels and byte counts.

use http::{Request, Response};

use super::{call_label, head_bytes, header_bytes};

#[test]
fn path_determines_call_label() {
    let calls = [
        ("/v1/streams/configuration/records", "log_configuration"),
        ("/v1/streams/claims-07/records", "log_claims"),
        ("/v1/streams/0000-1-2", "stream"),
        ("/v1/hosts/h-12", "hosts"),
        ("/v1/cache/events", "cache_events"),
        ("/elsewhere", "other"),
    ];
    for (path, label) in calls {
        assert_eq!(call_label(path), label, "{path}");
    }
}

#[test]
fn head_bytes_equals_encoded_length() {
    let response = Response::builder()
        .header("content-type", "application/json")
        .header("content-length", "17")
        .body(())
        .unwrap();
    let encoded = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 17\r\n\r\n";
    assert_eq!(head_bytes(&response), encoded.len());
}

#[test]
fn repeated_header_counts_once_per_value() {
    let request = Request::builder()
        .header("a", "1")
        .header("a", "22")
        .body(())
        .unwrap();
    assert_eq!(header_bytes(request.headers()), "a: 1\r\na: 22\r\n".len());
}
