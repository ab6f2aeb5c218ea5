//! When to ask a silent peer whether it is alive, and when to give it up.

/// A used connection is looked at this often within the silence that is allowed.
const LOOKS: u64 = 8;

/// Looks without a sign of life after which the peer is asked for one.
const LOOKS_BEFORE_ASKING: u64 = 2;

/// Decides over one connection; all times are milliseconds since the connection was made.
#[derive(Debug)]
pub(super) struct Keepalive {
    silence_timeout_ms: u64,
    looked_ms: u64,
    heard_ms: u64,
    silent_ms: u64,
    asked: bool,
    idle: bool,
}

/// What to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Nothing until the connection is used.
    Idle,
    /// Decide again after this many milliseconds.
    Wait(u64),
    /// Ask the peer, then decide again after this many milliseconds.
    Ask(u64),
    /// Give the connection up.
    GiveUp,
}

impl Keepalive {
    pub(super) fn new(silence_timeout_ms: u64) -> Self {
        Self {
            silence_timeout_ms,
            looked_ms: 0,
            heard_ms: 0,
            silent_ms: 0,
            asked: false,
            idle: true,
        }
    }

    /// Decides, given when the peer was last heard and whether anything waits for it.
    ///
    /// An unused connection is left alone: asking on each of 339 of them twice a second would by
    /// itself cost more than a node may spend on control.
    ///
    /// When this node itself was paused, the peer's bytes lie unread in the socket when its timer
    /// fires. One would see every stream of a resumed node fail at once. Silence is therefore added
    /// up over looks, and a look that comes late adds no more than two that came in time: between
    /// asking and giving up there were always several chances to read the answer.
    pub(super) fn step(&mut self, now_ms: u64, heard_ms: u64, used: bool) -> Step {
        let was_idle = std::mem::replace(&mut self.idle, !used);
        let look_ms = (self.silence_timeout_ms / LOOKS).max(1);
        let since_look_ms = now_ms.saturating_sub(self.looked_ms).min(2 * look_ms);
        // Compared with what was known, not with the time of the last look: the answer may come
        // within the millisecond in which it is asked for.
        let heard = heard_ms != self.heard_ms;
        self.heard_ms = heard_ms;
        self.looked_ms = now_ms;
        self.silent_ms = match self.silent_ms {
            _ if !used || was_idle || heard => 0,
            silent_ms => silent_ms + since_look_ms,
        };
        self.asked &= self.silent_ms > 0;
        match self.silent_ms {
            _ if !used => Step::Idle,
            ms if ms >= self.silence_timeout_ms => Step::GiveUp,
            ms if ms >= LOOKS_BEFORE_ASKING * look_ms && !self.asked => {
                self.asked = true;
                Step::Ask(look_ms)
            }
            _ => Step::Wait(look_ms),
        }
    }
}

#[cfg(test)]
mod tests;
