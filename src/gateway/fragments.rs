//! Splits messages that exceed a datagram into fragments, and reassembles them.
//!
//! A lost fragment loses its message. Whoever needs the message asks for it again.

use std::net::SocketAddr;

use bincode::{Decode, Encode};

use crate::time::TimeMs;

/// Bytes of a message in one fragment; with the other fields it fits into one datagram.
const FRAGMENT_BYTES: usize = 60_000;

/// Largest message that is sent in fragments.
pub(crate) const MAX_MESSAGE_BYTES: usize = 1_500_000;

/// Time after which an incomplete message is dropped.
const REASSEMBLY_TIMEOUT_MS: u64 = 2_000;

/// Time since the last fragment after which no further one is expected.
const RECEIVING_TIMEOUT_MS: u64 = 400;

/// Most incomplete messages of all peers; the oldest is dropped first.
const MAX_INCOMPLETE: usize = 4;

/// A part of an encoded message.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Fragment {
    /// Differs between the messages of one sender.
    pub message: u64,
    pub index: u16,
    /// Fragments of the message.
    pub count: u16,
    pub bytes: Vec<u8>,
}

/// Splits an encoded message; returns nothing if it is too large.
#[must_use]
pub(crate) fn split(encoded: &[u8], message: u64) -> Vec<Fragment> {
    let parts = encoded.chunks(FRAGMENT_BYTES);
    let Ok(count) = u16::try_from(parts.len()) else {
        return Vec::new();
    };
    if encoded.len() > MAX_MESSAGE_BYTES {
        return Vec::new();
    }
    (0..count)
        .zip(parts)
        .map(|(index, bytes)| Fragment {
            message,
            index,
            count,
            bytes: bytes.to_vec(),
        })
        .collect()
}

/// Messages of which some fragments are missing.
#[derive(Debug, Default)]
pub(crate) struct Reassembly {
    /// Oldest first.
    incomplete: Vec<Incomplete>,
}

#[derive(Debug)]
struct Incomplete {
    from: SocketAddr,
    message: u64,
    since: TimeMs,
    last_fragment_at: TimeMs,
    parts: Vec<Option<Vec<u8>>>,
}

impl Reassembly {
    /// Adds a fragment; returns the encoded message if it is complete.
    pub fn add(&mut self, from: SocketAddr, fragment: Fragment, now: TimeMs) -> Option<Vec<u8>> {
        (self.incomplete).retain(|message| now.since(message.since) < REASSEMBLY_TIMEOUT_MS);
        let count = usize::from(fragment.count);
        let index = usize::from(fragment.index);
        if index >= count || count > MAX_MESSAGE_BYTES.div_ceil(FRAGMENT_BYTES) {
            log::debug!(peer:% = from, index, count; "dropped a fragment with an invalid index or count");
            return None;
        }
        let place = self.place(from, fragment.message, count, now);
        self.incomplete[place].last_fragment_at = now;
        let parts = &mut self.incomplete[place].parts;
        *parts.get_mut(index)? = Some(fragment.bytes);
        let is_complete = parts.iter().all(Option::is_some);
        is_complete.then(|| {
            let complete = self.incomplete.remove(place);
            complete.parts.into_iter().flatten().flatten().collect()
        })
    }

    /// Whether a message is arriving.
    pub fn is_receiving(&self, now: TimeMs) -> bool {
        (self.incomplete.iter())
            .any(|message| now.since(message.last_fragment_at) < RECEIVING_TIMEOUT_MS)
    }

    /// Returns the index of a message among the incomplete ones.
    fn place(&mut self, from: SocketAddr, message: u64, count: usize, now: TimeMs) -> usize {
        let found = (self.incomplete.iter())
            .position(|other| other.from == from && other.message == message);
        found.unwrap_or_else(|| {
            if self.incomplete.len() >= MAX_INCOMPLETE {
                self.incomplete.remove(0);
            }
            self.incomplete.push(Incomplete {
                from,
                message,
                since: now,
                last_fragment_at: now,
                parts: vec![None; count],
            });
            self.incomplete.len() - 1
        })
    }
}

#[cfg(test)]
mod tests;
