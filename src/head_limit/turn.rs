//! How much a connection reads before other tasks of its thread go on.

/// Most reads that a connection makes in one turn.
const MAX_READS: u32 = 8;

/// Bytes after which a turn is over; the framing of a body is decoded byte by byte.
const MAX_BYTES: usize = 8 * 1024;

/// What a connection has read since other tasks could go on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Turn {
    reads: u32,
    bytes: usize,
}

impl Turn {
    /// Records a read that took bytes.
    pub const fn record_read(&mut self, bytes: usize) {
        self.reads += 1;
        self.bytes += bytes;
    }

    /// Begins a new turn if this one is over; returns whether it was.
    pub const fn end_if_over(&mut self) -> bool {
        let is_over = self.reads >= MAX_READS || self.bytes >= MAX_BYTES;
        if is_over {
            self.end();
        }
        is_over
    }

    /// Begins a new turn, because other tasks go on.
    pub const fn end(&mut self) {
        *self = Self { reads: 0, bytes: 0 };
    }
}

#[cfg(test)]
mod tests;
