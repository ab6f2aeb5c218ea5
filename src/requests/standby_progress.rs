//! Which part of an answer a request's witness holds, and which part to send it next.
//!
//! The witness appends a report to the tokens that it holds and ignores one that would leave a gap.
//! A lost report is therefore part of the next one: otherwise all later reports would be ignored,
//! and after a loss of home and upstream the answer would be computed again from its start.
//!
//! A report that was lost in an outage of the witness is due again as soon as the witness is reached.

use tokio::sync::oneshot;
use tokio::sync::oneshot::error::TryRecvError;

/// Tokens between two reports.
///
/// The witness needs the tokens only if home and upstream are lost together; otherwise the upstream
/// still holds the tokens that have not been sent.
const REPORT_INTERVAL_TOKENS: u64 = 64;

/// Consecutive lost reports after which the interval grows no further.
const MAX_INTERVAL_DOUBLINGS: u32 = 16;

/// The progress that one request reports to its witness.
#[derive(Debug, Default)]
pub(super) struct StandbyProgress {
    /// Position up to which the witness holds the answer.
    acknowledged: u64,
    /// Position up to which the answer was sent last.
    sent: u64,
    /// The reply to the newest report, until it has arrived or the report is lost.
    pending: Option<oneshot::Receiver<bool>>,
    /// Consecutive lost reports.
    losses: u32,
    /// Whether the newest report was lost in an outage of the witness that has ended.
    is_overdue: bool,
}

impl StandbyProgress {
    /// Returns the position from which to report an answer that has reached `position`, or `None`
    /// while no report is due.
    pub fn due_from(&mut self, position: u64) -> Option<u64> {
        let from = self.unacknowledged_from();
        // A report to a witness that is gone holds all tokens since its last acknowledgement. With
        // a constant interval a long answer would be sent over and over again.
        let doublings = self.losses.min(MAX_INTERVAL_DOUBLINGS);
        let is_due = position >= self.sent + (REPORT_INTERVAL_TOKENS << doublings);
        ((is_due || self.is_overdue) && self.pending.is_none()).then_some(from)
    }

    /// Returns the position from which the witness lacks the answer.
    pub fn unacknowledged_from(&mut self) -> u64 {
        match self.pending.as_mut().map(oneshot::Receiver::try_recv) {
            Some(Ok(true)) => {
                self.acknowledged = self.sent;
                self.losses = 0;
                self.pending = None;
            }
            Some(Ok(false)) => {
                self.is_overdue = true;
                self.losses = 0;
                self.pending = None;
            }
            Some(Err(TryRecvError::Closed)) => {
                self.losses += 1;
                self.pending = None;
            }
            Some(Err(TryRecvError::Empty)) | None => {}
        }
        self.acknowledged
    }

    /// Records a report of the answer up to `end`, and where its reply arrives: `true` once the
    /// witness holds it, `false` if it was lost and the witness is reached again.
    pub fn record_sent(&mut self, end: u64, reply: oneshot::Receiver<bool>) {
        self.sent = end;
        self.is_overdue = false;
        self.pending = Some(reply);
    }
}

#[cfg(test)]
mod tests;
