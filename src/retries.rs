//! Decides whether a request is retried and whether it may run at all.
//!
//! [`budget`] bounds retries, [`hedge`] bounds hedged calls, [`strikes`] records the upstreams lost
//! while a request ran, and [`quarantine`] runs a suspect request alone on a host, which shows
//! whether it crashes its upstream. `docs/design/retries.md` gives the reasons.

pub mod budget;
pub mod hedge;
pub mod quarantine;
pub mod strikes;

pub use budget::{
    RetryBudget, RetryBudgets, RetryDecision, RetryDenial, RetryPolicy, RetryPurpose, RetryRequest,
};
pub use hedge::{HedgeRequest, LatencyQuantile, hedge_at};
pub use quarantine::{
    Grant, Quarantine, QuarantineAnswer, QuarantineRequest, quarantine_host, quarantine_owner,
};
pub use strikes::{
    Fingerprint, HostLoss, PASSED_AFTER_TOKENS, StrikeRecord, StrikeReport, StrikeTable, Verdict,
};
