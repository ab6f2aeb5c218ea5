//! A crowd of callers that do not behave: each sends a part of a request and keeps its connection open.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;

/// Longest time that one member sends; a node that does not read holds its sender.
const SEND_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a crowd stands before its test goes on, so that the node reads what it has been sent.
const STAY: Duration = Duration::from_secs(3);

/// What one member of a crowd sends on its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The bytes that it sends.
    pub bytes: Vec<u8>,
    /// How many of them it writes at a time.
    pub piece_bytes: usize,
    /// Bytes that it sends afterwards, one at a time, until its connection ends.
    pub trickle: Option<Trickle>,
    /// The size of its receive buffer; otherwise the system chooses it.
    pub receive_buffer_bytes: Option<u32>,
}

/// A byte that is sent again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trickle {
    /// The byte.
    pub byte: u8,
    /// The time between two of them.
    pub pause: Duration,
}

impl Member {
    /// Sends all bytes at once and stays open.
    #[must_use]
    pub fn sending(bytes: Vec<u8>) -> Self {
        Self {
            piece_bytes: bytes.len().max(1),
            bytes,
            trickle: None,
            receive_buffer_bytes: None,
        }
    }

    /// The same in pieces of so many bytes.
    #[must_use]
    pub fn in_pieces(self, piece_bytes: usize) -> Self {
        Self {
            piece_bytes,
            ..self
        }
    }

    /// The same with a receive buffer of so many bytes.
    #[must_use]
    pub fn receiving_into(self, receive_buffer_bytes: u32) -> Self {
        let receive_buffer_bytes = Some(receive_buffer_bytes);
        Self {
            receive_buffer_bytes,
            ..self
        }
    }

    /// The same with a byte that follows again and again.
    #[must_use]
    pub fn then_trickling(self, byte: u8, pause: Duration) -> Self {
        let trickle = Some(Trickle { byte, pause });
        Self { trickle, ..self }
    }
}

/// Callers that stay connected until they are dropped or their node closes the connection.
#[derive(Debug)]
pub struct Crowd {
    sockets: Vec<TcpStream>,
    trickles: JoinSet<()>,
}

impl Crowd {
    /// Has `count` members send to a node at once; returns a while after all have sent or were cut off.
    pub async fn gather(node: SocketAddr, count: usize, member: impl Fn(usize) -> Member) -> Self {
        let mut sending = JoinSet::new();
        for place in 0..count {
            let member = member(place);
            sending.spawn(async move {
                let socket = tokio::time::timeout(SEND_TIMEOUT, send(node, &member)).await;
                (socket.ok().flatten(), member.trickle)
            });
        }
        let mut crowd = Self {
            sockets: Vec::new(),
            trickles: JoinSet::new(),
        };
        for (socket, trickle) in sending.join_all().await {
            match (socket, trickle) {
                (Some(socket), Some(trickle)) => {
                    crowd.trickles.spawn(keep_trickling(socket, trickle));
                }
                (Some(socket), None) => crowd.sockets.push(socket),
                (None, _) => {}
            }
        }
        tokio::time::sleep(STAY).await;
        crowd
    }
}

/// Connects and sends what a member sends; `None` if the node takes no connection.
async fn send(node: SocketAddr, member: &Member) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    if let Some(bytes) = member.receive_buffer_bytes {
        socket.set_recv_buffer_size(bytes).ok()?;
    }
    let mut socket = socket.connect(node).await.ok()?;
    for piece in member.bytes.chunks(member.piece_bytes) {
        if socket.write_all(piece).await.is_err() {
            break;
        }
    }
    Some(socket)
}

async fn keep_trickling(mut socket: TcpStream, trickle: Trickle) {
    while socket.write_all(&[trickle.byte]).await.is_ok() {
        tokio::time::sleep(trickle.pause).await;
    }
}
