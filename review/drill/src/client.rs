//! A caller that follows the users' pages.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::site::{HOST, KEY};

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The status, if an answer came whole.
    pub status: Option<u16>,
    /// Whether the node closes the channel behind the answer.
    closes: bool,
}

pub struct Ask<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub body: &'a str,
    pub deadline_ms: u64,
    /// Further header lines, each with its line end.
    pub extra: &'a str,
}

impl Ask<'_> {
    fn text(&self) -> String {
        let Self {
            method,
            path,
            id,
            body,
            deadline_ms,
            extra,
        } = self;
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Attempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n{extra}\r\n{body}",
            body.len()
        )
    }

    /// Sends the request on a new channel and waits for its end.
    pub async fn send(&self, node: SocketAddr) -> Ended {
        self.send_on(&mut None, node).await
    }

    /// Sends the request on a kept channel, or on a new one where there is none.
    pub async fn send_on(&self, kept: &mut Option<TcpStream>, node: SocketAddr) -> Ended {
        let lost = Ended {
            status: None,
            closes: true,
        };
        let patience = Duration::from_millis(self.deadline_ms + 200);
        let channel = kept.take();
        let exchange = async {
            let mut socket = match channel {
                Some(socket) => socket,
                None => TcpStream::connect(node).await.ok()?,
            };
            socket.write_all(self.text().as_bytes()).await.ok()?;
            let ended = read_answer(&mut socket).await?;
            Some((ended, socket))
        };
        match tokio::time::timeout(patience, exchange).await {
            Ok(Some((ended, socket))) => {
                *kept = (!ended.closes).then_some(socket);
                ended
            }
            _ => lost,
        }
    }
}

pub async fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let exchange = async {
        let mut socket = TcpStream::connect(address).await.ok()?;
        let text = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        socket.write_all(text.as_bytes()).await.ok()?;
        read_answer(&mut socket).await?.status
    };
    tokio::time::timeout(Duration::from_secs(1), exchange)
        .await
        .ok()
        .flatten()
}

async fn read_answer(socket: &mut TcpStream) -> Option<Ended> {
    let mut received = Vec::new();
    loop {
        if let Some(ended) = parse(&received) {
            return Some(ended);
        }
        if socket.read_buf(&mut received).await.ok()? == 0 {
            return None;
        }
    }
}

fn parse(received: &[u8]) -> Option<Ended> {
    let end = received.windows(4).position(|part| part == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&received[..end]).to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut rest = &received[end + 4..];
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let mut body = Vec::new();
    if let Some(length) = length {
        body.extend_from_slice(rest.get(..length.trim().parse().ok()?)?);
    } else {
        loop {
            let line = rest.windows(2).position(|part| part == b"\r\n")?;
            let length =
                usize::from_str_radix(std::str::from_utf8(&rest[..line]).ok()?, 16).ok()?;
            rest = &rest[line + 2..];
            if length == 0 {
                break;
            }
            body.extend_from_slice(rest.get(..length)?);
            rest = rest.get(length + 2..)?;
        }
    }
    Some(Ended {
        status: Some(status),
        closes: head.contains("connection: close"),
    })
}
