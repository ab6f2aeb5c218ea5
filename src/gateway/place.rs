//! Where something lies in a topic of the store.

use bincode::{Decode, Encode};

/// Bits of a place's number that hold the offset; what a topic holds of records within the life of a deployment.
const OFFSET_BITS: u32 = 32;

/// A place in one topic: the store's era, and the offset in that era's history.
///
/// A store that comes back from a copy gives offsets out again, so that an offset says nothing without its era.
/// Places compare by era first: all of a later era is newer than all of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub(crate) struct Place {
    /// How often the store has come back from a copy; zero while no answer has named it.
    pub era: u64,
    pub offset: u64,
}

impl Place {
    /// Where the history of an era begins; also stands for not having read any of it.
    #[must_use]
    pub fn start_of(era: u64) -> Self {
        Self { era, offset: 0 }
    }

    /// Whether it is the beginning of its history.
    #[must_use]
    pub fn is_start(self) -> bool {
        self.offset == 0
    }

    /// So many records further on.
    #[must_use]
    pub fn after(self, records: usize) -> Self {
        Self {
            offset: self.offset + records as u64,
            ..self
        }
    }

    /// The places of records that lie from here on.
    pub fn following(self) -> impl Iterator<Item = Self> {
        (0..).map(move |records| self.after(records))
    }

    /// One number that grows as places do.
    #[must_use]
    pub fn number(self) -> u64 {
        (self.era << OFFSET_BITS) | self.offset
    }
}

impl std::fmt::Display for Place {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.era, self.offset)
    }
}

#[cfg(test)]
pub(crate) mod tests;
