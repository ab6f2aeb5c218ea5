use super::*;

fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let value = HeaderValue::from_str(value).expect("a value");
        headers.append(HeaderName::from_static(name), value);
    }
    headers
}

fn call() -> Vec<(&'static str, &'static str)> {
    vec![
        ("host", "Films.Example:80"),
        ("request-attempt-id", "9c41"),
        ("deadline-ms", "12000"),
        ("authorization", "Bearer k1"),
        ("model", "m"),
        ("token-count", "1460,80"),
        ("prompt-prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
        ("last-event-id", "12"),
    ]
}

#[test]
fn a_call_is_decoded_into_what_it_says() {
    let call = read_call(&headers(&call())).expect("whole");
    assert_eq!(call.host, "films.example");
    assert_eq!(call.time_left_ms, Some(12_000));
    assert_eq!(call.key.as_deref(), Some("k1"));
    assert_eq!(call.resume_after, Some(12));
    let prompt = call.prompt.expect("a generation");
    assert_eq!((prompt.input_tokens, prompt.max_output_tokens), (1_460, 80));
    assert_eq!(prompt.shared_tokens(), 1_210);
    assert_eq!(prompt.own_tokens(), 250);
    assert_eq!(prompt.shared().map(|part| part.id), Some(0x91bd_3f06));
}

#[test]
fn what_cannot_be_read_is_named() {
    let without = |name: &str| {
        let kept = call().into_iter().filter(|(given, _value)| *given != name);
        read_call(&headers(&kept.collect::<Vec<_>>()))
    };
    assert_eq!(without("request-attempt-id"), Err(Malformed::NoId));
    assert_eq!(without("host"), Err(Malformed::NoHost));
    let with = |name: &'static str, value: &str| {
        let mut headers = headers(&call());
        headers.insert(name, HeaderValue::from_str(value).expect("a value"));
        read_call(&headers)
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

/// Symptom: an upstream runs a request for another team than the one whose key it bore.
/// Sequence: a caller sends the team's header itself.
/// Cause: headers of callers were passed on with those that the system sets.
#[test]
fn headers_of_the_system_and_of_the_channel_go_no_further() {
    let mut given = call();
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
    let forwarded = forwardable(&headers(&given), true);
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
            "token-count",
            "x-kept"
        ]
    );
    assert!(forwardable(&headers(&given), false).contains_key("authorization"));
}

#[test]
fn a_caller_cannot_strip_its_request_of_its_id() {
    let mut given = call();
    given.push(("connection", "request-attempt-id"));
    assert!(forwardable(&headers(&given), true).contains_key("request-attempt-id"));
}

#[test]
fn an_upstream_is_told_what_the_system_knows() {
    let mut forwarded = forwardable(&headers(&call()), true);
    let added = Added {
        upstream_id: "i-1",
        time_left_ms: 900,
        team: Some("t1"),
        urgency: Some(3),
        resume_after: Some(14),
        copy_from: Some(([10, 2, 64, 45], 8666).into()),
    };
    add(&mut forwarded, &added);
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
fn an_answer_is_decoded_into_what_it_says() {
    let answer = read_answer(&headers(&[
        ("request-attempt-id", "9c41"),
        ("server-seal", "3e1b"),
        ("keep-alive", "timeout=5, max=10"),
        ("connection", "Close"),
    ]));
    assert_eq!(answer.request_id.as_deref(), Some("9c41"));
    assert!(answer.is_sealed && answer.closes && !answer.is_not_run && !answer.is_encoded);
    assert_eq!(answer.idle_timeout_ms, Some(5_000));
    assert!(read_answer(&headers(&[("not-executed", "1")])).is_not_run);
}

#[test]
fn a_refusal_says_when_to_come_back() {
    let mut headers = HeaderMap::new();
    own_answer(&mut headers, Some("9c41"), Some(250));
    let value = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    assert_eq!(value("retry-after"), Some("0.250"));
    assert_eq!(value("request-attempt-id"), Some("9c41"));
}

#[test]
fn a_limit_that_an_upstream_names_is_read_as_the_lowest_number_that_can_be() {
    let limit = |lines: &[&str]| {
        let pairs: Vec<_> = lines.iter().map(|line| ("server-limit", *line)).collect();
        read_answer(&headers(&pairs)).limit
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
fn a_rest_that_an_upstream_asks_for_is_read_as_the_longest_that_can_be() {
    let rest = |lines: &[&str]| {
        let pairs: Vec<_> = lines.iter().map(|line| ("retry-after", *line)).collect();
        read_answer(&headers(&pairs)).rest
    };
    assert_eq!(rest(&[]), StatedBackoff::Unstated);
    assert_eq!(rest(&["3"]), StatedBackoff::ForMs(3_000));
    assert_eq!(rest(&[" 0.25 "]), StatedBackoff::ForMs(250));
    assert_eq!(rest(&["0.0001"]), StatedBackoff::ForMs(1));
    assert_eq!(rest(&["0"]), StatedBackoff::ForMs(0));
    assert_eq!(rest(&["7200"]), StatedBackoff::ForMs(7_200_000));
    assert_eq!(rest(&["1e300"]), StatedBackoff::ForMs(u64::MAX));
    assert_eq!(rest(&["2", "3"]), StatedBackoff::ForMs(3_000));
    assert_eq!(rest(&["3, 2"]), StatedBackoff::ForMs(3_000));
    assert_eq!(rest(&["soon", "2"]), StatedBackoff::ForMs(2_000));
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
            rest(&[unreadable]),
            StatedBackoff::Unreadable,
            "{unreadable}"
        );
    }
}

#[test]
fn an_upstream_leaves_unless_its_answer_says_nothing_or_no() {
    let leaves = |lines: &[&str]| {
        let pairs: Vec<_> = lines.iter().map(|line| ("server-leaving", *line)).collect();
        read_answer(&headers(&pairs)).leaves
    };
    assert!(!leaves(&[]));
    assert!(!leaves(&["0"]));
    for said in [&["1"][..], &[" 1 "], &["0", "1"], &["true"], &[""]] {
        assert!(leaves(said), "{said:?}");
    }
}

#[test]
fn only_the_upstream_s_own_answer_says_that_it_names_no_limit() {
    let answer = |pairs: &[(&'static str, &str)]| read_answer(&headers(pairs)).limit_for("r1");
    let own = ("request-attempt-id", "r1");
    let seal = ("server-seal", "s");
    let limit = ("server-limit", "2");
    assert_eq!(answer(&[own, seal]), Some(StatedLimit::Unstated));
    assert_eq!(answer(&[own]), None);
    assert_eq!(answer(&[("request-attempt-id", "r0"), seal]), None);
    for pairs in [&[limit][..], &[limit, own], &[limit, own, seal]] {
        assert_eq!(answer(pairs), Some(StatedLimit::PerS(2.0)));
    }
}
