//! Which upstream a request goes to.
//!
//! [`candidates`] reads the blackboard into a view, [`choose`] decides on that view alone.
//! `docs/design/routing.md` gives the ways that were weighed and the measurements.

pub mod cache;
pub mod candidates;
pub mod chain;
pub mod choose;
pub mod health;
pub mod load;
pub mod score;

pub use cache::{CacheView, PromptView};
pub use candidates::{Need, gather};
pub use chain::{Chain, prompt_tokens};
pub use choose::{Choice, NoRoute, choose};
pub use health::{Health, Standing};
pub use load::SentSince;
pub use score::{RoutePolicy, Weights};

use std::net::SocketAddr;

use crate::keys::{DomainKey, HostKey};
use crate::upstreams::Delivery;

/// One upstream as a choice sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The host.
    pub host: HostKey,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainKey,
    /// Whether it may be given work.
    pub standing: Standing,
    /// Whether it has the model that the request names.
    pub has_model: bool,
    /// Whether it serves the request's kind of work first.
    pub in_role: bool,
    /// Streams that are running or queued there, as estimated now.
    pub streams_ahead: f64,
    /// Streams that it runs at once.
    pub slots: u32,
    /// Prompt computing that this node has sent there and that is not done yet.
    pub prefill_backlog_ms: f64,
    /// How much longer than expected first tokens take there now, as this node has seen.
    pub excess_ms: f64,
    /// Prompt tokens that it computes when nothing is cached.
    pub prefill_tokens_per_second: f64,
    /// Tokens of the prompt that it is expected to have cached.
    pub cached_tokens: f64,
    /// Its price, in the deployment's currency.
    pub price_per_hour: f64,
}

impl Candidate {
    /// Whether a request that names the host alone may be sent to it.
    #[must_use]
    pub fn may_be_tried(&self) -> bool {
        self.has_model && matches!(self.standing, Standing::Open | Standing::Probe)
    }
}

/// What a request asks of routing.
#[derive(Clone, Copy, Debug)]
pub struct RouteAsk<'a> {
    /// Tokens of the prompt and of what has been generated so far.
    pub prompt_tokens: u64,
    /// Tokens at the front of the prompt that many different prompts share.
    pub shared_tokens: u64,
    /// Names the part of the prompt that tells it from others; requests that share it look for
    /// their upstream in the same place.
    pub affinity: u64,
    /// Names the part of the prompt that many different prompts share, if there is one.
    ///
    /// When hosts that have it cached are busy, all nodes compute it again on the same few others.
    pub shared_affinity: Option<u64>,
    /// Target for the first token.
    pub first_token_ms: u64,
    /// How long one request takes on an upstream, on average.
    pub service_ms: f64,
    /// Whether running it twice would do harm.
    pub delivery: Delivery,
    /// Upstreams that were tried for it already, sorted.
    pub tried: &'a [HostKey],
    /// Failure domains in which it has failed already, sorted.
    pub failed_domains: &'a [DomainKey],
    /// What the deployment favours.
    pub weights: Weights,
    /// How much each part of the cost counts.
    pub policy: RoutePolicy,
}
