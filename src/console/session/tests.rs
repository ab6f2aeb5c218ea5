//! Tests of sessions and of where a post comes from.

use http::header::{COOKIE, HOST, ORIGIN};
use http::{HeaderMap, HeaderName, HeaderValue};

use super::{SESSION_MS, has_form_token, is_same_site, session, sign_in};
use crate::document::Document;
use crate::peers::FleetKey;
use crate::time::TimeMs;

const NOW: TimeMs = TimeMs(1_700_000_000_000);
const TOKEN: &str = "operator-kobayashi-sample";

fn document() -> Document {
    Document::parse(include_str!("../../../sample_configs/valid/kitagawa.json")).unwrap()
}

fn key(secret: &str) -> FleetKey {
    FleetKey::try_from(secret.as_bytes()).unwrap()
}

fn headers(cookie: &str) -> HeaderMap {
    let sent = cookie.split(';').next().unwrap();
    let mut headers = HeaderMap::new();
    let value = format!("other=1; {sent}");
    headers.insert(COOKIE, HeaderValue::from_str(&value).unwrap());
    headers
}

#[test]
fn a_session_holds_on_every_node_until_it_ends() {
    let document = document();
    let own = key("the key of the fleet");
    let cookie = sign_in(TOKEN, Some(&document), &own, NOW).unwrap();
    let headers = headers(&cookie);
    let elsewhere = key("the key of the fleet");
    let found = session(
        &headers,
        Some(&document),
        &elsewhere,
        NOW.after(SESSION_MS - 1),
    )
    .unwrap();
    assert_eq!(found.operator, "kobayashi");
    assert!(has_form_token(&found, Some(&found.form_token)));
    assert!(!has_form_token(&found, Some("")) && !has_form_token(&found, None));
    assert_eq!(
        session(&headers, Some(&document), &own, NOW.after(SESSION_MS)),
        None
    );
    let other = key("the key of another fleet");
    assert_eq!(session(&headers, Some(&document), &other, NOW), None);
}

#[test]
fn a_new_token_ends_the_sessions_of_the_old_one() {
    let mut document = document();
    let own = key("the key of the fleet");
    let headers = headers(&sign_in(TOKEN, Some(&document), &own, NOW).unwrap());
    document.operators[0].token_sha256[0] ^= 1;
    assert_eq!(session(&headers, Some(&document), &own, NOW), None);
    document.operators.remove(0);
    assert_eq!(session(&headers, Some(&document), &own, NOW), None);
}

/// Symptom: somebody without a token changes the document. Sequence: a cookie is made by hand with
/// another name or end, or with only the first digits of a tag. Cause: a comparison of less than
/// the whole.
#[test]
fn a_cookie_that_was_changed_is_no_session() {
    let document = document();
    let own = key("the key of the fleet");
    let cookie = sign_in(TOKEN, Some(&document), &own, NOW).unwrap();
    let value = cookie.split(';').next().unwrap();
    let (signed, tag) = value.rsplit_once('.').unwrap();
    let mut forged = vec![format!("{signed}."), format!("{signed}.{}", &tag[..2])];
    forged.push(value.replace(&NOW.after(SESSION_MS).0.to_string(), "9999999999999"));
    forged.push(value.replacen("6b6f", "7565", 1));
    forged.push(format!("{value}00"));
    for cookie in forged {
        assert_ne!(cookie, value);
        assert_eq!(
            session(&headers(&cookie), Some(&document), &own, NOW),
            None,
            "{cookie}"
        );
    }
}

#[test]
fn a_teams_token_or_a_wrong_one_signs_nobody_in() {
    let document = document();
    let own = key("the key of the fleet");
    for token in ["team-archive-sample", "", "the key of the fleet"] {
        assert_eq!(sign_in(token, Some(&document), &own, NOW), None, "{token}");
    }
}

#[test]
fn the_fleet_key_signs_in_while_there_is_no_document() {
    let own = key("the key of the fleet");
    assert_eq!(sign_in("another key of 16 bytes", None, &own, NOW), None);
    let cookie = sign_in("the key of the fleet", None, &own, NOW).unwrap();
    assert!(session(&headers(&cookie), None, &own, NOW).is_some());
    assert_eq!(
        session(&headers(&cookie), Some(&document()), &own, NOW),
        None
    );
}

#[test]
fn only_posts_from_our_own_pages_are_taken() {
    let fetch_site = HeaderName::from_static("sec-fetch-site");
    let cases = [
        (None, None, true),
        (Some("http://10.0.0.7:8080"), Some("same-origin"), true),
        (Some("http://10.0.0.7:8080"), None, true),
        (Some("http://10.0.0.7:9090"), None, false),
        (Some("http://elsewhere.example"), None, false),
        (Some("null"), None, false),
        (None, Some("cross-site"), false),
        (None, Some("same-site"), false),
        (None, Some("none"), false),
        (Some("http://10.0.0.7:8080"), Some("cross-site"), false),
    ];
    for (origin, site, expected) in cases {
        let mut headers = HeaderMap::new();
        headers.insert(HOST, HeaderValue::from_static("10.0.0.7:8080"));
        if let Some(origin) = origin {
            headers.insert(ORIGIN, HeaderValue::from_static(origin));
        }
        if let Some(site) = site {
            headers.insert(&fetch_site, HeaderValue::from_static(site));
        }
        assert_eq!(is_same_site(&headers), expected, "{origin:?} {site:?}");
    }
}
