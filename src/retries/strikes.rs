//! Records of requests that were running when their upstream was lost.
//!
//! A record is a grow-only set of losses and a time up to which losses are cleared, so nodes can
//! exchange records in any order and any number of times and converge to the same state.

pub mod record;

use crate::keys::HostKey;
use crate::time::TimeMs;

pub use record::{Fingerprint, HostLoss, StrikeRecord, StrikeReport};

/// Number of losses from which a request is refused everywhere.
const LOSSES_TO_REJECT: usize = 2;
/// Maximum losses kept per record; more do not change the verdict.
const MAX_LOSSES_PER_RECORD: usize = 4;
/// Reports of a host's loss that are closer together refer to the same loss.
///
/// Nodes detect a loss at different times: immediately when the connection closes, seconds later
/// when the host only stops responding.
const SAME_LOSS_WINDOW_MS: u64 = 10_000;
/// Losses in one failure domain that are this close together can have a common cause.
const CORRELATION_WINDOW_MS: u64 = 5_000;
/// Number of hosts lost within the window from which the cause is common; a request that crashes
/// its upstreams causes at most two losses before it is refused.
const MIN_CORRELATED_HOSTS: usize = 3;
/// Delay before a suspect runs again, so that reports of other losses arrive first.
///
/// The caller may have sent the same content to several nodes at once. Their upstreams are lost
/// within milliseconds of each other; a node that restarted its copy before it received the report
/// of the other loss would cause a third.
const SETTLE_DELAY_MS: u64 = 500;
/// Tokens beyond the point of its upstream's loss from which a request has passed that point.
///
/// The node has not seen the last tokens before a loss. With fewer tokens, a request that crashes
/// its upstream at a certain token would be cleared just before that token and could do so again
/// without limit.
pub const PASSED_AFTER_TOKENS: u64 = 32;
/// How long a request stays a suspect.
const SUSPECT_TTL_MS: u64 = 10 * 60 * 1_000;
/// How long a request with two losses stays refused.
const REJECTED_TTL_MS: u64 = 24 * 60 * 60 * 1_000;
/// Maximum number of records; the oldest suspects are evicted first.
const MAX_RECORDS: usize = 4_096;
/// Maximum number of host losses kept to detect a common cause.
const MAX_HOST_LOSSES: usize = 512;

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may run on any host.
    Clear,
    /// The request ran on one lost host; it may run in quarantine, after `not_before_ms`. Two
    /// losses in one failure domain also make a suspect until their cause is known.
    Suspect {
        /// When reports of other losses have arrived.
        not_before_ms: TimeMs,
    },
    /// The request ran on two lost hosts; it is refused as failed.
    Rejected,
}

/// The strike records that this node knows.
#[derive(Clone, Debug, Default)]
pub struct StrikeTable {
    // Sorted by fingerprint.
    records: Vec<StrikeRecord>,
    // Sorted by host and time.
    losses: Vec<HostLoss>,
    // Sorted by host.
    announced_leaves: Vec<(HostKey, TimeMs)>,
    pending: StrikeReport,
    // Fingerprints of the records to be sent with the next report, sorted.
    changed_fingerprints: Vec<Fingerprint>,
}

impl StrikeTable {
    /// Returns whether a request may run at `now`.
    #[must_use]
    pub fn verdict(&self, fingerprint: Fingerprint, now: TimeMs) -> Verdict {
        let Ok(index) = self.find(fingerprint) else {
            return Verdict::Clear;
        };
        let losses = self.active_losses(&self.records[index], now);
        match losses.as_slice() {
            [] => Verdict::Clear,
            [one] => Verdict::Suspect {
                not_before_ms: one.at_ms.after(SETTLE_DELAY_MS),
            },
            // Two losses in one failure domain may be part of a larger one, which is known once the
            // window has passed.
            [first, .., last] if first.domain == last.domain && is_undecided(*last, now) => {
                Verdict::Suspect {
                    not_before_ms: last.at_ms.after(CORRELATION_WINDOW_MS),
                }
            }
            losses => {
                debug_assert!(losses.len() >= LOSSES_TO_REJECT);
                Verdict::Rejected
            }
        }
    }

    /// Returns the hosts lost while a request ran on them; it must not be sent to them again.
    #[must_use]
    pub fn lost_hosts(&self, fingerprint: Fingerprint, now: TimeMs) -> Vec<HostKey> {
        let index = self.find(fingerprint);
        let losses = index.map(|index| self.active_losses(&self.records[index], now));
        let mut hosts: Vec<_> = losses.into_iter().flatten().map(|loss| loss.host).collect();
        hosts.sort_unstable();
        hosts
    }

    /// Records that a host was lost without notice while these requests ran on it.
    ///
    /// Only the loss of the host itself counts: its connections closed or stopped responding, and
    /// it no longer answers. A single broken connection is no loss.
    pub fn record_loss(&mut self, loss: HostLoss, running: &[Fingerprint], now: TimeMs) {
        self.add_loss(loss);
        for fingerprint in running {
            let record = StrikeRecord {
                fingerprint: *fingerprint,
                losses: vec![loss],
                cleared_until_ms: TimeMs::default(),
            };
            self.merge_record(&record);
        }
        self.expire(now);
    }

    /// Records that a host's leave was announced, even if the notice arrived after the loss.
    pub fn record_announced_leave(&mut self, host: HostKey, now: TimeMs) {
        self.merge_announced_leave((host, now.after(SAME_LOSS_WINDOW_MS)));
    }

    /// Records that a request has run past the point of its upstream's loss; see
    /// [`PASSED_AFTER_TOKENS`].
    ///
    /// A request that ends has passed it too. The rule does not depend on how many requests were
    /// running: each is suspect until it has passed, and the one that crashes its upstream never
    /// does.
    pub fn record_passed(&mut self, fingerprint: Fingerprint, now: TimeMs) {
        if let Ok(index) = self.find(fingerprint) {
            let cleared = StrikeRecord {
                fingerprint,
                losses: Vec::new(),
                cleared_until_ms: now,
            };
            if self.attributable_losses(&self.records[index]).count() < LOSSES_TO_REJECT {
                self.merge_record(&cleared);
            }
        }
    }

    /// Merges another node's report; new content is forwarded with the next report.
    pub fn merge(&mut self, report: &StrikeReport, now: TimeMs) {
        for loss in &report.losses {
            self.add_loss(*loss);
        }
        for leave in &report.announced_leaves {
            self.merge_announced_leave(*leave);
        }
        for record in &report.records {
            self.merge_record(record);
        }
        self.expire(now);
    }

    /// Returns the changes since the last report; empty if there are none.
    #[must_use]
    pub fn take_report(&mut self) -> StrikeReport {
        let mut report = std::mem::take(&mut self.pending);
        let changed_fingerprints = std::mem::take(&mut self.changed_fingerprints);
        let indices = changed_fingerprints
            .into_iter()
            .filter_map(|fingerprint| self.find(fingerprint).ok());
        report.records = indices.map(|index| self.records[index].clone()).collect();
        report
    }

    /// Returns the complete state, for a node that has just started.
    #[must_use]
    pub fn full_report(&self) -> StrikeReport {
        StrikeReport {
            records: self.records.clone(),
            losses: self.losses.clone(),
            announced_leaves: self.announced_leaves.clone(),
        }
    }

    /// Returns the losses that count against a record at `now`, oldest first.
    fn active_losses(&self, record: &StrikeRecord, now: TimeMs) -> Vec<HostLoss> {
        let mut losses: Vec<_> = self.attributable_losses(record).collect();
        let ttl_ms = record_ttl_ms(losses.len());
        losses.retain(|loss| now.since(loss.at_ms) < ttl_ms);
        losses.sort_by_key(|loss| loss.at_ms);
        losses
    }

    /// Returns the losses of a record that have no other known cause, regardless of age.
    fn attributable_losses(&self, record: &StrikeRecord) -> impl Iterator<Item = HostLoss> {
        let losses = record.losses.iter().copied();
        losses.filter(|loss| {
            loss.at_ms > record.cleared_until_ms
                && !self.is_announced(*loss)
                && !self.is_correlated(*loss)
        })
    }

    fn is_announced(&self, loss: HostLoss) -> bool {
        let found = self
            .announced_leaves
            .binary_search_by_key(&loss.host, |entry| entry.0);
        found.is_ok_and(|index| loss.at_ms <= self.announced_leaves[index].1)
    }

    /// Returns whether so many hosts of the failure domain were lost that no request can be the
    /// cause.
    fn is_correlated(&self, loss: HostLoss) -> bool {
        let is_near = |other: &&HostLoss| {
            other.domain == loss.domain && distance_ms(**other, loss) <= CORRELATION_WINDOW_MS
        };
        let mut hosts: Vec<_> = self.losses.iter().filter(is_near).map(|d| d.host).collect();
        // `losses` is sorted by host.
        hosts.dedup();
        hosts.len() >= MIN_CORRELATED_HOSTS
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.records
            .binary_search_by_key(&fingerprint, |record| record.fingerprint)
    }

    fn add_loss(&mut self, loss: HostLoss) {
        if insert_loss(&mut self.losses, loss) {
            self.pending.losses.push(loss);
        }
    }

    fn merge_announced_leave(&mut self, entry: (HostKey, TimeMs)) {
        match self
            .announced_leaves
            .binary_search_by_key(&entry.0, |known| known.0)
        {
            Ok(index) if self.announced_leaves[index].1 >= entry.1 => return,
            Ok(index) => self.announced_leaves[index] = entry,
            Err(index) => self.announced_leaves.insert(index, entry),
        }
        self.pending.announced_leaves.push(entry);
    }

    fn merge_record(&mut self, new: &StrikeRecord) {
        let index = match self.find(new.fingerprint) {
            Ok(index) => index,
            Err(index) => {
                let empty = StrikeRecord {
                    fingerprint: new.fingerprint,
                    losses: Vec::new(),
                    cleared_until_ms: TimeMs::default(),
                };
                self.records.insert(index, empty);
                index
            }
        };
        let record = &mut self.records[index];
        let mut is_changed = record.cleared_until_ms < new.cleared_until_ms;
        record.cleared_until_ms = record.cleared_until_ms.max(new.cleared_until_ms);
        for loss in &new.losses {
            is_changed |= insert_loss(&mut record.losses, *loss);
        }
        // Keeps the newest losses; the choice must not depend on the order of arrival.
        while record.losses.len() > MAX_LOSSES_PER_RECORD {
            let oldest = (0..record.losses.len()).min_by_key(|index| record.losses[*index].at_ms);
            record.losses.remove(oldest.unwrap_or_default());
        }
        if is_changed {
            let fingerprint = new.fingerprint;
            if let Err(index) = self.changed_fingerprints.binary_search(&fingerprint) {
                self.changed_fingerprints.insert(index, fingerprint);
            }
        }
    }

    fn expire(&mut self, now: TimeMs) {
        let mut records = std::mem::take(&mut self.records);
        records.retain(|record| {
            let ttl_ms = record_ttl_ms(self.attributable_losses(record).count());
            now.since(last_update_ms(record)) < ttl_ms
        });
        if records.len() > MAX_RECORDS {
            // Many suspects must not evict the records of rejected requests.
            records.sort_by_cached_key(|record| {
                let is_rejected = self.attributable_losses(record).count() >= LOSSES_TO_REJECT;
                std::cmp::Reverse((is_rejected, last_update_ms(record)))
            });
            records.truncate(MAX_RECORDS);
            records.sort_by_key(|record| record.fingerprint);
        }
        self.records = records;
        self.expire_deaths(now);
    }

    fn expire_deaths(&mut self, now: TimeMs) {
        // A record needs the losses near its own for as long as it exists; the oldest are dropped
        // beyond the bound.
        self.losses
            .retain(|loss| now.since(loss.at_ms) < REJECTED_TTL_MS);
        while self.losses.len() > MAX_HOST_LOSSES {
            let oldest = (0..self.losses.len()).min_by_key(|index| self.losses[*index].at_ms);
            self.losses.remove(oldest.unwrap_or_default());
        }
        self.announced_leaves
            .retain(|(_, until_ms)| now.since(*until_ms) < REJECTED_TTL_MS);
    }
}

/// Returns the lifetime of a record with this number of losses.
fn record_ttl_ms(losses: usize) -> u64 {
    if losses >= LOSSES_TO_REJECT {
        REJECTED_TTL_MS
    } else {
        SUSPECT_TTL_MS
    }
}

fn last_update_ms(record: &StrikeRecord) -> TimeMs {
    let losses = record.losses.iter().map(|loss| loss.at_ms);
    losses
        .max()
        .unwrap_or_default()
        .max(record.cleared_until_ms)
}

fn is_undecided(last: HostLoss, now: TimeMs) -> bool {
    now.since(last.at_ms) < CORRELATION_WINDOW_MS
}

fn distance_ms(one: HostLoss, other: HostLoss) -> u64 {
    one.at_ms.0.abs_diff(other.at_ms.0)
}

/// Adds a loss, or moves a known one to its earlier time; returns whether anything changed.
fn insert_loss(losses: &mut Vec<HostLoss>, loss: HostLoss) -> bool {
    let same = |known: &HostLoss| {
        known.host == loss.host && distance_ms(*known, loss) < SAME_LOSS_WINDOW_MS
    };
    match losses.iter().position(same) {
        Some(index) if losses[index].at_ms <= loss.at_ms => return false,
        Some(index) => {
            losses.remove(index);
        }
        None => {}
    }
    let at = losses.partition_point(|known| (known.host, known.at_ms) < (loss.host, loss.at_ms));
    losses.insert(at, loss);
    true
}

#[cfg(test)]
mod tests;
