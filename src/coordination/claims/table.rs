//! The holders of the keys of one partition, computed from the log.
//!
//! # Starting in the middle of the stream
//!
//! The log drops old records, so a node may start in the middle of a stream, and a claim that is
//! missing here may have been in effect when the first visible ones were made. Without the missing
//! claim a losing claim would seem to have won, and the views of two nodes could differ for as long
//! as the key is claimed again and again. Therefore
//!
//! - the table is *settled* from the time at which all missing claims have expired, and
//! - a key that was claimed before that time is *uncertain* until it has not been claimed for one
//!   time to live; after that it is free in every view.
//!
//! A certain row is the same in all tables, regardless of when their nodes started (`tests` checks
//! this).

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use super::{CLAIM_TTL_MS, CLOCK_SKEW_MS, Claim, ClaimKey, WRITERS_WINDOW_MS};
use crate::coordination::follower::{Fold, Gap};
use crate::coordination::log::Record;
use crate::time::TimeMs;

/// The holder of a key, as far as the table knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder<'a> {
    /// The key is free.
    Free,
    /// A request holds the key.
    Request {
        /// The request id.
        winner: &'a str,
        /// The time at which the log appended its claim.
        claimed_ms: TimeMs,
        /// The time at which the log appended its latest claim, if the request claimed more than
        /// once.
        latest_claim_ms: TimeMs,
    },
    /// The key may be held by an unknown request.
    Uncertain,
}

#[derive(Debug)]
struct Row {
    winner: Box<str>,
    claimed_ms: TimeMs,
    latest_claim_ms: TimeMs,
    is_certain: bool,
}

/// The claim time of a row, queued to check the row for expiry.
#[derive(Clone, Copy, Debug)]
struct Expiry {
    key: ClaimKey,
    claimed_ms: TimeMs,
}

#[derive(Debug)]
struct Writer {
    name: String,
    appended_ms: TimeMs,
}

/// The claimed keys of a partition; all times are on the log's clock.
#[derive(Debug)]
pub struct ClaimTable {
    retention_ms: u64,
    rows: FxHashMap<ClaimKey, Row>,
    /// In log order, which is also the order of time.
    expiries: VecDeque<Expiry>,
    writers: Vec<Writer>,
    log_now_ms: TimeMs,
    settled_from_ms: TimeMs,
}

impl ClaimTable {
    /// Creates the table of a partition of which nothing has been read yet.
    ///
    /// The log retains records for at least `retention_ms`; 0 if that is unknown.
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

    /// Returns the holder of `key` as of the newest record.
    #[must_use]
    pub fn holder(&self, key: ClaimKey) -> Holder<'_> {
        match self.rows.get(&key) {
            Some(row) if row.is_certain => Holder::Request {
                winner: &row.winner,
                claimed_ms: row.claimed_ms,
                latest_claim_ms: row.latest_claim_ms,
            },
            Some(_) => Holder::Uncertain,
            None => Holder::Free,
        }
    }

    /// Returns the time from which claims appended to the log can be decided.
    #[must_use]
    pub fn settled_from_ms(&self) -> TimeMs {
        self.settled_from_ms
    }

    /// Returns the number of claimed keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no key is claimed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the number of writers that appended within [`WRITERS_WINDOW_MS`].
    #[must_use]
    pub fn writers(&self) -> usize {
        self.writers.len()
    }

    fn apply_claim(&mut self, claim: Claim) {
        let now = self.log_now_ms;
        let is_certain = now >= self.settled_from_ms;
        let key = claim.key;
        let new = Row {
            winner: claim.id.into_boxed_str(),
            claimed_ms: now,
            latest_claim_ms: now,
            is_certain,
        };
        match self.rows.get_mut(&key) {
            // The claimant of an uncertain key may hold the key, so the key stays uncertain.
            Some(held) if !held.is_certain => held.claimed_ms = now,
            // A repeated claim by the winner does not extend the time to live: the home must start
            // the call within the time that the first claim granted.
            Some(held) if held.winner == new.winner => {
                held.latest_claim_ms = now;
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

    fn expire_rows(&mut self) {
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

    fn record_writer(&mut self, name: &str) {
        let now = self.log_now_ms;
        self.writers.retain(|writer| {
            writer.name != name && now.since(writer.appended_ms) < WRITERS_WINDOW_MS
        });
        self.writers.push(Writer {
            name: name.to_owned(),
            appended_ms: now,
        });
    }
}

impl Fold for ClaimTable {
    fn apply(&mut self, record: &Record) {
        self.log_now_ms = self.log_now_ms.max(record.at_ms);
        self.expire_rows();
        self.record_writer(&record.writer);
        // An unreadable record claims nothing; all nodes of this version ignore it alike.
        let claims: Vec<Claim> = serde_json::from_str(&record.payload).unwrap_or_else(|error| {
            log::warn!(
                offset = record.offset, error:% = error;
                "ignoring an unreadable claims record"
            );
            Vec::new()
        });
        for claim in claims {
            self.apply_claim(claim);
        }
    }

    fn skip(&mut self, gap: &Gap) {
        self.rows.clear();
        self.expiries.clear();
        // Missing records are older than the first visible one and older than the log's retention.
        // The second bound lets a node start without delay on a stream without recent records.
        let unseen_until_ms = gap
            .first_at_ms
            .unwrap_or(gap.detected_at_ms.after(CLOCK_SKEW_MS));
        let gone_until_ms = gap.detected_at_ms.0.saturating_sub(self.retention_ms);
        let gone_until_ms = TimeMs(gone_until_ms).after(CLOCK_SKEW_MS);
        let newest_unseen_ms = unseen_until_ms.min(gone_until_ms);
        self.settled_from_ms = newest_unseen_ms.after(CLAIM_TTL_MS);
    }
}
