//! Which request holds each key of a partition.
//!
//! # Starting in the middle
//!
//! The log forgets old records, so a node may start in the middle of a stream, and a claim that it
//! cannot see may have held when the first ones that it sees were made. Judged without it, a claim
//! that lost would seem to have won, and the two views could differ for as long as the key is
//! claimed again and again. Therefore
//!
//! - the table is *settled* from the time on at which all unseen claims have expired, and
//! - a key that was claimed before is *uncertain* until nobody has claimed it for a whole time to
//!   live; after that it is free in every view.
//!
//! A certain row is the same in all tables, whenever their nodes started (`tests` checks this).

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use super::{CLAIM_TTL_MS, CLOCK_SKEW_MS, Claim, ClaimKey, WRITERS_WINDOW_MS};
use crate::coordination::follower::{Fold, Gap};
use crate::coordination::log::Record;
use crate::time::TimeMs;

/// What is known of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder<'a> {
    /// Nobody holds it.
    Nobody,
    /// This request holds it.
    Request {
        /// Its id.
        winner: &'a str,
        /// When the log took its claim.
        claimed_ms: TimeMs,
        /// When the log took its newest claim, if it claimed more than once.
        repeated_ms: TimeMs,
    },
    /// Somebody may hold it.
    Uncertain,
}

#[derive(Debug)]
struct Row {
    winner: Box<str>,
    claimed_ms: TimeMs,
    repeated_ms: TimeMs,
    certain: bool,
}

/// When to look whether a row has ended.
#[derive(Clone, Copy, Debug)]
struct Expiry {
    key: ClaimKey,
    claimed_ms: TimeMs,
}

#[derive(Debug)]
struct Writer {
    name: String,
    wrote_ms: TimeMs,
}

/// The keys of a partition that are held; all times are the log's.
#[derive(Debug)]
pub struct ClaimTable {
    retention_ms: u64,
    rows: FxHashMap<ClaimKey, Row>,
    /// In the order of the log, and so of time.
    expiries: VecDeque<Expiry>,
    writers: Vec<Writer>,
    log_now_ms: TimeMs,
    settled_from_ms: TimeMs,
}

impl ClaimTable {
    /// A table of a partition nothing of which has been read yet.
    ///
    /// The log is known to keep records for at least `retention_ms`; 0 if nothing is known.
    #[must_use]
    pub fn new(retention_ms: u64) -> Self {
        Self {
            retention_ms,
            rows: FxHashMap::default(),
            expiries: VecDeque::new(),
            writers: Vec::new(),
            log_now_ms: TimeMs(0),
            settled_from_ms: TimeMs(0),
        }
    }

    /// Who holds `key`, as of the newest record.
    #[must_use]
    pub fn holder(&self, key: ClaimKey) -> Holder<'_> {
        match self.rows.get(&key) {
            Some(row) if row.certain => Holder::Request {
                winner: &row.winner,
                claimed_ms: row.claimed_ms,
                repeated_ms: row.repeated_ms,
            },
            Some(_) => Holder::Uncertain,
            None => Holder::Nobody,
        }
    }

    /// Claims that the log takes from this time on can be judged.
    #[must_use]
    pub fn settled_from_ms(&self) -> TimeMs {
        self.settled_from_ms
    }

    /// Keys that are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Writers that appended lately.
    #[must_use]
    pub fn writers(&self) -> usize {
        self.writers.len()
    }

    fn take(&mut self, claim: Claim) {
        let now = self.log_now_ms;
        let certain = now >= self.settled_from_ms;
        let key = claim.key;
        let new = Row {
            winner: claim.id.into_boxed_str(),
            claimed_ms: now,
            repeated_ms: now,
            certain,
        };
        match self.rows.get_mut(&key) {
            // Whoever claims an uncertain key, all that is known afterwards is that it may hold it.
            Some(held) if !held.certain => held.claimed_ms = now,
            // The winner asks again. Its time does not start anew: the home must start the call
            // within the time that the first claim gave it.
            Some(held) if held.winner == new.winner => {
                held.repeated_ms = now;
                return;
            }
            Some(held) if claim.supersedes.as_deref() == Some(&*held.winner) => *held = new,
            Some(_) => return,
            None => {
                self.rows.insert(key, new);
            }
        }
        let claimed_ms = now;
        self.expiries.push_back(Expiry { key, claimed_ms });
    }

    fn expire(&mut self) {
        let now = self.log_now_ms;
        while let Some(expiry) = self.expiries.front().copied()
            && expiry.claimed_ms.after(CLAIM_TTL_MS) <= now
        {
            self.expiries.pop_front();
            let held = self.rows.get(&expiry.key);
            if held.is_some_and(|row| row.claimed_ms == expiry.claimed_ms) {
                self.rows.remove(&expiry.key);
            }
        }
    }

    fn note_writer(&mut self, name: &str) {
        let now = self.log_now_ms;
        self.writers
            .retain(|writer| writer.name != name && now.since(writer.wrote_ms) < WRITERS_WINDOW_MS);
        self.writers.push(Writer {
            name: name.to_owned(),
            wrote_ms: now,
        });
    }
}

impl Fold for ClaimTable {
    fn apply(&mut self, record: &Record) {
        self.log_now_ms = self.log_now_ms.max(record.at_ms);
        self.expire();
        self.note_writer(&record.writer);
        // A record that cannot be read claims nothing; all nodes of this version agree on that.
        let claims: Vec<Claim> = serde_json::from_str(&record.payload).unwrap_or_else(|error| {
            log::warn!(offset = record.offset, error:% = error; "a claims record is unreadable");
            Vec::new()
        });
        for claim in claims {
            self.take(claim);
        }
    }

    fn skip(&mut self, gap: &Gap) {
        self.rows.clear();
        self.expiries.clear();
        // Unseen records are older than the first that is seen, and older than the log's
        // retention. The second bound lets a node start at once on a stream that was quiet.
        let unseen_until_ms = gap.first_at_ms.unwrap_or(gap.met_ms.after(CLOCK_SKEW_MS));
        let gone_until_ms = gap.met_ms.0.saturating_sub(self.retention_ms);
        let gone_until_ms = TimeMs(gone_until_ms).after(CLOCK_SKEW_MS);
        let newest_unseen_ms = unseen_until_ms.min(gone_until_ms);
        self.settled_from_ms = newest_unseen_ms.after(CLAIM_TTL_MS);
    }
}
