//! Finds the ends of server-sent events in bytes that arrive in pieces.

/// Looks for the empty line that ends an event; looks at each byte once, whatever the pieces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EventScanner {
    /// Bytes that were looked at.
    scanned: usize,
    /// Where the line begins that has not ended yet.
    line_start: usize,
}

impl EventScanner {
    /// Returns the length of the first event of `pending`, its final empty line included.
    ///
    /// `pending` has to begin where it began at the last call, or behind the event that was found then.
    pub fn event_length(&mut self, pending: &[u8]) -> Option<usize> {
        while let Some(offset) = pending[self.scanned..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let line_end = self.scanned + offset;
            let line = &pending[self.line_start..line_end];
            let is_empty = line.is_empty() || line == b"\r";
            self.scanned = line_end + 1;
            self.line_start = self.scanned;
            if is_empty && line_end > 0 {
                *self = Self::default();
                return Some(line_end + 1);
            }
        }
        self.scanned = pending.len();
        None
    }
}

#[cfg(test)]
mod tests;
