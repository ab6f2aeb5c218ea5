//! Heartbeats, and what follows when they stay away.

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};

use super::links::{self, Candidate};
use super::member::MemberState;
use super::view::View;
use super::wire::Message;
use crate::keys::Incarnation;
use crate::time::TimeMs;

/// Intervals of silence after which a member is asked whether it is alive.
const ASK_AFTER_INTERVALS: u64 = 3;

/// Intervals of silence after which others are asked to ask it.
const ASK_OTHERS_AFTER_INTERVALS: u64 = 4;

/// How many others are asked.
const OTHERS_ASKED: usize = 2;

/// Ticks between two rounds of probes of suspected members.
const SUSPECT_PROBE_TICKS: u64 = 5;

/// Suspected members that are probed in one round.
///
/// A node that is cut off from a large fleet suspects all of it.
const SUSPECTS_PROBED: usize = 8;

impl View {
    /// Works out anew who watches whom, if members have changed.
    pub(super) fn refresh_links(&mut self, now: TimeMs) {
        if !std::mem::take(&mut self.links.stale) {
            return;
        }
        let live: Vec<Candidate> = self
            .indices(|state| state == MemberState::Alive)
            .map(|index| self.candidate(index))
            .collect();
        let own = self.candidate(self.own_index());
        self.links.watchers = links::watchers(own, &live, &self.settings);
        let charges: Vec<Incarnation> = self
            .indices(|state| state != MemberState::Gone)
            .map(|index| self.candidate(index))
            .filter(|of| self.own().is_live() && links::is_watcher(own, *of, &live, &self.settings))
            .map(|of| of.incarnation)
            .collect();
        let before = std::mem::replace(&mut self.links.charges, charges);
        for index in 0..self.members.len() {
            let incarnation = self.members[index].incarnation;
            let is_new = before.binary_search(&incarnation).is_err();
            if is_new && self.links.charges.binary_search(&incarnation).is_ok() {
                // It may not know yet that it is watched from here.
                self.tracks[index].heard_ms = now;
            }
        }
    }

    /// Asks charges that are silent, and suspects those that stay so.
    pub(super) fn watch(&mut self, now: TimeMs, rng: &mut SmallRng) {
        let isolated = self.is_isolated(now);
        for charge in self.links.charges.clone() {
            let Some(index) = self.find(charge) else {
                continue;
            };
            let silent_ms = now.since(self.tracks[index].heard_ms);
            let state = self.members[index].state;
            match state {
                MemberState::Alive if silent_ms > self.settings.suspect_after_ms() => {
                    self.suspect(now, index, isolated);
                }
                // What has announced its end and falls silent has ended.
                MemberState::Leaving if silent_ms > self.settings.suspect_after_ms() => {
                    self.set_state(now, index, MemberState::Gone);
                }
                MemberState::Alive | MemberState::Leaving => self.ask(index, silent_ms, rng),
                MemberState::Suspected | MemberState::Gone => {}
            }
        }
        if self.ticks.is_multiple_of(SUSPECT_PROBE_TICKS) {
            self.probe_suspects(rng);
        }
    }

    fn probe_suspects(&mut self, rng: &mut SmallRng) {
        let charges = self
            .links
            .charges
            .iter()
            .filter_map(|charge| self.find(*charge));
        let suspects = charges.filter(|index| self.members[*index].state == MemberState::Suspected);
        for index in suspects.choose_multiple(rng, SUSPECTS_PROBED) {
            self.probe(index);
        }
    }

    /// Suspects a member; a node that hears nobody keeps the suspicion to itself.
    ///
    /// A node that is cut off misses everybody's heartbeats. If it spread that once it is back, all
    /// others would leave each other out of their answers for a moment.
    fn suspect(&mut self, now: TimeMs, index: usize, isolated: bool) {
        self.set_state(now, index, MemberState::Suspected);
        self.tracks[index].doubted = isolated;
        self.doubting |= isolated;
        self.probe(index);
    }

    /// Takes back what was suspected while nobody was heard.
    pub(super) fn lift_doubts(&mut self, now: TimeMs) {
        if !std::mem::take(&mut self.doubting) {
            return;
        }
        for index in 0..self.members.len() {
            if self.tracks[index].doubted {
                self.set_state(now, index, MemberState::Alive);
            }
        }
    }

    fn ask(&mut self, index: usize, silent_ms: u64, rng: &mut SmallRng) {
        if silent_ms >= self.settings.intervals_ms(ASK_AFTER_INTERVALS) {
            self.probe(index);
        }
        if silent_ms >= self.settings.intervals_ms(ASK_OTHERS_AFTER_INTERVALS) {
            self.ask_others(index, rng);
        }
    }

    pub(super) fn probe(&mut self, index: usize) {
        let to = self.members[index].heartbeat_address;
        self.send(to, Message::Probe(None));
    }

    fn ask_others(&mut self, index: usize, rng: &mut SmallRng) {
        let target = self.members[index].incarnation;
        let others: Vec<usize> = self
            .indices(|state| state == MemberState::Alive)
            .filter(|other| *other != index && *other != self.own_index())
            .collect();
        for other in others.choose_multiple(rng, OTHERS_ASKED) {
            let to = self.members[*other].heartbeat_address;
            self.send(to, Message::ProbeFor(target));
        }
    }

    /// Gives up members that have been suspected for long, and forgets those gone for very long.
    pub(super) fn expire(&mut self, now: TimeMs) {
        for index in 0..self.members.len() {
            let track = self.tracks[index];
            let suspected = self.members[index].state == MemberState::Suspected;
            let long = now.since(track.changed_ms) >= self.settings.gone_after_ms;
            if suspected && long && !track.doubted {
                self.set_state(now, index, MemberState::Gone);
            }
        }
        for index in (0..self.members.len()).rev() {
            let gone = self.members[index].state == MemberState::Gone;
            let age_ms = now.since(self.tracks[index].changed_ms);
            let own = self.members[index].incarnation == self.own;
            if gone && !own && age_ms >= self.settings.forget_after_ms {
                self.members.remove(index);
                self.tracks.remove(index);
            }
        }
    }

    /// Sends heartbeats to the watchers, and now and then to the rest of the own region.
    ///
    /// Those others don't watch, but want to know the load.
    pub(super) fn send_heartbeats(&mut self) {
        for watcher in self.links.watchers.clone() {
            self.send_heartbeat(watcher);
        }
        for other in self.region(|incarnation, intervals| {
            // Spread over the intervals, so that no tick sends to all.
            incarnation.0 % intervals == self.ticks % intervals
        }) {
            self.send_heartbeat(other);
        }
    }

    /// Tells all that hear from this node anyway, at once.
    pub(super) fn send_to_all_links(&mut self) {
        let region = self.region(|_, _| true);
        for other in [self.links.watchers.clone(), region].concat() {
            self.send_heartbeat(other);
        }
    }

    /// The nodes of the own region that don't watch this node, for which `is_due` holds, given
    /// after how many intervals they are sent a heartbeat.
    fn region(&self, is_due: impl Fn(Incarnation, u64) -> bool) -> Vec<Incarnation> {
        let own = self.tracks[self.own_index()];
        let others = self.indices(|state| state == MemberState::Alive);
        let near = others.filter(|index| self.tracks[*index].region == own.region);
        let due = near.filter(|index| {
            let intervals = if self.tracks[*index].domain == own.domain {
                self.settings.domain_intervals
            } else {
                self.settings.region_intervals
            };
            is_due(self.members[*index].incarnation, intervals)
        });
        due.map(|index| self.members[index].incarnation)
            .filter(|other| *other != self.own && !self.links.watchers.contains(other))
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
