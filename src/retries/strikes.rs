//! Strikes against requests that were running when their upstream died.
//!
//! A record is a set of deaths that only grows and a time before which all are forgiven, so nodes
//! can exchange records in any order, any number of times, and come to hold the same.

pub mod record;

use crate::keys::HostKey;
use crate::time::TimeMs;

pub use record::{Death, Fingerprint, StrikeRecord, StrikeReport};

/// Deaths after which a request is refused everywhere.
const DEATHS_TO_CONVICT: usize = 2;
/// Deaths kept in one record; more add nothing.
const DEATHS_KEPT: usize = 4;
/// Reports of one host's death that lie closer together are of the same death.
///
/// Nodes notice a death at different times: at once when the connection closes, seconds later when
/// it only falls silent.
const SAME_DEATH_MS: u64 = 10_000;
/// Deaths in one failure domain this close together have a common cause.
const CORRELATED_WITHIN_MS: u64 = 5_000;
/// So many of them; a request that kills brings about two at most before it is refused.
const CORRELATED_HOSTS: usize = 3;
/// A suspect does not run again until the news of other deaths has arrived.
///
/// The caller may have sent the same content to several nodes at once. Their upstreams die within
/// milliseconds of each other; a node that starts its copy again before it has heard of the other
/// death would bring about a third.
const SETTLE_MS: u64 = 500;
/// A request has passed the point of its upstream's death once it is this many tokens further.
///
/// The node has not seen the last tokens before a death; with fewer, a request that kills at a
/// certain token would be forgiven just before that token, and could kill without end.
pub const PASSED_AFTER_TOKENS: u64 = 32;
/// How long a suspicion lasts.
const SUSPECT_FOR_MS: u64 = 10 * 60 * 1_000;
/// How long a request that killed twice stays refused.
const CONVICTED_FOR_MS: u64 = 24 * 60 * 60 * 1_000;
/// Records kept; the oldest suspicion goes first.
const RECORDS_KEPT: usize = 4_096;
/// Deaths of hosts that are remembered to recognise a common cause.
const HOST_DEATHS_KEPT: usize = 512;

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Clear,
    /// It was present at one death: it may run in quarantine, not before this time.
    Suspect {
        /// When the news of other deaths has arrived.
        not_before_ms: TimeMs,
    },
    /// It was present at two deaths: it is refused as failed.
    Convicted,
}

/// Strikes that this node knows of.
#[derive(Clone, Debug, Default)]
pub struct Strikes {
    // Sorted by fingerprint.
    records: Vec<StrikeRecord>,
    // Sorted by host and time.
    deaths: Vec<Death>,
    // Sorted by host.
    announced: Vec<(HostKey, TimeMs)>,
    unsent: StrikeReport,
    // Fingerprints whose records are to be sent, sorted.
    changed: Vec<Fingerprint>,
}

impl Strikes {
    /// Whether a request may run.
    #[must_use]
    pub fn verdict(&self, fingerprint: Fingerprint, now: TimeMs) -> Verdict {
        let Ok(index) = self.find(fingerprint) else {
            return Verdict::Clear;
        };
        let held = self.held(&self.records[index], now);
        match held.as_slice() {
            [] => Verdict::Clear,
            [one] => Verdict::Suspect {
                not_before_ms: one.at_ms.after(SETTLE_MS),
            },
            // Two deaths in one failure domain may turn out to be part of a larger loss, which
            // shows once the window has passed.
            [first, .., last] if first.domain == last.domain && undecided(*last, now) => {
                Verdict::Suspect {
                    not_before_ms: last.at_ms.after(CORRELATED_WITHIN_MS),
                }
            }
            held => {
                debug_assert!(held.len() >= DEATHS_TO_CONVICT);
                Verdict::Convicted
            }
        }
    }

    /// Hosts that died with a request, which it must not be sent to again.
    #[must_use]
    pub fn died_with(&self, fingerprint: Fingerprint, now: TimeMs) -> Vec<HostKey> {
        let index = self.find(fingerprint);
        let held = index.map(|index| self.held(&self.records[index], now));
        let mut hosts: Vec<_> = held.into_iter().flatten().map(|death| death.host).collect();
        hosts.sort_unstable();
        hosts
    }

    /// Notes that a host died without notice while these requests ran on it.
    ///
    /// Only an end of the host itself counts: its connections closed or fell silent and it no
    /// longer answers. One broken connection is no death.
    pub fn note_death(&mut self, death: Death, running: &[Fingerprint], now: TimeMs) {
        self.add_death(death);
        for fingerprint in running {
            let record = StrikeRecord {
                fingerprint: *fingerprint,
                deaths: vec![death],
                forgiven_ms: TimeMs::default(),
            };
            self.merge_record(&record);
        }
        self.expire(now);
    }

    /// Notes that a host that died had been announced to leave, even if the notice came later.
    pub fn note_announced(&mut self, host: HostKey, now: TimeMs) {
        self.merge_announced((host, now.after(SAME_DEATH_MS)));
    }

    /// Notes that a request has run past where its upstream died: see [`PASSED_AFTER_TOKENS`].
    ///
    /// A request that ends is past it too. Whether several requests or one alone were running makes
    /// no difference: each is suspect until it has passed, and the one that kills never does.
    pub fn note_passed(&mut self, fingerprint: Fingerprint, now: TimeMs) {
        if let Ok(index) = self.find(fingerprint) {
            let forgiven = StrikeRecord {
                fingerprint,
                deaths: Vec::new(),
                forgiven_ms: now,
            };
            if self.blamed(&self.records[index]).count() < DEATHS_TO_CONVICT {
                self.merge_record(&forgiven);
            }
        }
    }

    /// Takes in what another node tells; what was new is passed on in the next report.
    pub fn merge(&mut self, report: &StrikeReport, now: TimeMs) {
        for death in &report.deaths {
            self.add_death(*death);
        }
        for announced in &report.announced {
            self.merge_announced(*announced);
        }
        for record in &report.records {
            self.merge_record(record);
        }
        self.expire(now);
    }

    /// What has changed since the last report; empty if nothing has.
    #[must_use]
    pub fn take_report(&mut self) -> StrikeReport {
        let mut report = std::mem::take(&mut self.unsent);
        let changed = std::mem::take(&mut self.changed);
        let indices = changed
            .into_iter()
            .filter_map(|print| self.find(print).ok());
        report.records = indices.map(|index| self.records[index].clone()).collect();
        report
    }

    /// Everything, for a node that has just started.
    #[must_use]
    pub fn whole_report(&self) -> StrikeReport {
        StrikeReport {
            records: self.records.clone(),
            deaths: self.deaths.clone(),
            announced: self.announced.clone(),
        }
    }

    /// Deaths that count against a record, oldest first.
    fn held(&self, record: &StrikeRecord, now: TimeMs) -> Vec<Death> {
        let mut held: Vec<_> = self.blamed(record).collect();
        let last_ms = lasts_ms(held.len());
        held.retain(|death| now.since(death.at_ms) < last_ms);
        held.sort_by_key(|death| death.at_ms);
        held
    }

    /// Deaths of a record that have no other cause, however old.
    fn blamed(&self, record: &StrikeRecord) -> impl Iterator<Item = Death> {
        let deaths = record.deaths.iter().copied();
        deaths.filter(|death| {
            death.at_ms > record.forgiven_ms
                && !self.is_announced(*death)
                && !self.is_correlated(*death)
        })
    }

    fn is_announced(&self, death: Death) -> bool {
        let found = self
            .announced
            .binary_search_by_key(&death.host, |entry| entry.0);
        found.is_ok_and(|index| death.at_ms <= self.announced[index].1)
    }

    /// Whether so many hosts of its failure domain died with it that no request can be the cause.
    fn is_correlated(&self, death: Death) -> bool {
        let near = |other: &&Death| {
            other.domain == death.domain && apart_ms(**other, death) <= CORRELATED_WITHIN_MS
        };
        let mut hosts: Vec<_> = self.deaths.iter().filter(near).map(|d| d.host).collect();
        // Sorted by host already.
        hosts.dedup();
        hosts.len() >= CORRELATED_HOSTS
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.records
            .binary_search_by_key(&fingerprint, |record| record.fingerprint)
    }

    fn add_death(&mut self, death: Death) {
        if insert_death(&mut self.deaths, death) {
            self.unsent.deaths.push(death);
        }
    }

    fn merge_announced(&mut self, entry: (HostKey, TimeMs)) {
        match self.announced.binary_search_by_key(&entry.0, |held| held.0) {
            Ok(index) if self.announced[index].1 >= entry.1 => return,
            Ok(index) => self.announced[index] = entry,
            Err(index) => self.announced.insert(index, entry),
        }
        self.unsent.announced.push(entry);
    }

    fn merge_record(&mut self, new: &StrikeRecord) {
        let index = match self.find(new.fingerprint) {
            Ok(index) => index,
            Err(index) => {
                let empty = StrikeRecord {
                    fingerprint: new.fingerprint,
                    deaths: Vec::new(),
                    forgiven_ms: TimeMs::default(),
                };
                self.records.insert(index, empty);
                index
            }
        };
        let held = &mut self.records[index];
        let mut changed = held.forgiven_ms < new.forgiven_ms;
        held.forgiven_ms = held.forgiven_ms.max(new.forgiven_ms);
        for death in &new.deaths {
            changed |= insert_death(&mut held.deaths, *death);
        }
        // The newest tell the most; which ones go must not depend on the order of arrival.
        while held.deaths.len() > DEATHS_KEPT {
            let oldest = (0..held.deaths.len()).min_by_key(|index| held.deaths[*index].at_ms);
            held.deaths.remove(oldest.unwrap_or_default());
        }
        if changed {
            let print = new.fingerprint;
            if let Err(index) = self.changed.binary_search(&print) {
                self.changed.insert(index, print);
            }
        }
    }

    fn expire(&mut self, now: TimeMs) {
        let mut records = std::mem::take(&mut self.records);
        records.retain(|record| {
            let lasts_ms = lasts_ms(self.blamed(record).count());
            now.since(newest_ms(record)) < lasts_ms
        });
        if records.len() > RECORDS_KEPT {
            // A flood of suspicions must not push out those that have been proven.
            records.sort_by_cached_key(|record| {
                let proven = self.blamed(record).count() >= DEATHS_TO_CONVICT;
                std::cmp::Reverse((proven, newest_ms(record)))
            });
            records.truncate(RECORDS_KEPT);
            records.sort_by_key(|record| record.fingerprint);
        }
        self.records = records;
        self.expire_deaths(now);
    }

    fn expire_deaths(&mut self, now: TimeMs) {
        // A record needs the deaths around its own for as long as it lasts; those beyond the bound
        // are the oldest.
        self.deaths
            .retain(|death| now.since(death.at_ms) < CONVICTED_FOR_MS);
        while self.deaths.len() > HOST_DEATHS_KEPT {
            let oldest = (0..self.deaths.len()).min_by_key(|index| self.deaths[*index].at_ms);
            self.deaths.remove(oldest.unwrap_or_default());
        }
        self.announced
            .retain(|(_, until_ms)| now.since(*until_ms) < CONVICTED_FOR_MS);
    }
}

/// How long a record lasts with so many deaths held against it.
fn lasts_ms(deaths: usize) -> u64 {
    if deaths >= DEATHS_TO_CONVICT {
        CONVICTED_FOR_MS
    } else {
        SUSPECT_FOR_MS
    }
}

fn newest_ms(record: &StrikeRecord) -> TimeMs {
    let deaths = record.deaths.iter().map(|death| death.at_ms);
    deaths.max().unwrap_or_default().max(record.forgiven_ms)
}

fn undecided(last: Death, now: TimeMs) -> bool {
    now.since(last.at_ms) < CORRELATED_WITHIN_MS
}

fn apart_ms(one: Death, other: Death) -> u64 {
    one.at_ms.0.abs_diff(other.at_ms.0)
}

/// Adds a death, or the earlier time of one already there; tells whether anything changed.
fn insert_death(deaths: &mut Vec<Death>, death: Death) -> bool {
    let same = |held: &Death| held.host == death.host && apart_ms(*held, death) < SAME_DEATH_MS;
    match deaths.iter().position(same) {
        Some(index) if deaths[index].at_ms <= death.at_ms => return false,
        Some(index) => {
            deaths.remove(index);
        }
        None => {}
    }
    let at = deaths.partition_point(|held| (held.host, held.at_ms) < (death.host, death.at_ms));
    deaths.insert(at, death);
    true
}

#[cfg(test)]
mod tests;
