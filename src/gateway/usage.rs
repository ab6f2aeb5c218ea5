//! Counts the started requests of each team and usage window, as replicated between nodes.

use bincode::{Decode, Encode};

use crate::time::TimeMs;

/// The usage of one window.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct UsageReport {
    pub window: u64,
    /// Number of started requests by team name.
    pub counts: Vec<(String, u64)>,
}

/// Number of retained windows: the current one and those whose report is due.
const RETAINED_WINDOWS: u64 = 5;

/// Number of requests of a team that one run of a node started in a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct UsageRow {
    pub window: u64,
    pub team: u64,
    pub count: u64,
}

/// The usage counts of all nodes, by their incarnations.
#[derive(Debug)]
pub(crate) struct UsageCounts {
    own: u64,
    window_ms: u64,
    /// Sorted by incarnation, window and team.
    rows: Vec<(u64, UsageRow)>,
}

impl UsageCounts {
    /// Creates empty counts for the node with this incarnation.
    #[must_use]
    pub fn new(own: u64, window_ms: u64) -> Self {
        Self {
            own,
            window_ms,
            rows: Vec::new(),
        }
    }

    /// Returns the window that contains a time of day.
    pub fn window_at(&self, time_of_day: TimeMs) -> u64 {
        time_of_day.0 / self.window_ms
    }

    /// Returns the end of a window as a time of day.
    pub fn window_end(&self, window: u64) -> TimeMs {
        TimeMs((window + 1) * self.window_ms)
    }

    /// Counts a request that started at a time of day.
    pub fn count(&mut self, team: u64, start_time_of_day: TimeMs) {
        let window = self.window_at(start_time_of_day);
        let own = self.own;
        self.row(own, window, team).count += 1;
        let oldest = window.saturating_sub(RETAINED_WINDOWS);
        self.rows.retain(|(_incarnation, row)| row.window >= oldest);
    }

    /// Returns this node's counts of the retained windows, for its peers.
    pub fn own_rows(&self) -> Vec<UsageRow> {
        self.rows_of(self.own)
    }

    /// Returns the counts of one node.
    pub fn rows_of(&self, node: u64) -> Vec<UsageRow> {
        let first = self
            .rows
            .partition_point(|(incarnation, _row)| *incarnation < node);
        (self.rows[first..].iter())
            .take_while(|(incarnation, _row)| *incarnation == node)
            .map(|(_incarnation, row)| *row)
            .collect()
    }

    /// Merges the counts of a peer. Counts only grow, so the higher one is kept.
    pub fn record_peer(&mut self, incarnation: u64, rows: &[UsageRow]) {
        for row in rows {
            let merged = self.row(incarnation, row.window, row.team);
            merged.count = merged.count.max(row.count);
        }
    }

    /// Returns the requests of each team that started in a window, summed over all nodes and sorted
    /// by team.
    pub fn totals(&self, window: u64) -> Vec<(u64, u64)> {
        let mut totals: Vec<(u64, u64)> = Vec::new();
        for (_incarnation, row) in &self.rows {
            if row.window != window {
                continue;
            }
            match totals.binary_search_by_key(&row.team, |(team, _count)| *team) {
                Ok(index) => totals[index].1 += row.count,
                Err(index) => totals.insert(index, (row.team, row.count)),
            }
        }
        totals
    }

    fn row(&mut self, incarnation: u64, window: u64, team: u64) -> &mut UsageRow {
        let key = (incarnation, window, team);
        let found = (self.rows).binary_search_by_key(&key, |(incarnation, row)| {
            (*incarnation, row.window, row.team)
        });
        let index = found.unwrap_or_else(|index| {
            let row = UsageRow {
                window,
                team,
                count: 0,
            };
            self.rows.insert(index, (incarnation, row));
            index
        });
        &mut self.rows[index].1
    }
}

#[cfg(test)]
mod tests;
