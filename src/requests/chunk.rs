//! Consecutive tokens of an answer, stored in one string.
//!
//! Nodes store and exchange millions of tokens; one allocation for each would take more memory than
//! the tokens themselves.

use bincode::{Decode, Encode};

/// Consecutive tokens of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Chunk {
    /// Position of the first token.
    pub from: u64,
    text: String,
    ends: Vec<u32>,
}

impl Chunk {
    /// Creates a chunk of the tokens from a position on.
    pub fn new<'a>(from: u64, tokens: impl Iterator<Item = &'a str>) -> Self {
        let mut chunk = Self {
            from,
            ..Self::default()
        };
        tokens.for_each(|token| chunk.push(token));
        chunk
    }

    /// Returns the number of tokens.
    #[must_use]
    pub fn len(&self) -> u64 {
        self.ends.len() as u64
    }

    /// Returns whether there are no tokens.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns the position after the last token.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.from + self.len()
    }

    /// Returns all tokens as one string.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the tokens in order.
    pub fn tokens(&self) -> impl Iterator<Item = &str> {
        let starts = std::iter::once(0).chain(self.ends.iter().copied());
        let bounds = starts.zip(self.ends.iter().copied());
        // The offsets of a peer's chunk may be invalid; a token with invalid bounds is empty.
        bounds.map(|(start, end)| {
            self.text
                .get(start as usize..end as usize)
                .unwrap_or_default()
        })
    }

    /// Appends the tokens that a newer chunk holds beyond this one; a chunk that starts after the
    /// end would leave a gap and is ignored.
    pub fn extend_from(&mut self, newer: &Self) {
        if newer.from <= self.end() {
            let held = usize::try_from(self.end() - newer.from).unwrap_or(usize::MAX);
            newer.tokens().skip(held).for_each(|token| self.push(token));
        }
    }

    fn push(&mut self, token: &str) {
        self.text.push_str(token);
        // Response bodies are limited to far less than 4 GiB, and so is `max_tokens`.
        self.ends
            .push(u32::try_from(self.text.len()).unwrap_or(u32::MAX));
    }
}

#[cfg(test)]
mod tests;
