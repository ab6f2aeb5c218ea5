//! Consecutive tokens of an answer, in one text.
//!
//! Nodes keep and pass on millions of tokens; one allocation for each would take more memory than
//! the tokens themselves.

use bincode::{Decode, Encode};

/// Consecutive tokens of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Chunk {
    /// The position of the first token.
    pub from: u64,
    text: String,
    ends: Vec<u32>,
}

impl Chunk {
    /// The tokens from a position on.
    pub fn new<'a>(from: u64, tokens: impl Iterator<Item = &'a str>) -> Self {
        let mut chunk = Self {
            from,
            ..Self::default()
        };
        tokens.for_each(|token| chunk.push(token));
        chunk
    }

    /// How many tokens there are.
    #[must_use]
    pub fn len(&self) -> u64 {
        self.ends.len() as u64
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// The position after the last token.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.from + self.len()
    }

    /// All tokens as one text.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The tokens in order.
    pub fn tokens(&self) -> impl Iterator<Item = &str> {
        let starts = std::iter::once(0).chain(self.ends.iter().copied());
        let bounds = starts.zip(self.ends.iter().copied());
        // A peer's ends may be anything; a token that they do not bound is empty.
        bounds.map(|(start, end)| {
            self.text
                .get(start as usize..end as usize)
                .unwrap_or_default()
        })
    }

    /// Takes what a newer chunk holds beyond this one; one that begins later leaves a gap and is
    /// not taken.
    pub fn extend_from(&mut self, newer: &Self) {
        if newer.from <= self.end() {
            let held = usize::try_from(self.end() - newer.from).unwrap_or(usize::MAX);
            newer.tokens().skip(held).for_each(|token| self.push(token));
        }
    }

    fn push(&mut self, token: &str) {
        self.text.push_str(token);
        // Bodies are bounded far below 4 GiB, and so is `max_tokens`.
        self.ends
            .push(u32::try_from(self.text.len()).unwrap_or(u32::MAX));
    }
}

#[cfg(test)]
mod tests;
