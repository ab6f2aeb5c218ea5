//! Request ids, which name the only two nodes that may decide about a request.
//!
//! `home` is the one incarnation that may dispatch the request. `witness` is the incarnation whose
//! consent the home needs before it dispatches a non-idempotent request, and which may settle that
//! an id never runs once the home cannot be reached. No agreement among nodes is needed for either,
//! because both are fixed when the id is minted.

use std::fmt;
use std::str::FromStr;

use bincode::{Decode, Encode};
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::keys::Incarnation;
use crate::time::TimeMs;

/// How long after minting an id may first be used.
pub const ID_VALIDITY_MS: u64 = 10 * 60 * 1000;

/// Characters of an id as text.
const TEXT_LENGTH: usize = 16 * 3 + 8 + 12 + 16;

/// A team as ids know it: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct TeamTag(pub u64);

impl TeamTag {
    /// The tag of the team with this name.
    #[must_use]
    pub fn of(team_name: &str) -> Self {
        Self(twox_hash::XxHash3_64::oneshot(team_name.as_bytes()))
    }
}

/// The id of one request.
///
/// Ordered by the time of minting first, so that a sorted table grows at its end and expires at
/// its front.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct RequestId {
    /// When it was minted.
    pub issued_at_ms: TimeMs,
    /// The only incarnation that may dispatch it.
    pub home: Incarnation,
    /// The incarnation that consents to the dispatch, and settles the id without the home.
    pub witness: Incarnation,
    /// The incarnation that minted it, which keeps `sequence` unique.
    pub minter: Incarnation,
    /// Counts the minter's ids.
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

    /// Mints the id of a request of `team`.
    #[must_use]
    pub fn mint(&self, draft: Draft, team: TeamTag) -> RequestId {
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

    /// Whether this fleet minted the id for `team`.
    ///
    /// The team is part of the signature, so any node turns away another team's id without asking
    /// the home, and says no more than for an id that never was.
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

/// What a minter puts into an id.
#[derive(Clone, Copy, Debug)]
pub struct Draft {
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
    /// Whether a request that nobody has seen yet may still start under this id.
    #[must_use]
    pub fn may_start(&self, now: TimeMs) -> bool {
        now.since(self.issued_at_ms) < ID_VALIDITY_MS
    }

    /// The seed of a request that gives none.
    ///
    /// The same for every resend under the id, so that any node goes on with the same answer.
    #[must_use]
    pub fn seed(&self) -> u64 {
        u64::from(self.sequence) ^ (self.issued_at_ms.0 << 24)
    }

    /// The text that names the `number`th attempt of this request to upstreams.
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

/// A text that is no request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a request id has {TEXT_LENGTH} hexadecimal digits; take one from GET /v1/entries?ids=1")]
pub struct NotAnId;

impl FromStr for RequestId {
    type Err = NotAnId;

    fn from_str(text: &str) -> Result<Self, NotAnId> {
        let well_formed = text.len() == TEXT_LENGTH
            && text
                .bytes()
                .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if !well_formed {
            return Err(NotAnId);
        }
        let part = |range: std::ops::Range<usize>| {
            u64::from_str_radix(&text[range], 16).map_err(|_digits| NotAnId)
        };
        Ok(Self {
            home: Incarnation(part(0..16)?),
            witness: Incarnation(part(16..32)?),
            minter: Incarnation(part(32..48)?),
            sequence: u32::try_from(part(48..56)?).map_err(|_range| NotAnId)?,
            issued_at_ms: TimeMs(part(56..68)?),
            mac: part(68..84)?,
        })
    }
}

#[cfg(test)]
mod tests;
