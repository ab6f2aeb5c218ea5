//! Quarantines requests that are suspected of crashing their upstreams.
//!
//! A request that was running on a host when the host was lost without an announced leave becomes a
//! suspect: it runs again only on the one host that all nodes select for it, with a grant from the
//! node that owns this host. After two losses it is refused everywhere, under any id.

use std::collections::VecDeque;
use std::sync::Arc;

use parking_lot::Mutex;

use super::core::Core;
use super::dependencies::{Dependencies, Peers};
use super::record::Place;
use super::{Record, RequestId, Work};
use crate::blackboard::HostState;
use crate::keys::{HostKey, Incarnation};
use crate::node::messages::{Reply, Request};
use crate::retries::{
    Fingerprint, HostLoss, PASSED_AFTER_TOKENS, Quarantine, QuarantineAnswer, QuarantineRequest,
    StrikeReport, StrikeTable, Verdict, quarantine_host, quarantine_owner,
};
use crate::routing::Candidate;
use crate::time::TimeMs;

/// Retry interval while the owner of a host does not answer, or no host is eligible.
const GRANT_RETRY_MS: u64 = 250;

/// Number of recent measures that are remembered for deduplication.
const MAX_REMEMBERED_MEASURES: usize = 256;

/// Strikes, quarantine grants and measures of this node.
#[derive(Debug, Default)]
pub struct Suspicion {
    strikes: Mutex<StrikeTable>,
    quarantine: Mutex<Quarantine>,
    measures: Mutex<Measures>,
    fleet_seed: u64,
}

/// A measure against a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    /// The request runs on one host only.
    Quarantined,
    /// The request is refused.
    Refused,
}

/// Measures taken by this node, for the audit trail.
///
/// A caller may send the same content repeatedly; a measure is recorded once while it is
/// remembered.
#[derive(Debug, Default)]
struct Measures {
    new: Vec<(RequestId, Measure)>,
    recent: VecDeque<(Fingerprint, Measure)>,
}

/// Whether, and where, a request may start an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartPermission {
    /// The request may start on any host.
    Anywhere,
    /// The request may start on this host only, which has to be released afterwards.
    Only(QuarantineRequest),
    /// The request may not start before this time.
    Wait(TimeMs),
    /// The request may never start.
    Refuse,
}

/// The end of a quarantined attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum QuarantineEnd {
    /// The attempt has passed the point at which its earlier upstream was lost.
    Passed,
    /// The attempt's upstream was lost.
    HostLost(HostLoss),
    /// The attempt ended without a result for the suspicion.
    Abandoned,
}

impl Suspicion {
    /// Creates a state without strikes; the seed is secret to the fleet.
    #[must_use]
    pub fn new(fleet_seed: u64) -> Self {
        Self {
            fleet_seed,
            ..Self::default()
        }
    }

    /// Merges the strike report of another node.
    pub fn merge(&self, report: &StrikeReport, now: TimeMs) {
        self.strikes.lock().merge(report, now);
    }

    /// Returns the strikes recorded since the last report.
    pub fn take_report(&self) -> StrikeReport {
        self.strikes.lock().take_report()
    }

    /// Returns all strikes, for a node that has just started.
    #[must_use]
    pub fn full_report(&self) -> StrikeReport {
        self.strikes.lock().full_report()
    }

    /// Records an announced leave, so that the loss of the host counts against no request.
    pub fn record_announced_leave(&self, host: HostKey, leave_at_ms: TimeMs) {
        self.strikes
            .lock()
            .record_announced_leave(host, leave_at_ms);
    }

    /// Decides whether a suspect may run on a host that this node owns.
    pub fn ask(&self, request: QuarantineRequest, now: TimeMs) -> QuarantineAnswer {
        let strikes = self.strikes.lock();
        self.quarantine.lock().ask(request, &strikes, now)
    }

    /// Releases a host that this node owns from a suspect.
    pub fn release(&self, request: &QuarantineRequest, end: QuarantineEnd, now: TimeMs) {
        let mut strikes = self.strikes.lock();
        let mut quarantine = self.quarantine.lock();
        match end {
            QuarantineEnd::Passed => quarantine.release(request, None, &mut strikes, now),
            QuarantineEnd::HostLost(loss) => {
                quarantine.release(request, Some(loss), &mut strikes, now);
            }
            QuarantineEnd::Abandoned => quarantine.abandon(request),
        }
    }

    /// Returns the measures recorded since the last call.
    pub fn take_measures(&self) -> Vec<(RequestId, Measure)> {
        std::mem::take(&mut self.measures.lock().new)
    }

    fn record_measure(&self, fingerprint: Fingerprint, id: RequestId, measure: Measure) {
        let mut measures = self.measures.lock();
        if measures.recent.contains(&(fingerprint, measure)) {
            return;
        }
        if measures.recent.len() == MAX_REMEMBERED_MEASURES {
            measures.recent.pop_front();
        }
        measures.recent.push_back((fingerprint, measure));
        measures.new.push((id, measure));
    }

    fn fingerprint(&self, record: &Record) -> Option<Fingerprint> {
        match &record.call.work {
            Work::Completion { model, prompt, .. } => {
                Some(Fingerprint::of(self.fleet_seed, model, prompt))
            }
            Work::Service { .. } => None,
        }
    }
}

impl<L: Dependencies> Core<L> {
    /// Returns whether a record may start an attempt, given the hosts that can run it.
    pub(super) async fn start_permission(
        &self,
        record: &Record,
        candidates: &[Candidate],
    ) -> StartPermission {
        let now = self.clock.now();
        let Some(fingerprint) = self.suspicion.fingerprint(record) else {
            return StartPermission::Anywhere;
        };
        let verdict = self.suspicion.strikes.lock().verdict(fingerprint, now);
        let permission = match verdict {
            Verdict::Clear => StartPermission::Anywhere,
            Verdict::Rejected => StartPermission::Refuse,
            Verdict::Suspect { not_before_ms } if not_before_ms > now => {
                StartPermission::Wait(not_before_ms)
            }
            Verdict::Suspect { .. } => self.request_grant(fingerprint, candidates, now).await,
        };
        match permission {
            StartPermission::Refuse => {
                self.suspicion
                    .record_measure(fingerprint, record.id, Measure::Refused);
            }
            StartPermission::Only(_) => {
                self.suspicion
                    .record_measure(fingerprint, record.id, Measure::Quarantined);
            }
            StartPermission::Anywhere | StartPermission::Wait(_) => {}
        }
        permission
    }

    async fn request_grant(
        &self,
        fingerprint: Fingerprint,
        candidates: &[Candidate],
        now: TimeMs,
    ) -> StartPermission {
        let retry = StartPermission::Wait(now.after(GRANT_RETRY_MS));
        let lost_hosts = self.suspicion.strikes.lock().lost_hosts(fingerprint, now);
        let eligible = candidates
            .iter()
            .filter(|host| host.is_eligible())
            .map(|host| host.host);
        let Some(host) = quarantine_host(fingerprint, eligible, &lost_hosts) else {
            return retry;
        };
        let Some(owner) = quarantine_owner(host, self.peers.live()) else {
            return retry;
        };
        let request = QuarantineRequest {
            fingerprint,
            host,
            requester: self.own,
        };
        match self.request_quarantine(owner, request).await {
            Some(QuarantineAnswer::Clear) => StartPermission::Anywhere,
            Some(QuarantineAnswer::Run(_)) => StartPermission::Only(request),
            Some(QuarantineAnswer::Wait { retry_at_ms }) => StartPermission::Wait(retry_at_ms),
            Some(QuarantineAnswer::Refuse) => StartPermission::Refuse,
            None => retry,
        }
    }

    async fn request_quarantine(
        &self,
        owner: Incarnation,
        request: QuarantineRequest,
    ) -> Option<QuarantineAnswer> {
        if owner == self.own {
            return Some(self.suspicion.ask(request, self.clock.now()));
        }
        match self.peers.call(owner, Request::Quarantine(request)).await {
            Ok(Reply::Quarantine(answer)) => Some(answer),
            _ => None,
        }
    }

    /// Releases a host at its owner after a quarantined attempt.
    pub(super) async fn end_quarantine(&self, request: QuarantineRequest, end: QuarantineEnd) {
        let now = self.clock.now();
        // Recorded locally first, in case the message to the owner is lost.
        match end {
            QuarantineEnd::Passed => {
                self.suspicion
                    .strikes
                    .lock()
                    .record_passed(request.fingerprint, now);
            }
            QuarantineEnd::HostLost(loss) => {
                self.suspicion
                    .strikes
                    .lock()
                    .record_loss(loss, &[request.fingerprint], now);
            }
            QuarantineEnd::Abandoned => {}
        }
        match quarantine_owner(request.host, self.peers.live()) {
            Some(owner) if owner == self.own => self.suspicion.release(&request, end, now),
            Some(owner) => {
                let reply = self
                    .peers
                    .call(owner, Request::Release { request, end })
                    .await;
                // The grant expires if the owner does not receive the release.
                log::debug!(owner:% = owner, told = reply.is_ok(); "quarantine has ended; sent its end to the owner of the host");
            }
            None => {}
        }
    }

    /// Records the loss of a host against the requests that ran on it, unless its leave was
    /// announced.
    ///
    /// Returns the loss if it counts.
    pub(super) fn record_host_loss(&self, place: Place) -> Option<HostLoss> {
        let now = self.clock.now();
        let (domain, state) = self
            .blackboard
            .with_host(place.host, |row| (row.domain, row.state))?;
        if state != HostState::Live {
            return None;
        }
        let loss = HostLoss {
            host: place.host,
            domain,
            at_ms: now,
        };
        let on_host = |record: &Record| {
            record.outcome().is_none()
                && record.place().is_some_and(|other| other.host == place.host)
        };
        let mut running: Vec<_> = self
            .records
            .select(on_host)
            .iter()
            .filter_map(|record| self.suspicion.fingerprint(record))
            .collect();
        running.sort_unstable();
        running.dedup();
        self.suspicion
            .strikes
            .lock()
            .record_loss(loss, &running, now);
        metrics::counter!("teaselline_upstream_deaths_total").increment(1);
        Some(loss)
    }
}

/// Returns whether an attempt that began at `began_at` has passed the point of an earlier loss.
#[must_use]
pub(super) fn has_passed(began_at: u64, position: u64) -> bool {
    position >= began_at + PASSED_AFTER_TOKENS
}

/// Derives the seed of content fingerprints from the fleet's secret.
#[must_use]
pub fn fleet_seed(fleet_secret: &[u8]) -> u64 {
    use sha2::{Digest, Sha256};
    let digest = Sha256::new()
        .chain_update(b"teaselline fingerprints 1")
        .chain_update(fleet_secret);
    digest
        .finalize()
        .iter()
        .take(8)
        .fold(0, |seed, byte| seed << 8 | u64::from(*byte))
}

/// Sends the strikes recorded since the last report to the peers.
pub async fn broadcast_strikes<L: Dependencies>(core: &Arc<Core<L>>) {
    let report = core.suspicion.take_report();
    if report.is_empty() {
        return;
    }
    let sends = core
        .peers
        .live()
        .into_iter()
        .filter(|peer| *peer != core.own)
        .map(|peer| {
            let request = Request::Strikes(report.clone());
            async move {
                // A peer that misses the report gets it from others, which forward the strikes that
                // are new to them.
                core.peers.call(peer, request).await.is_ok()
            }
        });
    futures::future::join_all(sends).await;
}

#[cfg(test)]
mod tests;
