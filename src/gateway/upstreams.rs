//! The upstreams that this node knows, what they announced, and how they have fared.

use std::hash::Hasher;
use std::net::SocketAddr;

use bincode::{Decode, Encode};
use tokio_util::sync::CancellationToken;
use twox_hash::XxHash3_64;

use super::health::Health;
use super::intake::{Closed, Intake};
use super::throttle::{Change as LimitChange, Sharers, Told};
use crate::time::TimeMs;

/// An upstream's place in the table; never stands for another upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct UpstreamKey {
    place: u32,
    generation: u32,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum Phase {
    Ready,
    /// It finishes what it has and goes.
    Leaving,
}

/// What an upstream said of itself in the store.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Announced {
    /// May be the one that an earlier start had; see [`Announced::born_ms`].
    pub id: String,
    /// Unix milliseconds of its start; none where upstreams get a new id at each start.
    pub born_ms: Option<u64>,
    /// Counts what it has written since its start.
    pub sequence: u64,
    pub pool: String,
    /// Of its software; empty if it does not say.
    pub version: String,
    pub address: SocketAddr,
    pub failure_domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    pub phase: Phase,
    /// It is slower than usual for a while after its start.
    pub is_warming: bool,
    /// The platform may take it away.
    pub is_reclaimable: bool,
    /// Time left when it announced that it goes, if it knows.
    pub leaves_in_ms: Option<u64>,
}

/// How a record relates to the one that is known under the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Succession {
    /// The same start of the upstream says more.
    Newer,
    /// Another start of it, which holds and knows nothing of before.
    Restarted,
    /// An earlier start, or an earlier record of the same one, that was written late.
    Late,
}

impl Announced {
    /// Whether another record differs in its number only.
    pub fn says_the_same(&self, other: &Self) -> bool {
        let renumbered = Self {
            sequence: other.sequence,
            ..self.clone()
        };
        renumbered == *other
    }

    /// Names this start of the upstream among nodes in a few bytes.
    pub fn tag(&self) -> u64 {
        match self.born_ms {
            Some(born_ms) => tag(&format!("{}@{born_ms}", self.id)),
            None => tag(&self.id),
        }
    }

    /// How a record that comes now relates to this one; `is_removed` says that this one was removed.
    fn succession(&self, next: &Self, is_removed: bool) -> Succession {
        match (self.born_ms, next.born_ms) {
            (Some(known_ms), Some(born_ms)) if born_ms < known_ms => Succession::Late,
            (known_ms, born_ms) if known_ms != born_ms => Succession::Restarted,
            _ if next.sequence >= self.sequence => Succession::Newer,
            // Without its start, a number that begins anew is all that tells of a restart.
            (None, _) if is_removed => Succession::Restarted,
            _ => Succession::Late,
        }
    }
}

/// A change of what is announced.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum Change {
    /// It is there, as announced.
    Present(Announced),
    /// Its announcement was removed.
    Removed {
        /// The upstream's id.
        id: String,
    },
    /// Its announcement was overwritten by what names no upstream.
    Unreadable {
        /// The upstream's id.
        id: String,
    },
}

impl Change {
    /// The id of the upstream that it is about.
    pub fn id(&self) -> &str {
        match self {
            Self::Present(announced) => &announced.id,
            Self::Removed { id } | Self::Unreadable { id } => id,
        }
    }
}

/// Requests of one node at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Load {
    /// Requests sent and not ended.
    pub running: u32,
    /// Prompt tokens of those whose first token has not come.
    pub unread_tokens: u64,
}

/// One upstream.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub announced: Announced,
    /// Names this start of it among nodes in a few bytes.
    pub tag: u64,
    /// Cancelled when it is known to have started again: what it ran is gone.
    pub restarted: CancellationToken,
    /// Its announcement is gone; it is kept until its requests end.
    pub is_removed: bool,
    /// Removed by a store that had just been away; it may only have been unable to announce itself.
    pub doubtful_until: TimeMs,
    pub own: Load,
    pub peers: Load,
    /// Since when this node has waited for any sign of it; none if nothing is waited for.
    pub waited_since: Option<TimeMs>,
    pub health: Health,
    /// What it takes of this node, as its answers say.
    pub intake: Intake,
}

impl Upstream {
    /// Whether it may get new work.
    pub fn takes_work(&self, now: TimeMs) -> bool {
        match self.announced.phase {
            Phase::Leaving => false,
            Phase::Ready if self.intake.is_leaving() => false,
            Phase::Ready if self.is_removed => now < self.doubtful_until,
            Phase::Ready => true,
        }
    }

    /// Lets one request through to it, whatever it is sent for; to be asked just before the send.
    ///
    /// # Errors
    ///
    /// If it takes none of this node now.
    pub fn enter(&mut self, now: TimeMs) -> Result<(), Closed> {
        if self.takes_work(now) {
            self.intake.enter(now)
        } else {
            Err(Closed::Leaving)
        }
    }

    /// Whether the platform takes it away.
    pub fn is_reclaimed(&self) -> bool {
        self.announced.is_reclaimable && self.announced.leaves_in_ms.is_some()
    }

    /// Whether it has given no sign for longer than it should need.
    ///
    /// An upstream that has gone dark fails nothing at first: requests wait there until their time
    /// is over, and each of them is lost. One notices that no answer comes although some should.
    pub fn is_silent(&self, now: TimeMs) -> bool {
        let patience_ms = match self.health.took_ms() {
            Some(took_ms) => super::num::whole(took_ms * SILENT_ANSWERS).max(LEAST_SILENT_MS),
            None => UNKNOWN_SILENT_MS,
        };
        (self.waited_since).is_some_and(|since| now.since(since) > patience_ms)
    }

    /// Notes that a request was sent there.
    pub fn note_sent(&mut self, now: TimeMs) {
        self.waited_since.get_or_insert(now);
    }

    /// Notes that it gave a sign.
    pub fn note_sign(&mut self, now: TimeMs) {
        self.waited_since = (self.own.running > 1).then_some(now);
    }

    /// Requests running there, of all nodes.
    pub fn running(&self) -> u32 {
        self.own.running + self.peers.running
    }

    /// Prompt tokens waiting there, of all nodes.
    pub fn unread_tokens(&self) -> u64 {
        self.own.unread_tokens + self.peers.unread_tokens
    }
}

/// Usual times to an answer without any sign of an upstream until it counts as silent.
const SILENT_ANSWERS: f64 = 6.0;

/// The least time without a sign: a plain call takes up to 220 ms.
const LEAST_SILENT_MS: u64 = 300;

/// Time without a sign of an upstream that has not answered yet.
const UNKNOWN_SILENT_MS: u64 = 1_500;

/// All upstreams by key and by id.
#[derive(Debug, Default)]
pub(crate) struct UpstreamTable {
    arena: Vec<Slot>,
    /// Places of the arena that hold no upstream.
    free: Vec<usize>,
    /// How many of those held say when they started.
    with_start: usize,
    /// Sorted by id.
    by_id: Vec<(String, UpstreamKey)>,
    /// Sorted by tag.
    by_tag: Vec<(u64, UpstreamKey)>,
    /// Starts of upstreams that have left and are forgotten, sorted by tag.
    departed: Vec<Departed>,
    /// What each peer has running, sorted by the peer's incarnation.
    by_peer: Vec<(u64, Vec<(UpstreamKey, Load)>)>,
}

/// What is remembered of a start of an upstream that has left.
#[derive(Clone, Copy, Debug)]
struct Departed {
    tag: u64,
    /// Of its last record.
    sequence: u64,
    at: TimeMs,
}

/// How long that is remembered; a store that comes back from a copy may have it there again, some seconds old.
const DEPARTED_MS: u64 = 60_000;

#[derive(Debug)]
struct Slot {
    generation: u32,
    upstream: Option<Upstream>,
}

/// How long an upstream whose announcement lapsed while the store was away goes on getting work.
///
/// The store removes what could not announce itself in time; a live upstream is back within about
/// two seconds. Taking all of them out at once would leave nothing to serve with for that long.
///
/// The grace and the way of a removal to this node, up to 550 ms, stay below the 2,000 ms within
/// which an upstream that has left must get nothing new: the removal may be a real one.
pub(crate) const LAPSE_GRACE_MS: u64 = 1_200;

impl UpstreamTable {
    /// Takes in a change; gives the key if the upstream is known now.
    ///
    /// `store_was_away` says that the store has only just come back.
    pub fn apply(
        &mut self,
        change: Change,
        store_was_away: bool,
        now: TimeMs,
    ) -> Option<UpstreamKey> {
        match change {
            Change::Present(announced) if self.is_foreign(&announced) => {
                self.remove(&announced.id, TimeMs(0))
            }
            Change::Present(announced) if store_was_away && self.has_departed(&announced) => None,
            Change::Present(announced) => Some(self.present(announced)),
            Change::Removed { id } if store_was_away => self.remove(&id, now.after(LAPSE_GRACE_MS)),
            Change::Removed { id } | Change::Unreadable { id } => self.remove(&id, TimeMs(0)),
        }
    }

    /// Whether a change says nothing that is not known, or comes late.
    pub fn is_known(&self, change: &Change) -> bool {
        let known = self.find(change.id()).and_then(|key| self.get(key));
        match (change, known) {
            (Change::Present(_), None) => false,
            (Change::Present(announced), Some(known)) => {
                let succession = known.announced.succession(announced, known.is_removed);
                let is_same = !known.is_removed && known.announced.says_the_same(announced);
                is_same || succession == Succession::Late
            }
            (Change::Removed { .. } | Change::Unreadable { .. }, known) => {
                known.is_none_or(|known| known.is_removed)
            }
        }
    }

    fn remove(&mut self, id: &str, doubtful_until: TimeMs) -> Option<UpstreamKey> {
        let key = self.find(id)?;
        let upstream = self.get_mut(key)?;
        upstream.is_removed = true;
        upstream.doubtful_until = doubtful_until;
        Some(key)
    }

    /// Whether a record is one that its upstream had written before it left.
    fn has_departed(&self, announced: &Announced) -> bool {
        let found = (self.departed).binary_search_by_key(&announced.tag(), |departed| departed.tag);
        found.is_ok_and(|place| announced.sequence <= self.departed[place].sequence)
    }

    /// Whether a record does not say when its upstream started although most of its pool do.
    ///
    /// Other writers may leave such a record under any key. Upstreams of one pool are alike, so that
    /// the pool's other records show what a true one holds; one odd record alone outvotes nobody.
    pub fn is_foreign(&self, announced: &Announced) -> bool {
        // With thousands of upstreams a look at all of them for each record would take a small host's
        // whole processor.
        if announced.born_ms.is_some() || self.with_start == 0 {
            return false;
        }
        let mut pool_size = 0;
        let mut with_start = 0;
        for (_key, upstream) in self.iter() {
            let is_other = upstream.announced.id != announced.id;
            if is_other && !upstream.is_removed && upstream.announced.pool == announced.pool {
                pool_size += 1;
                with_start += u32::from(upstream.announced.born_ms.is_some());
            }
        }
        with_start * 2 > pool_size
    }

    /// Takes in the whole of what is announced; what is not among it is removed.
    pub fn replace(&mut self, all: Vec<Announced>, store_was_away: bool, now: TimeMs) {
        let mut ids: Vec<String> = all.iter().map(|announced| announced.id.clone()).collect();
        ids.sort_unstable();
        let lost: Vec<String> = (self.iter())
            .filter(|(_key, upstream)| !upstream.is_removed)
            .map(|(_key, upstream)| upstream.announced.id.clone())
            .filter(|id| ids.binary_search(id).is_err())
            .collect();
        for id in lost {
            self.apply(Change::Removed { id }, store_was_away, now);
        }
        let (with_start, without): (Vec<_>, Vec<_>) = all
            .into_iter()
            .partition(|announced| announced.born_ms.is_some());
        for announced in with_start.into_iter().chain(without) {
            self.apply(Change::Present(announced), store_was_away, now);
        }
    }

    fn present(&mut self, announced: Announced) -> UpstreamKey {
        if let Some(key) = self.find(&announced.id)
            && let Some(upstream) = self.get_mut(key)
        {
            match (upstream.announced).succession(&announced, upstream.is_removed) {
                Succession::Newer => {
                    upstream.announced = announced;
                    upstream.is_removed = false;
                    return key;
                }
                Succession::Late => return key,
                Succession::Restarted => self.retire(key),
            }
        }
        let id = announced.id.clone();
        let tag = announced.tag();
        let key = self.insert(Upstream {
            announced,
            tag,
            restarted: CancellationToken::new(),
            is_removed: false,
            doubtful_until: TimeMs(0),
            own: Load::default(),
            peers: Load::default(),
            waited_since: None,
            health: Health::default(),
            intake: Intake::default(),
        });
        let place = self.by_id.partition_point(|(other, _key)| *other < id);
        self.by_id.insert(place, (id, key));
        let place = self.by_tag.partition_point(|(other, _key)| *other < tag);
        self.by_tag.insert(place, (tag, key));
        key
    }

    /// Sets a start of an upstream apart after which it has started again.
    ///
    /// The new start gets a key of its own: the old one's health, loads, cached parts and channels
    /// would be taken for its own, requests would go to a cache that is empty, and those that wait
    /// for the old one would wait for as long as they may.
    fn retire(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.get_mut(key) {
            upstream.is_removed = true;
            upstream.doubtful_until = TimeMs(0);
            upstream.restarted.cancel();
        }
        self.by_id.retain(|(_id, other)| *other != key);
    }

    fn insert(&mut self, upstream: Upstream) -> UpstreamKey {
        let place = self.free.pop().unwrap_or_else(|| {
            self.arena.push(Slot {
                generation: 0,
                upstream: None,
            });
            self.arena.len() - 1
        });
        self.with_start += usize::from(upstream.announced.born_ms.is_some());
        let slot = &mut self.arena[place];
        slot.generation += 1;
        slot.upstream = Some(upstream);
        UpstreamKey {
            place: u32::try_from(place).unwrap_or(u32::MAX),
            generation: slot.generation,
        }
    }

    /// Forgets upstreams that are gone and have nothing running.
    pub fn forget_gone(&mut self, now: TimeMs) {
        let gone: Vec<UpstreamKey> = (self.iter())
            .filter(|(_key, upstream)| upstream.is_removed && upstream.own.running == 0)
            .filter(|(_key, upstream)| now >= upstream.doubtful_until)
            .map(|(key, _upstream)| key)
            .collect();
        if gone.is_empty() {
            return;
        }
        (self.departed).retain(|departed| now.since(departed.at) < DEPARTED_MS);
        for key in &gone {
            let place = key.place as usize;
            if let Some(upstream) = self.arena[place].upstream.take() {
                self.with_start -= usize::from(upstream.announced.born_ms.is_some());
                self.free.push(place);
                // One whose record only lapsed may come back with the same one.
                if upstream.doubtful_until == TimeMs(0) {
                    self.note_departed(Departed {
                        tag: upstream.tag,
                        sequence: upstream.announced.sequence,
                        at: now,
                    });
                }
            }
        }
        // The keys come in the order of the arena.
        let is_gone = |key: &UpstreamKey| gone.binary_search(key).is_ok();
        self.by_id.retain(|(_id, key)| !is_gone(key));
        self.by_tag.retain(|(_tag, key)| !is_gone(key));
    }

    fn note_departed(&mut self, departed: Departed) {
        let found = (self.departed).binary_search_by_key(&departed.tag, |known| known.tag);
        match found {
            Ok(place) => self.departed[place] = departed,
            Err(place) => self.departed.insert(place, departed),
        }
    }

    /// What the upstreams that are there have announced, sorted by id.
    pub fn announced_by_id(&self) -> impl Iterator<Item = &Announced> {
        (self.by_id.iter())
            .filter_map(|(_id, key)| self.get(*key))
            .filter(|upstream| !upstream.is_removed)
            .map(|upstream| &upstream.announced)
    }

    /// The upstream with this id.
    pub fn find(&self, id: &str) -> Option<UpstreamKey> {
        let found = self
            .by_id
            .binary_search_by(|(other, _key)| other.as_str().cmp(id));
        found.ok().map(|place| self.by_id[place].1)
    }

    /// What upstreams have told this node of their limits, for its peers.
    pub fn told_limits(&self, now: TimeMs) -> Vec<Told> {
        (self.iter())
            .filter_map(|(_key, upstream)| upstream.intake.throttle.told(upstream.tag, now))
            .collect()
    }

    /// Upstreams that have said in answers that they leave, and whose announcements do not say so.
    pub fn leaving_unannounced(&self) -> Vec<u64> {
        (self.iter())
            .filter(|(_key, upstream)| !upstream.is_removed && upstream.intake.is_leaving())
            .filter(|(_key, upstream)| upstream.announced.phase == Phase::Ready)
            .map(|(_key, upstream)| upstream.tag)
            .collect()
    }

    /// Takes in that an upstream told a peer that it leaves; gives it if that is new.
    pub fn note_told_leaving(&mut self, tag: u64) -> Option<&Upstream> {
        let upstream = self.get_mut(self.find_tag(tag)?)?;
        upstream.intake.note_leaving().then_some(&*upstream)
    }

    fn find_tag(&self, tag: u64) -> Option<UpstreamKey> {
        let found = self.by_tag.binary_search_by_key(&tag, |(tag, _key)| *tag);
        found.ok().map(|place| self.by_tag[place].1)
    }

    /// Takes in what an upstream told a peer of its limit; tells what it changes, and of which upstream.
    pub fn note_told_limit(
        &mut self,
        told: &Told,
        now: TimeMs,
    ) -> Option<(&Upstream, LimitChange)> {
        let upstream = self.get_mut(self.find_tag(told.upstream)?)?;
        let change = upstream.intake.throttle.note_told(told, now)?;
        Some((upstream, change))
    }

    /// Whether an upstream names a limit.
    pub fn names_limits(&self) -> bool {
        self.iter()
            .any(|(_key, upstream)| upstream.intake.throttle.limit_per_s().is_some())
    }

    /// Works out this node's parts of the limits that upstreams name.
    pub fn divide_limits(&mut self, sharers: &Sharers, now: TimeMs) {
        let standing = self.arena.iter_mut();
        for upstream in standing.filter_map(|slot| slot.upstream.as_mut()) {
            upstream.intake.throttle.divide(upstream.tag, sharers, now);
        }
    }

    /// The upstream of a key, unless it has been forgotten.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        let slot = self.arena.get(key.place as usize)?;
        (slot.generation == key.generation)
            .then_some(slot.upstream.as_ref())
            .flatten()
    }

    /// As [`UpstreamTable::get`], to change it.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        let slot = self.arena.get_mut(key.place as usize)?;
        (slot.generation == key.generation)
            .then_some(slot.upstream.as_mut())
            .flatten()
    }

    /// All upstreams, those that are gone included.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.arena.iter().enumerate().filter_map(|(place, slot)| {
            let key = UpstreamKey {
                place: u32::try_from(place).unwrap_or(u32::MAX),
                generation: slot.generation,
            };
            slot.upstream.as_ref().map(|upstream| (key, upstream))
        })
    }

    /// This node's own load by upstream, for its peers.
    pub fn own_loads(&self) -> Vec<(u64, Load)> {
        (self.iter())
            .filter(|(_key, upstream)| upstream.own.running > 0)
            .map(|(_key, upstream)| (upstream.tag, upstream.own))
            .collect()
    }

    /// Takes in what a peer has running, in place of what it said before.
    ///
    /// Only upstreams that the peer names, or named, are touched: with 87 nodes and 140 upstreams
    /// some 170 pulses come a second.
    pub fn set_peer_loads(&mut self, peer: u64, loads: &[(u64, Load)]) {
        let found = self
            .by_peer
            .binary_search_by_key(&peer, |(peer, _rows)| *peer);
        let before = match found {
            Ok(place) => std::mem::take(&mut self.by_peer[place].1),
            Err(_unheard) => Vec::new(),
        };
        for (key, load) in before {
            if let Some(upstream) = self.get_mut(key) {
                upstream.peers.running -= load.running;
                upstream.peers.unread_tokens -= load.unread_tokens;
            }
        }
        let mut rows = Vec::with_capacity(loads.len());
        for (tag, load) in loads {
            let Some(key) = self.find_tag(*tag) else {
                continue;
            };
            if let Some(upstream) = self.get_mut(key) {
                upstream.peers.running += load.running;
                upstream.peers.unread_tokens += load.unread_tokens;
                rows.push((key, *load));
            }
        }
        match found {
            Ok(place) if rows.is_empty() => drop(self.by_peer.remove(place)),
            Ok(place) => self.by_peer[place].1 = rows,
            Err(_place) if rows.is_empty() => {}
            Err(place) => self.by_peer.insert(place, (peer, rows)),
        }
    }
}

/// A short name for a longer one, the same on every node.
#[must_use]
pub(crate) fn tag(name: &str) -> u64 {
    let mut hasher = XxHash3_64::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Spreads the bits of a hash, so that hashes which differ in few bits rank far apart.
///
/// The factor is odd: 2 to the 64th over the golden ratio.
#[must_use]
pub(crate) fn spread(hash: u64) -> u64 {
    hash.wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

#[cfg(test)]
pub(super) mod tests;
