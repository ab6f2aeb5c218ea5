//! The table of known upstreams: announcements, load and health of each.

mod departed;

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use tokio_util::sync::CancellationToken;
use twox_hash::XxHash3_64;

use self::departed::{Departed, DepartedStarts};
use super::health::Health;
use super::send_gate::{Closed, SendGate};
use super::streams::VersionTag;
use super::throttle::{Change as LimitChange, LimitReport, Sharers};
use crate::time::TimeMs;

/// Identifies one start of an upstream in the table. Keys are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct UpstreamKey {
    index: u32,
    generation: u32,
}

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum Phase {
    Ready,
    /// The upstream finishes its running requests and then stops.
    Leaving,
}

/// The announcement that an upstream wrote about itself to the store.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Announcement {
    /// The same for several starts of an upstream; see [`Announcement::born_ms`].
    pub id: String,
    /// Start time in Unix milliseconds; `None` where upstreams get a new id at each start.
    pub born_ms: Option<u64>,
    /// Number of announcements written since the start.
    pub sequence: u64,
    pub pool: String,
    /// Software version; empty if not announced.
    pub version: String,
    pub address: SocketAddr,
    pub failure_domain: String,
    /// Requests that the upstream runs concurrently.
    pub slots: u32,
    pub phase: Phase,
    /// Whether the upstream is still warming up after its start and therefore slower.
    pub is_warming: bool,
    /// Whether the platform may reclaim the host.
    pub is_reclaimable: bool,
    /// Remaining time when the upstream announced that it leaves, if known.
    pub leaves_in_ms: Option<u64>,
}

/// How an announcement relates to the known one with the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Recency {
    /// A later announcement of the same start.
    Newer,
    /// An announcement of another start, which has lost all state of the known one.
    Restarted,
    /// An announcement of an earlier start, or an earlier one of the same start, that arrived late.
    Stale,
}

impl Announcement {
    /// Whether another announcement is equal but for its sequence number.
    pub fn equals_ignoring_sequence(&self, other: &Self) -> bool {
        let renumbered = Self {
            sequence: other.sequence,
            ..self.clone()
        };
        renumbered == *other
    }

    /// Returns a hash that identifies this start of the upstream among nodes.
    pub fn tag(&self) -> u64 {
        match self.born_ms {
            Some(born_ms) => tag(&format!("{}@{born_ms}", self.id)),
            None => tag(&self.id),
        }
    }

    /// Orders a received announcement relative to this one.
    ///
    /// `is_removed` states whether this announcement has been removed from the store.
    fn recency(&self, next: &Self, is_removed: bool) -> Recency {
        match (self.born_ms, next.born_ms) {
            (Some(known_ms), Some(born_ms)) if born_ms < known_ms => Recency::Stale,
            (known_ms, born_ms) if known_ms != born_ms => Recency::Restarted,
            // A start keeps its version. An announcement that names another one comes from a later
            // start; streams that the known start began must not go on there.
            _ if next.sequence >= self.sequence && self.version != next.version => {
                Recency::Restarted
            }
            _ if next.sequence >= self.sequence => Recency::Newer,
            // Without a start time, only a sequence number that begins again indicates a restart.
            (None, _) if is_removed => Recency::Restarted,
            _ => Recency::Stale,
        }
    }
}

/// A change of an announcement in the store.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum Change {
    /// The upstream is present with this announcement.
    Present(Announcement),
    /// The announcement was removed.
    Removed {
        /// The id of the upstream.
        id: String,
    },
    /// The announcement was overwritten with a record that describes no upstream.
    Unreadable {
        /// The id of the upstream.
        id: String,
    },
}

impl Change {
    /// Returns the id of the changed upstream.
    pub fn id(&self) -> &str {
        match self {
            Self::Present(announced) => &announced.id,
            Self::Removed { id } | Self::Unreadable { id } => id,
        }
    }
}

/// The load that one node puts on one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Load {
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Prompt tokens of running requests that have not returned a first token.
    pub unread_tokens: u64,
}

/// One start of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub announcement: Announcement,
    /// See [`Announcement::tag`].
    pub tag: u64,
    /// Cancelled once a restart is detected: the requests that this start ran are lost.
    pub restarted: CancellationToken,
    /// Whether the announcement is gone. The entry is kept until this node's requests there end.
    pub is_removed: bool,
    /// Until this time a removed upstream still accepts requests.
    ///
    /// Set for removals by a store that has just recovered from an outage: the announcement may
    /// have expired because the upstream could not renew it.
    pub grace_until: TimeMs,
    pub own_load: Load,
    pub peer_load: Load,
    /// When this node began to wait for a response; `None` if no response is outstanding.
    pub awaiting_since: Option<TimeMs>,
    pub health: Health,
    /// Whether the upstream admits this node's requests, as stated in its responses.
    pub send_gate: SendGate,
}

impl Upstream {
    /// Returns its software version.
    pub fn version(&self) -> VersionTag {
        VersionTag::of(&self.announcement.version)
    }

    /// Whether the upstream may get new requests.
    pub fn accepts_requests(&self, now: TimeMs) -> bool {
        match self.announcement.phase {
            Phase::Leaving => false,
            Phase::Ready if self.send_gate.is_leaving() => false,
            Phase::Ready if self.is_removed => now < self.grace_until,
            Phase::Ready => true,
        }
    }

    /// Admits one request of any kind. Must be called just before the request is sent.
    ///
    /// # Errors
    ///
    /// Returns the reason if the upstream accepts no request of this node now.
    pub fn admit(&mut self, now: TimeMs) -> Result<(), Closed> {
        // The load includes the request itself.
        let others = self.running().saturating_sub(1);
        let slots = self.announcement.slots;
        if !self.accepts_requests(now) {
            return Err(Closed::Leaving);
        }
        if !self.send_gate.refusals.admits(others, slots, now) {
            return Err(Closed::Full);
        }
        self.send_gate.admit(now)?;
        self.send_gate.refusals.record_sent(others, slots, now);
        Ok(())
    }

    /// Returns the reason why the upstream admits no request now; `None` if it admits one.
    pub fn closed_reason(&self, now: TimeMs) -> Option<Closed> {
        let slots = self.announcement.slots;
        let is_full = !(self.send_gate.refusals).admits(self.running(), slots, now);
        let closed = self.send_gate.closed_reason(now);
        closed.or(is_full.then_some(Closed::Full))
    }

    /// Whether the platform is reclaiming the host of the upstream.
    pub fn is_being_reclaimed(&self) -> bool {
        self.announcement.is_reclaimable && self.announcement.leaves_in_ms.is_some()
    }

    /// Whether the upstream has not responded for longer than it usually needs.
    ///
    /// An upstream that becomes unreachable fails no request at first: requests wait there until
    /// they time out, and each of them is lost. Detecting outstanding responses that are overdue
    /// limits this loss.
    pub fn is_unresponsive(&self, now: TimeMs) -> bool {
        let allowed_ms = match self.health.mean_answer_ms() {
            Some(took_ms) => super::num::round_to_u64(took_ms * UNRESPONSIVE_AFTER_RESPONSE_TIMES)
                .max(MIN_UNRESPONSIVE_MS),
            None => INITIAL_UNRESPONSIVE_MS,
        };
        (self.awaiting_since).is_some_and(|since| now.since(since) > allowed_ms)
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, now: TimeMs) {
        self.awaiting_since.get_or_insert(now);
    }

    /// Records any response from the upstream.
    pub fn record_response(&mut self, now: TimeMs) {
        self.awaiting_since = (self.own_load.running > 1).then_some(now);
    }

    /// Returns the running requests of all nodes.
    pub fn running(&self) -> u32 {
        self.own_load.running + self.peer_load.running
    }

    /// Returns the unprocessed prompt tokens of all nodes.
    pub fn unread_tokens(&self) -> u64 {
        self.own_load.unread_tokens + self.peer_load.unread_tokens
    }
}

/// Multiple of the usual response time after which an upstream without a response is unresponsive.
const UNRESPONSIVE_AFTER_RESPONSE_TIMES: f64 = 6.0;

/// Lower bound on that time: an ordinary call takes up to 220 ms.
const MIN_UNRESPONSIVE_MS: u64 = 300;

/// The same for an upstream whose usual response time is not known yet.
const INITIAL_UNRESPONSIVE_MS: u64 = 1_500;

/// All known upstreams, by key, id and tag.
#[derive(Debug, Default)]
pub(crate) struct UpstreamTable {
    arena: Vec<Slot>,
    /// Indices of unused slots of the arena.
    free_slots: Vec<usize>,
    /// Number of upstreams in the arena that announce a start time.
    start_time_count: usize,
    /// Sorted by id.
    by_id: Vec<(String, UpstreamKey)>,
    /// Sorted by tag.
    by_tag: Vec<(u64, UpstreamKey)>,
    /// What is known of starts without an entry in the arena.
    departed: DepartedStarts,
    /// The load reported by each peer, sorted by the peer's incarnation.
    by_peer: Vec<(u64, Vec<(UpstreamKey, Load)>)>,
}

#[derive(Debug)]
struct Slot {
    generation: u32,
    upstream: Option<Upstream>,
}

/// How long an upstream keeps getting requests after its announcement expired during a store
/// outage.
///
/// The store removes announcements that could not be renewed in time; a live upstream announces
/// itself again within about two seconds. Dropping all upstreams at once would leave none to serve
/// requests for that time.
///
/// A removal may also be a real departure, after which an upstream must get no new request beyond
/// 2,000 ms. The grace period plus the time until this node reads the removal, up to 550 ms, stays
/// below that bound.
pub(crate) const EXPIRY_GRACE_MS: u64 = 1_200;

impl UpstreamTable {
    /// Applies a change; returns the key if the upstream is in the table afterwards.
    ///
    /// `store_was_away` states that the store has just recovered from an outage.
    pub fn apply(
        &mut self,
        change: Change,
        store_was_away: bool,
        now: TimeMs,
    ) -> Option<UpstreamKey> {
        match change {
            Change::Present(announced) if self.lacks_start_time(&announced) => {
                self.remove(&announced.id, TimeMs(0))
            }
            Change::Present(announced) if store_was_away && self.predates_departure(&announced) => {
                None
            }
            Change::Present(announced) => Some(self.upsert(announced)),
            Change::Removed { id } if store_was_away => {
                self.remove(&id, now.after(EXPIRY_GRACE_MS))
            }
            Change::Removed { id } | Change::Unreadable { id } => self.remove(&id, TimeMs(0)),
        }
    }

    /// Whether a change is stale or brings nothing new.
    pub fn is_known(&self, change: &Change) -> bool {
        let known = self.find(change.id()).and_then(|key| self.get(key));
        match (change, known) {
            (Change::Present(_), None) => false,
            (Change::Present(announced), Some(known)) => {
                let recency = known.announcement.recency(announced, known.is_removed);
                let is_same =
                    !known.is_removed && known.announcement.equals_ignoring_sequence(announced);
                is_same || recency == Recency::Stale
            }
            (Change::Removed { .. } | Change::Unreadable { .. }, known) => {
                known.is_none_or(|known| known.is_removed)
            }
        }
    }

    fn remove(&mut self, id: &str, grace_until: TimeMs) -> Option<UpstreamKey> {
        let key = self.find(id)?;
        let upstream = self.get_mut(key)?;
        upstream.is_removed = true;
        upstream.grace_until = grace_until;
        Some(key)
    }

    /// Whether an announcement was written before its upstream left.
    fn predates_departure(&self, announced: &Announcement) -> bool {
        let departed = self.departed.get(announced.tag());
        departed.is_some_and(|departed| departed.has_left && !departed.precedes(announced))
    }

    /// Whether an announcement lacks a start time although most of its pool announce one.
    ///
    /// Other writers may leave such a record under any key. Upstreams of one pool run the same
    /// software, so the majority of the pool's other announcements decides whether a start time is
    /// required; a single odd record cannot change that.
    pub fn lacks_start_time(&self, announced: &Announcement) -> bool {
        // Scanning thousands of upstreams for each announcement would use all of a small host's
        // CPU.
        if announced.born_ms.is_some() || self.start_time_count == 0 {
            return false;
        }
        let mut pool_size = 0;
        let mut start_times = 0;
        for (_key, upstream) in self.iter() {
            let is_other = upstream.announcement.id != announced.id;
            if is_other && !upstream.is_removed && upstream.announcement.pool == announced.pool {
                pool_size += 1;
                start_times += u32::from(upstream.announcement.born_ms.is_some());
            }
        }
        start_times * 2 > pool_size
    }

    /// Replaces all announcements; upstreams that are not among `all` are removed.
    pub fn replace(&mut self, all: Vec<Announcement>, store_was_away: bool, now: TimeMs) {
        let mut ids: Vec<String> = all.iter().map(|announced| announced.id.clone()).collect();
        ids.sort_unstable();
        let absent: Vec<String> = (self.iter())
            .filter(|(_key, upstream)| !upstream.is_removed)
            .map(|(_key, upstream)| upstream.announcement.id.clone())
            .filter(|id| ids.binary_search(id).is_err())
            .collect();
        for id in absent {
            self.apply(Change::Removed { id }, store_was_away, now);
        }
        let (with_start_time, without): (Vec<_>, Vec<_>) = all
            .into_iter()
            .partition(|announced| announced.born_ms.is_some());
        for announced in with_start_time.into_iter().chain(without) {
            self.apply(Change::Present(announced), store_was_away, now);
        }
    }

    fn upsert(&mut self, mut announcement: Announcement) -> UpstreamKey {
        if let Some(key) = self.find(&announcement.id)
            && let Some(upstream) = self.get_mut(key)
        {
            match (upstream.announcement).recency(&announcement, upstream.is_removed) {
                Recency::Newer => {
                    upstream.announcement = announcement;
                    upstream.is_removed = false;
                    return key;
                }
                Recency::Stale => return key,
                Recency::Restarted => self.retire(key),
            }
        }
        let id = announcement.id.clone();
        let tag = announcement.tag();
        let departed = self.departed.take(tag).unwrap_or_default();
        if departed.is_leaving && !departed.precedes(&announcement) {
            announcement.phase = Phase::Leaving;
        }
        let key = self.insert(Upstream {
            announcement,
            tag,
            restarted: CancellationToken::new(),
            is_removed: false,
            grace_until: TimeMs(0),
            own_load: Load::default(),
            peer_load: Load::default(),
            awaiting_since: None,
            health: departed.health,
            send_gate: departed.send_gate,
        });
        let index = self.by_id.partition_point(|(other, _key)| *other < id);
        self.by_id.insert(index, (id, key));
        let index = self.by_tag.partition_point(|(other, _key)| *other < tag);
        self.by_tag.insert(index, (tag, key));
        key
    }

    /// Detaches a start of an upstream that has been superseded by a restart.
    ///
    /// The new start gets its own key. With a shared key, the new start would inherit the health,
    /// loads, cached prefixes and connections of the old one, requests would be routed to an empty
    /// cache, and requests that wait for the old start would wait until they time out.
    fn retire(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.get_mut(key) {
            upstream.is_removed = true;
            upstream.grace_until = TimeMs(0);
            upstream.restarted.cancel();
        }
        self.by_id.retain(|(_id, other)| *other != key);
    }

    fn insert(&mut self, upstream: Upstream) -> UpstreamKey {
        let index = self.free_slots.pop().unwrap_or_else(|| {
            self.arena.push(Slot {
                generation: 0,
                upstream: None,
            });
            self.arena.len() - 1
        });
        self.start_time_count += usize::from(upstream.announcement.born_ms.is_some());
        let slot = &mut self.arena[index];
        slot.generation += 1;
        slot.upstream = Some(upstream);
        UpstreamKey {
            index: u32::try_from(index).unwrap_or(u32::MAX),
            generation: slot.generation,
        }
    }

    /// Evicts removed upstreams that run no request of this node.
    pub fn evict_removed(&mut self, now: TimeMs) {
        let gone: Vec<UpstreamKey> = (self.iter())
            .filter(|(_key, upstream)| upstream.is_removed && upstream.own_load.running == 0)
            .filter(|(_key, upstream)| now >= upstream.grace_until)
            .map(|(key, _upstream)| key)
            .collect();
        if gone.is_empty() {
            return;
        }
        for key in &gone {
            let index = key.index as usize;
            if let Some(upstream) = self.arena[index].upstream.take() {
                self.start_time_count -= usize::from(upstream.announcement.born_ms.is_some());
                self.free_slots.push(index);
                self.departed
                    .record(upstream.tag, Departed::from(&upstream), now);
            }
        }
        // `gone` is sorted, because the arena is iterated in key order.
        let is_gone = |key: &UpstreamKey| gone.binary_search(key).is_ok();
        self.by_id.retain(|(_id, key)| !is_gone(key));
        self.by_tag.retain(|(_tag, key)| !is_gone(key));
    }

    /// Returns the number of a pool's upstreams that accept requests.
    pub fn accepting_count(&self, pool: &str, now: TimeMs) -> usize {
        self.accepting(pool, now).count()
    }

    /// Returns the versions of a pool's starts that are known or have departed within `span_ms`, sorted.
    pub fn recent_versions(&self, pool: &str, span_ms: u64, now: TimeMs) -> Vec<VersionTag> {
        let known = (self.iter())
            .filter(|(_key, upstream)| upstream.announcement.pool == pool)
            .map(|(_key, upstream)| upstream.version());
        let departed = self.departed.versions(tag(pool), span_ms, now);
        let mut versions: Vec<VersionTag> = known.chain(departed).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Forgets the failures of a pool's upstreams for which this node's own link was to blame.
    pub fn forgive_failures(&mut self, pool: &str) {
        let upstreams = self.arena.iter_mut();
        (upstreams.filter_map(|slot| slot.upstream.as_mut()))
            .filter(|upstream| upstream.announcement.pool == pool)
            .for_each(|upstream| upstream.health.forgive_failures());
    }

    /// Iterates over a pool's upstreams that accept requests.
    pub fn accepting(
        &self,
        pool: &str,
        now: TimeMs,
    ) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.iter().filter(move |(_key, upstream)| {
            upstream.announcement.pool == pool && upstream.accepts_requests(now)
        })
    }

    /// Returns the announcements of all present upstreams, sorted by id.
    pub fn announcements_by_id(&self) -> impl Iterator<Item = &Announcement> {
        (self.by_id.iter())
            .filter_map(|(_id, key)| self.get(*key))
            .filter(|upstream| !upstream.is_removed)
            .map(|upstream| &upstream.announcement)
    }

    /// Returns the key of the upstream with this id.
    pub fn find(&self, id: &str) -> Option<UpstreamKey> {
        let found = self
            .by_id
            .binary_search_by(|(other, _key)| other.as_str().cmp(id));
        found.ok().map(|index| self.by_id[index].1)
    }

    /// Returns the limits that upstreams have stated to this node, for its peers.
    pub fn limit_reports(&self, now: TimeMs) -> Vec<LimitReport> {
        (self.iter())
            .filter_map(|(_key, upstream)| upstream.send_gate.throttle.report(upstream.tag, now))
            .collect()
    }

    /// Returns the tags of upstreams whose responses state that they leave while their
    /// announcements do not.
    pub fn leaving_unannounced(&self) -> Vec<u64> {
        (self.iter())
            .filter(|(_key, upstream)| !upstream.is_removed && upstream.send_gate.is_leaving())
            .filter(|(_key, upstream)| upstream.announcement.phase == Phase::Ready)
            .map(|(_key, upstream)| upstream.tag)
            .collect()
    }

    /// Records a peer's report that an upstream leaves; returns the upstream if that is new.
    ///
    /// A report on an upstream without an entry is kept: its announcement may have expired, or may
    /// not have been read yet.
    pub fn apply_leaving_report(&mut self, tag: u64, now: TimeMs) -> Option<&Upstream> {
        let Some(key) = self.find_tag(tag) else {
            self.departed.record_leaving(tag, now);
            return None;
        };
        let upstream = self.get_mut(key)?;
        upstream.send_gate.record_leaving().then_some(&*upstream)
    }

    fn find_tag(&self, tag: u64) -> Option<UpstreamKey> {
        let found = self.by_tag.binary_search_by_key(&tag, |(tag, _key)| *tag);
        found.ok().map(|index| self.by_tag[index].1)
    }

    /// Records a limit that an upstream stated to a peer; returns the change and the upstream, if
    /// any.
    pub fn apply_limit_report(
        &mut self,
        told: &LimitReport,
        now: TimeMs,
    ) -> Option<(&Upstream, LimitChange)> {
        let upstream = self.get_mut(self.find_tag(told.upstream)?)?;
        let change = upstream.send_gate.throttle.apply_report(told, now)?;
        Some((upstream, change))
    }

    /// Whether any upstream states a limit.
    pub fn has_stated_limits(&self) -> bool {
        self.iter()
            .any(|(_key, upstream)| upstream.send_gate.throttle.limit_per_s().is_some())
    }

    /// Computes this node's shares of the limits that upstreams state.
    pub fn update_limit_shares(&mut self, sharers: &Sharers, now: TimeMs) {
        let slots = self.arena.iter_mut();
        for upstream in slots.filter_map(|slot| slot.upstream.as_mut()) {
            upstream
                .send_gate
                .throttle
                .update_share(upstream.tag, sharers, now);
        }
    }

    /// Returns the upstream with this key, unless it has been evicted.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        let slot = self.arena.get(key.index as usize)?;
        (slot.generation == key.generation)
            .then_some(slot.upstream.as_ref())
            .flatten()
    }

    /// Like [`UpstreamTable::get`], but mutable.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        let slot = self.arena.get_mut(key.index as usize)?;
        (slot.generation == key.generation)
            .then_some(slot.upstream.as_mut())
            .flatten()
    }

    /// Iterates over all upstreams, including removed ones.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.arena.iter().enumerate().filter_map(|(index, slot)| {
            let key = UpstreamKey {
                index: u32::try_from(index).unwrap_or(u32::MAX),
                generation: slot.generation,
            };
            slot.upstream.as_ref().map(|upstream| (key, upstream))
        })
    }

    /// Returns this node's own load by upstream tag, for its peers.
    pub fn own_loads(&self) -> Vec<(u64, Load)> {
        (self.iter())
            .filter(|(_key, upstream)| upstream.own_load.running > 0)
            .map(|(_key, upstream)| (upstream.tag, upstream.own_load))
            .collect()
    }

    /// Replaces the load that a peer reported before.
    ///
    /// Only upstreams in the old or new report of the peer are updated: some hundred heartbeats
    /// arrive per second, and there may be thousands of upstreams.
    pub fn set_peer_loads(&mut self, peer: u64, loads: &[(u64, Load)]) {
        let found = self
            .by_peer
            .binary_search_by_key(&peer, |(peer, _rows)| *peer);
        let before = match found {
            Ok(index) => std::mem::take(&mut self.by_peer[index].1),
            Err(_unknown) => Vec::new(),
        };
        for (key, load) in before {
            if let Some(upstream) = self.get_mut(key) {
                upstream.peer_load.running -= load.running;
                upstream.peer_load.unread_tokens -= load.unread_tokens;
            }
        }
        let mut rows = Vec::with_capacity(loads.len());
        for (tag, load) in loads {
            let Some(key) = self.find_tag(*tag) else {
                continue;
            };
            if let Some(upstream) = self.get_mut(key) {
                upstream.peer_load.running += load.running;
                upstream.peer_load.unread_tokens += load.unread_tokens;
                rows.push((key, *load));
            }
        }
        match found {
            Ok(index) if rows.is_empty() => drop(self.by_peer.remove(index)),
            Ok(index) => self.by_peer[index].1 = rows,
            Err(_index) if rows.is_empty() => {}
            Err(index) => self.by_peer.insert(index, (peer, rows)),
        }
    }
}

/// Hashes a name to 64 bits; equal on every node.
#[must_use]
pub(crate) fn tag(name: &str) -> u64 {
    XxHash3_64::oneshot(name.as_bytes())
}

/// Spreads the bits of a hash, so that hashes that differ in few bits get distant ranks.
///
/// The multiplier is odd: 2 to the 64th divided by the golden ratio.
#[must_use]
pub(crate) fn spread_bits(hash: u64) -> u64 {
    hash.wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

#[cfg(test)]
pub(super) mod tests;
