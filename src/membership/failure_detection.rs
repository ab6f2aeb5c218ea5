//! Sending of heartbeats and failure detection from missing ones.

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};

use super::member::MemberState;
use super::view::View;
use super::watcher_selection::{self, Candidate};
use super::wire::Message;
use crate::keys::Incarnation;
use crate::time::TimeMs;

/// Number of silent intervals after which a member is probed.
const PROBE_AFTER_INTERVALS: u64 = 3;

/// Number of silent intervals after which indirect probes are requested.
const INDIRECT_PROBE_AFTER_INTERVALS: u64 = 4;

/// Number of members from which an indirect probe is requested.
const INDIRECT_PROBE_COUNT: usize = 2;

/// Number of ticks between two rounds of probes of suspected members.
const SUSPECT_PROBE_INTERVAL_TICKS: u64 = 5;

/// Maximum number of suspected members that are probed in one round.
///
/// The bound limits the traffic of a node that is partitioned from a large fleet. It suspects the
/// whole fleet, because it watches more nodes the fewer are live in its view.
const MAX_SUSPECTS_PROBED: usize = 8;

impl View {
    /// Recomputes the watchers and the watched nodes if members have changed.
    pub(super) fn refresh_links(&mut self, now: TimeMs) {
        if !std::mem::take(&mut self.watch_links.is_stale) {
            return;
        }
        let live: Vec<Candidate> = self
            .indices(|state| state == MemberState::Alive)
            .map(|index| self.candidate(index))
            .collect();
        let own = self.candidate(self.own_index());
        self.watch_links.watchers = watcher_selection::watchers(own, &live, &self.settings);
        let watched: Vec<Incarnation> = self
            .indices(|state| state != MemberState::Gone)
            .map(|index| self.candidate(index))
            .filter(|of| {
                self.own().is_live()
                    && watcher_selection::is_watcher(own, *of, &live, &self.settings)
            })
            .map(|of| of.incarnation)
            .collect();
        let before = std::mem::replace(&mut self.watch_links.watched, watched);
        for index in 0..self.members.len() {
            let incarnation = self.members[index].incarnation;
            let is_new = before.binary_search(&incarnation).is_err();
            if is_new && self.watch_links.watched.binary_search(&incarnation).is_ok() {
                // The member may not have selected this node as its watcher yet.
                self.local_records[index].last_seen_ms = now;
            }
        }
    }

    /// Probes watched members that are silent and suspects those that exceed the limit.
    pub(super) fn check_watched(&mut self, now: TimeMs, rng: &mut SmallRng) {
        let is_isolated = self.is_isolated(now);
        for member in self.watch_links.watched.clone() {
            let Some(index) = self.find(member) else {
                continue;
            };
            let silent_ms = now.since(self.local_records[index].last_seen_ms);
            let state = self.members[index].state;
            match state {
                MemberState::Alive if silent_ms > self.settings.suspect_after_ms() => {
                    self.suspect(now, index, is_isolated);
                }
                // A leaving member that stops sending heartbeats has ended.
                MemberState::Leaving if silent_ms > self.settings.suspect_after_ms() => {
                    self.set_state(now, index, MemberState::Gone);
                }
                MemberState::Alive | MemberState::Leaving => {
                    self.probe_silent(index, silent_ms, rng);
                }
                MemberState::Suspected | MemberState::Gone => {}
            }
        }
        if self.ticks.is_multiple_of(SUSPECT_PROBE_INTERVAL_TICKS) {
            self.probe_suspects(rng);
        }
    }

    fn probe_suspects(&mut self, rng: &mut SmallRng) {
        let watched = self
            .watch_links
            .watched
            .iter()
            .filter_map(|member| self.find(*member));
        let suspects = watched.filter(|index| self.members[*index].state == MemberState::Suspected);
        for index in suspects.choose_multiple(rng, MAX_SUSPECTS_PROBED) {
            self.probe(index);
        }
    }

    /// Suspects a member; an isolated node does not share the suspicion.
    ///
    /// A partitioned node misses the heartbeats of all members. If it disseminated these suspicions
    /// after the partition, the other nodes would briefly omit each other from their responses.
    fn suspect(&mut self, now: TimeMs, index: usize, is_isolated: bool) {
        self.set_state(now, index, MemberState::Suspected);
        self.local_records[index].is_suspected_locally = is_isolated;
        self.has_local_suspicions |= is_isolated;
        self.probe(index);
    }

    /// Reverts the suspicions that arose while this node was isolated.
    pub(super) fn revert_local_suspicions(&mut self, now: TimeMs) {
        if !std::mem::take(&mut self.has_local_suspicions) {
            return;
        }
        for index in 0..self.members.len() {
            if self.local_records[index].is_suspected_locally {
                self.set_state(now, index, MemberState::Alive);
            }
        }
    }

    fn probe_silent(&mut self, index: usize, silent_ms: u64, rng: &mut SmallRng) {
        if silent_ms >= self.settings.intervals_ms(PROBE_AFTER_INTERVALS) {
            self.probe(index);
        }
        if silent_ms >= self.settings.intervals_ms(INDIRECT_PROBE_AFTER_INTERVALS) {
            self.request_indirect_probes(index, rng);
        }
    }

    pub(super) fn probe(&mut self, index: usize) {
        let to = self.members[index].heartbeat_address;
        self.send(to, Message::Probe(None));
    }

    fn request_indirect_probes(&mut self, index: usize, rng: &mut SmallRng) {
        let target = self.members[index].incarnation;
        let others: Vec<usize> = self
            .indices(|state| state == MemberState::Alive)
            .filter(|other| *other != index && *other != self.own_index())
            .collect();
        for other in others.choose_multiple(rng, INDIRECT_PROBE_COUNT) {
            let to = self.members[*other].heartbeat_address;
            self.send(to, Message::IndirectProbe(target));
        }
    }

    /// Marks members as gone whose suspicion timed out and removes long gone members.
    pub(super) fn expire(&mut self, now: TimeMs) {
        for index in 0..self.members.len() {
            let local = self.local_records[index];
            let is_suspected = self.members[index].state == MemberState::Suspected;
            let is_timed_out = now.since(local.state_changed_ms) >= self.settings.gone_after_ms;
            if is_suspected && is_timed_out && !local.is_suspected_locally {
                self.set_state(now, index, MemberState::Gone);
            }
        }
        for index in (0..self.members.len()).rev() {
            let is_gone = self.members[index].state == MemberState::Gone;
            let age_ms = now.since(self.local_records[index].state_changed_ms);
            let is_own = self.members[index].incarnation == self.own;
            if is_gone && !is_own && age_ms >= self.settings.forget_after_ms {
                self.members.remove(index);
                self.local_records.remove(index);
            }
        }
    }

    /// Sends heartbeats to the watchers and, at longer intervals, to the rest of the own region.
    ///
    /// Nodes that are not watchers use the heartbeats for the load that they carry.
    pub(super) fn send_heartbeats(&mut self) {
        for watcher in self.watch_links.watchers.clone() {
            self.send_heartbeat(watcher);
        }
        for other in self.region_peers(|incarnation, intervals| {
            // Spreads the receivers over the intervals, so that no tick sends to all of them.
            incarnation.0 % intervals == self.ticks % intervals
        }) {
            self.send_heartbeat(other);
        }
    }

    /// Sends a heartbeat immediately to all nodes that receive heartbeats of this node.
    pub(super) fn send_to_all_links(&mut self) {
        let region = self.region_peers(|_, _| true);
        for other in [self.watch_links.watchers.clone(), region].concat() {
            self.send_heartbeat(other);
        }
    }

    /// Returns the live nodes of the own region that are not watchers and satisfy `is_due`.
    ///
    /// The second argument of `is_due` is the number of intervals between heartbeats to the node.
    fn region_peers(&self, is_due: impl Fn(Incarnation, u64) -> bool) -> Vec<Incarnation> {
        let own = self.local_records[self.own_index()];
        let others = self.indices(|state| state == MemberState::Alive);
        let near = others.filter(|index| self.local_records[*index].region_hash == own.region_hash);
        let due = near.filter(|index| {
            let intervals = if self.local_records[*index].domain_hash == own.domain_hash {
                self.settings.domain_heartbeat_intervals
            } else {
                self.settings.region_heartbeat_intervals
            };
            is_due(self.members[*index].incarnation, intervals)
        });
        due.map(|index| self.members[index].incarnation)
            .filter(|other| *other != self.own && !self.watch_links.watchers.contains(other))
            .collect()
    }

    fn send_heartbeat(&mut self, to: Incarnation) {
        if let Some(index) = self.find(to) {
            let to = self.members[index].heartbeat_address;
            self.send(to, Message::Heartbeat);
        }
    }

    pub(super) fn indices(&self, is: impl Fn(MemberState) -> bool) -> impl Iterator<Item = usize> {
        let members = self.members.iter().enumerate();
        members
            .filter(move |(_, member)| is(member.state))
            .map(|(index, _)| index)
    }
}
