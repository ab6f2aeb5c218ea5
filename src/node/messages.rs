//! The messages that nodes exchange.

use bincode::{Decode, Encode};

use crate::coordination::configuration::Snapshot;
use crate::keys::{HostKey, Incarnation};
use crate::limits::DemandReport;
use crate::requests::Chunk;
use crate::requests::keyed::{ClaimRequest, ClaimResult};
use crate::requests::record::Copy;
use crate::requests::suspicion::QuarantineEnd;
use crate::requests::{Call, Outcome, RequestId};
use crate::retries::{QuarantineAnswer, QuarantineRequest, StrikeReport};
use crate::time::TimeMs;

/// What a node asks of another.
#[derive(Clone, Debug, Encode, Decode)]
pub enum Request {
    /// To an id's home: run the call unless the id is known, and stream its answer.
    Submit {
        /// The id.
        id: RequestId,
        /// The call.
        call: Box<Call>,
        /// The first position wanted.
        from: u64,
    },
    /// To an id's home: stream the answer of a request that is known.
    Attach {
        /// The id.
        id: RequestId,
        /// The first position wanted.
        from: u64,
    },
    /// To an id's witness, where its home cannot be reached: say what is known, and go on with the
    /// request if that is harmless.
    Settle {
        /// The id.
        id: RequestId,
        /// The call, if the caller has sent it again.
        call: Option<Box<Call>>,
        /// The first position wanted.
        from: u64,
    },
    /// To an id's home: stop it.
    Cancel {
        /// The id.
        id: RequestId,
    },
    /// To a witness: keep these, and consent to the dispatch of those that ask for it.
    Witness {
        /// The incarnation that is meant; another one at its address must not consent for it.
        witness: Incarnation,
        /// What to keep.
        told: Vec<Told>,
    },
    /// From a node that leaves: take over these requests.
    Inherit {
        /// The incarnation that is meant.
        heir: Incarnation,
        /// The home that their ids name.
        home: Incarnation,
        /// The witness that their ids name.
        witness: Incarnation,
        /// The requests.
        requests: Vec<Bequest>,
        /// Whether the heir has been given all requests of this home and witness that any node has
        /// worked on, and nobody else starts one.
        farewell: bool,
    },
    /// Claim a key, and start the call if the claim wins.
    Claim(Box<ClaimRequest>),
    /// The newest configuration, if it is newer than this revision.
    Newest {
        /// The revision that the asker has.
        than: u64,
    },
    /// A newer configuration.
    Configuration(Snapshot),
    /// Hosts that are about to go.
    Notices(Vec<HostNotice>),
    /// Hosts that are to get no new work, and starts that were refused.
    Placement(PlacementNews),
    /// Requests that were present when upstreams died.
    Strikes(StrikeReport),
    /// The demand of teams at a node.
    Shares {
        /// The node.
        from: Incarnation,
        /// The demand.
        report: DemandReport,
    },
    /// To the owner of a host: whether a suspect may run on it.
    Quarantine(QuarantineRequest),
    /// To the owner of a host: a suspect's attempt on it has ended.
    Release {
        /// What was asked for.
        ask: QuarantineRequest,
        /// How it ended.
        end: QuarantineEnd,
    },
}

/// One request that a node that leaves hands over.
#[derive(Clone, Debug, Encode, Decode)]
pub struct Bequest {
    /// What the node knows of it.
    pub copy: Copy,
    /// Whether it is certain that nobody else works on it.
    pub alone: bool,
}

/// What a home tells its witness of one request.
#[derive(Clone, Debug, Encode, Decode)]
pub enum Told {
    /// What has become of it, to be kept.
    Keep(Copy),
    /// That it is about to be dispatched, for consent.
    Consent(Copy),
    /// That it is about to be refused as not run, though it is idempotent: nobody is to take it over.
    RuleOut(RequestId),
}

impl Told {
    /// Whether the home waits for the answer.
    #[must_use]
    pub fn wants_answer(&self) -> bool {
        !matches!(self, Self::Keep(_))
    }

    /// Whether it says how the request ended, which is told once only.
    #[must_use]
    pub fn is_outcome(&self) -> bool {
        matches!(self, Self::Keep(copy) if copy.outcome.is_some())
    }

    /// Roughly its size.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        match self {
            Self::Keep(copy) | Self::Consent(copy) => {
                let tokens = copy.chunk.text().len();
                tokens + copy.call.size_bytes()
            }
            Self::RuleOut(_) => size_of::<RequestId>(),
        }
    }
}

/// A host that is about to go.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HostNotice {
    /// The platform's name for it.
    pub host: String,
    /// When it goes.
    pub leave_at_ms: TimeMs,
}

/// What the holder of a failure domain's lease on placement tells the others, again and again.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PlacementNews {
    /// The failure domain.
    pub domain: String,
    /// The fencing number of the lease; an older holder's word no longer counts.
    pub fencing: u64,
    /// All hosts of it that are to get no new work, with since when.
    pub drains: Vec<(HostKey, TimeMs)>,
    /// Starts in it that were refused.
    pub refusals: Vec<RefusedStart>,
}

/// Refused starts of a class of hosts since its last start.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RefusedStart {
    /// The class.
    pub host_class: String,
    /// Refusals in a row.
    pub in_a_row: u32,
    /// The newest of them.
    pub last_at_ms: TimeMs,
}

/// What a node answers first.
#[derive(Clone, Debug, Encode, Decode)]
pub enum Reply {
    /// The answer follows as items.
    Stream,
    /// There is no such request here.
    NoSuchRequest,
    /// The id is in use for another call.
    OtherCall,
    /// Another incarnation was meant: the one asked for is gone.
    WrongNode,
    /// For each request told, whether it is kept and, where asked for, consented to or ruled out.
    Consents(Vec<bool>),
    /// What came of a claim.
    Claimed(ClaimResult),
    /// The newest configuration, if it is newer.
    Newest(Option<Snapshot>),
    /// Whether the suspect may run.
    Quarantine(QuarantineAnswer),
    /// Done.
    Done,
}

/// What follows in a stream.
#[derive(Clone, Debug, Encode, Decode)]
pub enum Item {
    /// Tokens of the answer.
    Tokens(Chunk),
    /// How the request ended; nothing follows.
    End(Outcome),
}

impl Request {
    /// A short name for metrics and logs.
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
