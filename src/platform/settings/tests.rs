use super::*;

fn text() -> String {
    let json = serde_json::json!({
        "node": "n-1", "role": "gateway", "ip": "127.0.0.1", "zone": "d1", "region": "r",
        "zones": {"d2": "r", "d1": "r"},
        "listen": {"front": "127.0.0.1:8221", "readiness": "127.0.0.1:8224", "directory": "127.0.0.1:8220"},
        "portRange": [7600, 7615], "bootstrap": true, "somethingNew": {"a": 1},
        "bounds": {"drainMs": 2000, "graceS": 8, "revokeMs": 5000, "leaseMs": 3000, "ttl_max_s": 5, "usageWindowS": 2.5},
        "platform": {"address": "127.0.0.1:9000", "form": "log"},
        "cloud": {"address": "127.0.0.1:9001"},
    });
    json.to_string()
}

#[test]
fn settings_are_decoded() {
    let settings = parse(&text()).expect("valid");
    assert_eq!(settings.name, "n-1");
    assert_eq!(settings.gossip_listen.port(), 7_600);
    assert_eq!(settings.metrics_listen.port(), 7_615);
    assert_eq!(settings.bounds.grace_ms, 8_000);
    assert_eq!(settings.bounds.usage_window_ms, 2_500);
    assert!(settings.is_first_start);
    assert_eq!(settings.domain_regions[0].0, "d1");
}

#[test]
fn error_names_the_invalid_field() {
    let broken = text().replace("\"127.0.0.1:9000\"", "\"nowhere\"");
    let error = parse(&broken).expect_err("no address");
    assert!(error.to_string().contains("platform.address"), "{error}");
    let missing = text().replace("\"node\"", "\"name\"");
    assert!(matches!(parse(&missing), Err(SettingsError::Field { .. })));
    let range = text().replace("[7600,7615]", "[7600,7601]");
    let error = parse(&range).expect_err("too few ports");
    assert!(error.to_string().contains("portRange"), "{error}");
    let grace = text().replace("\"graceS\":8", "\"graceS\":-1");
    let error = parse(&grace).expect_err("a negative span");
    assert!(error.to_string().contains("bounds.graceS"), "{error}");
}

#[test]
fn empty_or_truncated_file_is_rejected() {
    parse("").expect_err("nothing there");
    parse(&text()[..100]).expect_err("cut short");
}
