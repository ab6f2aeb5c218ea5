//! Who holds what of the callers' shares, and who goes when they are full: pure, without clocks or sockets.

use super::shares::CallerShares;
use crate::time::TimeMs;

/// A request of at most this size is small: it may take what is kept free for small ones.
const SMALL_BYTES: usize = 32 * 1024;

/// The part of the bytes that only small requests may take.
const SMALL_RESERVE_DIVISOR: usize = 8;

/// An ordinary request has arrived after this time, even over a slow network.
const SLOW_ARRIVAL_MS: u64 = 1_000;

/// An answer whose caller reads it has been written at its deadline, or this much later.
const OVERDUE_MS: u64 = 1_000;

/// Connections that are being closed count beside the open ones, up to this part of their bound.
const CLOSING_DIVISOR: usize = 4;

/// Identifies an entry; later ones are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EntryKey(u64);

/// What an entry does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// Its request has not arrived to its end, since its first byte or since the connection was accepted.
    Arriving { since: TimeMs },
    /// Its request has arrived and is served; it may have run, so that it stays until its deadline.
    Serving { deadline: TimeMs },
    /// Its connection waits for a further request.
    Kept { since: TimeMs },
    /// It has to go, and gives back what it holds once it has noticed.
    Leaving,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    key: EntryKey,
    standing: Standing,
    bytes: usize,
    /// A connection; otherwise one of several requests on a connection, or one of a peer.
    is_connection: bool,
}

/// Whether an entry may hold more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Growth {
    /// It may, once these have given back what they hold.
    Granted { leaving: Vec<EntryKey> },
    /// It has to go itself.
    Refused,
}

/// The entries of all callers.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    /// Sorted by key.
    entries: Vec<Entry>,
    /// Bytes of all entries that do not leave.
    held_bytes: usize,
    /// Bytes of those that leave.
    leaving_bytes: usize,
    last: u64,
}

impl Ledger {
    /// Records a connection that was accepted; returns its key and which connection has to go for it.
    ///
    /// Returns `None` if it cannot be served.
    pub fn open(
        &mut self,
        shares: CallerShares,
        now: TimeMs,
    ) -> Option<(EntryKey, Option<EntryKey>)> {
        let connections = || self.entries.iter().filter(|entry| entry.is_connection);
        let all = connections().count();
        let open = connections().filter(|entry| entry.standing != Standing::Leaving);
        let is_full = open.count() >= shares.max_connections;
        if all >= shares.max_connections + shares.max_connections / CLOSING_DIVISOR {
            return None;
        }
        let victim = if is_full {
            Some(self.connection_to_close(now)?)
        } else {
            None
        };
        if let Some(victim) = victim {
            self.evict(victim);
        }
        Some((self.enter(Standing::Arriving { since: now }, true), victim))
    }

    /// Records a request that is no connection of its own, which begins to arrive.
    pub fn begin(&mut self, now: TimeMs) -> EntryKey {
        self.enter(Standing::Arriving { since: now }, false)
    }

    /// Records that the first byte of a connection's request has arrived.
    pub fn arrive(&mut self, key: EntryKey, now: TimeMs) {
        self.set_standing(key, Standing::Arriving { since: now });
    }

    /// Records that a request has arrived to its end; nothing waits for its answer after `deadline`.
    pub fn serve(&mut self, key: EntryKey, deadline: TimeMs) {
        self.set_standing(key, Standing::Serving { deadline });
    }

    /// Records that a connection waits for its next request.
    pub fn keep(&mut self, key: EntryKey, now: TimeMs) {
        self.set_standing(key, Standing::Kept { since: now });
    }

    /// Removes an entry with all that it holds.
    pub fn close(&mut self, key: EntryKey) {
        let Ok(index) = self.index(key) else {
            return;
        };
        let entry = self.entries.remove(index);
        match entry.standing {
            Standing::Leaving => self.leaving_bytes -= entry.bytes,
            _ => self.held_bytes -= entry.bytes,
        }
    }

    /// Takes back bytes of an entry.
    pub fn release(&mut self, key: EntryKey, bytes: usize) {
        let Ok(index) = self.index(key) else {
            return;
        };
        let entry = &mut self.entries[index];
        let bytes = bytes.min(entry.bytes);
        entry.bytes -= bytes;
        match entry.standing {
            Standing::Leaving => self.leaving_bytes -= bytes,
            _ => self.held_bytes -= bytes,
        }
    }

    /// Adds bytes to an entry, for which requests that arrive slowly have to go.
    ///
    /// The request that has been arriving the longest goes first, so that a crowd does not keep its place by going on
    /// slowly. Requests that are served stay.
    pub fn grow(&mut self, key: EntryKey, more_bytes: usize, shares: CallerShares) -> Growth {
        let Ok(index) = self.index(key) else {
            return Growth::Refused;
        };
        let entry = self.entries[index];
        if entry.standing == Standing::Leaving {
            return Growth::Refused;
        }
        let bytes = entry.bytes + more_bytes;
        let mut leaving = Vec::new();
        while !self.has_room(key, bytes, more_bytes, shares) {
            match self.request_to_refuse() {
                Some(victim) if victim != key => {
                    self.evict(victim);
                    leaving.push(victim);
                }
                _ => return self.refuse(key),
            }
        }
        // The entry does not leave: nothing has refused it.
        if let Ok(index) = self.index(key) {
            self.entries[index].bytes = bytes;
            self.held_bytes += more_bytes;
        }
        Growth::Granted { leaving }
    }

    /// Whether entries that leave still hold memory that others have been granted.
    pub fn is_over(&self, shares: CallerShares) -> bool {
        self.leaving_bytes > 0 && self.held_bytes + self.leaving_bytes > shares.max_bytes
    }

    /// Whether an entry has to go.
    pub fn is_leaving(&self, key: EntryKey) -> bool {
        let found = self.index(key);
        found.is_ok_and(|index| self.entries[index].standing == Standing::Leaving)
    }

    /// Returns the number of connections, and the bytes that all entries hold.
    pub fn held(&self) -> (usize, usize) {
        let connections = self.entries.iter().filter(|entry| entry.is_connection);
        (connections.count(), self.held_bytes + self.leaving_bytes)
    }

    /// Whether an entry with so many bytes has room for those that it lacks.
    fn has_room(
        &self,
        key: EntryKey,
        bytes: usize,
        more_bytes: usize,
        shares: CallerShares,
    ) -> bool {
        let all = self.held_bytes + more_bytes;
        if bytes <= SMALL_BYTES {
            return all <= shares.max_bytes;
        }
        let is_large = |entry: &Entry| {
            entry.key != key && entry.bytes > SMALL_BYTES && entry.standing != Standing::Leaving
        };
        // One request may have the greatest legal size, whatever the host has.
        let is_single = !self.entries.iter().any(is_large);
        is_single || all <= shares.max_bytes - shares.max_bytes / SMALL_RESERVE_DIVISOR
    }

    /// Returns the request with bytes that has been arriving the longest.
    fn request_to_refuse(&self) -> Option<EntryKey> {
        let holding = self.entries.iter().filter(|entry| entry.bytes > 0);
        let arriving = holding.filter_map(|entry| match entry.standing {
            Standing::Arriving { since } => Some((since, entry.key)),
            _ => None,
        });
        arriving.min().map(|(_since, key)| key)
    }

    /// Returns the connection that goes for a new one.
    ///
    /// That is one whose request arrives slowly, then the one kept the longest, then one whose caller has not read
    /// its answer by the deadline.
    fn connection_to_close(&self, now: TimeMs) -> Option<EntryKey> {
        let connections = || self.entries.iter().filter(|entry| entry.is_connection);
        let arriving = connections().filter_map(|entry| match entry.standing {
            Standing::Arriving { since } => Some((since, entry.key)),
            _ => None,
        });
        let kept = connections().filter_map(|entry| match entry.standing {
            Standing::Kept { since } => Some((since, entry.key)),
            _ => None,
        });
        let overdue = connections().filter_map(|entry| match entry.standing {
            Standing::Serving { deadline } if now.since(deadline) >= OVERDUE_MS => {
                Some((deadline, entry.key))
            }
            _ => None,
        });
        match (arriving.min(), kept.min(), overdue.min()) {
            (Some((since, key)), ..) if now.since(since) >= SLOW_ARRIVAL_MS => Some(key),
            (_, Some((_since, key)), _)
            | (_, None, Some((_since, key)))
            | (Some((_since, key)), None, None) => Some(key),
            (None, None, None) => None,
        }
    }

    fn enter(&mut self, standing: Standing, is_connection: bool) -> EntryKey {
        self.last += 1;
        let key = EntryKey(self.last);
        self.entries.push(Entry {
            key,
            standing,
            bytes: 0,
            is_connection,
        });
        key
    }

    fn set_standing(&mut self, key: EntryKey, standing: Standing) {
        if let Ok(index) = self.index(key)
            && self.entries[index].standing != Standing::Leaving
        {
            self.entries[index].standing = standing;
        }
    }

    fn refuse(&mut self, key: EntryKey) -> Growth {
        self.evict(key);
        Growth::Refused
    }

    fn evict(&mut self, key: EntryKey) {
        if let Ok(index) = self.index(key)
            && self.entries[index].standing != Standing::Leaving
        {
            self.entries[index].standing = Standing::Leaving;
            self.held_bytes -= self.entries[index].bytes;
            self.leaving_bytes += self.entries[index].bytes;
        }
    }

    fn index(&self, key: EntryKey) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&key, |entry| entry.key)
    }
}

#[cfg(test)]
mod tests;
