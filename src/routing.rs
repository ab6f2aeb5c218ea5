//! Chooses the upstream for a request.
//!
//! [`candidates`] builds a list of candidates from the blackboard; [`choose`] decides on that list
//! alone. `docs/design/routing.md` compares the alternatives and gives the measurements.

pub mod cache;
pub mod candidates;
pub mod chain;
pub mod choose;
pub mod health;
pub mod load;
pub mod score;

pub use cache::{PrefixCacheEstimate, PromptEstimate};
pub use candidates::{Requirement, gather_candidates};
pub use chain::{PromptBlocks, prompt_tokens};
pub use choose::{Choice, NoRoute, choose};
pub use health::{Availability, Health};
pub use load::UnreportedLoad;
pub use score::{RoutePolicy, Weights};

use std::net::SocketAddr;

use crate::keys::{DomainKey, HostKey};
use crate::upstreams::Delivery;

/// One upstream as input to a routing decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The host.
    pub host: HostKey,
    /// The address that the host listens on.
    pub address: SocketAddr,
    /// The failure domain of the host.
    pub domain: DomainKey,
    /// Whether the host accepts new requests.
    pub availability: Availability,
    /// Whether the host has loaded the model that the request names.
    pub has_model: bool,
    /// Whether the host's role gives priority to the request's kind of work.
    pub is_role_match: bool,
    /// Estimated number of streams running or queued on the host now.
    pub streams_ahead: f64,
    /// Streams that the host runs concurrently.
    pub slots: u32,
    /// Estimated remaining prefill time of the prompts that this node has sent to the host.
    pub prefill_backlog_ms: f64,
    /// Recent excess of the time to first token over the expected one, as measured by this node.
    pub first_token_excess_ms: f64,
    /// Prefill rate of the host for tokens that are not cached.
    pub prefill_tokens_per_second: f64,
    /// Estimated number of prompt tokens that the host has cached.
    pub cached_tokens: f64,
    /// Price of the host, in the deployment's currency.
    pub price_per_hour: f64,
}

impl Candidate {
    /// Returns whether a request that can use this host only may be sent to it.
    #[must_use]
    pub fn is_eligible(&self) -> bool {
        self.has_model && matches!(self.availability, Availability::Open | Availability::Probe)
    }
}

/// The input of a routing decision that comes from the request.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Tokens of the prompt and of the output generated so far.
    pub prompt_tokens: u64,
    /// Tokens of the prompt's prefix that many different prompts share.
    pub shared_tokens: u64,
    /// Hash of the part of the prompt that distinguishes it from others; requests with the same
    /// value rank hosts in the same order.
    pub affinity: u64,
    /// Hash of the prefix that many different prompts share, if there is one.
    ///
    /// When the hosts that have the prefix cached are busy, all nodes recompute it on the same few
    /// other hosts.
    pub shared_affinity: Option<u64>,
    /// Target for the time to first token.
    pub first_token_ms: u64,
    /// Mean duration of a request on an upstream.
    pub service_ms: f64,
    /// Whether the request may run more than once.
    pub delivery: Delivery,
    /// Hosts that the request has been tried on, sorted.
    pub tried: &'a [HostKey],
    /// Failure domains in which an attempt of the request has failed, sorted.
    pub failed_domains: &'a [DomainKey],
    /// Weights of cost and cache reuse, from the deployment's configuration.
    pub weights: Weights,
    /// Weights of the parts of the score.
    pub policy: RoutePolicy,
}
