//! What a node knows for placement beside the blackboard: engines' states, and other holders' news.

use crate::keys::HostKey;
use crate::node::messages::PlacementNews;
use crate::time::TimeMs;
use crate::upstreams::{Loaded, Role};

/// How long a holder's word that a host gets no new work counts without being repeated.
///
/// A holder that dies would leave its hosts without work, paid for and idle; they return to work
/// when its word has lapsed, before another node can hold the lease.
pub const NEWS_TTL_MS: u64 = 8_000;

/// How long the refused starts in a failure domain are remembered after its holder fell silent.
const REFUSALS_TTL_MS: u64 = 900_000;

/// What an engine said of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Said {
    /// Models loaded.
    pub models: Vec<Loaded>,
    /// Models being loaded.
    pub loading: Vec<Loaded>,
    /// Its role.
    pub role: Role,
}

/// What is known of an upstream from asking it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    /// The host.
    pub host: HostKey,
    /// What it said last, if it is an engine that has answered.
    pub said: Option<Said>,
    /// Since when it has not answered.
    pub failing_since_ms: Option<TimeMs>,
}

/// What this node knows for placement.
#[derive(Debug, Default)]
pub struct PlacementBook {
    /// Sorted by host.
    asked: Vec<Asked>,
    /// Sorted by failure domain, with when it was heard.
    news: Vec<(PlacementNews, TimeMs)>,
    listed_revision: Option<u64>,
}

impl PlacementBook {
    /// Notes an answer of an upstream, or that there was none.
    pub fn note(&mut self, host: HostKey, answer: Option<Said>, now: TimeMs) {
        let index = match self.asked.binary_search_by_key(&host, |row| row.host) {
            Ok(index) => index,
            Err(index) => {
                let new = Asked {
                    host,
                    said: None,
                    failing_since_ms: None,
                };
                self.asked.insert(index, new);
                index
            }
        };
        let row = &mut self.asked[index];
        match answer {
            Some(said) => (row.said, row.failing_since_ms) = (Some(said), None),
            None => row.failing_since_ms = row.failing_since_ms.or(Some(now)),
        }
    }

    /// Notes that the host table shows the host list under this revision of the document.
    pub fn note_list(&mut self, revision: u64) {
        self.listed_revision = Some(revision);
    }

    /// The revision under which the host table was last brought up to date.
    #[must_use]
    pub fn listed_revision(&self) -> Option<u64> {
        self.listed_revision
    }

    /// What is known of an upstream; `None` before it was asked for the first time.
    #[must_use]
    pub fn asked(&self, host: HostKey) -> Option<&Asked> {
        let found = self.asked.binary_search_by_key(&host, |row| row.host);
        found.ok().map(|index| &self.asked[index])
    }

    /// Forgets upstreams that are not among `hosts`, which are sorted.
    pub fn keep(&mut self, hosts: &[HostKey]) {
        self.asked
            .retain(|row| hosts.binary_search(&row.host).is_ok());
    }

    /// Takes a holder's news in; gives those whose drain has ended, or `None` if the news is of an
    /// older holder.
    ///
    /// A holder that was paused may tell what it decided before; without the comparison its word
    /// would replace its successor's, and drained hosts would get work while they are given back.
    pub fn take(&mut self, news: &PlacementNews, now: TimeMs) -> Option<Vec<HostKey>> {
        let found = self
            .news
            .binary_search_by(|(known, _)| known.domain.cmp(&news.domain));
        let index = match found {
            Ok(index) if self.news[index].0.fencing > news.fencing => return None,
            Ok(index) => index,
            Err(index) => {
                let none = PlacementNews {
                    domain: news.domain.clone(),
                    fencing: 0,
                    drains: Vec::new(),
                    refusals: Vec::new(),
                };
                self.news.insert(index, (none, now));
                index
            }
        };
        let before = std::mem::replace(&mut self.news[index], (news.clone(), now)).0;
        let still = |host: &HostKey| news.drains.iter().any(|(drained, _)| drained == host);
        let hosts = before.drains.into_iter().map(|(host, _)| host);
        Some(hosts.filter(|host| !still(host)).collect())
    }

    /// Since when a host gets no new work.
    #[must_use]
    pub fn draining_since(&self, host: HostKey, now: TimeMs) -> Option<TimeMs> {
        let fresh = self.news.iter();
        let mut fresh = fresh.filter(|(_, heard_ms)| now.since(*heard_ms) < NEWS_TTL_MS);
        fresh.find_map(|(news, _)| {
            let found = news.drains.iter().find(|(drained, _)| *drained == host);
            found.map(|(_, since_ms)| *since_ms)
        })
    }

    /// Refused starts of all failure domains that are remembered.
    pub fn refusals(&self, now: TimeMs) -> impl Iterator<Item = &PlacementNews> {
        let known = self.news.iter();
        known
            .filter(move |(_, heard_ms)| now.since(*heard_ms) < REFUSALS_TTL_MS)
            .map(|(news, _)| news)
    }
}
