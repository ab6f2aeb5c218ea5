//! The places of an upstream, and its fall by refusals.

use super::Core;
use crate::server::now_ms;

/// How long an upstream that has fallen over resets its channels.
const FALLEN_MS: u64 = 1_500;

/// The span in which a brittle upstream counts what it refuses.
const BRITTLE_SPAN_MS: u64 = 1_000;

/// A place that a request holds while it runs.
pub(super) struct Place<'a> {
    core: &'a Core,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        *self.core.running.lock() -= 1;
    }
}

impl Core {
    /// Takes a place until the returned guard is dropped; none if all are taken.
    pub(super) fn take_place(&self) -> Option<Place<'_>> {
        let mut running = self.running.lock();
        let is_full = (*self.places.lock()).is_some_and(|places| *running >= places);
        (!is_full).then(|| {
            *running += 1;
            Place { core: self }
        })
    }

    pub(super) fn is_fallen(&self) -> bool {
        let falls_at_ms = self.falls_at_ms.lock();
        (falls_at_ms.last()).is_some_and(|at_ms| now_ms() < at_ms + FALLEN_MS)
    }

    /// Counts a refusal for want of a place; tells whether it falls over by it.
    pub(super) fn falls_by_refusal(&self) -> bool {
        let now = now_ms();
        let mut refused_at_ms = self.refused_at_ms.lock();
        refused_at_ms.retain(|at_ms| *at_ms + BRITTLE_SPAN_MS > now);
        refused_at_ms.push(now);
        let is_fall = (*self.brittle.lock()).is_some_and(|most| refused_at_ms.len() > most);
        if is_fall {
            refused_at_ms.clear();
            self.falls_at_ms.lock().push(now);
        }
        is_fall
    }
}
