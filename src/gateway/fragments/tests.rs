use proptest::prelude::*;

use super::*;

fn sender(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

proptest! {
    /// Guards against a message that is joined from fragments of two, or in the wrong order.
    #[test]
    fn message_is_reassembled_from_fragments_in_any_order(
        length in 0_usize..300_000,
        order in proptest::collection::vec(any::<u16>(), 6),
    ) {
        let message: Vec<u8> = (0..length).map(|byte| u8::try_from(byte % 251).unwrap_or(0)).collect();
        let mut fragments = split(&message, 7);
        let other = split(&vec![255; length], 8);
        fragments.sort_by_key(|fragment| order[usize::from(fragment.index) % order.len()]);
        let mut reassembly = Reassembly::default();
        let mut complete = None;
        for (fragment, other) in fragments.into_iter().zip(other) {
            reassembly.add(sender(2), other, TimeMs(1));
            complete = reassembly.add(sender(1), fragment, TimeMs(1)).or(complete);
        }
        prop_assert_eq!(complete, (length > 0).then_some(message));
    }
}

/// Guards against a node that asks for a message again while most of it is on its way.
#[test]
fn message_counts_as_arriving_until_its_fragments_stop() {
    let mut fragments = split(&vec![1; 100_000], 7);
    let last = fragments.pop().expect("two fragments");
    let mut reassembly = Reassembly::default();
    assert!(!reassembly.is_receiving(TimeMs(1)));
    for fragment in fragments {
        reassembly.add(sender(1), fragment, TimeMs(1_000));
    }
    assert!(reassembly.is_receiving(TimeMs(1_399)));
    assert!(!reassembly.is_receiving(TimeMs(1_400)));
    reassembly.add(sender(1), last, TimeMs(1_500));
    assert!(!reassembly.is_receiving(TimeMs(1_500)));
}

#[test]
fn message_without_its_last_fragment_is_dropped_after_the_timeout() {
    let mut fragments = split(&vec![1; 100_000], 7);
    let last = fragments.pop().expect("two fragments");
    let mut reassembly = Reassembly::default();
    for fragment in fragments {
        assert_eq!(reassembly.add(sender(1), fragment, TimeMs(1)), None);
    }
    assert_eq!(reassembly.add(sender(1), last, TimeMs(2_001)), None);
}

/// Guards against memory that a peer can fill with beginnings of messages.
#[test]
fn incomplete_messages_are_bounded() {
    let mut reassembly = Reassembly::default();
    for message in 0..100 {
        let fragment = split(&vec![1; 100_000], message).remove(0);
        assert_eq!(reassembly.add(sender(1), fragment, TimeMs(1)), None);
    }
    assert_eq!(reassembly.incomplete.len(), MAX_INCOMPLETE);
}

#[test]
fn fragment_with_an_impossible_index_or_count_is_dropped() {
    let mut reassembly = Reassembly::default();
    for (index, count) in [(0, 0), (2, 2), (0, u16::MAX)] {
        let fragment = Fragment {
            message: 1,
            index,
            count,
            bytes: vec![1],
        };
        assert_eq!(reassembly.add(sender(1), fragment, TimeMs(1)), None);
    }
}
