//! Positions of records in a topic of the store.

use bincode::{Decode, Encode};

/// Bits of [`LogPosition::number`] that hold the offset; sufficient for the records of one topic within
/// the lifetime of a deployment.
const OFFSET_BITS: u32 = 32;

/// A position in one topic: the store's era, and the offset in the history of that era.
///
/// A store that is restored from a backup assigns offsets a second time, so an offset is meaningful
/// only with its era. Positions are ordered by era first: all of a later era are newer than all of
/// an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub(crate) struct LogPosition {
    /// Number of times the store has been restored from a backup; zero until an answer has stated
    /// it.
    pub era: u64,
    pub offset: u64,
}

impl LogPosition {
    /// Returns the start of an era's history; also stands for a history of which nothing has been
    /// read.
    #[must_use]
    pub fn start_of(era: u64) -> Self {
        Self { era, offset: 0 }
    }

    /// Whether this is the start of a history.
    #[must_use]
    pub fn is_start(self) -> bool {
        self.offset == 0
    }

    /// Returns the position `records` further on.
    #[must_use]
    pub fn after(self, records: usize) -> Self {
        Self {
            offset: self.offset + records as u64,
            ..self
        }
    }

    /// Iterates over the positions from here on.
    pub fn following(self) -> impl Iterator<Item = Self> {
        (0..).map(move |records| self.after(records))
    }

    /// Encodes the position as one number that has the same order.
    #[must_use]
    pub fn number(self) -> u64 {
        (self.era << OFFSET_BITS) | self.offset
    }
}

impl std::fmt::Display for LogPosition {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.era, self.offset)
    }
}

#[cfg(test)]
pub(crate) mod tests;
