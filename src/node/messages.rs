//! The messages that nodes exchange.

use bincode::{Decode, Encode};

use crate::coordination::configuration::Snapshot;
use crate::keys::{HostKey, Incarnation};
use crate::limits::DemandReport;
use crate::requests::Chunk;
use crate::requests::idempotency_keys::{ClaimRequest, ClaimResult};
use crate::requests::record::Copy;
use crate::requests::suspects::QuarantineEnd;
use crate::requests::{Call, Outcome, RequestId};
use crate::retries::{QuarantineAnswer, QuarantineRequest, StrikeReport};
use crate::time::TimeMs;

/// A request from one node to another.
#[derive(Clone, Debug, Encode, Decode)]
pub enum Request {
    /// To an id's home: run the call unless the id is known, and stream its answer.
    Submit {
        /// The id.
        id: RequestId,
        /// The call.
        call: Box<Call>,
        /// The first position to stream.
        from: u64,
    },
    /// To an id's home: stream the answer of a known request.
    Attach {
        /// The id.
        id: RequestId,
        /// The first position to stream.
        from: u64,
    },
    /// To an id's witness when the home is unreachable: report what is known of the request.
    ///
    /// The witness also continues the request if that does no harm.
    Settle {
        /// The id.
        id: RequestId,
        /// The call, if the caller has sent it again.
        call: Option<Box<Call>>,
        /// The first position to stream.
        from: u64,
    },
    /// To an id's home: cancel the request.
    Cancel {
        /// The id.
        id: RequestId,
    },
    /// To a witness: store these updates, and consent to the dispatches that require it.
    Witness {
        /// The addressed incarnation; another one at the same address must not consent in its
        /// place.
        witness: Incarnation,
        /// The updates.
        updates: Vec<WitnessUpdate>,
    },
    /// From a leaving node: take over these requests.
    Inherit {
        /// The addressed incarnation.
        successor: Incarnation,
        /// The home that their ids name.
        home: Incarnation,
        /// The witness that their ids name.
        witness: Incarnation,
        /// The requests.
        requests: Vec<HandedOverRequest>,
        /// Whether this message completes a handover of all requests.
        ///
        /// If set, the heir has received all requests of this home and witness that any node has
        /// worked on, and no other node starts one.
        is_complete: bool,
    },
    /// To the node selected for a key: claim it, and start the call if the claim wins.
    Claim(Box<ClaimRequest>),
    /// Return the newest configuration, if it is newer than this revision.
    Newest {
        /// The revision that the sender has.
        newer_than: u64,
    },
    /// Apply a newer configuration.
    Configuration(Snapshot),
    /// Apply the termination notices of these hosts.
    Notices(Vec<HostNotice>),
    /// Apply the drains and refused starts of a failure domain.
    Placement(PlacementReport),
    /// Record requests that were present on upstreams when these were lost.
    Strikes(StrikeReport),
    /// Record the teams' demand at a node.
    Shares {
        /// The node.
        from: Incarnation,
        /// The demand.
        report: DemandReport,
    },
    /// To the owner of a host: return whether a suspect request may run on it.
    Quarantine(QuarantineRequest),
    /// To the owner of a host: record that a suspect's attempt on it has ended.
    Release {
        /// The quarantine request.
        request: QuarantineRequest,
        /// The result of the attempt.
        end: QuarantineEnd,
    },
}

/// One request that a leaving node hands over.
#[derive(Clone, Debug, Encode, Decode)]
pub struct HandedOverRequest {
    /// The leaving node's copy of the request.
    pub copy: Copy,
    /// Whether certainly no other node works on the request.
    pub is_exclusive: bool,
}

/// An update from a home to its witness about one request.
#[derive(Clone, Debug, Encode, Decode)]
pub enum WitnessUpdate {
    /// Store the request's progress or outcome.
    Store(Copy),
    /// The request is about to be dispatched: store it and consent.
    Consent(Copy),
    /// The request is about to be refused as not run, though idempotent: no node may take it over.
    RuleOut(RequestId),
}

impl WitnessUpdate {
    /// Returns whether the home waits for the witness's reply.
    #[must_use]
    pub fn needs_reply(&self) -> bool {
        !matches!(self, Self::Store(_))
    }

    /// Returns whether the update carries the request's outcome, which is sent only once.
    #[must_use]
    pub fn has_outcome(&self) -> bool {
        matches!(self, Self::Store(copy) if copy.outcome.is_some())
    }

    /// Returns the approximate size of the update.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        match self {
            Self::Store(copy) | Self::Consent(copy) => {
                let tokens = copy.chunk.text().len();
                tokens + copy.call.size_bytes()
            }
            Self::RuleOut(_) => size_of::<RequestId>(),
        }
    }
}

/// A termination notice of a host.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HostNotice {
    /// The platform's name of the host.
    pub host: String,
    /// When the host is terminated.
    pub leave_at_ms: TimeMs,
}

/// A report of a failure domain's placement lease holder to the other nodes.
///
/// The holder sends it in each round.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PlacementReport {
    /// The failure domain.
    pub domain: String,
    /// Fencing token of the lease; reports with an older token are ignored.
    pub fencing: u64,
    /// All draining hosts of the failure domain, with the start of their drain.
    pub draining: Vec<(HostKey, TimeMs)>,
    /// Refused host starts in the failure domain.
    pub refusals: Vec<RefusedStart>,
}

/// Refused starts of a host class since its last successful start.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RefusedStart {
    /// The class.
    pub host_class: String,
    /// Consecutive refusals.
    pub consecutive_refusals: u32,
    /// When the last start was refused.
    pub last_at_ms: TimeMs,
}

/// The first message of a response to a request.
#[derive(Clone, Debug, Encode, Decode)]
pub enum Reply {
    /// The answer follows as items.
    Stream,
    /// The node has no such request.
    NoSuchRequest,
    /// The id is in use for another call.
    OtherCall,
    /// The request was addressed to another incarnation, which is gone from this address.
    WrongNode,
    /// For each update, whether it was stored and, if required, consented to or ruled out.
    Consents(Vec<bool>),
    /// The result of a claim.
    Claimed(ClaimResult),
    /// The newest configuration, if it is newer.
    Newest(Option<Snapshot>),
    /// Whether the suspect request may run.
    Quarantine(QuarantineAnswer),
    /// The request was carried out.
    Done,
}

/// An item of a stream.
#[derive(Clone, Debug, Encode, Decode)]
pub enum Item {
    /// Tokens of the answer.
    Tokens(Chunk),
    /// The request's outcome; the last item.
    End(Outcome),
}

impl Request {
    /// Returns the request's name for metrics and logs.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Submit { .. } => "submit",
            Self::Attach { .. } => "attach",
            Self::Settle { .. } => "settle",
            Self::Cancel { .. } => "cancel",
            Self::Witness { .. } => "witness",
            Self::Inherit { .. } => "inherit",
            Self::Claim(_) => "claim",
            Self::Newest { .. } => "newest",
            Self::Configuration(_) => "configuration",
            Self::Notices(_) => "notices",
            Self::Placement(_) => "placement",
            Self::Strikes(_) => "strikes",
            Self::Shares { .. } => "shares",
            Self::Quarantine(_) => "quarantine",
            Self::Release { .. } => "release",
        }
    }
}
