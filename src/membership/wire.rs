//! Datagrams: `bincode` behind a tag made with the fleet key.

use bincode::{Decode, Encode};
use thiserror::Error;

use super::member::{Member, MemberLoad, MemberState};
use crate::keys::Incarnation;
use crate::peers::FleetKey;

/// Largest datagram; it passes unfragmented wherever 1,280 bytes do.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Memory that the content of a datagram may claim while it is decoded.
///
/// The library counts collections by their size in memory, which is larger than on the wire.
const DECODE_LIMIT_BYTES: usize = 64 * 1024;

/// Bytes of the tag that a datagram carries.
const TAG_BYTES: usize = 8;

/// Room for all that a datagram carries besides its rows or updates.
const HEAD_BYTES: usize = 80;

/// Largest encoded [`Update`].
const UPDATE_BYTES: usize = 15;

/// Room for rows in one datagram.
pub(super) const ROWS_BYTES: usize = MAX_DATAGRAM_BYTES - HEAD_BYTES;

/// Updates that fit into one datagram.
pub(super) const MAX_UPDATES: usize = ROWS_BYTES / UPDATE_BYTES;

/// Incarnations that fit into one datagram.
pub(super) const MAX_WANTED: usize = 100;

const PURPOSE: &str = "teaselline heartbeat";

/// Why a datagram is dropped.
#[derive(Debug, Error)]
pub enum WireError {
    /// It is too short or too long.
    #[error("a datagram of {length_bytes} bytes")]
    Length {
        /// Its size.
        length_bytes: usize,
    },
    /// Its sender has another key, or it was changed.
    #[error("a datagram that doesn't fit the fleet key")]
    WrongTag,
    /// It isn't a message of this version.
    #[error("a datagram that can't be read")]
    Decode(#[from] bincode::error::DecodeError),
}

/// One datagram's content.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(super) struct Packet {
    /// Who sends it.
    pub from: Incarnation,
    /// Grows with each datagram of the sender.
    pub sequence: u64,
    /// What the sender says of itself.
    pub claim: Claim,
    /// The sender's load.
    pub load: MemberLoad,
    /// What it wants.
    pub message: Message,
    /// What it says of others.
    pub updates: Vec<Update>,
}

/// What a sender wants.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(super) enum Message {
    /// To be heard.
    Heartbeat,
    /// To become a member, and to know the others.
    Join(Member),
    /// To know whether the receiver is alive, on its own account or for another node.
    Probe(Option<Incarnation>),
    /// To answer a probe.
    Answer(Option<Incarnation>),
    /// To have a node probed that it doesn't hear itself.
    ProbeFor(Incarnation),
    /// To say that this node has just answered.
    Heard(Incarnation),
    /// To compare views.
    Digest(u64),
    /// To show its own view, one range of incarnations at a time.
    Summary(Summary),
    /// To have these rows.
    Want(Vec<Incarnation>),
    /// To hand over rows.
    Rows(Vec<Member>),
}

/// All that a node knows of the incarnations in a range.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(super) struct Summary {
    pub first: Incarnation,
    pub last: Incarnation,
    /// Sorted by incarnation.
    pub entries: Vec<Update>,
}

/// A claim about one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(super) struct Update {
    pub incarnation: Incarnation,
    pub claim: Claim,
}

/// A claim about one run; of two, the greater holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub(super) struct Claim {
    pub version: u32,
    pub state: MemberState,
}

/// The encoded size of a row.
pub(super) fn row_bytes(member: &Member) -> usize {
    bincode::encode_to_vec(member, config()).map_or(usize::MAX, |encoded| encoded.len())
}

/// Writes a datagram.
///
/// # Panics
///
/// If the packet holds more than fits, which the callers' page sizes rule out.
pub(super) fn seal(key: &FleetKey, packet: &Packet) -> Vec<u8> {
    let mut bytes = bincode::encode_to_vec(packet, config()).expect("packets are bounded");
    let tag = key.tag(PURPOSE, &[&bytes]);
    bytes.extend_from_slice(&tag[..TAG_BYTES]);
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "packets are bounded");
    bytes
}

/// Reads a datagram whose sender holds the key.
pub(super) fn open(key: &FleetKey, bytes: &[u8]) -> Result<Packet, WireError> {
    let length_bytes = bytes.len();
    let (content, tag) = match bytes.split_last_chunk::<TAG_BYTES>() {
        Some(parts) if length_bytes <= MAX_DATAGRAM_BYTES => parts,
        _ => return Err(WireError::Length { length_bytes }),
    };
    if !key.verify(PURPOSE, &[content], tag) {
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
