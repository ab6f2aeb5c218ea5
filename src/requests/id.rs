//! Request ids, which name the two nodes that decide about a request.
//!
//! `home` is the only incarnation that may dispatch the request. `witness` is the incarnation whose
//! consent the home needs before it dispatches a non-idempotent request, and which may settle that
//! an id never runs once the home is unreachable. Both are fixed when the id is minted, so neither
//! needs an agreement among nodes.

use std::fmt;
use std::str::FromStr;

use bincode::{Decode, Encode};
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::keys::Incarnation;
use crate::time::TimeMs;

/// Time after minting within which an id may first be used.
pub const ID_VALIDITY_MS: u64 = 10 * 60 * 1000;

/// Length of an id's text form, in characters.
const TEXT_LENGTH: usize = 16 * 3 + 8 + 12 + 16;

/// Hash of a team's name, as used in request ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct TeamTag(pub u64);

impl TeamTag {
    /// Returns the tag of the team with this name.
    #[must_use]
    pub fn of(team_name: &str) -> Self {
        Self(twox_hash::XxHash3_64::oneshot(team_name.as_bytes()))
    }
}

/// Id of a request.
///
/// Ordered by the time of minting first, so that a sorted table grows at its end and expires at its
/// front.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct RequestId {
    /// Time at which the id was minted.
    pub issued_at_ms: TimeMs,
    /// The only incarnation that may dispatch the request.
    pub home: Incarnation,
    /// The incarnation that consents to the dispatch, and settles the id if the home is
    /// unreachable.
    pub witness: Incarnation,
    /// The incarnation that minted the id, which makes `sequence` unique.
    pub minter: Incarnation,
    /// Sequence number of the minter's ids.
    pub sequence: u32,
    mac: u64,
}

/// The key under which ids are minted and verified.
#[derive(Clone)]
pub struct IdKey(Hmac<Sha256>);

impl fmt::Debug for IdKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("IdKey(hidden)")
    }
}

impl IdKey {
    /// Derives the key from the fleet's secret.
    ///
    /// # Panics
    ///
    /// Never: HMAC takes keys of any length.
    #[must_use]
    pub fn derive(fleet_secret: &[u8]) -> Self {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(fleet_secret).expect("HMAC takes keys of any length");
        mac.update(b"teaselline request id 1");
        Self(mac)
    }

    /// Mints a request id for `team`.
    #[must_use]
    pub fn mint(&self, draft: IdFields, team: TeamTag) -> RequestId {
        let unsigned = RequestId {
            issued_at_ms: draft.issued_at_ms,
            home: draft.home,
            witness: draft.witness,
            minter: draft.minter,
            sequence: draft.sequence,
            mac: 0,
        };
        RequestId {
            mac: self.mac(&unsigned, team),
            ..unsigned
        }
    }

    /// Returns whether this fleet minted the id for `team`.
    ///
    /// The team is part of the signature, so any node rejects another team's id without contacting
    /// the home, with the same answer as for an id that never existed.
    #[must_use]
    pub fn verifies(&self, id: &RequestId, team: TeamTag) -> bool {
        use subtle::ConstantTimeEq;
        self.mac(id, team).ct_eq(&id.mac).into()
    }

    fn mac(&self, id: &RequestId, team: TeamTag) -> u64 {
        let mut mac = self.0.clone();
        for part in [
            id.home.0,
            id.witness.0,
            id.minter.0,
            id.issued_at_ms.0,
            team.0,
        ] {
            mac.update(&part.to_be_bytes());
        }
        mac.update(&id.sequence.to_be_bytes());
        let bytes = mac.finalize().into_bytes();
        bytes
            .iter()
            .take(8)
            .fold(0, |value, byte| value << 8 | u64::from(*byte))
    }
}

/// The fields of an id without its signature.
#[derive(Clone, Copy, Debug)]
pub struct IdFields {
    /// See [`RequestId::issued_at_ms`].
    pub issued_at_ms: TimeMs,
    /// See [`RequestId::home`].
    pub home: Incarnation,
    /// See [`RequestId::witness`].
    pub witness: Incarnation,
    /// See [`RequestId::minter`].
    pub minter: Incarnation,
    /// See [`RequestId::sequence`].
    pub sequence: u32,
}

impl RequestId {
    /// Returns whether a request that no node has seen yet may still start under this id.
    #[must_use]
    pub fn may_start(&self, now: TimeMs) -> bool {
        now.since(self.issued_at_ms) < ID_VALIDITY_MS
    }

    /// Returns the sampling seed of a request that specifies none.
    ///
    /// It is the same for every resend under the id, so that any node continues the same answer.
    #[must_use]
    pub fn seed(&self) -> u64 {
        u64::from(self.sequence) ^ (self.issued_at_ms.0 << 24)
    }

    /// Returns the name that upstreams use for the `number`th attempt of this request.
    #[must_use]
    pub fn attempt(&self, number: u32) -> String {
        format!("{self}.{number}")
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}{}{}{:08x}{:012x}{:016x}",
            self.home, self.witness, self.minter, self.sequence, self.issued_at_ms.0, self.mac
        )
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The error of a text that is not a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a request id has {TEXT_LENGTH} hexadecimal digits; take one from GET /v1/entries?ids=1")]
pub struct InvalidRequestId;

impl FromStr for RequestId {
    type Err = InvalidRequestId;

    fn from_str(text: &str) -> Result<Self, InvalidRequestId> {
        let well_formed = text.len() == TEXT_LENGTH
            && text
                .bytes()
                .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if !well_formed {
            return Err(InvalidRequestId);
        }
        let part = |range: std::ops::Range<usize>| {
            u64::from_str_radix(&text[range], 16).map_err(|_digits| InvalidRequestId)
        };
        Ok(Self {
            home: Incarnation(part(0..16)?),
            witness: Incarnation(part(16..32)?),
            minter: Incarnation(part(32..48)?),
            sequence: u32::try_from(part(48..56)?).map_err(|_range| InvalidRequestId)?,
            issued_at_ms: TimeMs(part(56..68)?),
            mac: part(68..84)?,
        })
    }
}

#[cfg(test)]
mod tests;
