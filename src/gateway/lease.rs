//! Tracks the lease for the duties that one node performs at a time, as recorded in the log of
//! duties.
//!
//! A node acquires the lease by appending to the log on the condition that the log ends where the
//! node has read to; of several concurrent appends only one succeeds. The position of the record is
//! the fencing token. The holder renews the lease by further records. Another node may take over
//! once it has known the newest record for the lease duration. The holder counts from before it
//! sent that record, so its lease has expired by then on any clock that runs at the same rate.
//!
//! A store that is restored from a backup may have lost the newest records, so that the log names
//! an earlier holder, or none. No node acquires the lease until the lease of whichever node held it
//! when the history was replaced has expired; only that node itself may do so earlier. Records of
//! writers that do not know the new history name the previous era and give them no lease.

use bincode::{Decode, Encode};

use super::log_position::LogPosition;
use super::rollout::Decision;
use super::usage::UsageReport;
use crate::time::TimeMs;

/// Subtracted from the holder's lease, to leave time for a call sent at its end to arrive.
const HOLDER_MARGIN_MS: u64 = 400;

/// Added to the wait before a takeover, for clocks that run at slightly different rates.
const TAKEOVER_MARGIN_MS: u64 = 100;

/// A record of the log of duties.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum DutyRecord {
    /// Acquires or renews the lease.
    Hold { holder: Holder },
    /// Releases the lease.
    Release { holder: Holder },
    /// Fixes the usage report of a window before it is sent.
    Settle { holder: Holder, report: UsageReport },
    /// Fixes a rollout decision before the operators are informed.
    Decide { holder: Holder, decided: Decision },
}

/// One run of a node.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Holder {
    pub node: String,
    /// Differs for each start of the node.
    pub incarnation: u64,
    /// The store era that the node knew.
    pub era: u64,
}

impl DutyRecord {
    fn holder(&self) -> &Holder {
        match self {
            Self::Hold { holder }
            | Self::Release { holder }
            | Self::Settle { holder, .. }
            | Self::Decide { holder, .. } => holder,
        }
    }
}

/// The state of the lease, as far as a node has read the log.
#[derive(Debug)]
pub(crate) struct Lease {
    own: Holder,
    duration_ms: u64,
    /// End of the log, as far as known.
    end: LogPosition,
    /// Position up to which records have been read; records from here to `end` are only known to
    /// exist.
    read_to: LogPosition,
    /// When this era of the log became known; zero if it is the first one.
    era_since: TimeMs,
    /// End of the lease that this node held in the previous era. Until then no other node can have
    /// acquired it.
    retained_until: TimeMs,
    /// When this node first knew of `end`.
    end_known_at: TimeMs,
    /// Whether the log has been read to its end in this era.
    is_read: bool,
    holder: Option<HolderRecord>,
    /// Settled usage reports, newest last.
    settled: Vec<UsageReport>,
    /// Reports settled in the previous era that the current one has not been seen to contain.
    missing_reports: Vec<UsageReport>,
    /// Rollout decisions, newest last.
    decided: Vec<Decision>,
    /// When this node's lease expires.
    expires_at: TimeMs,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct HolderRecord {
    holder: Holder,
    /// Position of the record that acquired the lease.
    token: LogPosition,
    is_released: bool,
}

/// Number of retained settled reports: those that may still be sent again.
const RETAINED_REPORTS: usize = 8;

/// Number of retained rollout decisions: the latest of some pools.
const RETAINED_DECISIONS: usize = 16;

impl Lease {
    /// Creates the state of a node that has read nothing yet.
    #[must_use]
    pub fn new(own: Holder, lease_ms: u64) -> Self {
        Self {
            own,
            duration_ms: lease_ms,
            end: LogPosition::default(),
            read_to: LogPosition::default(),
            era_since: TimeMs(0),
            retained_until: TimeMs(0),
            end_known_at: TimeMs(0),
            is_read: false,
            holder: None,
            settled: Vec::new(),
            missing_reports: Vec::new(),
            decided: Vec::new(),
            expires_at: TimeMs(0),
        }
    }

    /// Returns the identity of this run of this node.
    pub fn own(&self) -> &Holder {
        &self.own
    }

    /// Returns the position of the next record to append.
    pub fn end(&self) -> LogPosition {
        self.end
    }

    /// Returns the position from which to continue reading.
    pub fn next_read(&self) -> LogPosition {
        self.read_to
    }

    /// Returns the fencing token while this node may act on its lease.
    pub fn token(&self, now: TimeMs) -> Option<LogPosition> {
        let held = self.holder.as_ref()?;
        let is_own = held.holder == self.own && !held.is_released;
        (is_own && now < self.expires_at).then_some(held.token)
    }

    /// Whether the newest record names this node as the holder, even if its lease has expired.
    pub fn is_own(&self) -> bool {
        (self.holder.as_ref()).is_some_and(|held| held.holder == self.own && !held.is_released)
    }

    /// Returns the holder named by the newest record, unless it released the lease.
    pub fn holder(&self) -> Option<&Holder> {
        (self.holder.as_ref())
            .filter(|held| !held.is_released)
            .map(|held| &held.holder)
    }

    /// Whether this node may try to acquire the lease.
    pub fn may_acquire(&self, now: TimeMs) -> bool {
        match &self.holder {
            _ if !self.is_read || self.read_to < self.end => false,
            _ if now < self.retained_until => true,
            _ if self.may_previous_holder_act(now) => false,
            Some(held) if held.is_released => true,
            // No record was ever appended, so no node can consider itself the holder. Without this
            // case a deployment that starts for the first time would issue its first orders 4 s
            // later, and pay for its first upstreams until then.
            None if self.end.is_start() => true,
            _ => self.is_overdue(now),
        }
    }

    /// Whether the holder of the previous era may still act on its lease.
    fn may_previous_holder_act(&self, now: TimeMs) -> bool {
        self.era_since > TimeMs(0)
            && now.since(self.era_since) < self.duration_ms + TAKEOVER_MARGIN_MS
    }

    /// Returns when the current era became known, if another holder may have acted in the previous
    /// one without records that this node can read.
    pub fn unseen_era_since(&self) -> Option<TimeMs> {
        let is_unseen = self.era_since > TimeMs(0) && self.retained_until == TimeMs(0);
        is_unseen.then_some(self.era_since)
    }

    /// Records the store's era and when it became known.
    ///
    /// `is_first` states that no history existed before.
    pub fn enter_era(&mut self, era: u64, since: TimeMs, is_first: bool) {
        if era == self.end.era {
            // The wait for the holder of the previous era starts when any node learned of this era.
            self.era_since = self.era_since.min(since);
        }
        if era <= self.end.era {
            return;
        }
        let is_retained = self.is_own() && since < self.expires_at;
        self.retained_until = if is_retained {
            self.expires_at
        } else {
            TimeMs(0)
        };
        self.era_since = if is_first { TimeMs(0) } else { since };
        self.end = LogPosition::start_of(era);
        self.read_to = self.end;
        self.end_known_at = since;
        self.is_read = false;
        self.holder = None;
        self.own.era = era;
        self.expires_at = TimeMs(0);
        self.missing_reports = self.settled.clone();
    }

    /// Returns a settled report that the current era lacks. The holder writes it again, since it
    /// may have been sent already.
    pub fn missing_report(&self) -> Option<&UsageReport> {
        self.missing_reports.first()
    }

    /// Whether the holder has not renewed the lease for the lease duration, as far as known.
    ///
    /// A holder to which the store is unavailable still sends heartbeats to its peers. If it
    /// counted as the holder for as long as it is alive, no other node could take over, and nothing
    /// would be ordered or reported until the store answers it again.
    pub fn is_overdue(&self, now: TimeMs) -> bool {
        now.since(self.end_known_at) >= self.duration_ms + TAKEOVER_MARGIN_MS
    }

    /// Whether this node should renew its lease.
    pub fn is_renewal_due(&self, now: TimeMs) -> bool {
        self.is_own() && now.until(self.expires_at) < self.duration_ms * 6 / 10
    }

    /// Returns the settled usage reports, newest last.
    pub fn settled(&self) -> &[UsageReport] {
        &self.settled
    }

    /// Returns the rollout decisions, newest last.
    pub fn decided(&self) -> &[Decision] {
        &self.decided
    }

    /// Applies a record that was read at its position.
    pub fn read(&mut self, place: LogPosition, record: DutyRecord, now: TimeMs) {
        if place < self.read_to || place.era != self.end.era {
            return;
        }
        self.apply(place, record);
        self.read_to = place.after(1);
        self.extend_end(self.read_to, now);
    }

    /// Records that the log has been read to its end.
    pub fn read_to(&mut self, end: LogPosition, now: TimeMs) {
        if end.era != self.end.era {
            return;
        }
        self.is_read = true;
        self.read_to = self.read_to.max(end);
        self.extend_end(end, now);
    }

    /// Skips unread records before this offset, which have been deleted.
    pub fn skip_to(&mut self, first: u64) {
        let offset = self.read_to.offset.max(first);
        self.read_to = LogPosition {
            offset,
            ..self.read_to
        };
    }

    /// Records a peer's report of the end of the log, its holder and its fencing token. The records
    /// up to that end exist but have not been read.
    pub fn record_peer_end(
        &mut self,
        end: LogPosition,
        holder: &Holder,
        token: LogPosition,
        now: TimeMs,
    ) {
        if end > self.end && end.era == self.end.era && !self.is_own() {
            let held = HolderRecord {
                holder: holder.clone(),
                token,
                is_released: false,
            };
            self.holder = Some(held);
            self.extend_end(end, now);
        }
    }

    /// Records a successful append of this node; `sent_at` must be a time before it was sent.
    pub fn record_append(
        &mut self,
        place: LogPosition,
        record: DutyRecord,
        sent_at: TimeMs,
        now: TimeMs,
    ) {
        if place.era != self.end.era {
            return;
        }
        let extends_lease = !matches!(record, DutyRecord::Release { .. });
        self.apply(place, record);
        self.read_to = place.after(1);
        self.extend_end(self.read_to, now);
        if extends_lease {
            self.expires_at = sent_at.after(self.duration_ms.saturating_sub(HOLDER_MARGIN_MS));
        }
    }

    /// Drops the lease at once, because another node has acted with a higher fencing token.
    pub fn invalidate(&mut self) {
        self.expires_at = TimeMs(0);
        self.retained_until = TimeMs(0);
        self.is_read = false;
    }

    /// Returns the end of the log and this node's fencing token while it holds the lease, for its
    /// peers.
    pub fn announced(&self, now: TimeMs) -> Option<(LogPosition, LogPosition)> {
        self.token(now).map(|token| (self.end, token))
    }

    fn apply(&mut self, place: LogPosition, record: DutyRecord) {
        self.apply_holder(place, &record);
        match record {
            DutyRecord::Settle { report, .. } => {
                self.missing_reports
                    .retain(|missing| missing.window != report.window);
                if self
                    .settled
                    .iter()
                    .any(|known| known.window == report.window)
                {
                    return;
                }
                self.settled.push(report);
                let surplus = self.settled.len().saturating_sub(RETAINED_REPORTS);
                self.settled.drain(..surplus);
            }
            DutyRecord::Decide { decided, .. } => {
                self.decided.push(decided);
                let surplus = self.decided.len().saturating_sub(RETAINED_DECISIONS);
                self.decided.drain(..surplus);
            }
            DutyRecord::Hold { .. } | DutyRecord::Release { .. } => {}
        }
    }

    fn apply_holder(&mut self, place: LogPosition, record: &DutyRecord) {
        let holder = record.holder().clone();
        let is_held = (self.holder.as_ref()).is_some_and(|held| held.holder.era == place.era);
        // A record copied from the previous era, or of a writer that did not know the current one.
        if holder.era < place.era && is_held {
            return;
        }
        // Another node has acquired the lease after this node's lease of the previous era expired.
        if holder.era == place.era && holder != self.own {
            self.retained_until = TimeMs(0);
        }
        let token = match &self.holder {
            Some(held) if held.holder == holder && !held.is_released => held.token,
            _ => place,
        };
        self.holder = Some(HolderRecord {
            holder,
            token,
            is_released: matches!(record, DutyRecord::Release { .. }),
        });
    }

    fn extend_end(&mut self, end: LogPosition, now: TimeMs) {
        if end > self.end || self.end_known_at == TimeMs(0) {
            self.end = end;
            self.end_known_at = now;
        }
    }
}

#[cfg(test)]
mod tests;
