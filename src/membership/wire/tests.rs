//! Datagrams that are taken and datagrams that are dropped.

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
fn the_largest_datagrams_fit() {
    let summary = Summary {
        first: Incarnation(u64::MAX),
        last: Incarnation(u64::MAX),
        entries: packet(Message::Heartbeat, MAX_UPDATES).updates,
    };
    let largest = [
        packet(Message::Heartbeat, MAX_UPDATES),
        packet(Message::Summary(summary), 0),
        packet(Message::Want(vec![Incarnation(u64::MAX); MAX_WANTED]), 0),
    ];
    for packet in largest {
        let bytes = seal(&key(), &packet);
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        assert_eq!(open(&key(), &bytes).unwrap(), packet);
    }
}

#[test]
fn changed_foreign_and_cut_datagrams_are_dropped() {
    let bytes = seal(&key(), &packet(Message::Heartbeat, 3));
    for index in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[index] ^= 1;
        assert!(matches!(open(&key(), &changed), Err(WireError::WrongTag)));
        let cut = &bytes[..index];
        open(&key(), cut).unwrap_err();
    }
    let other = FleetKey::try_from(b"the key of another fleet".as_slice()).unwrap();
    assert!(matches!(open(&other, &bytes), Err(WireError::WrongTag)));
    let long = vec![0; MAX_DATAGRAM_BYTES + 1];
    assert!(matches!(open(&key(), &long), Err(WireError::Length { .. })));
}
