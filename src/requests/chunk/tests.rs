use proptest::prelude::*;

use super::*;

fn chunk(from: u64, to: u64) -> Chunk {
    let tokens: Vec<_> = (from..to).map(|position| format!("{position} ")).collect();
    Chunk::new(from, tokens.iter().map(String::as_str))
}

proptest! {
    #[test]
    fn extended_chunk_has_no_gap_and_no_duplicate(held in 0_u64..9, from in 0_u64..12, length in 0_u64..9) {
        let mut extended = chunk(0, held);
        extended.extend_from(&chunk(from, from + length));
        let end = if from <= held { held.max(from + length) } else { held };
        prop_assert_eq!(extended, chunk(0, end));
    }

    #[test]
    fn invalid_token_bounds_give_empty_tokens(ends in proptest::collection::vec(0_u32..20, 0..9)) {
        let chunk = Chunk { from: 0, text: "reel 3: škoda".to_owned(), ends };
        prop_assert_eq!(chunk.tokens().count() as u64, chunk.len());
    }
}
