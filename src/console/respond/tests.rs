//! Tests of the console's requests, from sign-in to the outcome of a proposal.

use http::header::{COOKIE, HOST, ORIGIN};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use url::form_urlencoded::Serializer;

use super::{Proposal, ProposalOutcome, Reply, Request, Route, View, outcome_response, respond};
use crate::blackboard::ActiveConfiguration;
use crate::console::{LiveView, Response, session};
use crate::document::{Document, RawDocument};
use crate::peers::FleetKey;
use crate::time::TimeMs;

const KITAGAWA: &str = include_str!("../../../sample_configs/valid/kitagawa.json");
const NOW: TimeMs = TimeMs(1_700_000_000_000);

fn key() -> FleetKey {
    FleetKey::try_from(&b"the key of the fleet"[..]).unwrap()
}

fn in_force(revision: u64, raw: &RawDocument) -> ActiveConfiguration {
    ActiveConfiguration {
        revision,
        document: Document::try_from(raw).unwrap(),
        text: raw.to_text(),
    }
}

fn kitagawa() -> RawDocument {
    RawDocument::read(KITAGAWA).unwrap()
}

/// Returns the headers of a signed-in browser's post from `origin`.
fn headers(origin: &'static str) -> HeaderMap {
    let document = Document::parse(KITAGAWA).unwrap();
    let cookie = session::sign_in("operator-kobayashi-sample", Some(&document), &key(), NOW);
    let cookie = HeaderValue::from_str(cookie.unwrap().split(';').next().unwrap()).unwrap();
    let mut headers = HeaderMap::new();
    headers.insert(COOKIE, cookie);
    headers.insert(HOST, HeaderValue::from_static("10.0.0.7:8080"));
    headers.insert(ORIGIN, HeaderValue::from_static(origin));
    headers
}

const OWN_ORIGIN: &str = "http://10.0.0.7:8080";

fn send(
    route: Route,
    headers: &HeaderMap,
    body: &[u8],
    in_force: Option<&ActiveConfiguration>,
) -> Reply {
    let live = LiveView::default();
    let view = View {
        active_configuration: in_force,
        live: &live,
        trail: &[],
    };
    respond(
        Request {
            route,
            headers,
            body,
        },
        view,
        &key(),
        NOW,
    )
}

fn page(reply: Reply) -> Response {
    match reply {
        Reply::Page(page) => page,
        Reply::Propose(_) => panic!("expected a page, got a proposal"),
    }
}

/// Returns the body of an edit form for `base`, in which `typed` replaces field values.
fn post(action: &str, base_revision: u64, base: &RawDocument, typed: &[(&str, &str)]) -> Vec<u8> {
    let document = Document::parse(KITAGAWA).unwrap();
    let session =
        session::authenticate(&headers(OWN_ORIGIN), Some(&document), &key(), NOW).unwrap();
    let mut body = Serializer::new(String::new());
    body.append_pair("action", action)
        .append_pair("form_token", &session.form_token)
        .append_pair("base_revision", &base_revision.to_string())
        .append_pair("base_document", &base.to_text());
    for (name, value) in form_fields(base) {
        let typed = typed.iter().find(|(field, _)| *field == name);
        body.append_pair(&name, typed.map_or(&value, |(_, value)| *value));
    }
    body.finish().into_bytes()
}

/// Returns the form fields of a document, derived from its JSON.
fn form_fields(document: &RawDocument) -> Vec<(String, String)> {
    fn collect_fields(path: &str, value: &serde_json::Value, fields: &mut Vec<(String, String)>) {
        use serde_json::Value;
        match value {
            Value::Object(object) if path.ends_with("kind") => {
                let (kind, inner) = object.iter().next().unwrap();
                fields.push((path.to_owned(), kind.clone()));
                collect_fields(&format!("{path}.{kind}"), inner, fields);
            }
            Value::Object(object) => {
                for (name, value) in object {
                    let path = if path.is_empty() {
                        name.clone()
                    } else {
                        format!("{path}.{name}")
                    };
                    collect_fields(&path, value, fields);
                }
            }
            Value::Array(items) if items.iter().all(Value::is_object) => {
                for (index, item) in items.iter().enumerate() {
                    collect_fields(&format!("{path}[{index}]"), item, fields);
                }
            }
            Value::Array(items) => {
                fields.extend(
                    items
                        .iter()
                        .map(|item| (path.to_owned(), item.as_str().unwrap().to_owned())),
                );
            }
            Value::String(text) => fields.push((path.to_owned(), text.clone())),
            other => fields.push((path.to_owned(), other.to_string())),
        }
    }
    let mut fields = Vec::new();
    collect_fields("", &serde_json::to_value(document).unwrap(), &mut fields);
    // The form has one field for all adapters, with the words separated by commas.
    let adapters: Vec<_> = fields
        .extract_if(.., |(name, _)| name.ends_with("adapters"))
        .collect();
    let words: Vec<&str> = adapters.iter().map(|(_, word)| word.as_str()).collect();
    fields.push((String::from("models[0].adapters"), words.join(", ")));
    fields
}

fn proposal(reply: Reply) -> Proposal {
    match reply {
        Reply::Propose(proposal) => *proposal,
        Reply::Page(page) => panic!(
            "expected a proposal, got a page with status {}: {}",
            page.status, page.body
        ),
    }
}

#[test]
fn routes_match_by_method_and_path() {
    assert_eq!(
        Route::from_request(&Method::GET, "/console"),
        Some(Route::Live)
    );
    assert_eq!(
        Route::from_request(&Method::GET, "/console/document"),
        Some(Route::Document)
    );
    assert_eq!(
        Route::from_request(&Method::POST, "/console/document"),
        Some(Route::Change)
    );
    assert_eq!(Route::from_request(&Method::POST, "/console/trail"), None);
    assert_eq!(Route::from_request(&Method::DELETE, "/console"), None);
}

#[test]
fn requests_without_a_session_lead_to_the_sign_in_page() {
    let in_force = in_force(3, &kitagawa());
    let no_cookie = HeaderMap::new();
    for route in [Route::Live, Route::Document, Route::Trail, Route::SignOut] {
        let page = page(send(route, &no_cookie, b"", Some(&in_force)));
        assert_eq!(page.location.as_deref(), Some("/console/sign-in"));
        assert!(page.body.is_empty());
    }
    let body = post("apply", 3, &kitagawa(), &[]);
    let page = page(send(Route::Change, &no_cookie, &body, Some(&in_force)));
    assert_eq!(page.status, StatusCode::UNAUTHORIZED);
}

#[test]
fn sign_in_redirects_to_the_document() {
    let in_force = in_force(3, &kitagawa());
    let mut same_origin = HeaderMap::new();
    same_origin.insert(HOST, HeaderValue::from_static("10.0.0.7:8080"));
    same_origin.insert(ORIGIN, HeaderValue::from_static(OWN_ORIGIN));
    let token = b"token=operator-kobayashi-sample";
    let signed_in = page(send(Route::SignIn, &same_origin, token, Some(&in_force)));
    assert_eq!(signed_in.location.as_deref(), Some("/console/document"));
    let cookie = signed_in.cookie.unwrap();
    assert!(cookie.contains("HttpOnly") && cookie.contains("SameSite=Strict"));
    let refused = page(send(
        Route::SignIn,
        &same_origin,
        b"token=no",
        Some(&in_force),
    ));
    assert_eq!(
        (refused.status, refused.cookie),
        (StatusCode::UNAUTHORIZED, None)
    );
    let shown = page(send(
        Route::Document,
        &headers(OWN_ORIGIN),
        b"",
        Some(&in_force),
    ));
    assert!(shown.body.contains("Revision 3 is in force."));
}

#[test]
fn valid_change_is_proposed_as_entered() {
    let in_force = in_force(3, &kitagawa());
    let body = post("apply", 3, &kitagawa(), &[("teams[0].weight", "6.5")]);
    let proposal = proposal(send(
        Route::Change,
        &headers(OWN_ORIGIN),
        &body,
        Some(&in_force),
    ));
    let mut expected = kitagawa();
    expected.teams[0].weight = 6.5.into();
    assert_eq!(RawDocument::read(&proposal.text).unwrap(), expected);
    assert_eq!(proposal.base_revision, 3);
    assert_eq!(proposal.session.operator, "kobayashi");
}

#[test]
fn invalid_change_is_not_proposed() {
    let in_force = in_force(3, &kitagawa());
    let body = post("apply", 3, &kitagawa(), &[("teams[0].weight", "lots")]);
    let page = page(send(
        Route::Change,
        &headers(OWN_ORIGIN),
        &body,
        Some(&in_force),
    ));
    assert_eq!(page.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(page.body.contains("value=\"lots\""));
}

/// Guards against cross-site request forgery: a signed-in operator opens a page of another site,
/// which posts the form; with the cookie as the only proof, its document would come into force.
#[test]
fn post_of_another_origin_or_with_a_wrong_form_token_is_rejected() {
    let in_force = in_force(3, &kitagawa());
    let body = post("apply", 3, &kitagawa(), &[("teams[0].weight", "6.5")]);
    let cross_origin = headers("http://elsewhere.example");
    let cross_origin_page = page(send(Route::Change, &cross_origin, &body, Some(&in_force)));
    assert_eq!(cross_origin_page.status, StatusCode::FORBIDDEN);
    let text = String::from_utf8(body).unwrap();
    let without = text.replace("form_token=", "form_token=0");
    let no_token = page(send(
        Route::Change,
        &headers(OWN_ORIGIN),
        without.as_bytes(),
        Some(&in_force),
    ));
    assert_eq!(no_token.status, StatusCode::FORBIDDEN);
    assert!(
        no_token.body.contains("value=\"6.5\""),
        "the page does not keep the operator's input"
    );
}

/// Guards against lost input and lost updates: two operators open revision 3, one change becomes
/// revision 4, then the other operator applies. Accepting the later form as a whole would revert
/// revision 4 unnoticed; rejecting it with an empty page would discard the operator's input.
#[test]
fn concurrent_changes_are_merged_and_keep_all_input() {
    let mut theirs = kitagawa();
    theirs.teams[0].weight = 8.0.into();
    theirs.teams[1].max_waiting = 77.into();
    let newer = in_force(4, &theirs);
    let typed = [("teams[0].weight", "6.5"), ("teams[2].max_waiting", "88")];
    let body = post("apply", 3, &kitagawa(), &typed);

    let before = in_force(3, &kitagawa());
    let proposal = proposal(send(
        Route::Change,
        &headers(OWN_ORIGIN),
        &body,
        Some(&before),
    ));
    let live = LiveView::default();
    let view = View {
        active_configuration: Some(&newer),
        live: &live,
        trail: &[],
    };
    let stale_at_log = outcome_response(&proposal, ProposalOutcome::Stale, view);
    let stale_at_node = page(send(
        Route::Change,
        &headers(OWN_ORIGIN),
        &body,
        Some(&newer),
    ));

    for page in [stale_at_log, stale_at_node] {
        assert_eq!(page.status, StatusCode::CONFLICT);
        for shown in [
            "value=\"6.5\"",
            "value=\"77\"",
            "value=\"88\"",
            "Revision 4 has 8.0",
        ] {
            assert!(page.body.contains(shown), "{shown}");
        }
        assert!(page.body.contains("name=\"base_revision\" value=\"4\""));
        assert!(page.body.contains("Put in force"));
    }
}

/// Guards against a change that is applied twice or believed lost: the log's response is lost after
/// the change came into force, and the operator applies the form again.
#[test]
fn change_already_in_force_is_reported() {
    let mut applied = kitagawa();
    applied.teams[0].weight = 6.5.into();
    let newer = in_force(4, &applied);
    let body = post("apply", 3, &kitagawa(), &[("teams[0].weight", "6.5")]);
    let page = page(send(
        Route::Change,
        &headers(OWN_ORIGIN),
        &body,
        Some(&newer),
    ));
    assert!(page.body.contains("holds everything that you changed"));
    assert!(!page.body.contains("Put in force"));
}

#[test]
fn each_verdict_is_reported_and_keeps_the_input() {
    let before = in_force(3, &kitagawa());
    let body = post("apply", 3, &kitagawa(), &[("teams[0].weight", "6.5")]);
    let proposal = proposal(send(
        Route::Change,
        &headers(OWN_ORIGIN),
        &body,
        Some(&before),
    ));
    let live = LiveView::default();
    let view = View {
        active_configuration: Some(&before),
        live: &live,
        trail: &[],
    };
    let faults = Document::parse("{}").unwrap_err();
    let cases = [
        (
            ProposalOutcome::Accepted { revision: 4 },
            StatusCode::OK,
            "revision 4 is in force",
        ),
        (
            ProposalOutcome::NotAccepted,
            StatusCode::SERVICE_UNAVAILABLE,
            "has not been accepted",
        ),
        (
            ProposalOutcome::Unknown,
            StatusCode::SERVICE_UNAVAILABLE,
            "did not say",
        ),
        (
            ProposalOutcome::Invalid(faults),
            StatusCode::UNPROCESSABLE_ENTITY,
            "has faults",
        ),
    ];
    for (verdict, status, expected_text) in cases {
        let page = outcome_response(&proposal, verdict, view);
        assert_eq!(page.status, status);
        assert!(page.body.contains(expected_text), "{expected_text}");
        assert!(page.body.contains("value=\"6.5\""));
    }
}

#[test]
fn entries_can_be_added_and_removed() {
    let in_force = in_force(3, &kitagawa());
    let added = post("add teams", 3, &kitagawa(), &[]);
    let page_with = page(send(
        Route::Change,
        &headers(OWN_ORIGIN),
        &added,
        Some(&in_force),
    ));
    assert!(page_with.body.contains("id=\"teams[5].name\""));
    let removed = post("remove teams[0]", 3, &kitagawa(), &[]);
    let page_without = page(send(
        Route::Change,
        &headers(OWN_ORIGIN),
        &removed,
        Some(&in_force),
    ));
    assert!(!page_without.body.contains("id=\"teams[4].name\""));
    assert!(
        page_without.body.contains("teams[archive]"),
        "the page does not show the changes"
    );
}

#[test]
fn responses_forbid_scripts_and_frames() {
    let page = page(send(Route::SignInForm, &HeaderMap::new(), b"", None));
    let policy = page
        .headers()
        .find(|(name, _)| *name == "content-security-policy");
    let (_, policy) = policy.unwrap();
    assert!(policy.contains("default-src 'none'") && policy.contains("frame-ancestors 'none'"));
    assert!(!policy.contains("script-src"));
}
