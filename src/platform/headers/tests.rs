use super::response::EchoedId;
use super::*;
use crate::gateway::limits::backoff::StatedBackoff;
use crate::gateway::limits::refusal_allowance::StatedBrittleness;
use crate::gateway::limits::throttle::StatedLimit;

fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let value = HeaderValue::from_str(value).expect("a value");
        headers.append(HeaderName::from_static(name), value);
    }
    headers
}

fn request_headers() -> Vec<(&'static str, &'static str)> {
    vec![
        ("host", "Films.Example:80"),
        ("request-attempt-id", "9c41"),
        ("deadline-ms", "12000"),
        ("authorization", "Bearer k1"),
        ("model", "m"),
        ("token-count", "1460,80"),
        ("prompt-prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
        ("last-event-id", "12"),
        ("resumes", "77aa"),
    ]
}

#[test]
fn request_headers_are_decoded() {
    let call = read_request_head(&headers(&request_headers())).expect("valid");
    assert_eq!(call.host, "films.example");
    assert_eq!(call.time_left_ms, Some(12_000));
    assert_eq!(call.key.as_deref(), Some("k1"));
    assert_eq!(call.resume_after, Some(12));
    assert_eq!(call.resumes.as_deref(), Some("77aa"));
    let prompt = call.prompt.expect("a prompt");
    assert_eq!((prompt.input_tokens, prompt.max_output_tokens), (1_460, 80));
    assert_eq!(prompt.shared_tokens(), 1_210);
    assert_eq!(prompt.own_tokens(), 250);
    assert_eq!(prompt.shared().map(|part| part.id), Some(0x91bd_3f06));
}

#[test]
fn invalid_header_is_named_in_the_error() {
    let without = |name: &str| {
        let kept = request_headers()
            .into_iter()
            .filter(|(given, _value)| *given != name);
        read_request_head(&headers(&kept.collect::<Vec<_>>()))
    };
    assert_eq!(without("request-attempt-id"), Err(Malformed::NoId));
    assert_eq!(without("host"), Err(Malformed::NoHost));
    let with = |name: &'static str, value: &str| {
        let mut headers = headers(&request_headers());
        headers.insert(name, HeaderValue::from_str(value).expect("a value"));
        read_request_head(&headers)
    };
    assert_eq!(with("token-count", "many"), Err(Malformed::Tokens));
    assert_eq!(with("prompt-prefix", "xyz:1"), Err(Malformed::Parts));
    assert_eq!(
        with("deadline-ms", "soon"),
        Err(Malformed::Number(DEADLINE))
    );
    assert_eq!(
        with("authorization", "Basic k1").map(|call| call.key),
        Ok(None)
    );
}

/// Guards against running a request for another team than the one whose API key it has.
///
/// If callers' headers were forwarded together with the system headers, a caller could set the
/// team header itself.
#[test]
fn system_and_hop_by_hop_headers_are_not_forwarded() {
    let mut given = request_headers();
    given.extend([
        ("tenant", "other"),
        ("expect-instance", "i-9"),
        ("hold", "h"),
        ("pin-ms", "4000"),
        ("kv-backup", "10.0.0.1:1"),
        ("kv-from", "10.0.0.1:1/x"),
        ("kv-fetch", "10.0.0.1:1"),
        ("request-urgency", "0"),
        ("expect-version", "3"),
        ("connection", "close, x-once"),
        ("x-once", "1"),
        ("transfer-encoding", "chunked"),
        ("te", "trailers"),
        ("x-kept", "yes"),
    ]);
    let forwarded = forwardable_headers(&headers(&given), true);
    let mut names: Vec<&str> = forwarded.keys().map(HeaderName::as_str).collect();
    names.sort_unstable();
    assert_eq!(
        names,
        [
            "host",
            "last-event-id",
            "model",
            "prompt-prefix",
            "request-attempt-id",
            "resumes",
            "token-count",
            "x-kept"
        ]
    );
    assert!(forwardable_headers(&headers(&given), false).contains_key("authorization"));
}

#[test]
fn caller_cannot_remove_the_request_id() {
    let mut given = request_headers();
    given.push(("connection", "request-attempt-id"));
    assert!(forwardable_headers(&headers(&given), true).contains_key("request-attempt-id"));
}

#[test]
fn system_headers_are_set_for_an_upstream() {
    let mut forwarded = forwardable_headers(&headers(&request_headers()), true);
    let added = UpstreamHeaders {
        upstream_id: "i-1",
        time_left_ms: 900,
        team: Some("t1"),
        urgency: Some(3),
        resume_after: Some(14),
        copy_from: Some(([10, 2, 64, 45], 8666).into()),
    };
    set_upstream_headers(&mut forwarded, &added);
    let value = |name: &str| forwarded.get(name).and_then(|value| value.to_str().ok());
    assert_eq!(value("expect-instance"), Some("i-1"));
    assert_eq!(value("deadline-ms"), Some("900"));
    assert_eq!(value("tenant"), Some("t1"));
    assert_eq!(value("request-urgency"), Some("3"));
    assert_eq!(value("kv-fetch"), Some("10.2.64.45:8666"));
    assert_eq!(forwarded.get_all("last-event-id").iter().count(), 1);
    assert_eq!(value("last-event-id"), Some("14"));
}

#[test]
fn response_headers_are_decoded() {
    let response = read_response_head(&headers(&[
        ("request-attempt-id", "9c41"),
        ("server-seal", "3e1b"),
        ("keep-alive", "timeout=5, max=10"),
        ("connection", "Close"),
    ]));
    assert_eq!(response.request_id, EchoedId::Stated("9c41".to_owned()));
    assert!(
        response.is_sealed
            && response.is_closing
            && !response.is_not_executed
            && !response.is_encoded
    );
    assert_eq!(response.idle_timeout_ms, Some(5_000));
    assert!(read_response_head(&headers(&[("not-executed", "1")])).is_not_executed);
}

#[test]
fn local_response_sets_retry_after_and_the_request_id() {
    let mut headers = HeaderMap::new();
    set_local_response_headers(&mut headers, Some("9c41"), Some(250));
    let value = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    assert_eq!(value("retry-after"), Some("0.250"));
    assert_eq!(value("request-attempt-id"), Some("9c41"));
}

#[test]
fn lowest_valid_rate_limit_applies() {
    let limit = |lines: &[&str]| {
        let pairs: Vec<_> = lines.iter().map(|line| ("server-limit", *line)).collect();
        read_response_head(&headers(&pairs)).limit
    };
    assert_eq!(limit(&[]), StatedLimit::Unstated);
    assert_eq!(limit(&["1.5"]), StatedLimit::PerS(1.5));
    assert_eq!(limit(&[" 12 "]), StatedLimit::PerS(12.0));
    assert_eq!(limit(&["0"]), StatedLimit::PerS(0.0));
    assert_eq!(limit(&["3", "2"]), StatedLimit::PerS(2.0));
    assert_eq!(limit(&["3, 2"]), StatedLimit::PerS(2.0));
    assert_eq!(limit(&["many", "2"]), StatedLimit::PerS(2.0));
    assert_eq!(limit(&["2", "many"]), StatedLimit::PerS(2.0));
    for unreadable in ["", "many", "-1", "-0.0", "NaN", "inf", "1/s"] {
        assert_eq!(
            limit(&[unreadable]),
            StatedLimit::Unreadable,
            "{unreadable}"
        );
    }
}

#[test]
fn longest_valid_backoff_applies() {
    let backoff = |lines: &[&str]| {
        let pairs: Vec<_> = lines.iter().map(|line| ("retry-after", *line)).collect();
        read_response_head(&headers(&pairs)).backoff
    };
    assert_eq!(backoff(&[]), StatedBackoff::Unstated);
    assert_eq!(backoff(&["3"]), StatedBackoff::ForMs(3_000));
    assert_eq!(backoff(&[" 0.25 "]), StatedBackoff::ForMs(250));
    assert_eq!(backoff(&["0.0001"]), StatedBackoff::ForMs(1));
    assert_eq!(backoff(&["0"]), StatedBackoff::ForMs(0));
    assert_eq!(backoff(&["7200"]), StatedBackoff::ForMs(7_200_000));
    assert_eq!(backoff(&["1e300"]), StatedBackoff::ForMs(u64::MAX));
    assert_eq!(backoff(&["2", "3"]), StatedBackoff::ForMs(3_000));
    assert_eq!(backoff(&["3, 2"]), StatedBackoff::ForMs(3_000));
    assert_eq!(backoff(&["soon", "2"]), StatedBackoff::ForMs(2_000));
    for unreadable in [
        "",
        "soon",
        "-1",
        "-0.0",
        "NaN",
        "inf",
        "Thu, 03 Dec 2026 12:00:00 GMT",
    ] {
        assert_eq!(
            backoff(&[unreadable]),
            StatedBackoff::Unreadable,
            "{unreadable}"
        );
    }
}

#[test]
fn lowest_valid_brittleness_applies() {
    let brittleness = |lines: &[&str]| {
        let pairs: Vec<_> = (lines.iter())
            .map(|line| ("server-brittle", *line))
            .collect();
        read_response_head(&headers(&pairs)).brittleness
    };
    assert_eq!(brittleness(&[]), StatedBrittleness::Unstated);
    assert_eq!(brittleness(&["12"]), StatedBrittleness::RefusalsPerS(12.0));
    assert_eq!(
        brittleness(&["5", "3"]),
        StatedBrittleness::RefusalsPerS(3.0)
    );
    for unreadable in ["", "some", "-1", "NaN"] {
        let none = StatedBrittleness::RefusalsPerS(0.0);
        assert_eq!(brittleness(&[unreadable]), none, "{unreadable}");
    }
}

#[test]
fn upstream_is_leaving_unless_the_header_is_absent_or_zero() {
    let leaves = |lines: &[&str]| {
        let pairs: Vec<_> = lines.iter().map(|line| ("server-leaving", *line)).collect();
        read_response_head(&headers(&pairs)).is_leaving
    };
    assert!(!leaves(&[]));
    assert!(!leaves(&["0"]));
    for values in [&["1"][..], &[" 1 "], &["0", "1"], &["true"], &[""]] {
        assert!(leaves(values), "{values:?}");
    }
}

#[test]
fn response_names_the_one_request_whose_id_it_echoes() {
    let named = |ids: &[&str]| {
        let pairs: Vec<_> = (ids.iter()).map(|id| ("request-attempt-id", *id)).collect();
        read_response_head(&headers(&pairs)).named_request("r1")
    };
    assert_eq!(named(&["r1"]), NamedRequest::Own);
    assert_eq!(named(&["r1", "r1"]), NamedRequest::Own);
    assert_eq!(named(&[]), NamedRequest::Unnamed);
    for ids in [
        &["r0"][..],
        &[""],
        &["r1", "r0"],
        &["r0", "r1"],
        &["r1, r0"],
        &["R1"],
    ] {
        assert_eq!(named(ids), NamedRequest::Other, "{ids:?}");
    }
}

#[test]
fn only_a_sealed_response_to_the_request_proves_that_no_limit_is_stated() {
    let response =
        |pairs: &[(&'static str, &str)]| read_response_head(&headers(pairs)).proven_limit("r1");
    let own = ("request-attempt-id", "r1");
    let seal = ("server-seal", "s");
    let limit = ("server-limit", "2");
    assert_eq!(response(&[own, seal]), Some(StatedLimit::Unstated));
    assert_eq!(response(&[own]), None);
    assert_eq!(response(&[("request-attempt-id", "r0"), seal]), None);
    for pairs in [&[limit][..], &[limit, own], &[limit, own, seal]] {
        assert_eq!(response(pairs), Some(StatedLimit::PerS(2.0)));
    }
}

/// Guards against sums and products of stated numbers that end a request in a debug build, and wrap in a release build.
#[test]
fn excessive_numbers_are_rejected_or_limited() {
    let with = |name: &'static str, value: &str| {
        let mut given = headers(&request_headers());
        let value = HeaderValue::from_str(value).expect("a value");
        given.insert(HeaderName::from_static(name), value);
        read_request_head(&given).map(|_head| ())
    };
    for number in ["18446744073709551615", "1e300", "inf"] {
        let parts = format!("5c1e07a2:{number},91bd3f06:{number},e4402b7d:250");
        assert_eq!(with("prompt-prefix", &parts), Err(Malformed::Parts));
        let tokens = format!("{number},80");
        assert_eq!(with("token-count", &tokens), Err(Malformed::Tokens));
        let tokens = format!("80,{number}");
        assert_eq!(with("token-count", &tokens), Err(Malformed::Tokens));
        let kept = headers(&[("keep-alive", &format!("timeout={number}"))]);
        assert_eq!(read_response_head(&kept).idle_timeout_ms, Some(u64::MAX));
    }
}
