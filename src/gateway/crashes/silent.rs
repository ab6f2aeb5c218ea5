//! Requests that were given up at silent upstreams, until it shows whether these have crashed.
//!
//! An upstream whose host goes dark ends no connection. Its crash shows only when something else starts at its
//! address.

use std::net::SocketAddr;

use super::reports;
use super::subjects::{Subject, Subjects};
use super::verification::Broken;
use super::{Crash, Crashes};
use crate::gateway::state::Gateway;
use crate::gateway::upstreams::{Contact, Phase, Upstream, UpstreamKey, tag};
use crate::time::TimeMs;

/// Longest time from giving up a request to the next start at its upstream's address.
const MAX_WAIT_MS: u64 = 30_000;

/// Silence before a request is given up from which its upstream may have crashed.
const MIN_SILENCE_MS: u64 = 500;

/// Most requests that wait.
const MAX_WAITING: usize = 256;

/// A request that was given up at an upstream that has sent nothing since.
#[derive(Clone, Debug)]
pub(crate) struct SilentRequest {
    pub subjects: Subjects,
    /// Tag of the start that got the request.
    pub upstream: u64,
    /// Tag of the upstream's failure domain.
    pub domain: u64,
    pub address: SocketAddr,
    pub sent_at: TimeMs,
    pub given_up_at: TimeMs,
    /// The signs of life of the start that got the request.
    pub contact: Contact,
}

/// What is known of the upstream of a request that was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpstreamState {
    /// It has crashed.
    Crashed,
    /// It runs or has left in order, or it is too late to tell.
    Unknown,
    /// It is still silent.
    Silent,
}

/// One start of an upstream at the address of a silent one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StartAtAddress {
    /// The start's tag.
    pub tag: u64,
    pub is_leaving: bool,
}

impl SilentRequest {
    /// Decides what became of the upstream, by the starts that are known at its address.
    pub fn upstream_state(&self, starts: &[StartAtAddress], now: TimeMs) -> UpstreamState {
        let has_left = (starts.iter()).any(|start| start.tag == self.upstream && start.is_leaving);
        let has_next = starts.iter().any(|start| start.tag != self.upstream);
        match () {
            () if has_left || self.contact.is_heard_since(self.given_up_at) => {
                UpstreamState::Unknown
            }
            () if has_next => UpstreamState::Crashed,
            () if now.since(self.given_up_at) >= MAX_WAIT_MS => UpstreamState::Unknown,
            () => UpstreamState::Silent,
        }
    }

    /// Returns the crash that is known as of now.
    ///
    /// Only the whole content is blamed: the request may have waited beside the one that crashed the upstream.
    fn crash(&self, now: TimeMs) -> Crash {
        Crash {
            subjects: self.subjects.without_parts(),
            upstream: self.upstream,
            address: tag(&self.address.to_string()),
            domain: self.domain,
            ran_ms: now.since(self.sent_at),
        }
    }
}

/// The requests of this node that wait until it shows what became of their upstreams.
#[derive(Debug, Default)]
pub(super) struct SilentRequests {
    /// In the order in which they were given up.
    waiting: Vec<SilentRequest>,
}

impl SilentRequests {
    /// Adds a request; the oldest one makes room for it.
    pub fn push(&mut self, request: SilentRequest) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.remove(0);
        }
        self.waiting.push(request);
    }

    /// Removes the requests with a content under which an answer went on.
    pub fn forget(&mut self, content: Subject) {
        self.waiting
            .retain(|request| request.subjects.content != content);
    }

    /// Returns the addresses of the silent upstreams.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> =
            self.waiting.iter().map(|request| request.address).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Removes the requests of whose upstreams this has shown; returns the crashes.
    ///
    /// `starts` are the known starts at the addresses, sorted by address.
    pub fn take_crashed(
        &mut self,
        starts: &[(SocketAddr, Vec<StartAtAddress>)],
        now: TimeMs,
    ) -> Vec<Crash> {
        let mut crashed = Vec::new();
        self.waiting.retain(|request| {
            let found =
                starts.binary_search_by_key(&request.address, |(address, _starts)| *address);
            let at_address = found.map_or(&[][..], |index| &starts[index].1);
            let state = request.upstream_state(at_address, now);
            if state == UpstreamState::Crashed {
                crashed.push(request.crash(now));
            }
            state == UpstreamState::Silent
        });
        crashed
    }
}

impl Crashes {
    /// Adds a request that was given up at a silent upstream.
    pub fn record_given_up(&mut self, request: SilentRequest) {
        self.silent.push(request);
    }
}

/// Remembers a request of this node that was given up at a silent upstream.
pub(crate) fn record_given_up(node: &Gateway, broken: Broken, contact: &Contact, now: TimeMs) {
    let silent_since = TimeMs(now.0.saturating_sub(MIN_SILENCE_MS));
    if contact.is_heard_since(silent_since) {
        return;
    }
    let address = {
        let upstreams = node.upstreams.lock();
        let upstream = upstreams.get(broken.key);
        upstream
            .filter(|upstream| upstream.tag == broken.upstream && !upstream.is_removed)
            .filter(|upstream| !is_leaving(upstream))
            .map(|upstream| upstream.announcement.address)
    };
    let Some(address) = address else { return };
    if starts_at(node, address).len() > 1 {
        return;
    }
    node.crashes.lock().record_given_up(SilentRequest {
        subjects: broken.subjects,
        upstream: broken.upstream,
        domain: broken.domain,
        address,
        sent_at: broken.sent_at,
        given_up_at: now,
        contact: contact.clone(),
    });
}

/// Records the crashes that new starts at the addresses of silent upstreams show.
pub(crate) fn judge(node: &Gateway, now: TimeMs) {
    let addresses = node.crashes.lock().silent.addresses();
    if addresses.is_empty() {
        return;
    }
    let starts: Vec<(SocketAddr, Vec<StartAtAddress>)> = (addresses.into_iter())
        .map(|address| (address, starts_at(node, address)))
        .collect();
    let crashed = node.crashes.lock().silent.take_crashed(&starts, now);
    for crash in crashed {
        let content = format!("{:x}", crash.subjects.content);
        log::info!(event = "silent_upstream_crashed", subject = content, ran_ms = crash.ran_ms; "an upstream started at the address of a silent one, which counts as crashed");
        reports::record_dark_crash(node, crash, now);
    }
}

fn starts_at(node: &Gateway, address: SocketAddr) -> Vec<StartAtAddress> {
    let upstreams = node.upstreams.lock();
    let at_address =
        |(_key, upstream): &(UpstreamKey, &Upstream)| upstream.announcement.address == address;
    let starts = upstreams.iter().filter(at_address);
    starts
        .map(|(_key, upstream)| StartAtAddress {
            tag: upstream.tag,
            is_leaving: is_leaving(upstream),
        })
        .collect()
}

fn is_leaving(upstream: &Upstream) -> bool {
    upstream.announcement.phase != Phase::Ready || upstream.send_gate.is_leaving()
}

#[cfg(test)]
mod tests;
