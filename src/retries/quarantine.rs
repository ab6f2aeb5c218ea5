//! Decides where and when a suspect request may run.
//!
//! All nodes choose the same host for a suspect by hashing, so copies of it sent to many nodes
//! never run on two hosts. Each host has one owner node, which admits suspects to it one at a time,
//! so a second loss identifies the request that causes it. Nodes whose views of hosts or nodes
//! differ briefly can break this rule; that takes a suspect and a membership change within the same
//! second.

use bincode::{Decode, Encode};

use super::strikes::{Fingerprint, HostLoss, StrikeTable, Verdict};
use crate::keys::{HostKey, Incarnation};
use crate::time::TimeMs;

/// Lifetime of a grant; afterwards the host can be granted to another suspect.
///
/// A node that crashes while its suspect runs never releases the host.
const GRANT_TTL_MS: u64 = 30_000;
/// Interval between requests while the host is in use.
const RETRY_INTERVAL_MS: u64 = 250;

/// A node's request to run a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuarantineRequest {
    /// The content of the suspect.
    pub fingerprint: Fingerprint,
    /// The host to run on: the result of [`quarantine_host`].
    pub host: HostKey,
    /// The requesting node.
    pub requester: Incarnation,
}

/// The answer of the host's owner node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum QuarantineAnswer {
    /// The request is no longer a suspect and can run on any host.
    Clear,
    /// The request can run on the granted host.
    Run(Grant),
    /// The host is in use or news of other losses is pending.
    Wait {
        /// When to ask again.
        retry_at_ms: TimeMs,
    },
    /// The request ran on two hosts that were lost, and is refused as failed.
    Refuse,
}

/// Permission to run on a host that no other suspect uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Grant {
    /// The host.
    pub host: HostKey,
    /// Time by which the suspect must have passed or be cancelled.
    pub until_ms: TimeMs,
}

/// Suspects that run on the hosts that this node owns.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    active: Vec<ActiveRun>,
}

#[derive(Clone, Copy, Debug)]
struct ActiveRun {
    request: QuarantineRequest,
    until_ms: TimeMs,
}

impl Quarantine {
    /// Decides whether a suspect can run now.
    pub fn ask(
        &mut self,
        request: QuarantineRequest,
        strikes: &StrikeTable,
        now: TimeMs,
    ) -> QuarantineAnswer {
        self.active.retain(|run| run.until_ms > now);
        let conflicts = |run: &ActiveRun| {
            run.request.host == request.host || run.request.fingerprint == request.fingerprint
        };
        match strikes.verdict(request.fingerprint, now) {
            Verdict::Clear => QuarantineAnswer::Clear,
            Verdict::Rejected => QuarantineAnswer::Refuse,
            Verdict::Suspect { not_before_ms } if not_before_ms > now => QuarantineAnswer::Wait {
                retry_at_ms: not_before_ms,
            },
            Verdict::Suspect { .. } if self.active.iter().any(conflicts) => {
                QuarantineAnswer::Wait {
                    retry_at_ms: now.after(RETRY_INTERVAL_MS),
                }
            }
            Verdict::Suspect { .. } => {
                let until_ms = now.after(GRANT_TTL_MS);
                self.active.push(ActiveRun { request, until_ms });
                QuarantineAnswer::Run(Grant {
                    host: request.host,
                    until_ms,
                })
            }
        }
    }

    /// Releases a host, with its loss if the host was lost while the suspect ran.
    ///
    /// The loss comes with the release rather than by the exchange of strikes, so that no waiting
    /// copy of the suspect is admitted in between.
    pub fn release(
        &mut self,
        request: &QuarantineRequest,
        death: Option<HostLoss>,
        strikes: &mut StrikeTable,
        now: TimeMs,
    ) {
        match death {
            Some(death) => strikes.record_loss(death, &[request.fingerprint], now),
            None => strikes.record_passed(request.fingerprint, now),
        }
        self.active.retain(|run| run.request != *request);
    }

    /// Releases a host after an attempt without a result, such as a cancelled or refused one.
    pub fn abandon(&mut self, request: &QuarantineRequest) {
        self.active.retain(|run| run.request != *request);
    }
}

/// Returns the one host on which a suspect can run, among the usable ones.
///
/// If the host cannot be reached, the suspect waits until the host's loss is known instead of
/// moving to the next one.
#[must_use]
pub fn quarantine_host(
    fingerprint: Fingerprint,
    usable: impl IntoIterator<Item = HostKey>,
    lost_hosts: &[HostKey],
) -> Option<HostKey> {
    let usable = usable.into_iter();
    usable
        .filter(|host| !lost_hosts.contains(host))
        .max_by_key(|host| rank(fingerprint.0, host.0))
}

/// Returns the node that admits suspects to a host.
#[must_use]
pub fn quarantine_owner(
    host: HostKey,
    nodes: impl IntoIterator<Item = Incarnation>,
) -> Option<Incarnation> {
    nodes.into_iter().max_by_key(|node| rank(host.0, node.0))
}

fn rank(item: u64, place: u64) -> u64 {
    twox_hash::XxHash3_64::oneshot_with_seed(item, &place.to_le_bytes())
}

#[cfg(test)]
mod tests;
