//! The subjects that are blocked, and the requests that are refused for them.

use super::subjects::{Subject, Subjects};
use super::{
    AgedBlock, Blame, Change, Crashes, MAX_BLOCKS, MAX_REPORTED_BLOCKS, RETENTION_MS, tell_delay_ms,
};
use crate::time::TimeMs;

/// A subject whose requests are refused.
#[derive(Clone, Copy, Debug)]
pub(super) struct Block {
    pub subject: Subject,
    pub at: TimeMs,
    pub last_seen: TimeMs,
    /// When a request of any node was last let through, as far as this node knows; at first, when
    /// this node learned of the block.
    pub tried_at: TimeMs,
}

impl Crashes {
    /// Records a block that a peer reports; plans to contradict it if the subject is sound here.
    pub fn record_block(&mut self, told: AgedBlock, draw: f64, nodes: usize, now: TimeMs) {
        if told.idle_ms >= RETENTION_MS {
            return;
        }
        let at = TimeMs(now.0.saturating_sub(told.age_ms));
        if self.sound.at(told.subject).is_some_and(|sound| sound > at) {
            let due_at = now.after(tell_delay_ms(draw, nodes));
            self.sound.plan_again(told.subject, due_at);
            return;
        }
        let last_seen = TimeMs(now.0.saturating_sub(told.idle_ms));
        let subject = told.subject;
        if self.block(subject, at, last_seen) {
            self.record_learned(subject, now);
            self.changes.push(Change::Heard { subject });
        }
    }

    /// Returns what a request that is about to be sent is refused for. One that is let through a
    /// block begins a trial; one that is refused renews the block.
    pub fn refusal(&mut self, subjects: &Subjects, now: TimeMs) -> Option<Blame> {
        let refusal = self.refusal_for_now(subjects, now);
        if refusal.is_none() {
            let blocked = self.blocked_parts(subjects, now);
            self.begin_trials(&blocked, now);
        }
        refusal
    }

    /// Returns the same before a request is about to be sent: no trial begins.
    pub fn refusal_for_now(&mut self, subjects: &Subjects, now: TimeMs) -> Option<Blame> {
        self.judge_if_due(now);
        if let Some(index) = self.find_live(subjects.content, now) {
            self.blocks[index].last_seen = now;
            return Some(Blame::Content);
        }
        let blocked = self.blocked_parts(subjects, now);
        for index in &blocked {
            self.blocks[*index].last_seen = now;
        }
        let is_refused = !blocked.is_empty() && !self.may_test(subjects, &blocked, now);
        is_refused.then_some(Blame::Part)
    }

    /// Returns the indices of the blocks of a request's parts.
    fn blocked_parts(&self, subjects: &Subjects, now: TimeMs) -> Vec<usize> {
        let parts = subjects.parts();
        parts.filter_map(|part| self.find_live(part, now)).collect()
    }

    /// Returns the index of a block that has not expired.
    fn find_live(&self, subject: Subject, now: TimeMs) -> Option<usize> {
        let index = self.find(subject).ok()?;
        let is_live = now.since(self.blocks[index].last_seen) < RETENTION_MS;
        is_live.then_some(index)
    }

    /// Whether a request would be refused, without a trial; records nothing.
    pub fn is_any_blocked(&self, subjects: &Subjects, now: TimeMs) -> bool {
        let mut all = std::iter::once(subjects.content).chain(subjects.parts());
        all.any(|subject| self.find_live(subject, now).is_some())
    }

    /// Returns the blocks that peers are told repeatedly, so that a node that starts knows them.
    pub fn reported_blocks(&self, now: TimeMs) -> Vec<AgedBlock> {
        let mut reported: Vec<AgedBlock> = (self.blocks.iter())
            .map(|block| AgedBlock {
                subject: block.subject,
                age_ms: now.since(block.at),
                idle_ms: now.since(block.last_seen),
            })
            .filter(|block| block.idle_ms < RETENTION_MS)
            .collect();
        reported.sort_unstable_by_key(|block| block.idle_ms);
        reported.truncate(MAX_REPORTED_BLOCKS);
        reported
    }

    /// Returns the number of blocked subjects.
    pub fn blocked_count(&self, now: TimeMs) -> usize {
        let blocks = self.blocks.iter();
        let live = blocks.filter(|block| now.since(block.last_seen) < RETENTION_MS);
        live.count()
    }

    pub(super) fn is_blocked(&self, subject: Subject) -> bool {
        self.find(subject).is_ok()
    }

    pub(super) fn find(&self, subject: Subject) -> Result<usize, usize> {
        (self.blocks).binary_search_by_key(&subject, |block| block.subject)
    }

    /// Blocks a subject; returns whether it was not blocked before.
    pub(super) fn block(&mut self, subject: Subject, at: TimeMs, last_seen: TimeMs) -> bool {
        match self.find(subject) {
            Ok(index) => {
                let block = &mut self.blocks[index];
                block.last_seen = block.last_seen.max(last_seen);
                false
            }
            Err(index) => {
                let block = Block {
                    subject,
                    at,
                    last_seen,
                    tried_at: at,
                };
                self.blocks.insert(index, block);
                self.drop_oldest_block();
                self.mark_explained();
                true
            }
        }
    }

    pub(super) fn drop_oldest_block(&mut self) {
        if self.blocks.len() <= MAX_BLOCKS {
            return;
        }
        let oldest = self.blocks.iter().map(|block| block.last_seen).min();
        self.blocks.retain(|block| Some(block.last_seen) != oldest);
        self.dropped += 1;
    }

    /// Ends the block of a subject under which an answer went on later.
    pub(super) fn lift_if_sound(&mut self, subject: Subject) {
        let Ok(index) = self.find(subject) else {
            return;
        };
        let blocked_at = self.blocks[index].at;
        if self.sound.at(subject).is_some_and(|at| at > blocked_at) {
            self.blocks.remove(index);
            self.forget_trials(subject);
            self.changes.push(Change::Cleared { subject });
            self.mark_explained();
        }
    }
}
