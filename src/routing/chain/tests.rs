//! Tests block hashes against the definition in the protocol.

use super::{BLOCK_BYTES, MAX_BLOCKS, PromptBlocks, prompt_tokens};

#[test]
fn each_block_is_the_hash_of_all_bytes_up_to_it() {
    let prompt: Vec<u8> = (0..1_000_u32).map(|byte| (byte * 7 % 251) as u8).collect();
    let chain = PromptBlocks::of(&prompt);
    let expected: Vec<_> = (1..=3)
        .map(|k| twox_hash::XxHash3_64::oneshot(&prompt[..k * BLOCK_BYTES]))
        .collect();
    assert_eq!(chain.blocks(), expected);
}

#[test]
fn short_and_huge_prompts_have_a_bounded_number_of_blocks() {
    assert!(PromptBlocks::of(b"").blocks().is_empty());
    assert!(PromptBlocks::of(&[1; BLOCK_BYTES - 1]).blocks().is_empty());
    assert_eq!(
        PromptBlocks::of(&vec![1; 1 << 20]).blocks().len(),
        MAX_BLOCKS
    );
    assert_eq!(prompt_tokens(b"12345"), 2);
}
