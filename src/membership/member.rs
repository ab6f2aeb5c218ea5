//! Membership rows: the shared state of one node.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use serde::Serialize;

use crate::keys::Incarnation;

/// The shared state of one incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize)]
pub struct Member {
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// The node's name in its settings.
    pub name: String,
    /// The address on which the node accepts callers.
    pub caller_address: SocketAddr,
    /// The address on which the node accepts streams of peers.
    pub peer_address: SocketAddr,
    /// The UDP address on which the node receives heartbeats.
    pub heartbeat_address: SocketAddr,
    /// The name of the node's failure domain.
    pub domain_name: String,
    /// The region of the node's failure domain.
    pub region: String,
    /// Whether the node may receive new work.
    pub state: MemberState,
    /// The latest load that the node reported.
    pub load: MemberLoad,
    /// Incremented by the node itself when it changes its state or refutes a claim about it.
    pub version: u32,
}

/// Whether a node may receive new work.
///
/// Of two claims with the same version, the greater state in the order of the variants wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The node sends heartbeats.
    Alive,
    /// The node missed heartbeats: it may be slow, partitioned or dead.
    Suspected,
    /// The node accepts no new work.
    Leaving,
    /// The node has shut down, or its suspicion timed out.
    Gone,
}

/// The load of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode, Serialize)]
pub struct MemberLoad {
    /// Number of streams open to callers.
    pub open_streams: u32,
    /// Number of requests waiting for an upstream.
    pub waiting: u32,
    /// Processor utilization, in thousandths of the node's capacity.
    pub cpu_permille: u16,
}

impl Member {
    /// Returns whether the node may receive new work.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.state == MemberState::Alive
    }
}
