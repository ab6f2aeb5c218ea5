//! What to do with the streams of a host that is going away.
//!
//! [`plan`] decides for each stream whether it finishes where it is, moves with its KV cache, or is
//! computed again elsewhere. It is a pure function of [`ReclaimView`]; the caller carries the plan
//! out and calls again when engine state changes or at [`ReclaimPlan::look_again_at_ms`].
//! `docs/design/reclaims.md` gives the reasons.

mod decision;
mod links;
mod planner;
pub(crate) mod rates;
mod room;
#[cfg(test)]
mod tests;
mod view;

pub use decision::{Move, ReclaimPlan, StreamMove};
pub use view::{
    CachedOn, Notice, Progress, ReclaimView, Settings, StreamKey, StreamOnHost, Target,
};

use crate::time::TimeMs;

/// Decides what to do with each stream of this node on a host under notice.
///
/// The plan has one move per stream whose host is in `view.notices`, in the order of
/// `view.streams`. A host that died without notice is a notice with `leave_at_ms` at `now`.
#[must_use]
pub fn plan(view: &ReclaimView<'_>, now: TimeMs) -> ReclaimPlan {
    planner::Planner::new(view, now).plan()
}
