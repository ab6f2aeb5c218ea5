//! How the answers that are being read share the memory meant for them: pure, without clocks or sockets.
//!
//! An answer reserves bytes before it reads them, and waits while it may not. Most reserve within a
//! common part, of which an upstream may hold at most half of what is left free: however many bodies of
//! some upstreams stop or go on without end, others find room. One answer at a time reserves its whole
//! bound outside of the common part. It never waits again, and while any answer waits there is one such:
//! some answer can always go on.

use std::collections::BTreeMap;

/// Longest body beyond its exempt part, which one answer at a time reserves as a whole.
pub(super) const LONGEST_BYTES: usize = 16 * 1024 * 1024;

/// Bytes that all other answers may reserve.
pub(super) const COMMON_BYTES: usize = 12 * 1024 * 1024;

/// Most upstreams whose long answers are known not to have ended.
const MAX_UNFINISHED: usize = 256;

/// Identifies an answer; later ones are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AnswerId(u64);

/// Whether an answer may be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reservation {
    Granted,
    /// It may be read on once others have left.
    Waits,
}

#[derive(Clone, Copy, Debug)]
struct Share {
    /// Tag of the upstream that sends the answer.
    upstream: u64,
    /// Bytes reserved in the common part.
    common_bytes: usize,
    /// Bytes that it waits for.
    wanted_bytes: Option<usize>,
    /// Whether it has been read to its end.
    is_whole: bool,
}

/// What the answers of a node have reserved.
#[derive(Debug, Default)]
pub(super) struct AnswerShares {
    shares: BTreeMap<AnswerId, Share>,
    /// The answer that has reserved its whole bound.
    longest: Option<AnswerId>,
    common_bytes: usize,
    bytes_by_upstream: BTreeMap<u64, usize>,
    /// How often answers of an upstream have held the whole bound and not ended; sorted by its tag.
    unfinished: Vec<(u64, u32)>,
    last_id: u64,
}

impl AnswerShares {
    /// Records an answer of this upstream that has reserved nothing.
    pub fn enter(&mut self, upstream: u64) -> AnswerId {
        self.last_id += 1;
        let id = AnswerId(self.last_id);
        let share = Share {
            upstream,
            common_bytes: 0,
            wanted_bytes: None,
            is_whole: false,
        };
        self.shares.insert(id, share);
        id
    }

    /// Gives back what an answer has reserved, and lets others go on.
    pub fn leave(&mut self, id: AnswerId) {
        self.release(id);
        let share = self.shares.remove(&id);
        if self.longest == Some(id) {
            self.longest = None;
            if let Some(share) = share {
                self.record_longest(&share);
            }
        }
        self.let_go_on();
    }

    /// Records that an answer has been read to its end.
    pub fn record_whole(&mut self, id: AnswerId) {
        if let Some(share) = self.shares.get_mut(&id) {
            share.is_whole = true;
        }
    }

    /// Records how an answer left that had reserved its whole bound.
    fn record_longest(&mut self, share: &Share) {
        let found = (self.unfinished).binary_search_by_key(&share.upstream, |(tag, _count)| *tag);
        match found {
            Ok(index) if share.is_whole => {
                self.unfinished.remove(index);
            }
            Ok(index) => self.unfinished[index].1 += 1,
            Err(_absent) if share.is_whole => {}
            Err(index) => self.unfinished.insert(index, (share.upstream, 1)),
        }
        if self.unfinished.len() > MAX_UNFINISHED {
            self.unfinished.clear();
        }
    }

    fn unfinished_of(&self, upstream: u64) -> u32 {
        let found = (self.unfinished).binary_search_by_key(&upstream, |(tag, _count)| *tag);
        found.map_or(0, |index| self.unfinished[index].1)
    }

    /// Raises what an answer has reserved to `bytes`, if it may.
    pub fn reserve(&mut self, id: AnswerId, bytes: usize) -> Reservation {
        if self.longest == Some(id) {
            return Reservation::Granted;
        }
        if let Some(share) = self.shares.get_mut(&id) {
            share.wanted_bytes = Some(bytes);
        }
        if !self.try_common(id) && self.longest.is_none() {
            self.let_go_on();
        }
        if self.is_waiting(id) {
            Reservation::Waits
        } else {
            Reservation::Granted
        }
    }

    /// Whether an answer waits for room.
    pub fn is_waiting(&self, id: AnswerId) -> bool {
        let share = self.shares.get(&id);
        share.is_some_and(|share| share.wanted_bytes.is_some())
    }

    /// Returns the bytes that all answers have reserved.
    pub fn reserved_bytes(&self) -> usize {
        self.common_bytes + self.longest.map_or(0, |_id| LONGEST_BYTES)
    }

    /// Grants what waiting answers may reserve, those of upstreams first whose long answers have ended, and of these of
    /// the ones that hold least.
    fn let_go_on(&mut self) {
        for id in self.waiting() {
            self.try_common(id);
        }
        if self.longest.is_some() {
            return;
        }
        let Some(next) = self.waiting().first().copied() else {
            return;
        };
        self.longest = Some(next);
        self.release(next);
        if let Some(share) = self.shares.get_mut(&next) {
            share.wanted_bytes = None;
        }
        for id in self.waiting() {
            self.try_common(id);
        }
    }

    fn waiting(&self) -> Vec<AnswerId> {
        let waiting = (self.shares.iter()).filter(|(_id, share)| share.wanted_bytes.is_some());
        let mut ranked: Vec<(u32, usize, AnswerId)> = waiting
            .map(|(id, share)| {
                let held_bytes = self.held_by(share.upstream);
                (self.unfinished_of(share.upstream), held_bytes, *id)
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(.., id)| id).collect()
    }

    fn held_by(&self, upstream: u64) -> usize {
        self.bytes_by_upstream.get(&upstream).copied().unwrap_or(0)
    }

    /// Reserves what an answer wants in the common part, if its upstream then holds at most half of what is left free.
    fn try_common(&mut self, id: AnswerId) -> bool {
        let Some(share) = self.shares.get(&id).copied() else {
            return false;
        };
        let wanted = share.wanted_bytes.unwrap_or(0);
        let more = wanted.saturating_sub(share.common_bytes);
        let held = self.held_by(share.upstream).saturating_add(more);
        let all = self.common_bytes.saturating_add(more);
        if more > 0 && held.saturating_mul(2).saturating_add(all) > COMMON_BYTES {
            return false;
        }
        self.common_bytes = all;
        self.bytes_by_upstream.insert(share.upstream, held);
        let granted = Share {
            common_bytes: share.common_bytes + more,
            wanted_bytes: None,
            ..share
        };
        self.shares.insert(id, granted);
        true
    }

    /// Gives back what an answer has reserved in the common part.
    fn release(&mut self, id: AnswerId) {
        let Some(share) = self.shares.get_mut(&id) else {
            return;
        };
        let bytes = std::mem::take(&mut share.common_bytes);
        let upstream = share.upstream;
        self.common_bytes -= bytes;
        let left = self.held_by(upstream) - bytes;
        match left {
            0 => self.bytes_by_upstream.remove(&upstream),
            left => self.bytes_by_upstream.insert(upstream, left),
        };
    }
}

#[cfg(test)]
mod tests;
