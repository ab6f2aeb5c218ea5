//! Reads from the bytes of a connection which requests its peer says it has not read.
//!
//! `h2` reports a GOAWAY without the last stream that it names, and only streams above that one are
//! certain not to have been handled.

/// Size of the head of a frame.
const HEAD_BYTES: usize = 9;

/// Size of the head and of the stream id that opens the payload of a GOAWAY.
const HEAD_AND_STREAM_BYTES: usize = HEAD_BYTES + 4;

/// Smallest payload of a GOAWAY.
const MIN_GOAWAY_BYTES: usize = 8;

/// Type of the frame GOAWAY.
const GOAWAY: u8 = 7;

/// Bits of a stream id, beside which one bit is reserved.
const STREAM_MASK: u32 = (1 << 31) - 1;

/// The frame that is being read; whatever the size of the pieces in which it arrives.
#[derive(Debug, Default)]
pub(super) struct GoAwayScan {
    head: [u8; HEAD_AND_STREAM_BYTES],
    filled_bytes: usize,
    /// Bytes of the payload that are passed over.
    skipped_bytes: usize,
}

impl GoAwayScan {
    /// Reads the next bytes; returns the last stream of the last GOAWAY that is complete in them.
    pub fn read(&mut self, mut bytes: &[u8]) -> Option<u32> {
        let mut last_stream = None;
        while !bytes.is_empty() {
            let skipped = self.skipped_bytes.min(bytes.len());
            self.skipped_bytes -= skipped;
            bytes = &bytes[skipped..];
            let taken = (self.wanted_bytes() - self.filled_bytes).min(bytes.len());
            let (next, rest) = bytes.split_at(taken);
            self.head[self.filled_bytes..][..taken].copy_from_slice(next);
            self.filled_bytes += taken;
            bytes = rest;
            last_stream = self.end_frame().or(last_stream);
        }
        last_stream
    }

    /// Returns the bytes that tell what the frame says; more of a GOAWAY than of others.
    fn wanted_bytes(&self) -> usize {
        if self.is_goaway() {
            HEAD_AND_STREAM_BYTES
        } else {
            HEAD_BYTES
        }
    }

    fn is_goaway(&self) -> bool {
        let has_head = self.filled_bytes >= HEAD_BYTES;
        has_head && self.head[3] == GOAWAY && self.payload_bytes() >= MIN_GOAWAY_BYTES
    }

    fn payload_bytes(&self) -> usize {
        let [high, middle, low, ..] = self.head;
        usize::from(high) << 16 | usize::from(middle) << 8 | usize::from(low)
    }

    /// Goes on to the next frame once all of this one is read that is wanted.
    fn end_frame(&mut self) -> Option<u32> {
        if self.filled_bytes < self.wanted_bytes() {
            return None;
        }
        let end_bytes = HEAD_BYTES + self.payload_bytes();
        self.skipped_bytes = end_bytes - self.filled_bytes;
        let is_goaway = self.is_goaway();
        self.filled_bytes = 0;
        let [.., a, b, c, d] = self.head;
        is_goaway.then(|| u32::from_be_bytes([a, b, c, d]) & STREAM_MASK)
    }
}

#[cfg(test)]
mod tests;
