//! Decides whether a request is retried and whether it may run at all.
//!
//! [`budget`] bounds retries, [`hedge`] bounds hedged calls, [`strikes`] records the upstreams lost
//! while a request ran, and [`quarantine`] runs a suspect request alone on a host, which shows
//! whether it crashes its upstream. `docs/design/retries.md` gives the reasons.

pub mod budget;
pub mod hedge;
pub mod quarantine;
pub mod strikes;

pub use budget::{Denied, Retry, RetryAsk, RetryBudget, RetryBudgets, RetryPolicy};
pub use hedge::{HedgeRequest, LatencyQuantile, hedge_at};
pub use quarantine::{Grant, Quarantine, QuarantineAnswer, QuarantineAsk, owner, quarantine_host};
pub use strikes::{
    Death, Fingerprint, PASSED_AFTER_TOKENS, StrikeRecord, StrikeReport, Strikes, Verdict,
};
