//! The rest that an upstream asks of this node when it turns it away, and how it is tried again afterwards.
//!
//! The load is an upstream in need before nodes that each hold back requests for it: all would come at the end of
//! its rest. Each node sends one first, and more as answers come.

use crate::time::TimeMs;

/// Answers after a rest with which an upstream counts as well again.
const ANSWERS_UNTIL_WELL: u32 = 4;

/// Requests that each such answer lets this node send.
const SENDS_BY_ANSWER: u32 = 2;

/// Without an answer, another request is sent after this long: the one before may have been lost.
const TRIAL_MS: u64 = 500;

/// What an answer says of a rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatedRest {
    /// It asks for none.
    Unnamed,
    /// For this long.
    ForMs(u64),
    /// It names something that is no time in seconds.
    Unreadable,
}

/// Until when one start of an upstream wants nothing of this node, and how far it has been tried since.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rest {
    until: TimeMs,
    /// None while it is well.
    trial: Option<Trial>,
}

/// How an upstream that has rested is tried again.
#[derive(Clone, Copy, Debug)]
struct Trial {
    /// Requests that may be sent at once.
    sends_left: u32,
    answers: u32,
    sent_at: TimeMs,
}

impl Rest {
    /// Takes in a rest that is asked for now; tells whether there was none before.
    ///
    /// A later, shorter one does not end an earlier, longer one.
    pub fn note(&mut self, rest_ms: u64, now: TimeMs) -> bool {
        let was_resting = now < self.until;
        let is_resting = rest_ms > 0 || was_resting;
        self.until = self.until.max(now.after(rest_ms));
        if is_resting {
            self.trial = Some(Trial {
                sends_left: 1,
                answers: 0,
                sent_at: self.until,
            });
        }
        is_resting && !was_resting
    }

    /// Takes in that the upstream answered a request otherwise than by turning it away.
    ///
    /// An answer to what was sent before the rest says nothing of how it is after it.
    pub fn note_answer(&mut self, sent_at: TimeMs) {
        let Some(trial) = &mut self.trial else { return };
        if sent_at < self.until {
            return;
        }
        trial.answers += 1;
        trial.sends_left += SENDS_BY_ANSWER;
        if trial.answers >= ANSWERS_UNTIL_WELL {
            self.trial = None;
        }
    }

    /// Takes in that a request is sent now.
    pub fn note_sent(&mut self, now: TimeMs) {
        if let Some(trial) = &mut self.trial {
            trial.sends_left = trial.sends_left.saturating_sub(1);
            trial.sent_at = now;
        }
    }

    /// Takes back that a request is sent.
    pub fn note_unsent(&mut self) {
        if let Some(trial) = &mut self.trial {
            trial.sends_left += 1;
        }
    }

    /// How long the upstream wants nothing of this node; none if it gets requests now.
    pub fn left_ms(&self, now: TimeMs) -> Option<u64> {
        let next_at = match &self.trial {
            Some(_trial) if now < self.until => self.until,
            Some(trial) if trial.sends_left == 0 => trial.sent_at.after(TRIAL_MS),
            _ => return None,
        };
        (now < next_at).then(|| now.until(next_at))
    }
}

#[cfg(test)]
mod tests;
