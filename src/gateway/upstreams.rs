//! The table of known upstreams: how entries are added, found, replaced and evicted.

mod announcement;
mod contact;
mod departed;
mod queries;
mod reports;
pub(crate) mod speeds;
mod upstream;

use tokio_util::sync::CancellationToken;
use twox_hash::XxHash3_64;

use self::announcement::Recency;
pub(crate) use self::announcement::{Announcement, Change, Phase};
pub(crate) use self::contact::Contact;
use self::departed::{Departed, DepartedStarts};
pub(crate) use self::upstream::{Load, Upstream};
use crate::gateway::speed::relative::RelativeSpeed;
use crate::time::TimeMs;

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

/// Identifies one start of an upstream in the table. Keys are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct UpstreamKey {
    index: u32,
    generation: u32,
}

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
            contact: Contact::default(),
            health: departed.health,
            send_gate: departed.send_gate,
            speed: RelativeSpeed::default(),
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

    /// Forgets the failures of a pool's upstreams for which this node's own link was to blame.
    pub fn forgive_failures(&mut self, pool: &str) {
        let upstreams = self.arena.iter_mut();
        (upstreams.filter_map(|slot| slot.upstream.as_mut()))
            .filter(|upstream| upstream.announcement.pool == pool)
            .for_each(|upstream| upstream.health.forgive_failures());
    }

    /// Returns the key of the upstream with this id.
    pub fn find(&self, id: &str) -> Option<UpstreamKey> {
        let found = self
            .by_id
            .binary_search_by(|(other, _key)| other.as_str().cmp(id));
        found.ok().map(|index| self.by_id[index].1)
    }

    fn find_tag(&self, tag: u64) -> Option<UpstreamKey> {
        let found = self.by_tag.binary_search_by_key(&tag, |(tag, _key)| *tag);
        found.ok().map(|index| self.by_tag[index].1)
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
