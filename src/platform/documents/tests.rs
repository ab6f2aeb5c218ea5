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
fn a_document_is_decoded_into_what_it_says() {
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
    assert_eq!(other.rate_per_s, None, "no rate is no limit");
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

/// Symptom: a request of a kind that this program does not know runs twice.
/// Sequence: an installation names a kind of its own; an upstream breaks off; the request is sent
/// to another.
/// Cause: any kind but the one known as not repeatable was taken as repeatable.
#[test]
fn an_unknown_kind_runs_at_most_once() {
    let catalog = parsed(&document()).expect("valid");
    let route = catalog.route(catalog.route_of("films.example", "/c/x").expect("there"));
    assert_eq!(route.repeat, RepeatPolicy::AtMostOnce);
    assert!(!route.is_repeatable());
    assert_eq!(route.max_upstreams, 1);
}

#[test]
fn a_fault_names_its_field() {
    let mut broken = document();
    broken["routes"][1]["timeoutMs"] = "soon".into();
    let error = parsed(&broken).expect_err("not a number");
    assert!(error.to_string().contains("routes[1].timeoutMs"), "{error}");
    let mut nowhere = document();
    nowhere["routes"][1]
        .as_object_mut()
        .expect("an object")
        .remove("service");
    assert!(matches!(parsed(&nowhere), Err(DocumentError::NoTarget { route }) if route == "r2"));
}

proptest::proptest! {
    #[test]
    fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(proptest::num::u8::ANY, 0..300)) {
        let _read = parse(&bytes);
    }

    /// A document cut anywhere is refused, never read as a smaller one.
    #[test]
    fn a_torn_document_is_refused(part in 0.0_f64..1.0) {
        let text = document().to_string();
        let length = usize::try_from(num::round_to_u64(num::to_f64(text.len() as u64) * part)).expect("small");
        proptest::prop_assert!(parse(&text.as_bytes()[..length.min(text.len() - 1)]).is_err());
    }
}
