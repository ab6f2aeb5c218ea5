//! Tests of the datagram format.

use super::*;

fn key() -> FleetKey {
    FleetKey::try_from(b"a key for tests, only".as_slice()).unwrap()
}

fn packet(message: Message, updates: usize) -> Packet {
    let largest = Claim {
        version: u32::MAX,
        state: MemberState::Gone,
    };
    Packet {
        from: Incarnation(u64::MAX),
        sequence: u64::MAX,
        claim: largest,
        load: MemberLoad {
            open_streams: u32::MAX,
            waiting: u32::MAX,
            cpu_permille: u16::MAX,
        },
        message,
        updates: vec![
            Update {
                incarnation: Incarnation(u64::MAX),
                claim: largest,
            };
            updates
        ],
    }
}

#[test]
fn largest_packets_fit_into_a_datagram() {
    let summary = Summary {
        first: Incarnation(u64::MAX),
        last: Incarnation(u64::MAX),
        entries: packet(Message::Heartbeat, MAX_UPDATES).updates,
    };
    let largest = [
        packet(Message::Heartbeat, MAX_UPDATES),
        packet(Message::Summary(summary), 0),
        packet(
            Message::RowRequest(vec![Incarnation(u64::MAX); MAX_REQUESTED_ROWS]),
            0,
        ),
    ];
    for packet in largest {
        let bytes = encode(&key(), &packet);
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        assert_eq!(decode(&key(), &bytes).unwrap(), packet);
    }
}

#[test]
fn modified_foreign_and_truncated_datagrams_are_rejected() {
    let bytes = encode(&key(), &packet(Message::Heartbeat, 3));
    for index in 0..bytes.len() {
        let mut modified = bytes.clone();
        modified[index] ^= 1;
        assert!(matches!(
            decode(&key(), &modified),
            Err(WireError::WrongTag)
        ));
        let truncated = &bytes[..index];
        decode(&key(), truncated).unwrap_err();
    }
    let other = FleetKey::try_from(b"the key of another fleet".as_slice()).unwrap();
    assert!(matches!(decode(&other, &bytes), Err(WireError::WrongTag)));
    let too_long = vec![0; MAX_DATAGRAM_BYTES + 1];
    assert!(matches!(
        decode(&key(), &too_long),
        Err(WireError::Length { .. })
    ));
}
