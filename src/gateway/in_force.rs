//! The configuration in force, how current it is known to be, and what nodes ask and tell each other of it.

use bincode::{Decode, Encode};
use bytes::Bytes;

use super::catalog::Catalog;
use super::place::Place;
use super::rollout::Order;
use crate::time::TimeMs;

/// The catalog in force and how current it is known to be.
#[derive(Clone, Debug, Default)]
pub(crate) struct InForce {
    pub catalog: std::sync::Arc<Catalog>,
    /// The text that the catalog was made of, for peers that missed it.
    pub document: Bytes,
    /// Up to where the operators' records have been taken in; the start of an era if none of it was.
    pub end: Place,
    /// The store held nothing beyond that at this time; zero if never asked.
    pub current_at: TimeMs,
    /// Up to where records are known to exist, from peers.
    pub known_end: Place,
    /// The newest version that a peer has named.
    pub peer_version: u64,
    /// Until then what the store says is not enough to go by, unless a peer has been heard.
    pub settles_at: TimeMs,
    pub has_heard_peer: bool,
}

/// What a node asks a peer about the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Question {
    /// On the clock of the one that asks; zero if nobody does.
    pub asked_at: TimeMs,
    /// Up to where it has taken in the operators' records.
    pub read_to: Place,
    /// The version that it has.
    pub version: u64,
}

/// What a node says of its configuration when a peer asks.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct Confirmation {
    /// When it was asked, on the clock of the one that asked; zero if it was not.
    pub asked_at: TimeMs,
    /// Up to where it has taken in the operators' records.
    pub end: Place,
    /// The version that it has. The store may have lost what that was read from.
    pub version: u64,
    /// How long ago the store held nothing beyond that.
    pub age_ms: u64,
    /// Its configuration, if the one that asked has not read as far and a datagram holds it.
    pub document: Option<Vec<u8>>,
    /// The roll-outs that were ordered, with the document.
    pub orders: Vec<Order>,
}

impl Confirmation {
    /// Adds the orders of roll-outs, if the one that asked has not read as far.
    #[must_use]
    pub fn with_orders(self, orders: Vec<Order>) -> Self {
        let orders = if self.document.is_some() {
            orders
        } else {
            Vec::new()
        };
        Self { orders, ..self }
    }
}

impl InForce {
    /// One that goes by the store alone only from a time on.
    ///
    /// A node that has just started may read a copy from which a version is missing that its peers have, and serve a
    /// key that was taken away in it.
    #[must_use]
    pub fn settling_until(settles_at: TimeMs) -> Self {
        Self {
            settles_at,
            ..Self::default()
        }
    }

    /// Whether there is a configuration.
    pub fn is_known(&self) -> bool {
        self.catalog.version > 0
    }

    /// Whether a peer knows of records that this node has not taken in.
    pub fn is_behind(&self) -> bool {
        self.known_end > self.end
    }

    /// Whether a peer has a newer version, or none of the store's present history has been taken in.
    pub fn is_outdated(&self) -> bool {
        self.is_known() && (self.end.is_start() || self.peer_version > self.catalog.version)
    }

    /// Takes in that the store has come back from a copy.
    ///
    /// Nothing of the new history has been read. What was in force stays, and what was confirmed was true when it was.
    pub fn enter_era(&mut self, era: u64) {
        self.end = self.end.max(Place::start_of(era));
        self.known_end = self.known_end.max(self.end);
    }

    /// Takes in the version that a peer has.
    pub fn note_peer_version(&mut self, version: u64) {
        self.has_heard_peer = true;
        self.peer_version = self.peer_version.max(version);
    }

    /// Takes in that records have been taken in up to a place, beyond which there was nothing at a time.
    ///
    /// What was confirmed of an older era says nothing of this one.
    pub fn confirm(&mut self, end: Place, current_at: TimeMs) {
        if end.era < self.end.era {
            return;
        }
        self.end = self.end.max(end);
        self.current_at = self.current_at.max(current_at);
    }

    /// Takes in that the store was asked at a time and its records have been taken in up to a place; zero if more
    /// follows.
    pub fn confirmed_by_store(&mut self, end: Place, current_at: TimeMs) {
        // A copy may lack a version that a peer has and could not hand over.
        let is_level = self.peer_version <= self.catalog.version;
        self.confirm(end, if is_level { current_at } else { TimeMs(0) });
        if current_at > TimeMs(0) && end.era >= self.end.era {
            // What a peer claimed beyond the store's own end does not exist.
            self.known_end = self.end;
        }
    }

    /// What to ask a peer.
    pub fn question(&self, asked_at: TimeMs) -> Question {
        Question {
            asked_at,
            read_to: self.end,
            version: self.catalog.version,
        }
    }

    /// Takes in what a peer confirms; its document, if any, has been taken in before.
    ///
    /// All that this node knows is current if the peer had read no further and has no newer version. The time is that
    /// of this node's question less the age that the peer named, since a datagram may have waited anywhere.
    pub fn confirmed_by_peer(&mut self, confirmation: &Confirmation, now: TimeMs) {
        self.note_peer_version(confirmation.version);
        let is_level = confirmation.end <= self.end && confirmation.version <= self.catalog.version;
        let is_whole = confirmation.document.is_some() || is_level;
        let current_at = (confirmation.asked_at.0).saturating_sub(confirmation.age_ms);
        match is_whole {
            _ if confirmation.asked_at > now => {}
            true => self.confirm(confirmation.end, TimeMs(current_at)),
            false => self.known_end = self.known_end.max(confirmation.end),
        }
    }

    /// What to answer a peer; nothing if this node knows nothing, or nothing of the store's present history.
    pub fn confirmation(&self, question: &Question, now: TimeMs) -> Option<Confirmation> {
        if !self.is_known() || self.current_at == TimeMs(0) || self.end.is_start() {
            return None;
        }
        let is_newer = question.read_to < self.end || question.version < self.catalog.version;
        let is_handed_over = is_newer && self.document.len() <= LARGEST_DOCUMENT_BYTES;
        Some(Confirmation {
            asked_at: question.asked_at,
            end: self.end,
            version: self.catalog.version,
            age_ms: now.since(self.current_at),
            document: is_handed_over.then(|| self.document.to_vec()),
            orders: Vec::new(),
        })
    }

    /// Whether a key that is accepted now cannot have been taken away for longer than allowed.
    pub fn is_fresh(&self, revoke_ms: u64, now: TimeMs) -> bool {
        let allowed_ms = revoke_ms.saturating_sub(FRESHNESS_MARGIN_MS);
        let is_level = self.has_heard_peer && self.peer_version <= self.catalog.version;
        let is_settled = now >= self.settles_at || is_level;
        is_settled && self.current_at > TimeMs(0) && now.since(self.current_at) < allowed_ms
    }
}

/// Largest configuration that is handed to a peer: with what stands beside it, it fits into one
/// datagram of 65,000 bytes. A peer reads a larger one from the store.
const LARGEST_DOCUMENT_BYTES: usize = 60_000;

/// Kept of the bound on revoked keys for the way of a request to its upstream.
///
/// A request that is accepted at the last moment still has to be read and sent; links and
/// scheduling take tens of milliseconds on a small host.
const FRESHNESS_MARGIN_MS: u64 = 300;

#[cfg(test)]
mod tests;
