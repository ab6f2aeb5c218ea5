//! How many requests of each team began to run in each window, counted by every node.

use bincode::{Decode, Encode};

use crate::time::TimeMs;

/// The usage of one window.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Report {
    pub window: u64,
    /// Requests that began, by the team's name.
    pub counts: Vec<(String, u64)>,
}

/// Windows that are kept: the running one and those that are due.
const KEPT_WINDOWS: u64 = 5;

/// Requests of a team that one run of one node saw begin in a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Row {
    pub window: u64,
    pub team: u64,
    pub count: u64,
}

/// The counts of all nodes, by their incarnations.
#[derive(Debug)]
pub(crate) struct UsageBook {
    own: u64,
    window_ms: u64,
    /// Sorted by incarnation, window and team.
    rows: Vec<(u64, Row)>,
}

impl UsageBook {
    /// A book for the node of this incarnation.
    #[must_use]
    pub fn new(own: u64, window_ms: u64) -> Self {
        Self {
            own,
            window_ms,
            rows: Vec::new(),
        }
    }

    /// The window of a time of day.
    pub fn window_at(&self, time_of_day: TimeMs) -> u64 {
        time_of_day.0 / self.window_ms
    }

    /// When a window ends, as a time of day.
    pub fn end_of(&self, window: u64) -> TimeMs {
        TimeMs((window + 1) * self.window_ms)
    }

    /// Counts a request that began at a time of day.
    pub fn count(&mut self, team: u64, began_time_of_day: TimeMs) {
        let window = self.window_at(began_time_of_day);
        let own = self.own;
        self.row(own, window, team).count += 1;
        let oldest = window.saturating_sub(KEPT_WINDOWS);
        self.rows.retain(|(_incarnation, row)| row.window >= oldest);
    }

    /// This node's counts of the kept windows, for its peers.
    pub fn own_rows(&self) -> Vec<Row> {
        (self.rows.iter())
            .filter(|(incarnation, _row)| *incarnation == self.own)
            .map(|(_incarnation, row)| *row)
            .collect()
    }

    /// Takes in what a peer counted; counts only grow.
    pub fn note_peer(&mut self, incarnation: u64, rows: &[Row]) {
        for row in rows {
            let kept = self.row(incarnation, row.window, row.team);
            kept.count = kept.count.max(row.count);
        }
    }

    /// Requests of each team that began in a window, over all nodes, sorted by team.
    pub fn totals(&self, window: u64) -> Vec<(u64, u64)> {
        let mut totals: Vec<(u64, u64)> = Vec::new();
        for (_incarnation, row) in &self.rows {
            if row.window != window {
                continue;
            }
            match totals.binary_search_by_key(&row.team, |(team, _count)| *team) {
                Ok(place) => totals[place].1 += row.count,
                Err(place) => totals.insert(place, (row.team, row.count)),
            }
        }
        totals
    }

    fn row(&mut self, incarnation: u64, window: u64, team: u64) -> &mut Row {
        let key = (incarnation, window, team);
        let found = (self.rows).binary_search_by_key(&key, |(incarnation, row)| {
            (*incarnation, row.window, row.team)
        });
        let place = found.unwrap_or_else(|place| {
            let row = Row {
                window,
                team,
                count: 0,
            };
            self.rows.insert(place, (incarnation, row));
            place
        });
        &mut self.rows[place].1
    }
}

#[cfg(test)]
mod tests;
