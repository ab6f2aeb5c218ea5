//! Tests of accepted and rejected credentials.

use super::*;

const NOW: TimeMs = TimeMs(1_700_000_000_000);

fn key() -> FleetKey {
    FleetKey::try_from(b"a key for tests, only".as_slice()).unwrap()
}

fn receiver() -> SocketAddr {
    "[::1]:7000".parse().unwrap()
}

fn request(path: &str) -> http::request::Parts {
    let credentials = Credentials {
        from: Incarnation(9),
        to: receiver(),
        sent_ms: NOW,
        body: body_hash(b"body"),
    };
    let tag = credentials.tag(&key(), "/echo");
    let mut request = http::Request::new(());
    *request.uri_mut() = format!("http://{}{path}", receiver()).parse().unwrap();
    credentials.write(&tag, request.headers_mut());
    request.into_parts().0
}

fn check(request: &http::request::Parts, now: TimeMs) -> Result<Credentials, CredentialsError> {
    Credentials::check(request, &key(), receiver(), now).map(|(credentials, _)| credentials)
}

#[test]
fn valid_request_yields_its_sender_and_body_hash() {
    let credentials = check(&request("/echo"), NOW).unwrap();
    assert_eq!(credentials.from, Incarnation(9));
    assert!(credentials.matches_body(b"body"));
    assert!(!credentials.matches_body(b"another body"));
}

#[test]
fn requests_beyond_the_clock_difference_are_rejected() {
    let request = request("/echo");
    for now in [NOW.after(60_000), TimeMs(NOW.0 - 60_000)] {
        check(&request, now).unwrap();
    }
    for now in [NOW.after(60_001), TimeMs(NOW.0 - 60_001)] {
        assert_eq!(check(&request, now), Err(CredentialsError::OutsideWindow));
    }
}

#[test]
fn request_for_another_node_is_rejected() {
    let other = "[::1]:7001".parse().unwrap();
    let checked = Credentials::check(&request("/echo"), &key(), other, NOW);
    assert_eq!(checked, Err(CredentialsError::WrongReceiver));
}

#[test]
fn modified_request_is_rejected() {
    assert_eq!(
        check(&request("/run"), NOW),
        Err(CredentialsError::WrongTag)
    );
    let body = to_hex(&body_hash(b"another body"));
    for (name, value) in [(FROM, "10"), (SENT_MS, "1700000000001"), (BODY_HASH, &body)] {
        let mut modified = request("/echo");
        modified
            .headers
            .insert(name, HeaderValue::from_str(value).unwrap());
        assert_eq!(check(&modified, NOW), Err(CredentialsError::WrongTag));
    }
    let mut untagged = request("/echo");
    untagged.headers.remove(TAG);
    assert_eq!(check(&untagged, NOW), Err(CredentialsError::Malformed));
}

#[test]
fn reply_proof_is_valid_for_its_own_request_only() {
    let mut headers = HeaderMap::new();
    let tag = [1; TAG_BYTES];
    authenticate_reply(&key(), &tag, &mut headers);
    assert!(is_reply_authenticated(&key(), &tag, &headers));
    assert!(!is_reply_authenticated(&key(), &[2; TAG_BYTES], &headers));
    assert!(!is_reply_authenticated(&key(), &tag, &HeaderMap::new()));
}
