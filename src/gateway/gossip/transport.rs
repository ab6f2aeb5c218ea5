//! Encodes messages and sends them to their recipients.

use std::net::SocketAddr;

use rand::Rng;
use tokio::net::UdpSocket;

use super::MAX_DATAGRAM_BYTES;
use crate::gateway::clock;
use crate::gateway::fragments;
use crate::gateway::messages::Message;
use crate::gateway::rank;
use crate::gateway::state::{Gateway, Outgoing, Recipients};

/// Sends a message to its recipients.
pub(super) async fn send(node: &Gateway, socket: &UdpSocket, outgoing: &Outgoing) {
    let message = &outgoing.message;
    match outgoing.recipients {
        Recipients::All => send_to_all(node, socket, message).await,
        Recipients::Group => {
            let addresses = node.peers.lock().group_addresses();
            send_to(socket, message, &addresses).await;
        }
        Recipients::SameDomain => {
            let addresses = node.peers.lock().same_domain_addresses(clock::now());
            send_to(socket, message, &addresses).await;
        }
        Recipients::OtherDomainLeaders => {
            let addresses = {
                let peers = node.peers.lock();
                let domain = &peers.own().failure_domain;
                (rank::first_of_each_domain(&peers, clock::now()).iter())
                    .filter(|member| member.failure_domain != *domain)
                    .map(|member| member.gossip_address)
                    .collect::<Vec<_>>()
            };
            send_to(socket, message, &addresses).await;
        }
        Recipients::Address(address) => send_to(socket, message, &[address]).await,
    }
}

/// Sends a message to the nodes of this group, and to one node of each other group, which forwards
/// it.
pub(super) async fn send_to_all(node: &Gateway, socket: &UdpSocket, message: &Message) {
    let (group, carriers) = {
        let mut peers = node.peers.lock();
        (peers.group_addresses(), peers.carriers(clock::now()))
    };
    send_to(socket, message, &group).await;
    if !carriers.is_empty() {
        let forwarded = Message::Forward(Box::new(message.clone()));
        send_to(socket, &forwarded, &carriers).await;
    }
}

/// Sends a message to these addresses; one that exceeds a datagram travels in fragments.
pub(super) async fn send_to(socket: &UdpSocket, message: &Message, addresses: &[SocketAddr]) {
    let Some(encoded) = encode(message) else {
        return;
    };
    let datagrams: Vec<Vec<u8>> = if encoded.len() <= MAX_DATAGRAM_BYTES {
        vec![encoded]
    } else {
        let fragments = fragments::split(&encoded, rand::rng().random());
        log::info!(event = "large_message_sent", kind = message.kind(), bytes = encoded.len(), recipients = addresses.len(); "sent peers a message that exceeds a datagram");
        if fragments.is_empty() {
            log::error!(bytes = encoded.len(), kind = message.kind(); "dropped a message to peers that exceeds the largest size");
        }
        let fragments = fragments.into_iter().map(Message::Fragment);
        fragments.filter_map(|fragment| encode(&fragment)).collect()
    };
    for datagram in datagrams {
        send_datagram(socket, message.kind(), &datagram, addresses).await;
    }
}

fn encode(message: &Message) -> Option<Vec<u8>> {
    match bincode::encode_to_vec(message, bincode::config::standard()) {
        Ok(encoded) => Some(encoded),
        Err(error) => {
            log::error!(error:err = error, kind = message.kind(); "dropped a message to peers that cannot be encoded");
            None
        }
    }
}

async fn send_datagram(
    socket: &UdpSocket,
    kind: &'static str,
    datagram: &[u8],
    addresses: &[SocketAddr],
) {
    let count = addresses.len() as u64;
    metrics::counter!("teaselline_datagrams_sent_total", "kind" => kind).increment(count);
    metrics::counter!("teaselline_datagram_bytes_sent_total", "kind" => kind)
        .increment(count * datagram.len() as u64);
    for address in addresses {
        if let Err(error) = socket.send_to(datagram, *address).await {
            log::debug!(error:err = error, peer:% = *address; "cannot send a datagram to a peer");
        }
    }
}
