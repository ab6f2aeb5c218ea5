//! Assembles a model's answer from the tokens of one or several attempts.
//!
//! While a stream moves, two attempts generate the same positions for a while, and a caller that
//! reconnects or an upstream that resends duplicates events. Each token is identified by its
//! position and attempt, never by the order in which events arrive.

use bincode::{Decode, Encode};

/// Result of offering a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The token is the next one of the answer and was appended.
    Taken,
    /// The answer already has the same token at this position.
    Duplicate,
    /// The answer has a different token at this position: the attempt has diverged.
    ///
    /// Tokens that follow continue the diverged text. Appending them would give the caller an
    /// answer that no model generated; the attempt has to be abandoned, or restarted from the
    /// tokens held.
    Diverged,
    /// Earlier tokens are missing: the attempt has to be read again from the next position.
    Gap,
    /// The attempt is not open for this answer.
    Foreign,
}

/// An answer that is extended token by token.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Assembler {
    text: String,
    ends: Vec<u32>,
    attempts: Vec<u32>,
}

impl Assembler {
    /// Opens an attempt; its tokens are accepted.
    pub fn open(&mut self, attempt: u32) {
        if let Err(index) = self.attempts.binary_search(&attempt) {
            self.attempts.insert(index, attempt);
        }
    }

    /// Closes an attempt; its tokens are rejected.
    pub fn close(&mut self, attempt: u32) {
        if let Ok(index) = self.attempts.binary_search(&attempt) {
            self.attempts.remove(index);
        }
    }

    /// Offers the token at `position` of an attempt.
    pub fn offer(&mut self, attempt: u32, position: u64, token: &str) -> Verdict {
        let next = self.next_position();
        match self.attempts.binary_search(&attempt) {
            Err(_) => Verdict::Foreign,
            Ok(_) if position > next => Verdict::Gap,
            Ok(_) if position == next => {
                self.push(token);
                Verdict::Taken
            }
            Ok(_) if self.token(position) == Some(token) => Verdict::Duplicate,
            Ok(_) => Verdict::Diverged,
        }
    }

    /// Appends tokens that another node has assembled, from `position` on.
    ///
    /// Tokens that are already held are skipped; returns `false`, without appending, if there is a
    /// gap before `position`.
    pub fn extend_from<'a>(
        &mut self,
        position: u64,
        tokens: impl Iterator<Item = &'a str>,
    ) -> bool {
        if position > self.next_position() {
            return false;
        }
        let held = usize::try_from(self.next_position() - position).unwrap_or(usize::MAX);
        tokens.skip(held).for_each(|token| self.push(token));
        true
    }

    /// Returns the position of the next token, which is the answer's length in tokens.
    #[must_use]
    pub fn next_position(&self) -> u64 {
        self.ends.len() as u64
    }

    /// Returns the text of the answer so far.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the token at a position.
    #[must_use]
    pub fn token(&self, position: u64) -> Option<&str> {
        let index = usize::try_from(position).ok()?;
        let end = *self.ends.get(index)? as usize;
        let start = index
            .checked_sub(1)
            .map_or(0, |before| self.ends[before] as usize);
        self.text.get(start..end)
    }

    /// Returns the tokens from `position` on.
    pub fn tokens_from(&self, position: u64) -> impl Iterator<Item = &str> {
        (position..self.next_position()).filter_map(|position| self.token(position))
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
