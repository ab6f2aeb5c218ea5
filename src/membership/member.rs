//! What is known of one node.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use serde::Serialize;

use crate::keys::Incarnation;

/// What is known of one run of one node.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize)]
pub struct Member {
    /// The run.
    pub incarnation: Incarnation,
    /// The node's name in its settings.
    pub name: String,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where peers open streams.
    pub peer_address: SocketAddr,
    /// Where it takes heartbeats.
    pub heartbeat_address: SocketAddr,
    /// The name of its failure domain.
    pub domain_name: String,
    /// The region of its failure domain.
    pub region: String,
    /// Whether it may be given work.
    pub state: MemberState,
    /// Its newest known load.
    pub load: MemberLoad,
    /// Grows whenever the node itself changes its state or contradicts what others say of it.
    pub version: u32,
}

/// Whether a node may be given work.
///
/// Of two claims about one version, the later in this order holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It is heard.
    Alive,
    /// It has not been heard lately; it may be slow, cut off or dead.
    Suspected,
    /// It takes nothing new.
    Leaving,
    /// It has ended, or has been suspected for long.
    Gone,
}

/// How busy a node is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode, Serialize)]
pub struct MemberLoad {
    /// Streams open to callers.
    pub open_streams: u32,
    /// Requests that wait for an upstream.
    pub waiting: u32,
    /// Processor time used, in thousandths of what the node has.
    pub cpu_permille: u16,
}

impl Member {
    /// Whether the node may be given work.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.state == MemberState::Alive
    }
}
