//! Changes of upstreams of the last moments, to be told again.
//!
//! The node that reads for all tells its peers what changed in one datagram. A peer that lost it
//! reads the store itself, unless the store turns it away: then it would go on with upstreams that
//! have long left. So each message holds the changes of the last moments, too.

use super::upstreams::Change;
use crate::time::TimeMs;

/// How long changes are told again: several messages' worth, and less than the bound on upstreams
/// that leave.
const TOLD_MS: u64 = 1_600;

/// What one reading changed.
#[derive(Clone, Debug)]
struct Step {
    from: u64,
    to: u64,
    at: TimeMs,
    changes: Vec<Change>,
}

/// Readings that follow each other, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Recent {
    steps: Vec<Step>,
}

impl Recent {
    /// Takes in a reading from one offset up to another.
    pub fn note(&mut self, from: u64, to: u64, changes: Vec<Change>, now: TimeMs) {
        let follows = self.steps.last().is_none_or(|last| last.to == from);
        if !follows {
            self.steps.clear();
        }
        let step = Step {
            from,
            to,
            at: now,
            changes,
        };
        self.steps.push(step);
        self.steps.retain(|step| now.since(step.at) < TOLD_MS);
    }

    /// All changes of the last moments, with the offsets between which they lie.
    pub fn all(&self) -> Option<(u64, u64, Vec<Change>)> {
        let (first, last) = (self.steps.first()?, self.steps.last()?);
        let changes = self.steps.iter().flat_map(|step| &step.changes);
        Some((first.from, last.to, changes.cloned().collect()))
    }
}

#[cfg(test)]
mod tests;
