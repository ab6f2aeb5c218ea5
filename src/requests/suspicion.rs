//! Keeps requests that kill their upstreams from going from host to host.
//!
//! A request present at one unannounced death is a suspect: it runs again only on the one host that
//! all nodes pick for it, with leave from the node that owns this host. After two deaths it is
//! refused everywhere, under whatever id its caller sends it.

use std::collections::VecDeque;
use std::sync::Arc;

use parking_lot::Mutex;

use super::core::Core;
use super::links::{Links, Peers};
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

/// When to ask again while the owner of a host does not answer, or no host may be used.
const ASK_AGAIN_MS: u64 = 250;

/// Measures that are remembered, so that each is noted once.
const MEASURES_NOTED: usize = 256;

/// What this node knows of requests that kill.
#[derive(Debug, Default)]
pub struct Suspicion {
    strikes: Mutex<StrikeTable>,
    quarantine: Mutex<Quarantine>,
    measures: Mutex<Measures>,
    fleet_seed: u64,
}

/// What was done about a request that is suspected of killing its upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    /// It may run on one host alone.
    Quarantined,
    /// It is refused.
    Refused,
}

/// Measures taken here, for the audit trail.
///
/// A caller may send the same content again and again; it is noted once while it is remembered.
#[derive(Debug, Default)]
struct Measures {
    new: Vec<(RequestId, Measure)>,
    noted: VecDeque<(Fingerprint, Measure)>,
}

/// Whether a request may start an attempt now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Leave {
    /// On any host.
    Anywhere,
    /// On this host alone; it is to be given back.
    Only(QuarantineRequest),
    /// Not before this time.
    Wait(TimeMs),
    /// Never.
    Refuse,
}

/// How an attempt in quarantine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bincode::Encode, bincode::Decode)]
pub enum QuarantineEnd {
    /// It has run past the point of its upstream's death.
    Passed,
    /// Its upstream died.
    Died(HostLoss),
    /// Nothing was learnt.
    Abandoned,
}

impl Suspicion {
    /// Knows nothing yet; the seed is the fleet's secret.
    #[must_use]
    pub fn new(fleet_seed: u64) -> Self {
        Self {
            fleet_seed,
            ..Self::default()
        }
    }

    /// Takes in what another node tells.
    pub fn merge(&self, report: &StrikeReport, now: TimeMs) {
        self.strikes.lock().merge(report, now);
    }

    /// What is new since the last report.
    pub fn take_report(&self) -> StrikeReport {
        self.strikes.lock().take_report()
    }

    /// Everything, for a node that has just started.
    #[must_use]
    pub fn whole_report(&self) -> StrikeReport {
        self.strikes.lock().full_report()
    }

    /// Notes that a host's end was announced, so that it counts against nobody.
    pub fn note_announced(&self, host: HostKey, leave_at_ms: TimeMs) {
        self.strikes
            .lock()
            .record_announced_leave(host, leave_at_ms);
    }

    /// Decides whether a suspect may run on a host that this node owns.
    pub fn ask(&self, ask: QuarantineRequest, now: TimeMs) -> QuarantineAnswer {
        let strikes = self.strikes.lock();
        self.quarantine.lock().ask(ask, &strikes, now)
    }

    /// Takes a host back from a suspect.
    pub fn release(&self, ask: &QuarantineRequest, end: QuarantineEnd, now: TimeMs) {
        let mut strikes = self.strikes.lock();
        let mut quarantine = self.quarantine.lock();
        match end {
            QuarantineEnd::Passed => quarantine.release(ask, None, &mut strikes, now),
            QuarantineEnd::Died(death) => quarantine.release(ask, Some(death), &mut strikes, now),
            QuarantineEnd::Abandoned => quarantine.abandon(ask),
        }
    }

    /// What was done since the last call.
    pub fn take_measures(&self) -> Vec<(RequestId, Measure)> {
        std::mem::take(&mut self.measures.lock().new)
    }

    fn note(&self, fingerprint: Fingerprint, id: RequestId, measure: Measure) {
        let mut measures = self.measures.lock();
        if measures.noted.contains(&(fingerprint, measure)) {
            return;
        }
        if measures.noted.len() == MEASURES_NOTED {
            measures.noted.pop_front();
        }
        measures.noted.push_back((fingerprint, measure));
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

impl<L: Links> Core<L> {
    /// Whether a record may start an attempt now, given the hosts that could run it.
    pub(super) async fn leave_to_start(&self, record: &Record, view: &[Candidate]) -> Leave {
        let now = self.clock.now();
        let Some(fingerprint) = self.suspicion.fingerprint(record) else {
            return Leave::Anywhere;
        };
        let verdict = self.suspicion.strikes.lock().verdict(fingerprint, now);
        let leave = match verdict {
            Verdict::Clear => Leave::Anywhere,
            Verdict::Rejected => Leave::Refuse,
            Verdict::Suspect { not_before_ms } if not_before_ms > now => Leave::Wait(not_before_ms),
            Verdict::Suspect { .. } => self.ask_owner(fingerprint, view, now).await,
        };
        match leave {
            Leave::Refuse => self
                .suspicion
                .note(fingerprint, record.id, Measure::Refused),
            Leave::Only(_) => self
                .suspicion
                .note(fingerprint, record.id, Measure::Quarantined),
            Leave::Anywhere | Leave::Wait(_) => {}
        }
        leave
    }

    async fn ask_owner(&self, fingerprint: Fingerprint, view: &[Candidate], now: TimeMs) -> Leave {
        let again = Leave::Wait(now.after(ASK_AGAIN_MS));
        let died_with = self.suspicion.strikes.lock().lost_hosts(fingerprint, now);
        let usable = view
            .iter()
            .filter(|host| host.is_eligible())
            .map(|host| host.host);
        let Some(host) = quarantine_host(fingerprint, usable, &died_with) else {
            return again;
        };
        let Some(owner) = quarantine_owner(host, self.peers.live()) else {
            return again;
        };
        let ask = QuarantineRequest {
            fingerprint,
            host,
            requester: self.own,
        };
        match self.ask_quarantine(owner, ask).await {
            Some(QuarantineAnswer::Clear) => Leave::Anywhere,
            Some(QuarantineAnswer::Run(_)) => Leave::Only(ask),
            Some(QuarantineAnswer::Wait { retry_at_ms }) => Leave::Wait(retry_at_ms),
            Some(QuarantineAnswer::Refuse) => Leave::Refuse,
            None => again,
        }
    }

    async fn ask_quarantine(
        &self,
        owner: Incarnation,
        ask: QuarantineRequest,
    ) -> Option<QuarantineAnswer> {
        if owner == self.own {
            return Some(self.suspicion.ask(ask, self.clock.now()));
        }
        match self.peers.call(owner, Request::Quarantine(ask)).await {
            Ok(Reply::Quarantine(answer)) => Some(answer),
            _ => None,
        }
    }

    /// Gives a host back to its owner after an attempt in quarantine.
    pub(super) async fn end_quarantine(&self, ask: QuarantineRequest, end: QuarantineEnd) {
        let now = self.clock.now();
        // Known here at once, whatever becomes of the message.
        match end {
            QuarantineEnd::Passed => {
                self.suspicion
                    .strikes
                    .lock()
                    .record_passed(ask.fingerprint, now);
            }
            QuarantineEnd::Died(death) => {
                self.suspicion
                    .strikes
                    .lock()
                    .record_loss(death, &[ask.fingerprint], now);
            }
            QuarantineEnd::Abandoned => {}
        }
        match quarantine_owner(ask.host, self.peers.live()) {
            Some(owner) if owner == self.own => self.suspicion.release(&ask, end, now),
            Some(owner) => {
                let told = self.peers.call(owner, Request::Release { ask, end }).await;
                // The grant runs out by itself if the owner does not hear of its end.
                log::debug!(owner:% = owner, told = told.is_ok(); "a quarantine has ended");
            }
            None => {}
        }
    }

    /// Notes that a host died under the requests that ran on it, unless its end was announced.
    ///
    /// Gives the death if it counts.
    pub(super) fn note_death(&self, place: Place) -> Option<HostLoss> {
        let now = self.clock.now();
        let (domain, state) = self
            .blackboard
            .with_host(place.host, |row| (row.domain, row.state))?;
        if state != HostState::Live {
            return None;
        }
        let death = HostLoss {
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
            .record_loss(death, &running, now);
        metrics::counter!("teaselline_upstream_deaths_total").increment(1);
        Some(death)
    }
}

/// Whether an attempt that began at one position has passed the point of an earlier death.
#[must_use]
pub(super) fn has_passed(began_at: u64, position: u64) -> bool {
    position >= began_at + PASSED_AFTER_TOKENS
}

/// The seed of fingerprints, from the fleet's secret.
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

/// Passes strikes on to the peers.
pub async fn tell_strikes<L: Links>(core: &Arc<Core<L>>) {
    let report = core.suspicion.take_report();
    if report.is_empty() {
        return;
    }
    let told = core
        .peers
        .live()
        .into_iter()
        .filter(|peer| *peer != core.own)
        .map(|peer| {
            let request = Request::Strikes(report.clone());
            async move {
                // A peer that misses it hears it from others, who pass on what is new to them.
                core.peers.call(peer, request).await.is_ok()
            }
        });
    futures::future::join_all(told).await;
}

#[cfg(test)]
mod tests;
