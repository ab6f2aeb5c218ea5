//! When to ask a silent peer whether it is alive, and when to give it up.

/// A peer is asked once it has been silent for this part of the silence that it is allowed.
const ASK_AFTER: u64 = 4;

/// Decides over one connection; all times are milliseconds since the connection was made.
#[derive(Debug)]
pub(super) struct Keepalive {
    silence_timeout_ms: u64,
    /// Silence before this doesn't count.
    counts_from_ms: u64,
    /// When [`Keepalive::step`] asked to be called again.
    due_ms: u64,
    asked_ms: Option<u64>,
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
            counts_from_ms: 0,
            due_ms: 0,
            asked_ms: None,
            idle: true,
        }
    }

    /// Decides, given when the peer was last heard and whether anything waits for it.
    ///
    /// An unused connection is left alone: asking on each of 339 of them twice a second would by
    /// itself cost more than a node may spend on control.
    ///
    /// When this node itself was paused, the peer's bytes lie unread in the socket while this timer
    /// runs out. One would see every stream of a resumed node fail at once. So a call that comes
    /// far too late starts the silence anew.
    pub(super) fn step(&mut self, now_ms: u64, heard_ms: u64, used: bool) -> Step {
        let was_idle = std::mem::replace(&mut self.idle, !used);
        if !used {
            return Step::Idle;
        }
        let ask_after_ms = self.silence_timeout_ms / ASK_AFTER;
        let late = now_ms > self.due_ms.saturating_add(ask_after_ms);
        if was_idle || late {
            self.counts_from_ms = now_ms;
            self.asked_ms = None;
        }
        let silent_from_ms = heard_ms.max(self.counts_from_ms);
        let silent_ms = now_ms.saturating_sub(silent_from_ms);
        let asked = self.asked_ms.is_some_and(|asked| asked >= silent_from_ms);
        let step = match silent_ms {
            ms if ms >= self.silence_timeout_ms => return Step::GiveUp,
            ms if ms < ask_after_ms => Step::Wait(ask_after_ms - ms),
            ms if asked => Step::Wait(self.silence_timeout_ms - ms),
            ms => {
                self.asked_ms = Some(now_ms);
                Step::Ask(self.silence_timeout_ms - ms)
            }
        };
        let (Step::Wait(ms) | Step::Ask(ms)) = step else {
            return step;
        };
        self.due_ms = now_ms + ms;
        step
    }
}
