//! Holds the active configuration and its last confirmation, and the messages by which nodes
//! confirm it.

use bincode::{Decode, Encode};
use bytes::Bytes;

use super::catalog::Catalog;
use super::log_position::LogPosition;
use super::rollout::Order;
use crate::time::TimeMs;

/// The active configuration and how current it is known to be.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveConfiguration {
    pub catalog: std::sync::Arc<Catalog>,
    /// The packed document of the catalog, for peers that missed it.
    pub document: Bytes,
    /// Position up to which the operators' records have been applied; the start of an era if none
    /// have been.
    pub end: LogPosition,
    /// When the store held no records beyond `end`; zero if never known.
    pub confirmed_at: TimeMs,
    /// Highest position that a peer has reported.
    pub known_end: LogPosition,
    /// Highest version that a peer has reported.
    pub peer_version: u64,
    /// Until this time a confirmation by the store alone is not sufficient, unless a peer has
    /// reported.
    pub trusts_store_at: TimeMs,
    pub has_peer_reported: bool,
}

/// A request to a peer to confirm the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct ConfirmationRequest {
    /// When the request was sent, on the sender's clock; zero if there was no request.
    pub asked_at: TimeMs,
    /// Position up to which the sender has applied the operators' records.
    pub read_to: LogPosition,
    /// Configuration version of the sender.
    pub version: u64,
}

/// A peer's statement about its configuration.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct Confirmation {
    /// When the confirmation was requested, on the requester's clock; zero if it was not requested.
    pub asked_at: TimeMs,
    /// Position up to which the peer has applied the operators' records.
    pub end: LogPosition,
    /// Configuration version of the peer. The store may have lost the records of this version.
    pub version: u64,
    /// Time since the store held no records beyond `end`.
    pub age_ms: u64,
    /// The peer's packed configuration document, if the requester has not read as far and it is not
    /// too large.
    pub document: Option<Vec<u8>>,
    /// The rollouts ordered by operators; sent only with the document.
    pub orders: Vec<Order>,
}

impl Confirmation {
    /// Adds the rollout orders if the confirmation carries the document.
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

impl ActiveConfiguration {
    /// Returns an empty configuration that trusts the store alone only from `trusts_store_at` on.
    ///
    /// A node that has just started may read a store restored from a backup that lacks a version
    /// known to its peers, and accept an API key that was revoked in that version.
    #[must_use]
    pub fn trusting_store_from(trusts_store_at: TimeMs) -> Self {
        Self {
            trusts_store_at,
            ..Self::default()
        }
    }

    /// Whether a configuration has been received.
    pub fn is_known(&self) -> bool {
        self.catalog.version > 0
    }

    /// Whether a peer has reported records that this node has not applied.
    pub fn is_behind(&self) -> bool {
        self.known_end > self.end
    }

    /// Whether a peer has a newer version, or no record of the store's current era has been
    /// applied.
    pub fn is_outdated(&self) -> bool {
        self.is_known() && (self.end.is_start() || self.peer_version > self.catalog.version)
    }

    /// Starts a new era after the store was restored from a backup.
    ///
    /// Nothing of the new history has been read. The active configuration and its last confirmation
    /// remain valid.
    pub fn enter_era(&mut self, era: u64) {
        self.end = self.end.max(LogPosition::start_of(era));
        self.known_end = self.known_end.max(self.end);
    }

    /// Records the configuration version of a peer.
    pub fn record_peer_version(&mut self, version: u64) {
        self.has_peer_reported = true;
        self.peer_version = self.peer_version.max(version);
    }

    /// Marks the records up to `end` as applied, with none beyond it at `confirmed_at`; zero if more
    /// may follow.
    ///
    /// A confirmation for an older era is ignored, since it implies nothing for the current one.
    pub fn confirm(&mut self, end: LogPosition, current_at: TimeMs) {
        if end.era < self.end.era {
            return;
        }
        self.end = self.end.max(end);
        self.confirmed_at = self.confirmed_at.max(current_at);
    }

    /// Records a read of the store up to `end` that was sent at `confirmed_at`; zero if more records
    /// follow.
    pub fn confirmed_by_store(&mut self, end: LogPosition, current_at: TimeMs) {
        // A store restored from a backup may lack a version that a peer has and could not send.
        let is_up_to_date = self.peer_version <= self.catalog.version;
        self.confirm(end, if is_up_to_date { current_at } else { TimeMs(0) });
        if current_at > TimeMs(0) && end.era >= self.end.era {
            // Records that a peer reported beyond the end of the store do not exist.
            self.known_end = self.end;
        }
    }

    /// Returns the request to send to a peer.
    pub fn request(&self, asked_at: TimeMs) -> ConfirmationRequest {
        ConfirmationRequest {
            asked_at,
            read_to: self.end,
            version: self.catalog.version,
        }
    }

    /// Records a peer's confirmation; its document, if any, must have been applied before.
    ///
    /// This node's configuration is current if the peer has read no further and has no newer
    /// version. The confirmation dates from the time of this node's request less the age stated by
    /// the peer, since a datagram may be delayed anywhere on its way.
    pub fn confirmed_by_peer(&mut self, confirmation: &Confirmation, now: TimeMs) {
        self.record_peer_version(confirmation.version);
        // A document that could not be decoded leaves the version behind that of the peer.
        let has_version = confirmation.version <= self.catalog.version;
        let has_records = confirmation.document.is_some() || confirmation.end <= self.end;
        let is_applied = has_version && has_records;
        let current_at = (confirmation.asked_at.0).saturating_sub(confirmation.age_ms);
        match is_applied {
            _ if confirmation.asked_at > now => {}
            true => self.confirm(confirmation.end, TimeMs(current_at)),
            false => self.known_end = self.known_end.max(confirmation.end),
        }
    }

    /// Returns the answer to a peer; `None` if this node knows no configuration or has read nothing
    /// of the current era.
    pub fn confirmation(&self, request: &ConfirmationRequest, now: TimeMs) -> Option<Confirmation> {
        if !self.is_known() || self.confirmed_at == TimeMs(0) || self.end.is_start() {
            return None;
        }
        let is_newer = request.read_to < self.end || request.version < self.catalog.version;
        let includes_document = is_newer && self.document.len() <= MAX_SENT_DOCUMENT_BYTES;
        Some(Confirmation {
            asked_at: request.asked_at,
            end: self.end,
            version: self.catalog.version,
            age_ms: now.since(self.confirmed_at),
            document: includes_document.then(|| self.document.to_vec()),
            orders: Vec::new(),
        })
    }

    /// Whether a key accepted now was valid less than `revoke_ms` ago.
    pub fn is_fresh(&self, revoke_ms: u64, now: TimeMs) -> bool {
        let allowed_ms = revoke_ms.saturating_sub(FRESHNESS_MARGIN_MS);
        let is_up_to_date = self.has_peer_reported && self.peer_version <= self.catalog.version;
        let is_trusted = now >= self.trusts_store_at || is_up_to_date;
        is_trusted && self.confirmed_at > TimeMs(0) && now.since(self.confirmed_at) < allowed_ms
    }
}

/// Largest packed configuration document sent to a peer; peers read a larger one from the store.
///
/// If all nodes read each changed document from the store, its calls and bytes would grow with the
/// nodes.
const MAX_SENT_DOCUMENT_BYTES: usize = 1_000_000;

/// Part of the bound on revoked keys that is reserved for sending the request to its upstream.
///
/// A request that is accepted at the last moment still has to be read and sent; links and
/// scheduling take tens of milliseconds on a small host.
const FRESHNESS_MARGIN_MS: u64 = 300;

#[cfg(test)]
mod tests;
