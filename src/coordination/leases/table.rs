//! Who holds which lease.
//!
//! # Starting in the middle
//!
//! The log forgets old records, so a node may not see how a lease was acquired. A renewal therefore
//! carries the end that the record before it gave the lease: if the log took the renewal before
//! that time, nobody else can have acquired the lease meanwhile, and it counts whatever else is
//! known. An acquisition whose rivals may be unseen is *uncertain*: the name counts as taken by an
//! unknown holder until a renewal settles it or every possible holder's time is over.

use super::{Fencing, LeaseEntry, LeaseRequest, MOST_DURATION_MS};
use crate::coordination::follower::{Fold, Gap};
use crate::coordination::log::Record;
use crate::keys::Incarnation;
use crate::time::TimeMs;

/// Names that are remembered; those that ended first go first.
const MOST_NAMES: usize = 1_024;

/// A lease; all times are the log's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The name that it is on.
    pub name: String,
    /// Who holds it, or held it last; `None` if that is uncertain.
    pub holder: Option<Incarnation>,
    /// The holder's fencing number.
    pub fencing: Fencing,
    /// The holder's number for the record that the lease stands on.
    pub send: u64,
    /// When it ends.
    pub ends_ms: TimeMs,
}

/// Who holds which lease.
#[derive(Debug, Default)]
pub struct LeaseTable {
    /// Sorted by name.
    leases: Vec<Lease>,
    log_now_ms: TimeMs,
    /// Before this, leases that were never seen may hold.
    settled_from_ms: TimeMs,
    gap: bool,
}

impl LeaseTable {
    /// The table before the first record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The newest lease on `name`, which may have ended.
    #[must_use]
    pub fn lease(&self, name: &str) -> Option<&Lease> {
        self.find(name).ok().map(|index| &self.leases[index])
    }

    /// All leases, by name; some may have ended.
    #[must_use]
    pub fn leases(&self) -> &[Lease] {
        &self.leases
    }

    /// From when on `name` may be acquired, by the log's clock.
    #[must_use]
    pub fn free_from_ms(&self, name: &str) -> TimeMs {
        let ends_ms = self.lease(name).map(|lease| lease.ends_ms);
        ends_ms.unwrap_or_default().max(self.settled_from_ms)
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.leases
            .binary_search_by(|lease| lease.name.as_str().cmp(name))
    }

    fn put(&mut self, lease: Lease) {
        match self.find(&lease.name) {
            Ok(index) => self.leases[index] = lease,
            Err(index) => self.leases.insert(index, lease),
        }
        if self.leases.len() > MOST_NAMES {
            self.forget_one();
        }
    }

    /// Forgets the lease that ended first, if one has ended.
    fn forget_one(&mut self) {
        let ends_ms = |index: &usize| self.leases[*index].ends_ms;
        let first = (0..self.leases.len()).min_by_key(ends_ms);
        if let Some(first) = first.filter(|first| ends_ms(first) <= self.log_now_ms) {
            self.leases.remove(first);
        }
    }

    fn take(&mut self, entry: LeaseEntry, offset: u64) {
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
        // A repeated append of the acquisition that counts falls under this, too.
        if held.is_some_and(|held| held.holder.is_some() && now < held.ends_ms) {
            return;
        }
        let held_until_ms = held.map_or(TimeMs(0), |held| held.ends_ms);
        let certain = now >= self.settled_from_ms && now >= held_until_ms;
        let ends_ms = self.ends_after(duration_ms);
        self.put(Lease {
            name: entry.name,
            holder: certain.then_some(entry.holder),
            fencing: Fencing(offset),
            send: entry.send,
            ends_ms: ends_ms.max(held_until_ms),
        });
    }

    /// Takes a renewal that came in time.
    ///
    /// A released lease is not revived by a late copy of an older renewal: its number is lower.
    fn renew(&mut self, entry: LeaseEntry, fencing: Fencing, duration_ms: u64) {
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
        self.put(Lease {
            name: entry.name,
            holder: Some(entry.holder),
            fencing,
            send: entry.send,
            ends_ms,
        });
    }

    fn release(&mut self, entry: &LeaseEntry, fencing: Fencing) {
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
        self.log_now_ms.after(duration_ms.min(MOST_DURATION_MS))
    }
}

impl Fold for LeaseTable {
    fn apply(&mut self, record: &Record) {
        self.log_now_ms = self.log_now_ms.max(record.at_ms);
        if std::mem::take(&mut self.gap) {
            // Whatever was granted unseen was granted before this record.
            self.settled_from_ms = self.log_now_ms.after(MOST_DURATION_MS);
        }
        // A record that cannot be read changes nothing; all nodes of this version agree on that.
        let entries: Vec<LeaseEntry> =
            serde_json::from_str(&record.payload).unwrap_or_else(|error| {
                log::warn!(offset = record.offset, error:% = error; "a lease record is unreadable");
                Vec::new()
            });
        for entry in entries {
            self.take(entry, record.offset);
        }
    }

    fn skip(&mut self, gap: &Gap) {
        // The log keeps records for longer than any lease lasts. A stream that was quiet for so
        // long holds no lease, and then the first record after the gap is judged as usual.
        self.leases.clear();
        self.gap = gap.first_at_ms.is_some();
    }
}
