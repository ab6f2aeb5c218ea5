//! Puts a model's answer together from the tokens of one or several attempts.
//!
//! Moving a stream leaves two attempts that generate the same positions for a while, and a caller
//! that reconnects or an upstream that resends doubles events. Each token is taken by its position
//! and attempt, never by the order in which events come in.

use bincode::{Decode, Encode};

/// What became of an offered token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the next token of the answer.
    Taken,
    /// The answer has this token already, and it is the same.
    Duplicate,
    /// The answer has another token at this position: the attempt went its own way.
    ///
    /// Tokens that follow belong to that other way. Taking them would give the caller an answer
    /// that no model gave; the attempt must be given up, or started again from what is held.
    Diverged,
    /// Tokens before it are missing: the attempt must be read again from the next position.
    Gap,
    /// The attempt is not one of this answer's.
    Foreign,
}

/// An answer that grows token by token.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Assembler {
    text: String,
    ends: Vec<u32>,
    attempts: Vec<u32>,
}

impl Assembler {
    /// Lets tokens of an attempt in.
    pub fn open(&mut self, attempt: u32) {
        if let Err(index) = self.attempts.binary_search(&attempt) {
            self.attempts.insert(index, attempt);
        }
    }

    /// Lets tokens of an attempt in no more.
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

    /// Takes tokens that another node has assembled, from `position` on.
    ///
    /// Tokens that are held already are skipped; returns whether there was a gap.
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

    /// The position that the answer needs next, which is its length in tokens.
    #[must_use]
    pub fn next_position(&self) -> u64 {
        self.ends.len() as u64
    }

    /// The answer so far.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The token at a position.
    #[must_use]
    pub fn token(&self, position: u64) -> Option<&str> {
        let index = usize::try_from(position).ok()?;
        let end = *self.ends.get(index)? as usize;
        let start = index
            .checked_sub(1)
            .map_or(0, |before| self.ends[before] as usize);
        self.text.get(start..end)
    }

    /// The tokens from `position` on.
    pub fn tokens_from(&self, position: u64) -> impl Iterator<Item = &str> {
        (position..self.next_position()).filter_map(|position| self.token(position))
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
