//! A peer that speaks HTTP/2 frame by frame, to end connections in ways that `h2` offers no call for.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const PREFACE_BYTES: usize = 24;
const HEAD_BYTES: usize = 9;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const ACK: u8 = 1;
const EMPTY_SETTINGS: [u8; HEAD_BYTES] = [0, 0, 0, SETTINGS, 0, 0, 0, 0, 0];
const SETTINGS_ACK: [u8; HEAD_BYTES] = [0, 0, 0, SETTINGS, ACK, 0, 0, 0, 0];

/// How the peer ends the connection or the stream on which its first request arrives.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Ending {
    /// Says that it has read no stream above this one, and closes the connection.
    GoAway { last_stream: u8 },
    /// Refuses the stream.
    RefusedStream,
    /// Closes the connection without a word.
    Closed,
}

impl Ending {
    fn frame(self) -> Vec<u8> {
        match self {
            Self::GoAway { last_stream } => {
                vec![0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, last_stream, 0, 0, 0, 0]
            }
            Self::RefusedStream => vec![0, 0, 4, 3, 0, 0, 0, 0, 1, 0, 0, 0, 7],
            Self::Closed => Vec::new(),
        }
    }
}

/// Answers settings and pings until the first request, to which it answers with `ending`.
pub(crate) async fn end_at_first_request(mut socket: TcpStream, ending: Ending) {
    let mut preface = [0; PREFACE_BYTES];
    socket.read_exact(&mut preface).await.expect("a preface");
    socket.write_all(&EMPTY_SETTINGS).await.expect("it is sent");
    loop {
        let mut head = [0; HEAD_BYTES];
        if socket.read_exact(&mut head).await.is_err() {
            return;
        }
        let mut payload = vec![0; usize::from(head[1]) * 256 + usize::from(head[2])];
        socket.read_exact(&mut payload).await.expect("a payload");
        let answer = match (head[3], head[4]) {
            (SETTINGS, 0) => SETTINGS_ACK.to_vec(),
            (PING, 0) => [&[0, 0, 8, PING, ACK, 0, 0, 0, 0], payload.as_slice()].concat(),
            (HEADERS, _) => break,
            _ => continue,
        };
        socket.write_all(&answer).await.expect("it is sent");
    }
    let _ = socket.write_all(&ending.frame()).await;
    let _ = socket.shutdown().await;
    // Unread bytes would reset the connection before the other side has read the frame.
    let mut rest = Vec::new();
    let _ = socket.read_to_end(&mut rest).await;
}

/// Passes the bytes of a connection on to `to` and back.
pub(crate) async fn pass_on(mut socket: TcpStream, to: SocketAddr) {
    let mut node = TcpStream::connect(to).await.expect("the node listens");
    let _ = tokio::io::copy_bidirectional(&mut socket, &mut node).await;
}
