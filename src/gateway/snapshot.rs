//! The table of upstreams, handed from peer to peer in pages.
//!
//! A node that has just started needs the announcements of all upstreams. If each node read them from
//! the store, its bytes would grow as nodes times upstreams, and a start of all would keep it busy
//! for longer than callers wait. A few nodes read the store; the others ask them.
//!
//! A page holds upstreams in the order of their ids. Pages may come from different peers at different
//! times: what is assembled counts as read up to the least of their offsets and as old as the oldest,
//! and what was announced after that follows as news.

use bincode::{Decode, Encode};

use super::place::Place;
use super::upstreams::Announced;
use crate::time::TimeMs;

/// Most upstreams of one page: some 16 kB.
const PAGE_UPSTREAMS: usize = 128;

/// A part of the table of upstreams, as one peer knows it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct Page {
    /// The id behind which the page begins; none for the first.
    pub after: Option<String>,
    pub announced: Vec<Announced>,
    pub is_last: bool,
    /// Up to where that peer has read the announcements.
    pub end: Place,
    /// When it had read all up to there, in Unix milliseconds; none if it has not.
    pub read_at_day_ms: Option<u64>,
}

/// The upstreams of the page behind an id, and whether no more follow.
///
/// `all` are sorted by id.
pub(crate) fn page<'a>(
    all: impl Iterator<Item = &'a Announced>,
    after: Option<&str>,
) -> (Vec<Announced>, bool) {
    let mut rest = all.filter(|announced| after.is_none_or(|after| announced.id.as_str() > after));
    let page: Vec<Announced> = rest.by_ref().take(PAGE_UPSTREAMS).cloned().collect();
    let is_last = rest.next().is_none();
    (page, is_last)
}

/// A table that is whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Whole {
    pub announced: Vec<Announced>,
    /// Up to where the announcements have been read.
    pub end: Place,
    /// When, on this node's clock.
    pub read_at: TimeMs,
}

/// Pages that follow each other, from the first on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Assembly {
    announced: Vec<Announced>,
    end: Option<Place>,
    read_at: Option<TimeMs>,
}

impl Assembly {
    /// The id behind which the next page begins; none for the first.
    pub fn after(&self) -> Option<String> {
        self.announced.last().map(|last| last.id.clone())
    }

    /// Whether a page has been taken in.
    pub fn is_begun(&self) -> bool {
        self.end.is_some()
    }

    /// Takes in a page if it is the next one; gives the whole once it is there.
    ///
    /// `read_at` is when the peer had read what it tells, on this node's clock.
    pub fn take(&mut self, page: Page, read_at: TimeMs) -> Taken {
        let is_of_era = self.end.is_none_or(|end| end.era == page.end.era);
        if page.after != self.after() || !is_of_era {
            return Taken::NotNext;
        }
        self.end = Some(self.end.map_or(page.end, |end| end.min(page.end)));
        self.read_at = Some(self.read_at.map_or(read_at, |at| at.min(read_at)));
        let is_last = page.is_last || page.announced.is_empty();
        self.announced.extend(page.announced);
        if !is_last {
            return Taken::Next;
        }
        let assembled = std::mem::take(self);
        Taken::Whole(Whole {
            announced: assembled.announced,
            end: assembled.end.unwrap_or_default(),
            read_at: assembled.read_at.unwrap_or_default(),
        })
    }
}

/// What came of a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    /// It was told twice, or belongs to another assembly.
    NotNext,
    /// More pages follow.
    Next,
    Whole(Whole),
}

#[cfg(test)]
mod tests;
