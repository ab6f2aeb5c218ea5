use super::*;
use crate::gateway::log_position::tests::at;

#[test]
fn an_order_is_read_and_its_status_read_again() {
    let text = br#"{"service":"pool","target":"v2","durationS":12}"#;
    let order = parse("pool", at(7), text).expect("it is of the form");
    assert_eq!((order.target.as_str(), order.duration_ms), ("v2", 12_000));
    let of = |stage| ended(&status(&order, stage));
    assert_eq!(of(Stage::Succeeded), Some((7, Stage::Succeeded)));
    assert_eq!(of(Stage::RolledBack), Some((7, Stage::RolledBack)));
    assert_eq!(of(Stage::Moving), None, "it has not ended");
    assert_eq!(pool_of(&status_key("pool")), Some("pool"));
    assert_eq!(pool_of("config"), None);
}

#[test]
fn orders_of_other_forms_are_not_taken() {
    let texts: [&[u8]; 6] = [
        b"",
        b"{}",
        br#"{"service":"other","target":"v2","durationS":12}"#,
        br#"{"service":"pool","target":2,"durationS":12}"#,
        br#"{"service":"pool","target":"v2","durationS":0}"#,
        br#"{"service":"pool","target":"v2","durationS":1e9}"#,
    ];
    for text in texts {
        assert!(parse("pool", at(7), text).is_err(), "{text:?}");
    }
    assert_eq!(ended(b"\xff"), None);
    assert_eq!(ended(br#"{"state":"succeeded","target":"v2"}"#), None);
}
