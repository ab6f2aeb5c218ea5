//! Start-time fair queueing: the order in which flows of requests start.
//!
//! Each flow has a start tag in virtual time, and the flow with the smallest one goes first. A
//! started request advances the tags of its flow by its work over the flow's weight, so that flows
//! with waiting requests get work in proportion to their weights.

/// The largest start tag of the started requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct VirtualTime(f64);

/// The position of one flow in virtual time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Flow {
    start_tag: f64,
    finish_tag: f64,
}

impl Flow {
    /// Sets the start tag when the flow's first request begins to wait or starts.
    ///
    /// An idle flow accumulates no credit: its tag is at least the current virtual time.
    pub fn activate(&mut self, virtual_time: VirtualTime) {
        self.start_tag = self.finish_tag.max(virtual_time.0);
    }

    /// Charges a started request to the flow.
    pub fn charge(&mut self, virtual_time: &mut VirtualTime, work: f64, weight: f64) {
        virtual_time.0 = virtual_time.0.max(self.start_tag);
        self.finish_tag = self.start_tag + work / weight;
        self.start_tag = self.finish_tag;
    }

    /// Returns the start tag of the flow's next request.
    #[must_use]
    pub fn start_tag(&self) -> f64 {
        self.start_tag
    }

    /// Returns by how much the flow is behind virtual time; negative if it is ahead.
    #[must_use]
    pub fn lag(&self, virtual_time: VirtualTime) -> f64 {
        virtual_time.0 - self.start_tag
    }
}
