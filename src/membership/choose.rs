//! Which nodes callers and requests are sent to.

use std::net::SocketAddr;

use rand::Rng;
use rand::rngs::SmallRng;
use serde::Serialize;

use super::links::preference;
use super::member::{Member, MemberLoad, MemberState};
use super::view::View;
use crate::keys::Incarnation;
use crate::time::TimeMs;

/// A load heard longer ago says nothing of the present one.
const LOAD_FRESH_MS: u64 = 15_000;

/// Over how many witnesses the requests of one home are spread.
const WITNESSES_PER_HOME: u64 = 4;

/// How much more often a node of the own failure domain comes first than others of the region.
const OWN_DOMAIN_PREFERENCE: f64 = 1.5;

/// Waiting requests that halve a node's share of callers.
const HALVING_WAITING: f64 = 16.0;

/// Open streams that halve a node's share of callers.
const HALVING_STREAMS: f64 = 1_024.0;

/// What is left of the share of a node whose processors are all busy.
const BUSY_SHARE: f64 = 0.05;

/// A node that callers may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// The node's run.
    pub incarnation: Incarnation,
    /// Where callers reach it.
    pub address: SocketAddr,
}

impl View {
    /// The nodes that callers should use, best first, at most `limit`.
    ///
    /// Nodes of the own region come first, in a random order that favours the less busy. Nodes that
    /// are suspected or leave are absent.
    ///
    /// A node that hears nobody can't tell whether the others are gone or it is cut off. It names
    /// all that it knows: others first while it may be the one that is cut off, and itself first
    /// once that has lasted, since the caller has reached it after all.
    pub fn entries(&self, now: TimeMs, rng: &mut SmallRng, limit: usize) -> Vec<Entry> {
        let isolated = self.is_isolated(now);
        let candidates = (0..self.members.len()).filter(|index| match self.members[*index].state {
            MemberState::Alive => true,
            MemberState::Suspected => isolated,
            MemberState::Gone => isolated && !self.tracks[*index].ended,
            MemberState::Leaving => false,
        });
        let average = self.average_share(now);
        let mut ordered: Vec<(u8, f64, usize)> = candidates
            .map(|index| {
                let share = self.fresh_share(now, index).unwrap_or(average);
                let place = self.draw(index, share, rng);
                (self.group(now, index, isolated), place, index)
            })
            .collect();
        ordered.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let best = ordered.into_iter().take(limit);
        best.map(|(_, _, index)| Entry::of(&self.members[index]))
            .collect()
    }

    /// The node that keeps a copy of what `home` does for its request number `sequence`.
    #[must_use]
    pub fn witness(&self, home: Incarnation, sequence: u64) -> Option<Incarnation> {
        self.witnesses(home, sequence).first().copied()
    }

    /// The nodes that may keep a copy, the one that does first unless views differ.
    ///
    /// They are live, and in other failure domains than the home: those of its region before
    /// others. Rendezvous hashing moves few copies when a node comes or goes.
    #[must_use]
    pub fn witnesses(&self, home: Incarnation, sequence: u64) -> Vec<Incarnation> {
        let Some(home_index) = self.find(home) else {
            return Vec::new();
        };
        let chooser = home.0 ^ (sequence % WITNESSES_PER_HOME);
        let home = self.tracks[home_index];
        let mut ordered: Vec<(bool, u64, Incarnation)> = self
            .indices(|state| state == MemberState::Alive)
            .filter(|index| self.tracks[*index].domain != home.domain)
            .map(|index| {
                let incarnation = self.members[index].incarnation;
                let far = self.tracks[index].region != home.region;
                (
                    far,
                    u64::MAX - preference(chooser, incarnation),
                    incarnation,
                )
            })
            .collect();
        ordered.sort_unstable();
        ordered.into_iter().map(|(_, _, key)| key).collect()
    }

    /// Lower groups come first.
    fn group(&self, now: TimeMs, index: usize, isolated: bool) -> u8 {
        let own = self.own_index();
        let silent_ms = now.since(self.heard_any_ms);
        let given_up = silent_ms >= self.settings.gone_after_ms;
        let near = self.tracks[index].region == self.tracks[own].region;
        match near {
            _ if isolated && index == own && given_up => 0,
            _ if isolated && index == own => 3,
            true => 1,
            false => 2,
        }
    }

    /// A random number that tends to be lower for nodes with more room.
    ///
    /// Ordering by `-ln(u) / weight` draws without replacement in proportion to the weights
    /// (Efraimidis and Spirakis, 2006). Ordering by load itself would send all callers that ask
    /// within one heartbeat to the same node.
    fn draw(&self, index: usize, share: f64, rng: &mut SmallRng) -> f64 {
        let own_domain = self.tracks[self.own_index()].domain;
        let preference = if self.tracks[index].domain == own_domain {
            OWN_DOMAIN_PREFERENCE
        } else {
            1.0
        };
        let uniform: f64 = 1.0 - rng.random::<f64>();
        -uniform.ln() / (preference * share)
    }

    /// The share of callers that a node should get by its load, if that is known.
    fn fresh_share(&self, now: TimeMs, index: usize) -> Option<f64> {
        let load_ms = self.tracks[index].load_ms?;
        (now.since(load_ms) <= LOAD_FRESH_MS).then(|| share(self.members[index].load))
    }

    /// The mean over the nodes whose load is known, taken for the others.
    ///
    /// Taken for idle, nodes of which nothing is known would draw all callers.
    fn average_share(&self, now: TimeMs) -> f64 {
        let alive = self.indices(|state| state == MemberState::Alive);
        let known = alive.filter_map(|index| self.fresh_share(now, index));
        let (count, sum) = known.fold((0.0, 0.0), |(count, sum), share| (count + 1.0, sum + share));
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

/// The share of callers that a node should get, relative to one without load.
fn share(load: MemberLoad) -> f64 {
    let busy = (f64::from(load.cpu_permille) / 1_000.0).min(1.0);
    let by_waiting = HALVING_WAITING / (HALVING_WAITING + f64::from(load.waiting));
    let by_streams = HALVING_STREAMS / (HALVING_STREAMS + f64::from(load.open_streams));
    (1.0 - busy).max(BUSY_SHARE) * by_waiting * by_streams
}
