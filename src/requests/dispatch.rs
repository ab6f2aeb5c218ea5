//! Chooses where an attempt runs and obtains the right to start it.

use std::time::Duration;

use super::core::{Core, RETRY_SOON_MS, Right};
use super::links::Links;
use super::outcome::Reason;
use super::record::Place;
use super::{Outcome, Record};
use crate::blackboard::HostRow;
use crate::document::checked::PoolKind;
use crate::keys::HostKey;
use crate::requests::Work;

/// How long a home waits for its witness's consent.
///
/// Past it the request is refused as not run: the witness is gone or cut off, and the caller's next
/// id names another.
const CONSENT_MS: u64 = 1_000;

impl<L: Links> Core<L> {
    /// The hosts that could run a record's work and are not ruled out.
    pub(super) fn candidates(&self, record: &Record, tried: &[HostKey]) -> Vec<HostRow> {
        let Some(in_force) = self.blackboard.in_force() else { return Vec::new() };
        let document = &in_force.document;
        let serves = |row: &HostRow| match (&record.call.work, &document.pool(row.pool).kind) {
            (Work::Completion { model, .. }, PoolKind::Engine { models, .. }) => document
                .find_model(model)
                .is_some_and(|model| models.binary_search(&model).is_ok()),
            (Work::Service { service, .. }, PoolKind::Service { .. }) => {
                document.pool(row.pool).name == *service
            }
            _ => false,
        };
        let mut found = Vec::new();
        self.blackboard.visit_hosts(|row| {
            if serves(row) && !tried.contains(&row.key) && row.may_get_work() {
                found.push(row.clone());
            }
        });
        found
    }

    /// Obtains the right to start an attempt at a place.
    ///
    /// # Errors
    ///
    /// The outcome, if the witness refuses or does not answer: nothing has been started.
    pub(super) async fn obtain_right(&self, record: &Record, right: Right) -> Result<(), Outcome> {
        if record.call.idempotent || right != Right::Home {
            drop(self.tell(record, 0, false));
            return Ok(());
        }
        let consent = self.tell(record, 0, true);
        let patience = Duration::from_millis(CONSENT_MS);
        match tokio::time::timeout(patience, consent).await {
            Ok(Ok(true)) => Ok(()),
            Ok(Ok(false)) => Err(Outcome::not_run(Reason::Settled, RETRY_SOON_MS)),
            Ok(Err(_)) | Err(_) => {
                Err(Outcome::not_run(Reason::WitnessUnreachable, RETRY_SOON_MS))
            }
        }
    }

    /// Notes that a host could not be reached, so that it gets no new work for a while.
    pub(super) fn note_host_failure(&self, host: HostKey) {
        let now = self.clock.now();
        self.blackboard.with_host(host, |row| row.failing_since_ms = Some(now));
    }

    /// Notes that a stream was opened on or left a host.
    pub(super) fn note_open(&self, place: Place, opened: bool) {
        self.blackboard.with_host(place.host, |row| {
            row.open_here = match opened {
                true => row.open_here + 1,
                false => row.open_here.saturating_sub(1),
            };
        });
    }
}
