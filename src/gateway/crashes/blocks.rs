//! The subjects that are blocked, and the requests that are refused for them.

use super::subjects::{Subject, Subjects};
use super::{
    AgedBlock, Blame, Change, Crashes, MAX_BLOCKS, MAX_REPORTED_BLOCKS, RETENTION_MS,
    TRIAL_INTERVAL_MS, tell_delay_ms,
};
use crate::time::TimeMs;

/// A subject whose requests are refused.
#[derive(Clone, Copy, Debug)]
pub(super) struct Block {
    pub subject: Subject,
    pub at: TimeMs,
    pub last_seen: TimeMs,
    /// When a request was last let through.
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
            self.changes.push(Change::Heard { subject });
        }
    }

    /// Returns what a request is refused for, if it is blocked. A refused request renews the block.
    pub fn refusal(&mut self, subjects: &Subjects, now: TimeMs) -> Option<Blame> {
        self.judge_if_due(now);
        let content = std::iter::once((subjects.content, Blame::Content));
        let parts = subjects.parts().map(|part| (part, Blame::Part));
        for (subject, blame) in content.chain(parts) {
            if let Ok(index) = self.find(subject)
                && now.since(self.blocks[index].last_seen) < RETENTION_MS
            {
                self.blocks[index].last_seen = now;
                if blame == Blame::Part && self.begins_trial(index, now) {
                    continue;
                }
                return Some(blame);
            }
        }
        None
    }

    /// Whether a request would be refused, without a trial; records nothing.
    pub fn is_any_blocked(&self, subjects: &Subjects, now: TimeMs) -> bool {
        let mut all = std::iter::once(subjects.content).chain(subjects.parts());
        all.any(|subject| {
            let found = self.find(subject).ok();
            found.is_some_and(|index| now.since(self.blocks[index].last_seen) < RETENTION_MS)
        })
    }

    /// Whether a request may show that a blocked part is sound after all.
    pub(super) fn begins_trial(&mut self, index: usize, now: TimeMs) -> bool {
        let block = &mut self.blocks[index];
        let was_sound = self.sound.at(block.subject).is_some();
        let is_due = was_sound && now.since(block.tried_at) >= TRIAL_INTERVAL_MS;
        if is_due {
            block.tried_at = now;
        }
        is_due
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
            self.changes.push(Change::Cleared { subject });
            self.mark_explained();
        }
    }
}
