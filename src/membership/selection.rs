//! Selection of the nodes that callers connect to and that keep copies of request state.

use std::net::SocketAddr;

use rand::Rng;
use rand::rngs::SmallRng;
use serde::Serialize;

use super::member::{Member, MemberLoad, MemberState};
use super::view::View;
use super::watcher_selection::rendezvous_score;
use crate::keys::Incarnation;
use crate::time::TimeMs;

/// Age above which a reported load is ignored as outdated.
const MAX_LOAD_AGE_MS: u64 = 15_000;

/// Number of witnesses over which the requests of one home node are spread.
const WITNESSES_PER_HOME: u64 = 4;

/// Weight of nodes in the own failure domain, relative to other nodes of the region.
const OWN_DOMAIN_WEIGHT: f64 = 1.5;

/// Number of waiting requests that halves a node's weight.
const HALVING_WAITING_REQUESTS: f64 = 16.0;

/// Number of open streams that halves a node's weight.
const HALVING_OPEN_STREAMS: f64 = 1_024.0;

/// Lower bound of the weight's processor factor, reached when all processors are busy.
const BUSY_WEIGHT: f64 = 0.05;

/// The address of a node that callers may connect to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// The address on which the node accepts callers.
    pub address: SocketAddr,
}

impl View {
    /// Returns the nodes that callers should connect to, best first, at most `limit`.
    ///
    /// Nodes of the own region precede others, in a weighted random order that favours low load.
    /// Suspected and leaving nodes are omitted.
    ///
    /// An isolated node cannot distinguish a failure of all other nodes from its own partition, so
    /// it returns every node that it knows. Other nodes precede it until the isolation has lasted
    /// `gone_after_ms`; from then on it lists itself first, since the caller can reach it.
    pub fn entries(&self, now: TimeMs, rng: &mut SmallRng, limit: usize) -> Vec<Entry> {
        let is_isolated = self.is_isolated(now);
        let candidates = (0..self.members.len()).filter(|index| match self.members[*index].state {
            MemberState::Alive => true,
            MemberState::Suspected => is_isolated,
            MemberState::Gone => is_isolated && !self.local_records[*index].has_ended,
            MemberState::Leaving => false,
        });
        let average = self.average_weight(now);
        let mut ordered: Vec<(u8, f64, usize)> = candidates
            .map(|index| {
                let weight = self.known_weight(now, index).unwrap_or(average);
                let key = self.sampling_key(index, weight, rng);
                (self.priority_group(now, index, is_isolated), key, index)
            })
            .collect();
        ordered.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let best = ordered.into_iter().take(limit);
        best.map(|(_, _, index)| Entry::of(&self.members[index]))
            .collect()
    }

    /// Returns the node that keeps a copy of the state of `home`'s request number `sequence`.
    #[must_use]
    pub fn witness(&self, home: Incarnation, sequence: u64) -> Option<Incarnation> {
        self.witnesses(home, sequence).first().copied()
    }

    /// Returns all nodes that may keep the copy, in order of preference.
    ///
    /// The first one keeps it; a node whose view differs may have selected a later one. All are
    /// live and in a failure domain other than the home node's; nodes of its region precede others.
    /// Rendezvous hashing moves few copies when a node joins or leaves.
    #[must_use]
    pub fn witnesses(&self, home: Incarnation, sequence: u64) -> Vec<Incarnation> {
        let Some(home_index) = self.find(home) else {
            return Vec::new();
        };
        let chooser = home.0 ^ (sequence % WITNESSES_PER_HOME);
        let home = self.local_records[home_index];
        let mut ordered: Vec<(bool, u64, Incarnation)> = self
            .indices(|state| state == MemberState::Alive)
            .filter(|index| self.local_records[*index].domain_hash != home.domain_hash)
            .map(|index| {
                let incarnation = self.members[index].incarnation;
                let is_other_region = self.local_records[index].region_hash != home.region_hash;
                (
                    is_other_region,
                    u64::MAX - rendezvous_score(chooser, incarnation),
                    incarnation,
                )
            })
            .collect();
        ordered.sort_unstable();
        ordered.into_iter().map(|(_, _, key)| key).collect()
    }

    /// Returns the priority group of a node; lower groups are listed first.
    fn priority_group(&self, now: TimeMs, index: usize, is_isolated: bool) -> u8 {
        let own = self.own_index();
        let isolated_ms = now.since(self.last_received_ms);
        let is_long_isolated = isolated_ms >= self.settings.gone_after_ms;
        let is_own_region =
            self.local_records[index].region_hash == self.local_records[own].region_hash;
        match is_own_region {
            _ if is_isolated && index == own && is_long_isolated => 0,
            _ if is_isolated && index == own => 3,
            true => 1,
            false => 2,
        }
    }

    /// Returns a random sort key that tends to be lower for nodes with a higher weight.
    ///
    /// Sorting by `-ln(u) / weight` samples without replacement in proportion to the weights
    /// (Efraimidis and Spirakis, 2006). Sorting by load would send all callers that ask within one
    /// heartbeat interval to the same node.
    fn sampling_key(&self, index: usize, weight: f64, rng: &mut SmallRng) -> f64 {
        let own_domain = self.local_records[self.own_index()].domain_hash;
        let domain_weight = if self.local_records[index].domain_hash == own_domain {
            OWN_DOMAIN_WEIGHT
        } else {
            1.0
        };
        let uniform: f64 = 1.0 - rng.random::<f64>();
        -uniform.ln() / (domain_weight * weight)
    }

    /// Returns the weight that follows from a node's load, if a recent load is known.
    fn known_weight(&self, now: TimeMs, index: usize) -> Option<f64> {
        let load_received_ms = self.local_records[index].load_received_ms?;
        (now.since(load_received_ms) <= MAX_LOAD_AGE_MS)
            .then(|| load_weight(self.members[index].load))
    }

    /// Returns the mean weight of the nodes with a known load, which is used for the other nodes.
    ///
    /// Treating nodes with an unknown load as idle would direct all callers to them.
    fn average_weight(&self, now: TimeMs) -> f64 {
        let alive = self.indices(|state| state == MemberState::Alive);
        let known = alive.filter_map(|index| self.known_weight(now, index));
        let (count, sum) = known.fold((0.0, 0.0), |(count, sum), weight| {
            (count + 1.0, sum + weight)
        });
        if count > 0.0 { sum / count } else { 1.0 }
    }
}

impl Entry {
    fn of(member: &Member) -> Self {
        Self {
            incarnation: member.incarnation,
            address: member.caller_address,
        }
    }
}

/// Returns a node's share of callers relative to that of an idle node.
fn load_weight(load: MemberLoad) -> f64 {
    let busy = (f64::from(load.cpu_permille) / 1_000.0).min(1.0);
    let by_waiting =
        HALVING_WAITING_REQUESTS / (HALVING_WAITING_REQUESTS + f64::from(load.waiting));
    let by_streams = HALVING_OPEN_STREAMS / (HALVING_OPEN_STREAMS + f64::from(load.open_streams));
    (1.0 - busy).max(BUSY_WEIGHT) * by_waiting * by_streams
}
