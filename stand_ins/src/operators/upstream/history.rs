//! What upstreams ran and what reached them.

use serde::{Deserialize, Serialize};

/// A request that an upstream began to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The upstream.
    pub upstream: String,
    /// The version of its software.
    pub version: String,
    /// The request's id.
    pub request: String,
    /// Path and query.
    pub path: String,
    /// The team that it was told.
    pub team: Option<String>,
    /// The event behind which it went on.
    pub resumed_after: Option<u64>,
    /// The request that brought the first event of the stream that the caller takes up, as it named it.
    pub resumes: Option<String>,
    /// The upstream's address from which it was told to copy what it lacks of the prompt.
    pub copied_from: Option<String>,
    /// When, in Unix milliseconds.
    pub at_ms: u64,
    /// When its channel was closed before the answer was out.
    pub left_at_ms: Option<u64>,
    /// The ids of its prompt's parts.
    pub parts: Vec<String>,
    /// When it crashed its upstream by a part of its prompt.
    pub crashed_at_ms: Option<u64>,
}

/// Whether the run of this place goes on with a stream that another software version began.
#[must_use]
pub fn is_misfit(runs: &[Run], place: usize) -> bool {
    let run = &runs[place];
    let begun_by = run.resumes.as_ref().unwrap_or(&run.request);
    let mut earlier = runs[..place].iter().rev();
    let began = earlier.find(|one| one.request == *begun_by && one.resumed_after.is_none());
    run.resumed_after.is_some() && began.is_some_and(|began| began.version != run.version)
}

/// A request that reached an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request's id.
    pub request: String,
    /// When, in Unix milliseconds.
    pub at_ms: u64,
    /// The rest in milliseconds that was asked of whom it turned away, if it did.
    pub rest_ms: Option<u64>,
    /// The ids of its prompt's parts.
    pub parts: Vec<String>,
}
