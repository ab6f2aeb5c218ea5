//! The membership protocol as a state machine without I/O.

use std::net::SocketAddr;

use rand::rngs::SmallRng;
use thiserror::Error;

use super::member::{Member, MemberLoad, MemberState};
use super::settings::Settings;
use super::update_queue::UpdateQueue;
use super::watcher_selection::Candidate;
use super::wire::{self, Claim, Message, Packet, ROWS_BYTES, Update, WireError};
use crate::keys::Incarnation;
use crate::peers::FleetKey;
use crate::time::TimeMs;

/// Number of intervals between two ticks above which this node counts as having been paused.
const PAUSED_AFTER_INTERVALS: u64 = 2;

/// Number of intervals without a datagram of any member after which this node counts as isolated.
const ISOLATED_AFTER_INTERVALS: u64 = 3;

/// One node's view of the fleet and the protocol that keeps it up to date.
#[derive(Debug)]
pub struct View {
    pub(super) own: Incarnation,
    pub(super) settings: Settings,
    pub(super) seeds: Vec<SocketAddr>,
    /// Sorted by incarnation.
    pub(super) members: Vec<Member>,
    /// The local state of each member, in the order of `members`.
    pub(super) local_records: Vec<LocalRecord>,
    pub(super) watch_links: WatchLinks,
    pub(super) updates: UpdateQueue,
    /// Incarnations whose rows were requested, with the time of the request.
    pub(super) requested_rows: Vec<(Incarnation, TimeMs)>,
    pub(super) ticks: u64,
    pub(super) last_received_ms: TimeMs,
    /// Whether any member is suspected only locally.
    pub(super) has_local_suspicions: bool,
    pub(super) next_sync_ms: TimeMs,
    pub(super) output: Output,
    last_tick_ms: Option<TimeMs>,
    key: FleetKey,
    sequence: u64,
}

/// What a node tracks about a member without sharing it.
#[derive(Clone, Copy, Debug)]
pub(super) struct LocalRecord {
    /// When the member last sent a datagram or answered an indirect probe.
    pub last_seen_ms: TimeMs,
    /// When its load was last received.
    pub load_received_ms: Option<TimeMs>,
    /// When its state last changed in this view.
    pub state_changed_ms: TimeMs,
    /// When a greater claim about the member was last sent to it.
    pub corrected_ms: TimeMs,
    /// The highest sequence number received.
    pub last_sequence: u64,
    /// Whether it was suspected while this node was isolated; such a suspicion is not shared.
    pub is_suspected_locally: bool,
    /// Whether this incarnation is known to have ended, so that it cannot return.
    pub has_ended: bool,
    /// The hash of the name of its failure domain.
    pub domain_hash: u64,
    /// The hash of the name of its region.
    pub region_hash: u64,
}

/// The nodes that watch this node and those that it watches, computed from the members.
#[derive(Debug, Default)]
pub(super) struct WatchLinks {
    /// Whether members have changed since the computation.
    pub is_stale: bool,
    /// The nodes that watch this node.
    pub watchers: Vec<Incarnation>,
    /// The nodes that this node watches, sorted.
    pub watched: Vec<Incarnation>,
}

/// An outgoing datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The receiver's address.
    pub to: SocketAddr,
    /// The encoded content.
    pub bytes: Vec<u8>,
}

/// A state change of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The node is alive: it joined, or it refuted a suspicion.
    Alive(Incarnation),
    /// The node is suspected.
    Suspected(Incarnation),
    /// The node accepts no new work.
    Leaving(Incarnation),
    /// The node has ended, or its suspicion timed out.
    Gone(Incarnation),
}

/// The datagrams and events that a tick, a datagram or an announcement produces.
#[must_use]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Datagrams to send.
    pub datagrams: Vec<Datagram>,
    /// State changes to report to the rest of the node.
    pub events: Vec<Event>,
}

/// The node's own row exceeds the size of a datagram because its names are too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error(
    "the node's names and addresses take {row_bytes} bytes, but a datagram holds {ROWS_BYTES}; shorten the names"
)]
pub struct RowTooLarge {
    /// The encoded size of the row.
    pub row_bytes: usize,
}

impl View {
    /// Creates a view that contains only the own node and the seeds to join.
    ///
    /// # Errors
    ///
    /// Returns [`RowTooLarge`] if the own row exceeds the size of a datagram.
    pub fn new(
        own: Member,
        seeds: Vec<SocketAddr>,
        key: FleetKey,
        settings: Settings,
    ) -> Result<Self, RowTooLarge> {
        let row_bytes = wire::row_bytes(&own);
        if row_bytes > ROWS_BYTES {
            return Err(RowTooLarge { row_bytes });
        }
        Ok(Self {
            own: own.incarnation,
            settings,
            seeds,
            local_records: vec![LocalRecord::new(&own, TimeMs::default())],
            members: vec![own],
            watch_links: WatchLinks {
                is_stale: true,
                ..WatchLinks::default()
            },
            updates: UpdateQueue::default(),
            requested_rows: Vec::new(),
            ticks: 0,
            last_received_ms: TimeMs::default(),
            has_local_suspicions: false,
            next_sync_ms: TimeMs::default(),
            output: Output::default(),
            last_tick_ms: None,
            key,
            sequence: 0,
        })
    }

    /// Returns all known members including this node, sorted by incarnation.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the member with this incarnation.
    #[must_use]
    pub fn get(&self, incarnation: Incarnation) -> Option<&Member> {
        let index = self.find(incarnation)?;
        Some(&self.members[index])
    }

    /// Returns the row of this node.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.members[self.own_index()]
    }

    /// Returns the members that may receive new work, including this node unless it is leaving.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.is_live())
    }

    /// Returns whether other members exist but no datagram of any has arrived recently.
    ///
    /// This node may then be the one that is partitioned.
    #[must_use]
    pub fn is_isolated(&self, now: TimeMs) -> bool {
        let limit_ms = self.settings.intervals_ms(ISOLATED_AFTER_INTERVALS);
        self.members.len() > 1 && now.since(self.last_received_ms) > limit_ms
    }

    /// Sets the load that subsequent heartbeats carry.
    pub fn set_load(&mut self, now: TimeMs, load: MemberLoad) {
        let own = self.own_index();
        self.members[own].load = load;
        self.local_records[own].load_received_ms = Some(now);
    }

    /// Sets the addresses to join unknown nodes at, for example from the platform's host list.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Advances the protocol; must be called once per heartbeat interval.
    pub fn tick(&mut self, now: TimeMs, rng: &mut SmallRng) -> Output {
        self.adjust_for_pause(now);
        self.ticks += 1;
        self.refresh_links(now);
        self.check_watched(now, rng);
        self.expire(now);
        self.refresh_links(now);
        self.send_heartbeats();
        self.discover_and_sync(now, rng);
        std::mem::take(&mut self.output)
    }

    /// Processes a received datagram.
    ///
    /// # Errors
    ///
    /// Returns an error and leaves the view unchanged if the datagram is not valid for this fleet.
    pub fn on_datagram(
        &mut self,
        now: TimeMs,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Result<Output, WireError> {
        let packet = wire::decode(&self.key, bytes)?;
        if packet.from != self.own {
            self.receive(now, from, packet);
        }
        Ok(std::mem::take(&mut self.output))
    }

    /// Announces that this node accepts no new work.
    pub fn leave(&mut self, now: TimeMs) -> Output {
        self.announce(now, MemberState::Leaving)
    }

    /// Announces that this node has ended.
    pub fn end(&mut self, now: TimeMs) -> Output {
        self.announce(now, MemberState::Gone)
    }

    fn announce(&mut self, now: TimeMs, state: MemberState) -> Output {
        let own = self.own_index();
        if self.members[own].state < state {
            self.refresh_links(now);
            self.members[own].version += 1;
            self.set_state(now, own, state);
            self.send_to_all_links();
        }
        std::mem::take(&mut self.output)
    }

    /// Shifts all timers by the delay when this node's own tick is late.
    ///
    /// A paused node receives no heartbeats. Without the shift it would suspect all nodes that it
    /// watches as soon as it resumes, and spread a wave of false suspicions.
    fn adjust_for_pause(&mut self, now: TimeMs) {
        let Some(last_tick_ms) = self.last_tick_ms.replace(now) else {
            self.last_received_ms = now;
            return;
        };
        let late_ms = now.since(last_tick_ms.after(self.settings.interval_ms));
        let tolerated_intervals = PAUSED_AFTER_INTERVALS - 1;
        if late_ms <= self.settings.intervals_ms(tolerated_intervals) {
            return;
        }
        self.last_received_ms = self.last_received_ms.after(late_ms);
        for local in &mut self.local_records {
            local.last_seen_ms = local.last_seen_ms.after(late_ms);
            local.state_changed_ms = local.state_changed_ms.after(late_ms);
        }
    }

    pub(super) fn find(&self, incarnation: Incarnation) -> Option<usize> {
        let found = self
            .members
            .binary_search_by_key(&incarnation, |member| member.incarnation);
        found.ok()
    }

    pub(super) fn own_index(&self) -> usize {
        self.find(self.own).expect("the own row is never removed")
    }

    pub(super) fn candidate(&self, index: usize) -> Candidate {
        Candidate {
            incarnation: self.members[index].incarnation,
            domain_hash: self.local_records[index].domain_hash,
        }
    }

    /// Returns the claim about a member that is sent to other nodes.
    pub(super) fn claim(&self, index: usize) -> Claim {
        let member = &self.members[index];
        Claim {
            version: member.version,
            state: match member.state {
                MemberState::Suspected if self.local_records[index].is_suspected_locally => {
                    MemberState::Alive
                }
                state => state,
            },
        }
    }

    pub(super) fn update(&self, index: usize) -> Update {
        Update {
            incarnation: self.members[index].incarnation,
            claim: self.claim(index),
        }
    }

    /// Queues a message, with piggybacked changes if its kind leaves room for them.
    pub(super) fn send(&mut self, to: SocketAddr, message: Message) {
        let updates = match message {
            Message::Join(_) | Message::Summary(_) | Message::RowRequest(_) | Message::Rows(_) => {
                Vec::new()
            }
            _ => self.next_updates(),
        };
        self.send_with(to, message, updates);
    }

    pub(super) fn send_with(&mut self, to: SocketAddr, message: Message, updates: Vec<Update>) {
        self.sequence += 1;
        let own = self.own();
        let packet = Packet {
            from: self.own,
            sequence: self.sequence,
            claim: self.claim(self.own_index()),
            load: own.load,
            message,
            updates,
        };
        let bytes = wire::encode(&self.key, &packet);
        self.output.datagrams.push(Datagram { to, bytes });
    }

    fn next_updates(&mut self) -> Vec<Update> {
        let batch = self.updates.next_batch();
        let known = batch.into_iter().filter_map(|key| self.find(key));
        known.map(|index| self.update(index)).collect()
    }
}

impl LocalRecord {
    pub(super) fn new(member: &Member, now: TimeMs) -> Self {
        Self {
            last_seen_ms: now,
            load_received_ms: None,
            state_changed_ms: now,
            corrected_ms: TimeMs::default(),
            last_sequence: 0,
            is_suspected_locally: false,
            has_ended: false,
            domain_hash: hash_name(&member.domain_name),
            region_hash: hash_name(&member.region),
        }
    }
}

fn hash_name(name: &str) -> u64 {
    twox_hash::XxHash3_64::oneshot(name.as_bytes())
}
