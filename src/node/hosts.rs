//! What the platform says about hosts, joined into the blackboard.

use crate::blackboard::{Blackboard, HostRow, HostState, LoadReport};
use crate::coordination::cloud::{HostList, ListedHost, ListedState};
use crate::document::Document;
use crate::keys::HostKey;
use crate::time::TimeMs;

/// How long a host that left the list keeps its row, because the list lags both ways.
const KEEP_UNLISTED_MS: u64 = 10_000;

/// How long a notice is remembered after the host should be gone.
///
/// The host list goes on showing it as live for a while; without the memory it would get work again.
const KEEP_NOTICE_MS: u64 = 10 * 60 * 1000;

/// A host that is about to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownNotice {
    /// The host.
    pub host: HostKey,
    /// When it goes.
    pub leave_at_ms: TimeMs,
    /// When this node first heard of it.
    pub noted_at_ms: TimeMs,
}

/// Notices that are known, and hosts that the list has ceased to show.
#[derive(Debug, Default)]
pub struct HostBook {
    notices: Vec<KnownNotice>,
    unlisted: Vec<(HostKey, TimeMs)>,
}

impl HostBook {
    /// Notes a notice; tells whether it is new or earlier than what was known.
    pub fn note(&mut self, notice: KnownNotice) -> bool {
        match self
            .notices
            .binary_search_by_key(&notice.host, |known| known.host)
        {
            Ok(index) if self.notices[index].leave_at_ms <= notice.leave_at_ms => false,
            Ok(index) => {
                self.notices[index] = notice;
                true
            }
            Err(index) => {
                self.notices.insert(index, notice);
                true
            }
        }
    }

    /// When this node first heard that a host leaves.
    #[must_use]
    pub fn noted_at_ms(&self, host: HostKey) -> Option<TimeMs> {
        let known = self.notices.binary_search_by_key(&host, |known| known.host);
        known.ok().map(|index| self.notices[index].noted_at_ms)
    }

    /// The state that a host has, by the list and by what was announced.
    #[must_use]
    pub fn state(&self, host: HostKey, listed: &ListedHost, now: TimeMs) -> HostState {
        let known = self.notices.binary_search_by_key(&host, |known| known.host);
        match (known, listed.state, listed.leave_at_ms) {
            (Ok(index), _, _) => HostState::Leaving {
                leave_at_ms: self.notices[index].leave_at_ms,
            },
            (Err(_), ListedState::Leaving, leave_at_ms) => HostState::Leaving {
                leave_at_ms: leave_at_ms.unwrap_or(now),
            },
            (Err(_), ListedState::Live, _) => HostState::Live,
        }
    }

    /// Joins a host list into the blackboard.
    pub fn apply(
        &mut self,
        blackboard: &Blackboard,
        document: &Document,
        list: &HostList,
        now: TimeMs,
    ) {
        let mut listed: Vec<_> = list
            .hosts
            .iter()
            .map(|host| (HostKey::from_name(&host.host), host))
            .collect();
        listed.sort_unstable_by_key(|(key, _)| *key);
        for (key, host) in &listed {
            self.apply_one(blackboard, document, *key, host, now);
        }
        self.forget(blackboard, &listed, now);
        self.notices
            .retain(|notice| now.since(notice.leave_at_ms) < KEEP_NOTICE_MS);
    }

    fn apply_one(
        &self,
        blackboard: &Blackboard,
        document: &Document,
        key: HostKey,
        host: &ListedHost,
        now: TimeMs,
    ) {
        let state = self.state(key, host, now);
        let resolved = (
            document.find_failure_domain(&host.failure_domain),
            document.find_host_class(&host.host_class),
            document.find_pool(&host.pool),
        );
        // A host that the document does not know, in mid-move between providers, serves nothing.
        let (Some(domain), Some(class), Some(pool)) = resolved else {
            blackboard.remove_host(key);
            return;
        };
        let known = blackboard.with_host(key, |row| {
            (row.domain, row.class, row.pool) = (domain, class, pool);
            row.address = host.address;
            row.state = earlier(row.state, state);
        });
        if known.is_none() {
            blackboard.upsert_host(HostRow {
                key,
                name: host.host.clone(),
                address: host.address,
                domain,
                class,
                pool,
                state,
                load: LoadReport::default(),
                own_open_streams: 0,
            });
        }
    }

    fn forget(&mut self, blackboard: &Blackboard, listed: &[(HostKey, &ListedHost)], now: TimeMs) {
        let is_listed = |key: HostKey| listed.binary_search_by_key(&key, |(key, _)| *key).is_ok();
        let mut gone = Vec::new();
        blackboard.for_each_host(|row| {
            if !is_listed(row.key) {
                gone.push(row.key);
            }
        });
        self.unlisted.retain(|(key, _)| gone.contains(key));
        for key in gone {
            match self.unlisted.iter().find(|(unlisted, _)| *unlisted == key) {
                None => self.unlisted.push((key, now)),
                Some((_, since)) if now.since(*since) >= KEEP_UNLISTED_MS => {
                    blackboard.remove_host(key);
                    blackboard.upstreams.remove(key);
                    blackboard.prefix_caches.remove_host(key);
                }
                Some(_) => {}
            }
        }
    }
}

/// A host that was said to leave stays so, whatever a late list says.
fn earlier(held: HostState, new: HostState) -> HostState {
    match (held, new) {
        (HostState::Leaving { leave_at_ms: held }, HostState::Leaving { leave_at_ms: new }) => {
            HostState::Leaving {
                leave_at_ms: held.min(new),
            }
        }
        (HostState::Leaving { .. }, HostState::Live) => held,
        (HostState::Live, new) => new,
    }
}

#[cfg(test)]
mod tests;
