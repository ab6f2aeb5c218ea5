//! Tests of session cookies and of the origin check.

use http::header::{COOKIE, HOST, ORIGIN};
use http::{HeaderMap, HeaderName, HeaderValue};

use super::{SESSION_MS, authenticate, has_form_token, is_same_origin, sign_in};
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
fn session_is_valid_on_every_node_until_it_expires() {
    let document = document();
    let fleet_key = key("the key of the fleet");
    let cookie = sign_in(TOKEN, Some(&document), &fleet_key, NOW).unwrap();
    let headers = headers(&cookie);
    let other_node_key = key("the key of the fleet");
    let found = authenticate(
        &headers,
        Some(&document),
        &other_node_key,
        NOW.after(SESSION_MS - 1),
    )
    .unwrap();
    assert_eq!(found.operator, "kobayashi");
    assert!(has_form_token(&found, Some(&found.form_token)));
    assert!(!has_form_token(&found, Some("")) && !has_form_token(&found, None));
    assert_eq!(
        authenticate(&headers, Some(&document), &fleet_key, NOW.after(SESSION_MS)),
        None
    );
    let other_fleet_key = key("the key of another fleet");
    assert_eq!(
        authenticate(&headers, Some(&document), &other_fleet_key, NOW),
        None
    );
}

#[test]
fn replaced_token_or_removed_operator_invalidates_sessions() {
    let mut document = document();
    let fleet_key = key("the key of the fleet");
    let headers = headers(&sign_in(TOKEN, Some(&document), &fleet_key, NOW).unwrap());
    document.operators[0].token_sha256[0] ^= 1;
    assert_eq!(
        authenticate(&headers, Some(&document), &fleet_key, NOW),
        None
    );
    document.operators.remove(0);
    assert_eq!(
        authenticate(&headers, Some(&document), &fleet_key, NOW),
        None
    );
}

/// Guards against forged sessions: a cookie with another operator's name, another expiry time, or a
/// truncated or extended tag would be accepted if only a part of the tag were compared.
#[test]
fn forged_cookie_is_rejected() {
    let document = document();
    let fleet_key = key("the key of the fleet");
    let cookie = sign_in(TOKEN, Some(&document), &fleet_key, NOW).unwrap();
    let value = cookie.split(';').next().unwrap();
    let (signed, tag) = value.rsplit_once('.').unwrap();
    let mut forged = vec![format!("{signed}."), format!("{signed}.{}", &tag[..2])];
    forged.push(value.replace(&NOW.after(SESSION_MS).0.to_string(), "9999999999999"));
    forged.push(value.replacen("6b6f", "7565", 1));
    forged.push(format!("{value}00"));
    for cookie in forged {
        assert_ne!(cookie, value);
        assert_eq!(
            authenticate(&headers(&cookie), Some(&document), &fleet_key, NOW),
            None,
            "{cookie}"
        );
    }
}

#[test]
fn sign_in_without_an_operator_token_is_rejected() {
    let document = document();
    let fleet_key = key("the key of the fleet");
    for token in ["team-archive-sample", "", "the key of the fleet"] {
        assert_eq!(
            sign_in(token, Some(&document), &fleet_key, NOW),
            None,
            "{token}"
        );
    }
}

#[test]
fn fleet_key_signs_in_only_without_a_document() {
    let fleet_key = key("the key of the fleet");
    assert_eq!(
        sign_in("another key of 16 bytes", None, &fleet_key, NOW),
        None
    );
    let cookie = sign_in("the key of the fleet", None, &fleet_key, NOW).unwrap();
    assert!(authenticate(&headers(&cookie), None, &fleet_key, NOW).is_some());
    assert_eq!(
        authenticate(&headers(&cookie), Some(&document()), &fleet_key, NOW),
        None
    );
}

#[test]
fn only_posts_of_the_same_origin_are_accepted() {
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
        assert_eq!(is_same_origin(&headers), expected, "{origin:?} {site:?}");
    }
}
