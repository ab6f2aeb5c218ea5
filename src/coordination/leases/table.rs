//! The holder of each lease, computed from the log.
//!
//! # Starting in the middle of the stream
//!
//! The log drops old records, so the acquisition of a lease may be missing here. A renewal
//! therefore carries the expiry that the previous record gave the lease: if the log appended the
//! renewal before that time, no other node can have acquired the lease in between, and the renewal
//! is valid regardless of what else is known. An acquisition that may conflict with missing records
//! is *uncertain*: the lease counts as held by an unknown node until a renewal identifies the
//! holder or the lease of every possible holder has expired.

use super::{FencingToken, LeaseEntry, LeaseRequest, MAX_DURATION_MS};
use crate::coordination::follower::{Fold, Gap};
use crate::coordination::log::Record;
use crate::keys::Incarnation;
use crate::time::TimeMs;

/// The maximum number of leases in the table; the lease that expired first is evicted first.
const MAX_LEASES: usize = 1_024;

/// A lease; all times are on the log's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The name of the lease.
    pub name: String,
    /// The current or last holder; `None` if it is uncertain.
    pub holder: Option<Incarnation>,
    /// The holder's fencing token.
    pub fencing: FencingToken,
    /// The holder's sequence number of the record that granted or last extended the lease.
    pub send: u64,
    /// The expiry time.
    pub ends_ms: TimeMs,
}

/// The leases by name, folded from the log.
#[derive(Debug, Default)]
pub struct LeaseTable {
    /// Sorted by name.
    leases: Vec<Lease>,
    log_now_ms: TimeMs,
    /// Until this time, leases whose records are missing here may be in effect.
    settled_from_ms: TimeMs,
    has_gap: bool,
}

impl LeaseTable {
    /// Creates an empty table, before the first record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the newest lease on `name`, which may have expired.
    #[must_use]
    pub fn lease(&self, name: &str) -> Option<&Lease> {
        self.find(name).ok().map(|index| &self.leases[index])
    }

    /// Returns all leases sorted by name, including expired ones.
    #[must_use]
    pub fn leases(&self) -> &[Lease] {
        &self.leases
    }

    /// Returns the time on the log's clock from which `name` can be acquired.
    #[must_use]
    pub fn free_from_ms(&self, name: &str) -> TimeMs {
        let ends_ms = self.lease(name).map(|lease| lease.ends_ms);
        ends_ms.unwrap_or_default().max(self.settled_from_ms)
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.leases
            .binary_search_by(|lease| lease.name.as_str().cmp(name))
    }

    fn insert(&mut self, lease: Lease) {
        match self.find(&lease.name) {
            Ok(index) => self.leases[index] = lease,
            Err(index) => self.leases.insert(index, lease),
        }
        if self.leases.len() > MAX_LEASES {
            self.evict_expired();
        }
    }

    /// Evicts the lease that expired first; keeps all leases if none has expired.
    fn evict_expired(&mut self) {
        let ends_ms = |index: &usize| self.leases[*index].ends_ms;
        let first = (0..self.leases.len()).min_by_key(ends_ms);
        if let Some(first) = first.filter(|first| ends_ms(first) <= self.log_now_ms) {
            self.leases.remove(first);
        }
    }

    fn apply_entry(&mut self, entry: LeaseEntry, offset: u64) {
        match entry.request {
            LeaseRequest::Acquire { duration_ms } => self.acquire(entry, offset, duration_ms),
            LeaseRequest::Renew {
                fencing,
                duration_ms,
                ends_ms,
            } if self.log_now_ms < ends_ms => self.renew(entry, fencing, duration_ms),
            LeaseRequest::Renew { .. } => {}
            LeaseRequest::Release { fencing } => self.release(&entry, fencing),
        }
    }

    fn acquire(&mut self, entry: LeaseEntry, offset: u64, duration_ms: u64) {
        let now = self.log_now_ms;
        let held = self.lease(&entry.name);
        // Also ignores a repeated append of the acquisition in effect.
        if held.is_some_and(|held| held.holder.is_some() && now < held.ends_ms) {
            return;
        }
        let held_until_ms = held.map_or(TimeMs(0), |held| held.ends_ms);
        let certain = now >= self.settled_from_ms && now >= held_until_ms;
        let ends_ms = self.ends_after(duration_ms);
        self.insert(Lease {
            name: entry.name,
            holder: certain.then_some(entry.holder),
            fencing: FencingToken(offset),
            send: entry.send,
            ends_ms: ends_ms.max(held_until_ms),
        });
    }

    /// Applies a renewal that was appended before the lease expired.
    ///
    /// A late copy of an older renewal does not revive a released lease: its sequence number is
    /// lower.
    fn renew(&mut self, entry: LeaseEntry, fencing: FencingToken, duration_ms: u64) {
        let known = self.lease(&entry.name);
        let outdated = known.is_some_and(|known| {
            let newer = known.fencing > fencing && known.holder.is_some();
            let same = known.fencing == fencing && known.holder == Some(entry.holder);
            newer || (same && known.send >= entry.send)
        });
        if outdated {
            return;
        }
        let ends_ms = self.ends_after(duration_ms);
        self.insert(Lease {
            name: entry.name,
            holder: Some(entry.holder),
            fencing,
            send: entry.send,
            ends_ms,
        });
    }

    fn release(&mut self, entry: &LeaseEntry, fencing: FencingToken) {
        let now = self.log_now_ms;
        let Ok(index) = self.find(&entry.name) else {
            return;
        };
        let lease = &mut self.leases[index];
        if lease.holder == Some(entry.holder) && lease.fencing == fencing {
            lease.ends_ms = lease.ends_ms.min(now);
            lease.send = lease.send.max(entry.send);
        }
    }

    fn ends_after(&self, duration_ms: u64) -> TimeMs {
        self.log_now_ms.after(duration_ms.min(MAX_DURATION_MS))
    }
}

impl Fold for LeaseTable {
    fn apply(&mut self, record: &Record) {
        self.log_now_ms = self.log_now_ms.max(record.at_ms);
        if std::mem::take(&mut self.has_gap) {
            // Every lease in the missing records was granted before this record.
            self.settled_from_ms = self.log_now_ms.after(MAX_DURATION_MS);
        }
        // An unreadable record changes nothing; all nodes of this version ignore it alike.
        let entries: Vec<LeaseEntry> =
            serde_json::from_str(&record.payload).unwrap_or_else(|error| {
                log::warn!(
                    offset = record.offset, error:% = error;
                    "ignoring an unreadable lease record"
                );
                Vec::new()
            });
        for entry in entries {
            self.apply_entry(entry, record.offset);
        }
    }

    fn skip(&mut self, gap: &Gap) {
        // The log retains records for longer than any lease lasts. If the log holds no record after
        // the gap, no lease is in effect, and the next record is judged as usual.
        self.leases.clear();
        self.has_gap = gap.first_at_ms.is_some();
    }
}
