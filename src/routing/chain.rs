//! A prompt as the chain of blocks by which engines cache it.

use std::hash::Hasher;

use twox_hash::XxHash3_64;

/// Bytes of one block.
pub const BLOCK_BYTES: usize = 256;
/// Prompt tokens of one block; a prompt token is four bytes.
pub const BLOCK_TOKENS: u64 = 64;
/// Blocks of a prompt that are looked at.
///
/// Hashing and looking up a megabyte of prompt would hold up other requests; what lies beyond is
/// cached where the first part is.
const MOST_BLOCKS: usize = 2_048;

/// The blocks of a prompt: block k is the hash of the first k × 256 bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chain {
    blocks: Vec<u64>,
}

impl Chain {
    /// The chain of a prompt; a last block that is not full has no part in it.
    #[must_use]
    pub fn of(prompt: &[u8]) -> Self {
        let mut hasher = XxHash3_64::new();
        let full = prompt.chunks_exact(BLOCK_BYTES).take(MOST_BLOCKS);
        let blocks = full.map(|block| {
            hasher.write(block);
            hasher.finish()
        });
        Self {
            blocks: blocks.collect(),
        }
    }

    /// A chain of blocks that are known already.
    #[must_use]
    pub fn from_blocks(blocks: Vec<u64>) -> Self {
        Self { blocks }
    }

    /// The blocks, shortest prefix first.
    #[must_use]
    pub fn blocks(&self) -> &[u64] {
        &self.blocks
    }
}

/// Tokens of a prompt, by the engines' measure.
#[must_use]
pub fn prompt_tokens(prompt: &[u8]) -> u64 {
    prompt.len().div_ceil(4) as u64
}

#[cfg(test)]
mod tests;
