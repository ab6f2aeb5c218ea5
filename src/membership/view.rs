//! One node's view of the fleet.

use std::net::SocketAddr;

use rand::rngs::SmallRng;
use thiserror::Error;

use super::links::Candidate;
use super::member::{Member, MemberLoad, MemberState};
use super::settings::Settings;
use super::updates::Updates;
use super::wire::{self, Claim, Message, Packet, ROWS_BYTES, Update, WireError};
use crate::keys::Incarnation;
use crate::peers::FleetKey;
use crate::time::TimeMs;

/// A tick that comes later than after this many intervals shows that this node was paused.
const PAUSED_AFTER_INTERVALS: u64 = 2;

/// A node that has heard nobody for this many intervals may be the one that is cut off.
const ISOLATED_AFTER_INTERVALS: u64 = 3;

/// One node's view of the fleet, and what it does to keep it true.
#[derive(Debug)]
pub struct View {
    pub(super) own: Incarnation,
    pub(super) settings: Settings,
    pub(super) seeds: Vec<SocketAddr>,
    /// Sorted by incarnation.
    pub(super) members: Vec<Member>,
    /// What else is known of each member, in the same order.
    pub(super) tracks: Vec<Track>,
    pub(super) links: Links,
    pub(super) updates: Updates,
    /// Incarnations whose rows have been asked for, with when.
    pub(super) wanted: Vec<(Incarnation, TimeMs)>,
    pub(super) ticks: u64,
    pub(super) heard_any_ms: TimeMs,
    /// Whether any member is doubted.
    pub(super) doubting: bool,
    pub(super) next_sync_ms: TimeMs,
    pub(super) output: Output,
    ticked_ms: Option<TimeMs>,
    key: FleetKey,
    sequence: u64,
}

/// What a node knows of a member for itself alone.
#[derive(Clone, Copy, Debug)]
pub(super) struct Track {
    /// When the member was last heard, directly or through another that asked for this node.
    pub heard_ms: TimeMs,
    /// When its load was last heard.
    pub load_ms: Option<TimeMs>,
    /// When its state last changed here.
    pub changed_ms: TimeMs,
    /// When it was last told what is said of it.
    pub told_ms: TimeMs,
    /// The newest sequence number seen.
    pub sequence: u64,
    /// It is suspected while nobody at all is heard, and only here.
    pub doubted: bool,
    /// It will not come back under this incarnation.
    pub ended: bool,
    /// Stands for its failure domain.
    pub domain: u64,
    /// Stands for its region.
    pub region: u64,
}

/// Whom this node watches and who watches it, as of the newest change of members.
#[derive(Debug, Default)]
pub(super) struct Links {
    pub stale: bool,
    pub watchers: Vec<Incarnation>,
    /// Sorted.
    pub charges: Vec<Incarnation>,
}

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Where to.
    pub to: SocketAddr,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// What has changed in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A node is alive: it is new, or it has contradicted a suspicion.
    Alive(Incarnation),
    /// A node is suspected.
    Suspected(Incarnation),
    /// A node takes nothing new.
    Leaving(Incarnation),
    /// A node has ended or is given up.
    Gone(Incarnation),
}

/// What follows from a tick or a datagram.
#[must_use]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// To be sent.
    pub datagrams: Vec<Datagram>,
    /// To be told to the rest of the node.
    pub events: Vec<Event>,
}

/// The own row doesn't fit into a datagram; its names are too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a node's names and addresses take {row_bytes} bytes; {ROWS_BYTES} fit into a datagram")]
pub struct RowTooLarge {
    /// The size of the row.
    pub row_bytes: usize,
}

impl View {
    /// A view that knows only its own node and where to look for others.
    ///
    /// # Errors
    ///
    /// If the own row doesn't fit into a datagram.
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
            tracks: vec![Track::new(&own, TimeMs::default())],
            members: vec![own],
            links: Links {
                stale: true,
                ..Links::default()
            },
            updates: Updates::default(),
            wanted: Vec::new(),
            ticks: 0,
            heard_any_ms: TimeMs::default(),
            doubting: false,
            next_sync_ms: TimeMs::default(),
            output: Output::default(),
            ticked_ms: None,
            key,
            sequence: 0,
        })
    }

    /// All known members, sorted by incarnation, with this node itself.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The member that is this run.
    #[must_use]
    pub fn get(&self, incarnation: Incarnation) -> Option<&Member> {
        let index = self.find(incarnation)?;
        Some(&self.members[index])
    }

    /// This node itself.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.members[self.own_index()]
    }

    /// The members that may be given work, this node itself among them unless it leaves.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.is_live())
    }

    /// Whether nobody has been heard lately, so that this node may be the one that is cut off.
    #[must_use]
    pub fn is_isolated(&self, now: TimeMs) -> bool {
        let limit_ms = self.settings.intervals_ms(ISOLATED_AFTER_INTERVALS);
        self.members.len() > 1 && now.since(self.heard_any_ms) > limit_ms
    }

    /// Sets the load that heartbeats carry from now on.
    pub fn set_load(&mut self, now: TimeMs, load: MemberLoad) {
        let own = self.own_index();
        self.members[own].load = load;
        self.tracks[own].load_ms = Some(now);
    }

    /// Sets where to look for nodes that aren't known, for example from the platform's host list.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Does what is due; to be called once per interval.
    pub fn tick(&mut self, now: TimeMs, rng: &mut SmallRng) -> Output {
        self.forgive_own_pause(now);
        self.ticks += 1;
        self.refresh_links(now);
        self.watch(now, rng);
        self.expire(now);
        self.refresh_links(now);
        self.send_heartbeats();
        self.seek(now, rng);
        std::mem::take(&mut self.output)
    }

    /// Takes a datagram in.
    ///
    /// # Errors
    ///
    /// If the datagram isn't one of this fleet's; the view is as before then.
    pub fn on_datagram(
        &mut self,
        now: TimeMs,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Result<Output, WireError> {
        let packet = wire::open(&self.key, bytes)?;
        if packet.from != self.own {
            self.receive(now, from, packet);
        }
        Ok(std::mem::take(&mut self.output))
    }

    /// Announces that this node takes nothing new.
    pub fn leave(&mut self, now: TimeMs) -> Output {
        self.announce(now, MemberState::Leaving)
    }

    /// Announces that this node ends.
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

    /// Shifts all timers when this node's own tick comes far too late.
    ///
    /// A node that was paused has heard nobody meanwhile. Without this it would suspect all that it
    /// watches the moment it goes on, and one would see a wave of suspicions start at that node.
    fn forgive_own_pause(&mut self, now: TimeMs) {
        let Some(ticked_ms) = self.ticked_ms.replace(now) else {
            self.heard_any_ms = now;
            return;
        };
        let late_ms = now.since(ticked_ms.after(self.settings.interval_ms));
        let tolerated = PAUSED_AFTER_INTERVALS - 1;
        if late_ms <= self.settings.intervals_ms(tolerated) {
            return;
        }
        self.heard_any_ms = self.heard_any_ms.after(late_ms);
        for track in &mut self.tracks {
            track.heard_ms = track.heard_ms.after(late_ms);
            track.changed_ms = track.changed_ms.after(late_ms);
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
            domain: self.tracks[index].domain,
        }
    }

    /// What others are told of a member.
    pub(super) fn claim(&self, index: usize) -> Claim {
        let member = &self.members[index];
        Claim {
            version: member.version,
            state: match member.state {
                MemberState::Suspected if self.tracks[index].doubted => MemberState::Alive,
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

    /// Sends a message, with as many changes as go with it.
    pub(super) fn send(&mut self, to: SocketAddr, message: Message) {
        let updates = match message {
            Message::Join(_) | Message::Summary(_) | Message::Want(_) | Message::Rows(_) => {
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
        let bytes = wire::seal(&self.key, &packet);
        self.output.datagrams.push(Datagram { to, bytes });
    }

    fn next_updates(&mut self) -> Vec<Update> {
        let next = self.updates.next();
        let known = next.into_iter().filter_map(|key| self.find(key));
        known.map(|index| self.update(index)).collect()
    }
}

impl Track {
    pub(super) fn new(member: &Member, now: TimeMs) -> Self {
        Self {
            heard_ms: now,
            load_ms: None,
            changed_ms: now,
            told_ms: TimeMs::default(),
            sequence: 0,
            doubted: false,
            ended: false,
            domain: hash(&member.domain_name),
            region: hash(&member.region),
        }
    }
}

fn hash(name: &str) -> u64 {
    twox_hash::XxHash3_64::oneshot(name.as_bytes())
}
