//! Who has the duties that one node has at a time, as the log of duties tells it.
//!
//! A node takes the lease by appending to the log on the condition that it ends where the node has
//! read to; of several only one succeeds. The record's place is the fencing token. The holder
//! renews by further records. Another node may take over once the newest record has been known to
//! it for the length of a lease: the holder counts from before it sent that record, so that its
//! lease has ended by then on any clock that runs at the same rate.
//!
//! A store that comes back from a copy may have lost the newest records, so that the log tells of an
//! earlier holder, or of none. Nobody takes the lease until it has ended for whoever held it when the
//! history was replaced, but for that node itself. What is written by those that do not know yet of the
//! new history names the era before, and holds nothing.

use bincode::{Decode, Encode};

use super::place::Place;
use super::rollout::Decided;
use super::usage::Report;
use crate::time::TimeMs;

/// Kept of the holder's own view of its lease for the way of a call that it sends at the end.
const HOLDER_MARGIN_MS: u64 = 400;

/// Added to the wait before another node takes over, for clocks that run at slightly other rates.
const TAKEOVER_MARGIN_MS: u64 = 100;

/// A record of the log of duties.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum Entry {
    /// A node takes the lease, or renews it.
    Hold { holder: Holder },
    /// The holder gives the lease up.
    Release { holder: Holder },
    /// The holder settles what is reported for a window, before it reports it.
    Settle { holder: Holder, report: Report },
    /// The holder decides on a roll-out, before it tells the operators.
    Decide { holder: Holder, decided: Decided },
}

/// One run of one node.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Holder {
    pub node: String,
    /// New at each start.
    pub incarnation: u64,
    /// The store's era that it knew.
    pub era: u64,
}

impl Entry {
    fn holder(&self) -> &Holder {
        match self {
            Self::Hold { holder }
            | Self::Release { holder }
            | Self::Settle { holder, .. }
            | Self::Decide { holder, .. } => holder,
        }
    }
}

/// What one node has read of the log.
#[derive(Debug)]
pub(crate) struct Lease {
    own: Holder,
    duration_ms: u64,
    /// Where the log ends, as far as is known.
    end: Place,
    /// Up to where its records have been read; what lies between has only been heard of.
    read_to: Place,
    /// Since when this history of the log is known to exist; zero if it is the first one.
    era_since: TimeMs,
    /// What this node held of the history before ends then; until then nobody else can have taken it.
    kept_until: TimeMs,
    /// When this node first knew of that end.
    end_known_at: TimeMs,
    /// Whether the log has been read at all.
    is_read: bool,
    holder: Option<Held>,
    /// What has been settled, newest last.
    settled: Vec<Report>,
    /// Those of the history before that this one has not been seen to hold.
    lost: Vec<Report>,
    /// What has been decided of roll-outs, newest last.
    decided: Vec<Decided>,
    /// This node's lease ends then.
    own_until: TimeMs,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Held {
    holder: Holder,
    /// Place of the record with which it took the lease.
    token: Place,
    is_released: bool,
}

/// Settled reports that are kept: those that may still be sent again.
const KEPT_REPORTS: usize = 8;

/// Decisions on roll-outs that are kept: the last of some pools.
const KEPT_DECISIONS: usize = 16;

impl Lease {
    /// A view that has read nothing yet.
    #[must_use]
    pub fn new(own: Holder, lease_ms: u64) -> Self {
        Self {
            own,
            duration_ms: lease_ms,
            end: Place::default(),
            read_to: Place::default(),
            era_since: TimeMs(0),
            kept_until: TimeMs(0),
            end_known_at: TimeMs(0),
            is_read: false,
            holder: None,
            settled: Vec::new(),
            lost: Vec::new(),
            decided: Vec::new(),
            own_until: TimeMs(0),
        }
    }

    /// This run of this node.
    pub fn own(&self) -> &Holder {
        &self.own
    }

    /// Where the next record goes.
    pub fn end(&self) -> Place {
        self.end
    }

    /// Where to read on.
    pub fn read_end(&self) -> Place {
        self.read_to
    }

    /// The fencing token, while this node may act on its lease.
    pub fn token(&self, now: TimeMs) -> Option<Place> {
        let held = self.holder.as_ref()?;
        let is_own = held.holder == self.own && !held.is_released;
        (is_own && now < self.own_until).then_some(held.token)
    }

    /// Whether the newest record makes this node the holder, be its lease still valid or not.
    pub fn is_own(&self) -> bool {
        (self.holder.as_ref()).is_some_and(|held| held.holder == self.own && !held.is_released)
    }

    /// Who holds it by the newest record.
    pub fn holder(&self) -> Option<&Holder> {
        (self.holder.as_ref())
            .filter(|held| !held.is_released)
            .map(|held| &held.holder)
    }

    /// Whether this node may try to take the lease.
    pub fn may_take(&self, now: TimeMs) -> bool {
        match &self.holder {
            _ if !self.is_read || self.read_to < self.end => false,
            _ if now < self.kept_until => true,
            _ if self.is_new_history(now) => false,
            Some(held) if held.is_released => true,
            // Nobody has ever appended, so that nobody can believe to hold it. A deployment that
            // starts for the first time pays for its first upstreams until the first orders: without
            // the wait they come 4 s sooner.
            None if self.end.is_start() => true,
            _ => self.is_overdue(now),
        }
    }

    /// Whether whoever held the lease when the history was replaced may still act on it.
    fn is_new_history(&self, now: TimeMs) -> bool {
        self.era_since > TimeMs(0)
            && now.since(self.era_since) < self.duration_ms + TAKEOVER_MARGIN_MS
    }

    /// Since when the present history is known to exist, if another holder may have acted before unseen.
    pub fn unseen_before(&self) -> Option<TimeMs> {
        let is_unseen = self.era_since > TimeMs(0) && self.kept_until == TimeMs(0);
        is_unseen.then_some(self.era_since)
    }

    /// Takes in the store's era, and since when it is known to exist.
    ///
    /// With `is_first`, no history was there before.
    pub fn enter_era(&mut self, era: u64, since: TimeMs, is_first: bool) {
        if era == self.end.era {
            // The wait for a holder of the history before counts from when anybody knew of this one.
            self.era_since = self.era_since.min(since);
        }
        if era <= self.end.era {
            return;
        }
        let is_kept = self.is_own() && since < self.own_until;
        self.kept_until = if is_kept { self.own_until } else { TimeMs(0) };
        self.era_since = if is_first { TimeMs(0) } else { since };
        self.end = Place::start_of(era);
        self.read_to = self.end;
        self.end_known_at = since;
        self.is_read = false;
        self.holder = None;
        self.own.era = era;
        self.own_until = TimeMs(0);
        self.lost = self.settled.clone();
    }

    /// A settled report that the present history lacks; whoever holds the lease writes it again, since it may have
    /// been told.
    pub fn lost(&self) -> Option<&Report> {
        self.lost.first()
    }

    /// Whether its holder, as far as is known, has not renewed it for the length of a lease.
    ///
    /// A holder that the store turns away is heard by its peers all the while. Taken to hold the
    /// lease for as long as it lives, it would keep all others from taking over, and nothing would
    /// be ordered or reported until the store answers it again.
    pub fn is_overdue(&self, now: TimeMs) -> bool {
        now.since(self.end_known_at) >= self.duration_ms + TAKEOVER_MARGIN_MS
    }

    /// Whether this node should renew its lease.
    pub fn is_renewal_due(&self, now: TimeMs) -> bool {
        self.is_own() && now.until(self.own_until) < self.duration_ms * 6 / 10
    }

    /// What has been settled, newest last.
    pub fn settled(&self) -> &[Report] {
        &self.settled
    }

    /// What has been decided of roll-outs, newest last.
    pub fn decided(&self) -> &[Decided] {
        &self.decided
    }

    /// Takes in a record that was read at its place.
    pub fn read(&mut self, place: Place, entry: Entry, now: TimeMs) {
        if place < self.read_to || place.era != self.end.era {
            return;
        }
        self.apply(place, entry);
        self.read_to = place.after(1);
        self.reached(self.read_to, now);
    }

    /// Takes in that the log has been read to its end.
    pub fn read_to(&mut self, end: Place, now: TimeMs) {
        if end.era != self.end.era {
            return;
        }
        self.is_read = true;
        self.read_to = self.read_to.max(end);
        self.reached(end, now);
    }

    /// Takes in that records before this offset have been deleted unread.
    pub fn skip_to(&mut self, first: u64) {
        let offset = self.read_to.offset.max(first);
        self.read_to = Place {
            offset,
            ..self.read_to
        };
    }

    /// Takes in that the log is at least this long, from a peer; what the records say is not
    /// known, but that they exist is.
    pub fn heard_end(&mut self, end: Place, holder: &Holder, token: Place, now: TimeMs) {
        if end > self.end && end.era == self.end.era && !self.is_own() {
            let held = Held {
                holder: holder.clone(),
                token,
                is_released: false,
            };
            self.holder = Some(held);
            self.reached(end, now);
        }
    }

    /// Takes in that an append of this node succeeded; `sent_at` is from before it was sent.
    pub fn appended(&mut self, place: Place, entry: Entry, sent_at: TimeMs, now: TimeMs) {
        if place.era != self.end.era {
            return;
        }
        let holds = !matches!(entry, Entry::Release { .. });
        self.apply(place, entry);
        self.read_to = place.after(1);
        self.reached(self.read_to, now);
        if holds {
            self.own_until = sent_at.after(self.duration_ms.saturating_sub(HOLDER_MARGIN_MS));
        }
    }

    /// Gives the lease up at once: another node has acted with a higher token.
    pub fn lose(&mut self) {
        self.own_until = TimeMs(0);
        self.kept_until = TimeMs(0);
        self.is_read = false;
    }

    /// The record behind which a successor finds this node's token, for peers.
    pub fn announced(&self, now: TimeMs) -> Option<(Place, Place)> {
        self.token(now).map(|token| (self.end, token))
    }

    fn apply(&mut self, place: Place, entry: Entry) {
        self.apply_holder(place, &entry);
        match entry {
            Entry::Settle { report, .. } => {
                self.lost.retain(|lost| lost.window != report.window);
                if self
                    .settled
                    .iter()
                    .any(|known| known.window == report.window)
                {
                    return;
                }
                self.settled.push(report);
                let surplus = self.settled.len().saturating_sub(KEPT_REPORTS);
                self.settled.drain(..surplus);
            }
            Entry::Decide { decided, .. } => {
                self.decided.push(decided);
                let surplus = self.decided.len().saturating_sub(KEPT_DECISIONS);
                self.decided.drain(..surplus);
            }
            Entry::Hold { .. } | Entry::Release { .. } => {}
        }
    }

    fn apply_holder(&mut self, place: Place, entry: &Entry) {
        let holder = entry.holder().clone();
        let is_held = (self.holder.as_ref()).is_some_and(|held| held.holder.era == place.era);
        // Copied from the history before, or written by one that did not know of this one.
        if holder.era < place.era && is_held {
            return;
        }
        // Another has taken it since, after it had ended here.
        if holder.era == place.era && holder != self.own {
            self.kept_until = TimeMs(0);
        }
        let token = match &self.holder {
            Some(held) if held.holder == holder && !held.is_released => held.token,
            _ => place,
        };
        self.holder = Some(Held {
            holder,
            token,
            is_released: matches!(entry, Entry::Release { .. }),
        });
    }

    fn reached(&mut self, end: Place, now: TimeMs) {
        if end > self.end || self.end_known_at == TimeMs(0) {
            self.end = end;
            self.end_known_at = now;
        }
    }
}

#[cfg(test)]
mod tests;
