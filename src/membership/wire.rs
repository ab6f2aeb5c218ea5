//! The datagram format: `bincode` followed by a tag computed with the fleet key.

use bincode::{Decode, Encode};
use thiserror::Error;

use super::member::{Member, MemberLoad, MemberState};
use crate::keys::Incarnation;
use crate::peers::FleetKey;

/// Maximum size of a datagram; it avoids fragmentation on paths with an MTU of 1,280 bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Memory limit for decoding the content of a datagram.
///
/// `bincode` counts collections by their size in memory, which exceeds their encoded size.
const DECODE_LIMIT_BYTES: usize = 64 * 1024;

/// Size of the authentication tag at the end of a datagram.
const TAG_BYTES: usize = 8;

/// Space reserved for all parts of a datagram other than its rows or updates.
const OVERHEAD_BYTES: usize = 80;

/// Maximum encoded size of an [`Update`].
const UPDATE_BYTES: usize = 15;

/// Space for rows in one datagram.
pub(super) const ROWS_BYTES: usize = MAX_DATAGRAM_BYTES - OVERHEAD_BYTES;

/// Maximum number of updates in one datagram.
pub(super) const MAX_UPDATES: usize = ROWS_BYTES / UPDATE_BYTES;

/// Maximum number of incarnations in one row request.
pub(super) const MAX_REQUESTED_ROWS: usize = 100;

const TAG_PURPOSE: &str = "teaselline heartbeat";

/// The reason for dropping a datagram.
#[derive(Debug, Error)]
pub enum WireError {
    /// The datagram is too short or too long.
    #[error("the datagram has {length_bytes} bytes; expected {TAG_BYTES} to {MAX_DATAGRAM_BYTES}")]
    Length {
        /// The size of the datagram.
        length_bytes: usize,
    },
    /// The sender has another fleet key, or the datagram was modified.
    #[error("the tag of the datagram does not match the fleet key")]
    WrongTag,
    /// The content is not a packet of this protocol version.
    #[error("the content of the datagram cannot be decoded")]
    Decode(#[from] bincode::error::DecodeError),
}

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(super) struct Packet {
    /// The sender's incarnation.
    pub from: Incarnation,
    /// Incremented with each datagram of the sender.
    pub sequence: u64,
    /// The sender's claim about itself.
    pub claim: Claim,
    /// The sender's load.
    pub load: MemberLoad,
    /// The message.
    pub message: Message,
    /// Piggybacked claims about other nodes.
    pub updates: Vec<Update>,
}

/// The message of a packet.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(super) enum Message {
    /// Signals that the sender is alive.
    Heartbeat,
    /// Adds the sender as a member and requests the rows of all others.
    Join(Member),
    /// Requests an acknowledgement for the sender or for the origin of an indirect probe.
    Probe(Option<Incarnation>),
    /// Acknowledges a probe and returns its origin.
    ProbeAck(Option<Incarnation>),
    /// Requests an indirect probe of a node that the sender receives no heartbeats from.
    IndirectProbe(Incarnation),
    /// Reports that this node acknowledged an indirect probe.
    IndirectAck(Incarnation),
    /// Compares views by their hash.
    Digest(u64),
    /// Contains the sender's view of one range of incarnations.
    Summary(Summary),
    /// Requests the rows of these incarnations.
    RowRequest(Vec<Incarnation>),
    /// Contains rows.
    Rows(Vec<Member>),
}

/// A node's claims about all incarnations in an inclusive range.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(super) struct Summary {
    pub first: Incarnation,
    pub last: Incarnation,
    /// Sorted by incarnation.
    pub entries: Vec<Update>,
}

/// A claim about one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(super) struct Update {
    pub incarnation: Incarnation,
    pub claim: Claim,
}

/// A version and a state; of two claims about an incarnation, the greater wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub(super) struct Claim {
    pub version: u32,
    pub state: MemberState,
}

/// Returns the encoded size of a row in bytes.
pub(super) fn row_bytes(member: &Member) -> usize {
    bincode::encode_to_vec(member, config()).map_or(usize::MAX, |encoded| encoded.len())
}

/// Encodes a packet as a datagram.
///
/// # Panics
///
/// Panics if the datagram would exceed [`MAX_DATAGRAM_BYTES`]; the callers bound their pages.
pub(super) fn encode(key: &FleetKey, packet: &Packet) -> Vec<u8> {
    let mut bytes =
        bincode::encode_to_vec(packet, config()).expect("callers bound the packet's size");
    let tag = key.tag(TAG_PURPOSE, &[&bytes]);
    bytes.extend_from_slice(&tag[..TAG_BYTES]);
    assert!(
        bytes.len() <= MAX_DATAGRAM_BYTES,
        "packet exceeds the datagram size"
    );
    bytes
}

/// Verifies and decodes a datagram.
///
/// Returns an error if its size, its tag or its content is invalid.
pub(super) fn decode(key: &FleetKey, bytes: &[u8]) -> Result<Packet, WireError> {
    let length_bytes = bytes.len();
    let (content, tag) = match bytes.split_last_chunk::<TAG_BYTES>() {
        Some(parts) if length_bytes <= MAX_DATAGRAM_BYTES => parts,
        _ => return Err(WireError::Length { length_bytes }),
    };
    if !key.verify(TAG_PURPOSE, &[content], tag) {
        return Err(WireError::WrongTag);
    }
    let (packet, _) = bincode::decode_from_slice(content, config())?;
    Ok(packet)
}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<DECODE_LIMIT_BYTES>()
}

#[cfg(test)]
mod tests;
