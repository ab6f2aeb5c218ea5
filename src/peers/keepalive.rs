//! The decision when to ping a silent peer, when to send it no further request and when to close its
//! connection.

/// Number of checks of a used connection within the silence timeout.
const CHECKS_PER_TIMEOUT: u64 = 8;

/// Number of checks without received bytes after which the peer is pinged.
const CHECKS_BEFORE_PING: u64 = 2;

/// The keepalive state of one connection; all times are milliseconds since it was opened.
#[derive(Debug)]
pub(super) struct Keepalive {
    silence_timeout_ms: u64,
    loss_timeout_ms: u64,
    last_check_ms: u64,
    last_read_ms: u64,
    silent_ms: u64,
    is_pinged: bool,
    is_idle: bool,
}

/// The action that follows from a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Action {
    /// Wait until the connection is used.
    Idle,
    /// Check again after this many milliseconds.
    Wait(u64),
    /// Ping the peer and check again after this many milliseconds.
    Ping(u64),
    /// Send no further request on the connection and check again after this many milliseconds.
    Retire(u64),
    /// Close the connection.
    Close,
}

impl Keepalive {
    pub(super) fn new(silence_timeout_ms: u64, loss_timeout_ms: u64) -> Self {
        Self {
            silence_timeout_ms,
            loss_timeout_ms,
            last_check_ms: 0,
            last_read_ms: 0,
            silent_ms: 0,
            is_pinged: false,
            is_idle: true,
        }
    }

    /// Returns the next action, given the last read time, whether the connection is used and the
    /// latest deadline of its streams, or zero.
    ///
    /// A path that was silent for longer than the loss timeout may deliver an answer, for which a
    /// caller still waits, so that the connection is closed only after its last deadline.
    ///
    /// An unused connection is not pinged: pinging each of 339 connections twice a second would
    /// exceed a node's budget for control traffic.
    ///
    /// When this node itself was paused, its timers fire before it reads the bytes that wait in the
    /// socket. Comparing clock times would then fail all streams of a resumed node at once. The
    /// silence is therefore accumulated over checks, and a late check adds at most the silence of
    /// two checks: between the ping and the closing there are always several reads for the answer.
    pub(super) fn check(
        &mut self,
        now_ms: u64,
        last_read_ms: u64,
        is_used: bool,
        deadline_ms: u64,
    ) -> Action {
        let was_idle = std::mem::replace(&mut self.is_idle, !is_used);
        let check_interval_ms = (self.silence_timeout_ms / CHECKS_PER_TIMEOUT).max(1);
        let since_check_ms = now_ms
            .saturating_sub(self.last_check_ms)
            .min(2 * check_interval_ms);
        // Compares with the previous read time instead of the time of the last check, because the
        // answer may arrive within the millisecond of the ping.
        let has_read = last_read_ms != self.last_read_ms;
        self.last_read_ms = last_read_ms;
        self.last_check_ms = now_ms;
        self.silent_ms = match self.silent_ms {
            _ if !is_used || was_idle || has_read => 0,
            silent_ms => silent_ms + since_check_ms,
        };
        self.is_pinged &= self.silent_ms > 0;
        match self.silent_ms {
            _ if !is_used => Action::Idle,
            ms if ms >= self.loss_timeout_ms && now_ms >= deadline_ms => Action::Close,
            ms if ms >= self.silence_timeout_ms => Action::Retire(check_interval_ms),
            ms if ms >= CHECKS_BEFORE_PING * check_interval_ms && !self.is_pinged => {
                self.is_pinged = true;
                Action::Ping(check_interval_ms)
            }
            _ => Action::Wait(check_interval_ms),
        }
    }
}

#[cfg(test)]
mod tests;
