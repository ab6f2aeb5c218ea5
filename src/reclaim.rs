//! Plans the migration of streams off hosts that are being reclaimed.
//!
//! [`plan`] decides for each stream whether it finishes on its host, migrates with its KV cache, or
//! is recomputed on another host. It is a pure function of [`ReclaimView`]; the caller executes the
//! plan and calls again when engine state changes or at [`ReclaimPlan::look_again_at_ms`].
//! `docs/design/reclaims.md` explains the design.

mod decision;
mod links;
pub(crate) mod num;
mod planner;
mod target_capacity;
#[cfg(test)]
mod tests;
mod view;

pub use decision::{Move, ReclaimPlan, StreamMove};
pub use view::{
    CachedOn, Notice, Progress, ReclaimView, Settings, StreamKey, StreamOnHost, Target,
};

use crate::time::TimeMs;

/// Plans one move for each stream of this node on a host under notice.
///
/// The plan contains a move for every stream whose host is in `view.notices`, in the order of
/// `view.streams`. A host that failed without notice is a notice with `leave_at_ms` at `now`.
#[must_use]
pub fn plan(view: &ReclaimView<'_>, now: TimeMs) -> ReclaimPlan {
    planner::Planner::new(view, now).plan()
}
