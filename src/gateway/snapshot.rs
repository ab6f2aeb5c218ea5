//! Transfers the table of upstreams from peer to peer in pages.
//!
//! A node that has just started needs the announcements of all upstreams. If each node read them
//! from the store, the bytes read would grow with nodes times upstreams, and starting all nodes at
//! once would keep the store busy for longer than callers wait. Therefore a few nodes read the
//! store, and the others ask them.
//!
//! A page holds upstreams in the order of their ids. Pages may come from different peers at
//! different times: the assembled snapshot counts as read up to the lowest position of its pages
//! and at the earliest of their read times. Later announcements follow as messages about changes.

use bincode::{Decode, Encode};

use super::log_position::LogPosition;
use super::upstreams::Announcement;
use crate::time::TimeMs;

/// Maximum number of upstreams in one page, which is then some 16 kB long.
const MAX_PAGE_UPSTREAMS: usize = 128;

/// One page of the table of upstreams of a peer.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct Page {
    /// The page holds the ids after this one; `None` for the first page.
    pub after: Option<String>,
    pub announced: Vec<Announcement>,
    pub is_last: bool,
    /// Position up to which that peer has read the announcements.
    pub end: LogPosition,
    /// When the peer had read all announcements up to `end`, in Unix milliseconds; `None` if it has
    /// not.
    pub read_at_day_ms: Option<u64>,
}

/// Returns the upstreams of the page after an id, and whether it is the last page.
///
/// `all` must be sorted by id.
pub(crate) fn page<'a>(
    all: impl Iterator<Item = &'a Announcement>,
    after: Option<&str>,
) -> (Vec<Announcement>, bool) {
    let mut rest = all.filter(|announced| after.is_none_or(|after| announced.id.as_str() > after));
    let page: Vec<Announcement> = rest.by_ref().take(MAX_PAGE_UPSTREAMS).cloned().collect();
    let is_last = rest.next().is_none();
    (page, is_last)
}

/// A complete table of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Snapshot {
    pub announced: Vec<Announcement>,
    /// Position up to which the announcements have been read.
    pub end: LogPosition,
    /// When they were read, on this node's clock.
    pub read_at: TimeMs,
}

/// Assembles consecutive pages into a snapshot.
#[derive(Clone, Debug, Default)]
pub(crate) struct SnapshotAssembler {
    announced: Vec<Announcement>,
    end: Option<LogPosition>,
    read_at: Option<TimeMs>,
}

impl SnapshotAssembler {
    /// Returns the id after which the next page starts; `None` for the first page.
    pub fn after(&self) -> Option<String> {
        self.announced.last().map(|last| last.id.clone())
    }

    /// Whether a page has been added.
    pub fn has_started(&self) -> bool {
        self.end.is_some()
    }

    /// Adds a page if it is the next one; returns the snapshot once it is complete.
    ///
    /// `read_at` is when the peer had read the announcements, on this node's clock.
    pub fn add(&mut self, page: Page, read_at: TimeMs) -> AddedPage {
        let is_of_era = self.end.is_none_or(|end| end.era == page.end.era);
        if page.after != self.after() || !is_of_era {
            return AddedPage::NotNext;
        }
        self.end = Some(self.end.map_or(page.end, |end| end.min(page.end)));
        self.read_at = Some(self.read_at.map_or(read_at, |at| at.min(read_at)));
        let is_last = page.is_last || page.announced.is_empty();
        self.announced.extend(page.announced);
        if !is_last {
            return AddedPage::Next;
        }
        let assembled = std::mem::take(self);
        AddedPage::Complete(Snapshot {
            announced: assembled.announced,
            end: assembled.end.unwrap_or_default(),
            read_at: assembled.read_at.unwrap_or_default(),
        })
    }
}

/// The result of adding a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AddedPage {
    /// The page is a duplicate or belongs to another transfer.
    NotNext,
    /// The page was added and more are missing.
    Next,
    Complete(Snapshot),
}

#[cfg(test)]
mod tests;
