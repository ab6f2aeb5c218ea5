//! Whether a request is tried again, and whether it may run at all.
//!
//! [`budget`] bounds repeats, [`hedge`] bounds second tries of slow calls, [`strikes`] counts the
//! upstreams that died while a request ran, and [`quarantine`] runs a suspect where its guilt or
//! innocence shows. `docs/design/retries.md` gives the reasons.

pub mod budget;
pub mod hedge;
pub mod quarantine;
pub mod strikes;

pub use budget::{Denied, Retry, RetryAsk, RetryBudget, RetryBudgets, RetryPolicy};
pub use hedge::{HedgeAsk, SlowMark, hedge_at};
pub use quarantine::{Grant, Quarantine, QuarantineAnswer, QuarantineAsk, owner, quarantine_host};
pub use strikes::{
    Death, Fingerprint, PASSED_AFTER_TOKENS, StrikeRecord, StrikeReport, Strikes, Verdict,
};
