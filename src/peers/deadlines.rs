//! The deadlines of the open streams of one connection.

/// Deadlines in milliseconds since the connection was opened, sorted.
#[derive(Debug, Default)]
pub(super) struct Deadlines {
    sorted_ms: Vec<u64>,
}

impl Deadlines {
    /// Adds the deadline of one stream.
    pub fn insert(&mut self, deadline_ms: u64) {
        let index = self.sorted_ms.partition_point(|&ms| ms <= deadline_ms);
        self.sorted_ms.insert(index, deadline_ms);
    }

    /// Removes the deadline of one stream; those of others at the same time stay.
    pub fn remove(&mut self, deadline_ms: u64) {
        if let Ok(index) = self.sorted_ms.binary_search(&deadline_ms) {
            self.sorted_ms.remove(index);
        }
    }

    /// Returns the latest deadline; zero if no stream has one.
    pub fn latest_ms(&self) -> u64 {
        self.sorted_ms.last().copied().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
