use super::*;
use crate::gateway::log_position::tests::at;

#[test]
fn order_and_its_status_are_decoded() {
    let text = br#"{"service":"pool","target":"v2","durationS":12}"#;
    let order = parse("pool", at(7), text).expect("the order is valid");
    assert_eq!((order.target.as_str(), order.duration_ms), ("v2", 12_000));
    let decoded_status = |stage| decode_final_status(&encode_status(&order, stage));
    assert_eq!(
        decoded_status(Stage::Succeeded),
        Some((7, Stage::Succeeded))
    );
    assert_eq!(
        decoded_status(Stage::RolledBack),
        Some((7, Stage::RolledBack))
    );
    assert_eq!(
        decoded_status(Stage::Moving),
        None,
        "the rollout is not finished"
    );
    assert_eq!(pool_from_key(&status_key("pool")), Some("pool"));
    assert_eq!(pool_from_key("config"), None);
}

#[test]
fn malformed_orders_are_rejected() {
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
    assert_eq!(decode_final_status(b"\xff"), None);
    assert_eq!(
        decode_final_status(br#"{"state":"succeeded","target":"v2"}"#),
        None
    );
}
