//! Implements the request core's dependencies with real engines, services and peers.

use std::net::SocketAddr;
use std::sync::Arc;

use super::Directory;
use super::messages::{Item, Reply, Request};
use crate::keys::Incarnation;
use crate::membership::MemberState;
use crate::peers::{Connections, Items, PeerError, Protocol};
use crate::requests::dependencies::{Dependencies, ItemStream, Peers, Unreachable};
use crate::upstreams::{EngineClient, ServiceClient};

/// Timeout of a peer's reply.
const REPLY_TIMEOUT_MS: u64 = 3_000;

/// The message types of the protocol between nodes.
#[derive(Debug)]
pub struct PeerProtocol;

impl Protocol for PeerProtocol {
    type Request = Request;
    type Reply = Reply;
    type Item = Item;

    fn kind(request: &Request) -> &'static str {
        request.kind()
    }
}

/// The dependency types of a running node.
#[derive(Debug)]
pub struct NodeDependencies;

impl Dependencies for NodeDependencies {
    type Engines = EngineClient;
    type Services = ServiceClient;
    type Peers = NodePeers;
}

/// The other nodes, at the addresses that the directory gives.
#[derive(Debug)]
pub struct NodePeers {
    connections: Connections<PeerProtocol>,
    directory: Arc<Directory>,
}

impl NodePeers {
    /// Creates the peers over these connections.
    #[must_use]
    pub fn new(connections: Connections<PeerProtocol>, directory: Arc<Directory>) -> Self {
        Self {
            connections,
            directory,
        }
    }

    fn address(&self, to: Incarnation) -> Result<SocketAddr, Unreachable> {
        match self.directory.get(to) {
            Some(member) if member.state == MemberState::Gone => Err(Unreachable::Gone),
            Some(member) => Ok(member.peer_address),
            None => Err(Unreachable::Silent),
        }
    }
}

impl Peers for NodePeers {
    type Items = NodeItems;

    fn live(&self) -> Vec<Incarnation> {
        self.directory.live()
    }

    fn is_unresponsive(&self, node: Incarnation) -> bool {
        let state = self.directory.get(node).map(|member| member.state);
        matches!(
            state,
            None | Some(MemberState::Suspected | MemberState::Gone)
        )
    }

    async fn call(&self, to: Incarnation, request: Request) -> Result<Reply, Unreachable> {
        let address = self.address(to)?;
        let reply = self
            .connections
            .call(address, request, REPLY_TIMEOUT_MS)
            .await;
        reply.map_err(|error| unreachable(&error, to))
    }

    async fn open(
        &self,
        to: Incarnation,
        request: Request,
    ) -> Result<(Reply, NodeItems), Unreachable> {
        let address = self.address(to)?;
        let opened = self
            .connections
            .open(address, request, REPLY_TIMEOUT_MS)
            .await;
        let (reply, items) = opened.map_err(|error| unreachable(&error, to))?;
        Ok((reply, NodeItems { items, from: to }))
    }
}

/// A stream of items from a peer.
#[derive(Debug)]
pub struct NodeItems {
    items: Items<PeerProtocol>,
    from: Incarnation,
}

impl ItemStream for NodeItems {
    async fn next(&mut self) -> Option<Result<Item, Unreachable>> {
        let item = self.items.next().await?;
        Some(item.map_err(|error| unreachable(&error, self.from)))
    }
}

fn unreachable(error: &PeerError, peer: Incarnation) -> Unreachable {
    let unreachable = if error.is_silence() {
        Unreachable::Silent
    } else {
        Unreachable::Refusing
    };
    log::info!(error:% = error, peer:% = peer, unreachable:?; "a call to a peer failed");
    unreachable
}
