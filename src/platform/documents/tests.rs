use super::*;

fn document() -> serde_json::Value {
    serde_json::json!({
        "version": 7,
        "routes": [
            {"name": "r1", "host": "Films.Example", "pathPrefix": "/a/", "kind": "streaming",
             "timeoutMs": 10000, "targetLatencyMs": 800, "priority": 1, "service": "s1",
             "trafficSplit": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
             "maxAttempts": 2, "resumable": true, "gapAimMs": 300},
            {"name": "r2", "host": "films.example", "pathPrefix": "/b/", "kind": "idempotent",
             "timeoutMs": 1000, "service": "s2", "public": true},
            {"name": "r3", "host": "films.example", "pathPrefix": "/c/", "kind": "keyed",
             "timeoutMs": 1000, "service": "s2", "maxAttempts": 0},
        ],
        "services": [
            {"name": "s2", "maxConnections": 110},
            {"name": "s1", "maxConnections": 370, "engine": {"slots": 64, "kvCapacity": 730_938,
             "kvTokenBytes": 18_432, "linkMbps": 88_000},
             "scaling": {"min": 1, "max": 10, "bootS": 4.0, "spotPrice": 0.15, "zonePrices": {"d2": 0.8, "d1": 1}}},
        ],
        "limits": {"maxBodyBytes": 1000, "idleTimeoutMs": 15000},
        "tenants": [
            {"name": "t2", "apiKeys": ["k3"], "unit": "requests", "ratePerS": 0},
            {"name": "t1", "apiKeys": ["k2", "k1"], "priority": 0, "unit": "tokens", "plainTokens": 200,
             "ratePerS": 1000, "burst": 2000},
        ],
    })
}

fn parsed(document: &serde_json::Value) -> Result<Catalog, DocumentError> {
    parse(document.to_string().as_bytes())
}

#[test]
fn document_is_decoded_into_a_catalog() {
    let catalog = parsed(&document()).expect("valid");
    assert_eq!(catalog.version, 7);
    let route = catalog.route(catalog.route_of("films.example", "/a/x").expect("there"));
    assert!(route.is_stream && route.is_resumable && route.is_repeatable());
    assert_eq!(route.gap_target_ms, Some(300));
    assert_eq!(route.targets.len(), 2);
    let team = catalog.team(catalog.team_of("k1").expect("there"));
    assert_eq!(team.name, "t1");
    assert_eq!(
        team.unit,
        Unit::Tokens {
            default_tokens: 200
        }
    );
    let other = catalog.team(catalog.team_of("k3").expect("there"));
    assert_eq!(other.rate_per_s, None, "a rate of zero means no limit");
    assert_eq!(catalog.pools[0].name, "s1");
    let engine = catalog.pool("s1").and_then(|pool| pool.engine);
    let copy_tokens_per_ms = engine.and_then(|engine| engine.copy_tokens_per_ms);
    assert_eq!(copy_tokens_per_ms.map(num::round_to_u64), Some(597));
    assert_eq!(catalog.pool("s2").and_then(|pool| pool.engine), None);
    assert_eq!(
        catalog.pools[0]
            .scaling
            .as_ref()
            .map(|scaling| scaling.max_upstreams),
        Some(10)
    );
}

/// Guards against running a request of an unknown kind twice.
///
/// If every kind except the known non-repeatable one counted as repeatable, a route with a kind
/// that this program does not support would be sent to a second upstream after the first one failed.
#[test]
fn unknown_kind_runs_at_most_once() {
    let catalog = parsed(&document()).expect("valid");
    let route = catalog.route(catalog.route_of("films.example", "/c/x").expect("there"));
    assert_eq!(route.repeat, RepeatPolicy::AtMostOnce);
    assert!(!route.is_repeatable());
    assert_eq!(route.max_upstreams, 1);
}

#[test]
fn error_names_the_invalid_field() {
    let mut broken = document();
    broken["routes"][1]["timeoutMs"] = "soon".into();
    let error = parsed(&broken).expect_err("not a number");
    assert!(error.to_string().contains("routes[1].timeoutMs"), "{error}");
    let mut without_target = document();
    without_target["routes"][1]
        .as_object_mut()
        .expect("an object")
        .remove("service");
    assert!(
        matches!(parsed(&without_target), Err(DocumentError::NoTarget { route }) if route == "r2")
    );
}

proptest::proptest! {
    #[test]
    fn parsing_any_bytes_does_not_panic(bytes in proptest::collection::vec(proptest::num::u8::ANY, 0..300)) {
        let _read = parse(&bytes);
    }

    /// A truncated document is rejected and never decoded as a shorter one.
    #[test]
    fn truncated_document_is_rejected(fraction in 0.0_f64..1.0) {
        let text = document().to_string();
        let length = usize::try_from(num::round_to_u64(num::to_f64(text.len() as u64) * fraction)).expect("fits in usize");
        proptest::prop_assert!(parse(&text.as_bytes()[..length.min(text.len() - 1)]).is_err());
    }
}
