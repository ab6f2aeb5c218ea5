use proptest::prelude::*;

use super::*;

fn token(position: u64) -> String {
    format!("t{position} ")
}

fn answer(tokens: u64) -> String {
    (0..tokens).map(token).collect()
}

#[test]
fn token_of_a_closed_attempt_is_foreign() {
    // Guards against tokens that are appended in order of arrival: attempt 1 is abandoned, attempt
    // 2 continues, and a late event of attempt 1 would put its text into the middle of the answer.
    let mut assembler = Assembler::default();
    assembler.open(1);
    assert_eq!(assembler.offer(1, 0, "a"), Verdict::Taken);
    assembler.close(1);
    assembler.open(2);
    assert_eq!(assembler.offer(1, 1, "late"), Verdict::Foreign);
    assert_eq!(assembler.offer(2, 1, "b"), Verdict::Taken);
    assert_eq!(assembler.text(), "ab");
}

#[test]
fn attempt_with_a_different_token_is_diverged() {
    // Guards against an upstream that ignores the seed: attempt 2 starts at position 1 while
    // attempt 1 also generates position 1, and the two sample different tokens there. Appending the
    // tokens of both would give an answer whose halves contradict each other.
    let mut assembler = Assembler::default();
    assembler.open(1);
    assembler.open(2);
    assembler.offer(1, 0, "a");
    assembler.offer(1, 1, "b");
    assert_eq!(assembler.offer(2, 1, "x"), Verdict::Diverged);
    assert_eq!(assembler.text(), "ab");
}

#[derive(Clone, Debug)]
struct Event {
    attempt: u32,
    position: u64,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = (1_u32..4, 0_u64..12).prop_map(|(attempt, position)| Event { attempt, position });
    proptest::collection::vec(event, 0..200)
}

proptest! {
    #[test]
    fn late_duplicate_and_reordered_events_give_a_prefix_of_the_answer(events in events()) {
        let mut assembler = Assembler::default();
        assembler.open(1);
        assembler.open(2);
        for event in &events {
            let before = assembler.next_position();
            let verdict = assembler.offer(event.attempt, event.position, &token(event.position));
            let expected = match event {
                Event { attempt: 3, .. } => Verdict::Foreign,
                Event { position, .. } if *position == before => Verdict::Taken,
                Event { position, .. } if *position > before => Verdict::Gap,
                Event { .. } => Verdict::Duplicate,
            };
            prop_assert_eq!(verdict, expected);
        }
        prop_assert_eq!(assembler.text(), answer(assembler.next_position()));
    }

    #[test]
    fn copy_without_a_gap_extends_the_answer(held in 0_u64..10, from in 0_u64..12, all in 0_u64..20) {
        let mut source = Assembler::default();
        source.open(1);
        (0..all).for_each(|position| { source.offer(1, position, &token(position)); });
        let mut copy = Assembler::default();
        copy.open(1);
        (0..held).for_each(|position| { copy.offer(1, position, &token(position)); });
        let joined = copy.extend_from(from, source.tokens_from(from));
        prop_assert_eq!(joined, from <= held);
        let expected = if joined { held.max(all) } else { held };
        prop_assert_eq!(copy.text(), answer(expected));
    }
}
