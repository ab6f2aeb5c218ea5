//! The rest that an upstream asks of this node when it turns it away.

use crate::time::TimeMs;

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

/// Until when one start of an upstream wants nothing of this node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rest {
    until: TimeMs,
}

impl Rest {
    /// Takes in a rest that is asked for now; tells whether there was none before.
    ///
    /// A later, shorter one does not end an earlier, longer one.
    pub fn note(&mut self, rest_ms: u64, now: TimeMs) -> bool {
        let was_resting = self.is_on(now);
        self.until = self.until.max(now.after(rest_ms));
        self.is_on(now) && !was_resting
    }

    /// Whether it wants nothing of this node now.
    pub fn is_on(self, now: TimeMs) -> bool {
        now < self.until
    }
}

#[cfg(test)]
mod tests;
