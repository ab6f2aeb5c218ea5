//! Splits a prompt into the hashed blocks by which engines cache it.

use std::hash::Hasher;

use twox_hash::XxHash3_64;

/// Size of a block in bytes.
pub const BLOCK_BYTES: usize = 256;
/// Size of a block in prompt tokens; a prompt token is four bytes.
pub const BLOCK_TOKENS: u64 = 64;
/// Maximum number of blocks hashed per prompt.
///
/// Hashing and looking up a megabyte of prompt would delay other requests; blocks beyond the limit
/// are cached on the same hosts as the first ones.
const MAX_BLOCKS: usize = 2_048;

/// The block hashes of a prompt: block k is the hash of the first k × 256 bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptBlocks {
    blocks: Vec<u64>,
}

impl PromptBlocks {
    /// Hashes a prompt; an incomplete last block is left out.
    #[must_use]
    pub fn of(prompt: &[u8]) -> Self {
        let mut hasher = XxHash3_64::new();
        let full = prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
        let blocks = full.map(|block| {
            hasher.write(block);
            hasher.finish()
        });
        Self {
            blocks: blocks.collect(),
        }
    }

    /// Creates the blocks of a prompt from their hashes.
    #[must_use]
    pub fn from_blocks(blocks: Vec<u64>) -> Self {
        Self { blocks }
    }

    /// Returns the block hashes, shortest prefix first.
    #[must_use]
    pub fn blocks(&self) -> &[u64] {
        &self.blocks
    }
}

/// Returns the number of tokens in a prompt as engines count them: four bytes each, rounded up.
#[must_use]
pub fn prompt_tokens(prompt: &[u8]) -> u64 {
    prompt.len().div_ceil(4) as u64
}

#[cfg(test)]
mod tests;
