//! Merges the host list and termination notices into the blackboard.

use crate::blackboard::{Blackboard, HostRow, HostState, LoadReport};
use crate::coordination::cloud::{HostList, ListedHost, ListedState};
use crate::document::Document;
use crate::keys::HostKey;
use crate::time::TimeMs;

/// How long a host that left the list keeps its row.
///
/// The list lags both when hosts appear and when they disappear.
const UNLISTED_RETENTION_MS: u64 = 10_000;

/// How long a notice is kept after its host should be gone.
///
/// The host list still shows the host as live for a while; without the notice the host would get
/// requests again.
const NOTICE_RETENTION_MS: u64 = 10 * 60 * 1000;

/// A termination notice of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownNotice {
    /// The host.
    pub host: HostKey,
    /// When the host is terminated.
    pub leave_at_ms: TimeMs,
    /// When this node first received the notice.
    pub received_at_ms: TimeMs,
}

/// Known notices, and hosts that are no longer in the host list.
#[derive(Debug, Default)]
pub struct HostTracker {
    notices: Vec<KnownNotice>,
    unlisted: Vec<(HostKey, TimeMs)>,
}

impl HostTracker {
    /// Records a notice; returns whether it is new or earlier than the known one.
    pub fn record_notice(&mut self, notice: KnownNotice) -> bool {
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

    /// Returns when this node first received a notice of a host.
    #[must_use]
    pub fn received_at_ms(&self, host: HostKey) -> Option<TimeMs> {
        let known = self.notices.binary_search_by_key(&host, |known| known.host);
        known.ok().map(|index| self.notices[index].received_at_ms)
    }

    /// Returns a host's state from the host list and the known notices.
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

    /// Merges a host list into the blackboard.
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
            self.upsert_host(blackboard, document, *key, host, now);
        }
        self.remove_unlisted(blackboard, &listed, now);
        self.notices
            .retain(|notice| now.since(notice.leave_at_ms) < NOTICE_RETENTION_MS);
    }

    fn upsert_host(
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
        // A host whose failure domain, class or pool the document does not contain, for example
        // during a migration between providers, serves nothing.
        let (Some(domain), Some(class), Some(pool)) = resolved else {
            blackboard.remove_host(key);
            return;
        };
        let known = blackboard.with_host(key, |row| {
            (row.domain, row.class, row.pool) = (domain, class, pool);
            row.address = host.address;
            row.state = merge_states(row.state, state);
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

    fn remove_unlisted(
        &mut self,
        blackboard: &Blackboard,
        listed: &[(HostKey, &ListedHost)],
        now: TimeMs,
    ) {
        let is_listed = |key: HostKey| listed.binary_search_by_key(&key, |(key, _)| *key).is_ok();
        let mut missing = Vec::new();
        blackboard.for_each_host(|row| {
            if !is_listed(row.key) {
                missing.push(row.key);
            }
        });
        self.unlisted.retain(|(key, _)| missing.contains(key));
        for key in missing {
            match self.unlisted.iter().find(|(unlisted, _)| *unlisted == key) {
                None => self.unlisted.push((key, now)),
                Some((_, since)) if now.since(*since) >= UNLISTED_RETENTION_MS => {
                    blackboard.remove_host(key);
                    blackboard.upstreams.remove(key);
                    blackboard.prefix_caches.remove_host(key);
                }
                Some(_) => {}
            }
        }
    }
}

/// Merges two states: a leaving host stays leaving, with the earlier of its two times.
///
/// The host list may lag behind the notice.
fn merge_states(held: HostState, new: HostState) -> HostState {
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
