use super::*;

#[test]
fn headers_keep_their_order_and_bytes() {
    let mut headers = HeaderMap::new();
    headers.append("x-part", HeaderValue::from_static("1"));
    headers.append("x-part", HeaderValue::from_static("2"));
    headers.append("x-raw", HeaderValue::from_bytes(b"caf\xe9").expect("valid"));
    let decoded = decode_headers(&encode_headers(&headers));
    assert_eq!(decoded, Some(headers));
}

#[test]
fn invalid_heads_are_rejected() {
    assert!(decode_headers(&[("a b".to_owned(), Vec::new())]).is_none());
    assert!(decode_headers(&[("a".to_owned(), b"1\n".to_vec())]).is_none());
    let head = ForwardedHead {
        status: 1,
        headers: Vec::new(),
    };
    assert!(head.decode().is_none());
}

/// Guards against a request that is sent again although an upstream may have executed it.
#[test]
fn refusal_after_a_send_is_no_promise_that_the_request_has_not_run() {
    for refusal in [Refusal::NoAnswer, Refusal::AnswerTimeout, Refusal::Breaking] {
        let reply = ForwardReply::refused(&refusal);
        assert!(
            matches!(reply, ForwardReply::MayHaveRun { .. }),
            "{reply:?}"
        );
    }
}

/// Guards against a request that is refused because the peer that was asked is cut off too, and
/// against one that goes around peers although all of them refuse it.
#[test]
fn only_reasons_of_one_node_send_a_request_to_another() {
    let is_served_elsewhere = |refusal: &Refusal| match ForwardReply::refused(refusal) {
        ForwardReply::NotRun {
            is_served_elsewhere,
            ..
        } => is_served_elsewhere,
        reply => panic!("{reply:?}"),
    };
    assert!(is_served_elsewhere(&Refusal::NoUpstream {
        retry_after_ms: 1
    }));
    assert!(is_served_elsewhere(&Refusal::Stopping));
    assert!(!is_served_elsewhere(&Refusal::Saturated {
        retry_after_ms: 1
    }));
    assert!(!is_served_elsewhere(&Refusal::UpstreamsResting {
        left_ms: 1
    }));
}
