//! Decides which requests are let through the block of a part, to test whether it is sound after all.
//!
//! Each trial may cost an upstream. The nodes share one schedule, on which the time between two
//! trials grows with the age of the block, and one node of all is the first that may make each trial.

use super::blocks::Block;
use super::num;
use super::subjects::{self, Subject, Subjects};
use super::{Change, Crash, Crashes, Recorded};
use crate::gateway::upstreams::spread_bits;
use crate::time::TimeMs;

/// Age of a block at the first trial, if no answer is known under its part.
const FIRST_TRIAL_MS: u64 = 12_000;

/// The same for a part under which answers went on before.
pub(super) const FIRST_TRIAL_OF_SOUND_MS: u64 = 1_000;

/// Age of a block at a trial, as a multiple of its age at the trial before.
const AGE_GROWTH: u64 = 4;

/// Time in which the number of nodes that may make a trial doubles. The report on a trial arrives
/// sooner.
const DOUBLING_MS: f64 = 500.0;

/// A node's place in the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Seat {
    /// Identifies the node.
    pub own: u64,
    /// Number of nodes.
    pub nodes: usize,
}

impl Seat {
    /// Returns a number above 0 and at most 1 that differs from node to node and trial to trial.
    fn draw(self, block: &Block) -> f64 {
        let trial = block.subject ^ block.tried_at.0.rotate_left(32);
        let bits = spread_bits(spread_bits(self.own) ^ spread_bits(trial).rotate_left(17));
        (num::to_f64(spread_bits(bits.rotate_left(31)) >> 32) + 1.0)
            / (num::to_f64(u64::from(u32::MAX)) + 1.0)
    }

    /// Returns the time after the due time of a trial from which this node may make it.
    ///
    /// About one node may at once, twice as many after each `DOUBLING_MS`: the expected number of
    /// nodes that do before they learn of each other is nearly independent of the number of nodes
    /// and of the rate of requests.
    fn delay_ms(self, block: &Block) -> u64 {
        let rank = self.draw(block) * num::to_f64(self.nodes.max(1) as u64);
        num::round_to_u64(DOUBLING_MS * rank.max(1.0).log2())
    }
}

/// Returns when this node may make the next trial of a blocked part; `block` holds the earliest begin
/// and the latest trial over all routes and models on which the part is blocked.
fn due_at(block: &Block, was_sound: bool, seat: Seat) -> TimeMs {
    let first_ms = if was_sound {
        FIRST_TRIAL_OF_SOUND_MS
    } else {
        FIRST_TRIAL_MS
    };
    let age_ms = match block.tried_at.since(block.at) {
        age_ms if age_ms < first_ms => first_ms,
        age_ms => age_ms.saturating_mul(AGE_GROWTH),
    };
    block.at.after(age_ms).after(seat.delay_ms(block))
}

impl Crashes {
    /// Sets the place of this node in the fleet.
    pub fn set_seat(&mut self, seat: Seat) {
        self.seat = seat;
    }

    /// Whether a request may test all blocks of its parts; `blocked` are their indices.
    ///
    /// A request whose own content crashed an upstream shows nothing of its parts.
    pub(super) fn may_test(&self, subjects: &Subjects, blocked: &[usize], now: TimeMs) -> bool {
        let has_crashed = |known: &Recorded| known.crash.subjects.content == subjects.content;
        let is_due = |index: &usize| {
            let block = self.block_of_part(&self.blocks[*index]);
            let was_sound = self.sound.at(block.subject).is_some();
            now >= due_at(&block, was_sound, self.seat)
        };
        blocked.iter().all(is_due) && !self.recorded.iter().any(has_crashed)
    }

    /// Returns a block with the earliest begin and the latest trial of all blocks of its part: a bad
    /// part that is blocked on several routes costs no more trials than on one.
    fn block_of_part(&self, block: &Block) -> Block {
        let of_part = (self.blocks.iter())
            .filter(|other| subjects::is_same_part(other.subject, block.subject));
        of_part.fold(*block, |all, other| Block {
            at: all.at.min(other.at),
            tried_at: all.tried_at.max(other.tried_at),
            ..all
        })
    }

    /// Lets the other blocks of a part that is sound on one route or model be tested at once.
    pub(super) fn forget_trials(&mut self, sound: Subject) {
        let of_part = |block: &&mut Block| subjects::is_same_part(block.subject, sound);
        for block in self.blocks.iter_mut().filter(of_part) {
            block.tried_at = block.at;
        }
    }

    /// Records that a request of this node tests blocks.
    pub(super) fn begin_trials(&mut self, blocked: &[usize], now: TimeMs) {
        for index in blocked {
            let block = &mut self.blocks[*index];
            block.tried_at = now;
            let subject = block.subject;
            self.begun_trials.push(subject);
            self.changes.push(Change::Tested { subject });
        }
    }

    /// Returns the subjects whose blocks requests of this node test, since the last call.
    pub fn take_trials(&mut self) -> Vec<Subject> {
        std::mem::take(&mut self.begun_trials)
    }

    /// Records that a request of a peer tests a block, on whatever route or model this node blocks the
    /// part.
    pub fn record_trial(&mut self, subject: Subject, at: TimeMs) {
        let of_part = |block: &&mut Block| subjects::is_same_part(block.subject, subject);
        for block in self.blocks.iter_mut().filter(of_part) {
            block.tried_at = block.tried_at.max(at);
        }
    }

    /// Records that this node has just learned of a block, which peers may have tested.
    pub(super) fn record_learned(&mut self, subject: Subject, now: TimeMs) {
        if let Ok(index) = self.find(subject) {
            let block = &mut self.blocks[index];
            block.tried_at = block.tried_at.max(now);
        }
    }

    /// Records the trials that a crash shows: the report on their begin may be lost.
    pub(super) fn record_trials_of(&mut self, crash: &Crash, sent_at: TimeMs) {
        for part in crash.subjects.parts() {
            self.record_trial(part, sent_at);
        }
    }
}
