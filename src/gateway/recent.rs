//! Changes of upstreams of the last moments, for peers that missed them.
//!
//! The node that reads for all tells its peers what changed. A peer that lost a datagram would go on
//! with upstreams that have long left. So each message holds the changes of the last moments, too, as
//! far as they fit, and a peer that notices a gap asks for what lies in it.

use super::place::Place;
use super::upstreams::Change;
use crate::time::TimeMs;

/// How long changes are told again: several messages' worth, and less than the bound on upstreams
/// that leave.
const TOLD_MS: u64 = 1_600;

/// How long changes are kept for peers that ask: they ask within a second, and while they assemble a
/// whole table.
const KEPT_MS: u64 = 6_000;

/// Most changes of one message: with 130 bytes each it stays well below the largest datagram, and
/// one that is lost is soon sent again.
pub(crate) const MESSAGE_CHANGES: usize = 96;

/// What one reading changed, or a part of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Step {
    /// The records lie from here on.
    pub from: Place,
    /// Before here.
    pub to: Place,
    pub changes: Vec<Change>,
}

/// Steps that follow each other, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Recent {
    steps: Vec<(TimeMs, Step)>,
}

impl Recent {
    /// Takes in what has been read.
    pub fn note(&mut self, step: Step, now: TimeMs) {
        let follows = (self.steps.last()).is_none_or(|(_at, last)| last.to == step.from);
        if !follows {
            self.steps.clear();
        }
        if step.to > step.from {
            self.steps.push((now, step));
        }
        self.steps.retain(|(at, _step)| now.since(*at) < KEPT_MS);
    }

    /// What to tell all after a reading that began at an offset: what it brought, and what came before
    /// as far as it goes into the same message.
    pub fn told(&self, since: Place, now: TimeMs) -> Vec<Step> {
        let mut first = self.steps.partition_point(|(_at, step)| step.to <= since);
        let changes = |(_at, step): &(TimeMs, Step)| step.changes.len();
        let mut count: usize = self.steps[first..].iter().map(changes).sum();
        while first > 0 {
            let before = &self.steps[first - 1];
            count += changes(before);
            if count > MESSAGE_CHANGES || now.since(before.0) >= TOLD_MS {
                break;
            }
            first -= 1;
        }
        joined(self.steps[first..].iter().map(|(_at, step)| step))
    }

    /// All that changed from an offset on; none if that is no longer known.
    pub fn since(&self, read_to: Place) -> Option<Vec<Step>> {
        let first = self.steps.partition_point(|(_at, step)| step.to <= read_to);
        let (_at, oldest) = self.steps.get(first)?;
        (oldest.from <= read_to).then(|| joined(self.steps[first..].iter().map(|(_at, step)| step)))
    }
}

/// Joins steps that follow each other into as few as go into a message each.
fn joined<'a>(steps: impl Iterator<Item = &'a Step>) -> Vec<Step> {
    let mut joined: Vec<Step> = Vec::new();
    for step in steps {
        match joined.last_mut() {
            Some(last) if last.changes.len() + step.changes.len() <= MESSAGE_CHANGES => {
                last.to = step.to;
                last.changes.extend_from_slice(&step.changes);
            }
            _ => joined.push(step.clone()),
        }
    }
    joined
}

#[cfg(test)]
mod tests;
