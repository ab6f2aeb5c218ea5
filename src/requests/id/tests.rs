use proptest::prelude::*;

use super::*;

fn draft() -> IdFields {
    IdFields {
        issued_at_ms: TimeMs(1_000),
        home: Incarnation(1),
        witness: Incarnation(2),
        minter: Incarnation(3),
        sequence: 4,
    }
}

#[test]
fn id_of_another_team_does_not_verify() {
    let key = IdKey::derive(b"fleet secret of the tests");
    let id = key.mint(draft(), TeamTag::of("archive"));
    assert!(key.verifies(&id, TeamTag::of("archive")));
    assert!(!key.verifies(&id, TeamTag::of("colour")));
}

#[test]
fn expired_id_may_not_start() {
    let id = IdKey::derive(b"key").mint(draft(), TeamTag(1));
    assert!(id.may_start(TimeMs(1_000 + ID_VALIDITY_MS - 1)));
    assert!(!id.may_start(TimeMs(1_000 + ID_VALIDITY_MS)));
}

proptest! {
    #[test]
    fn id_survives_a_text_round_trip(home: u64, witness: u64, minter: u64, sequence: u32, at in 0..1_u64 << 48) {
        let issued_at_ms = TimeMs(at);
        let draft = IdFields {
            issued_at_ms,
            home: Incarnation(home),
            witness: Incarnation(witness),
            minter: Incarnation(minter),
            sequence,
        };
        let id = IdKey::derive(b"key").mint(draft, TeamTag(7));
        prop_assert_eq!(id.to_string().parse(), Ok(id));
    }

    #[test]
    fn id_with_a_changed_digit_does_not_verify(index in 0..TEXT_LENGTH, digit in 0_u8..16) {
        let key = IdKey::derive(b"key");
        let id = key.mint(draft(), TeamTag(7));
        let mut text = id.to_string().into_bytes();
        let digit = char::from_digit(u32::from(digit), 16).unwrap_or('0') as u8;
        prop_assume!(text[index] != digit);
        text[index] = digit;
        let changed = String::from_utf8(text).unwrap().parse::<RequestId>().unwrap();
        prop_assert!(!key.verifies(&changed, TeamTag(7)));
    }

    #[test]
    fn parsed_text_is_canonical(text in ".*") {
        if let Ok(id) = text.parse::<RequestId>() {
            prop_assert_eq!(id.to_string(), text);
        }
    }
}
