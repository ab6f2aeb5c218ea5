//! A caller: one request on a channel of its own, and what came back, byte by byte.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// What a caller asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    /// The method.
    pub method: &'static str,
    /// The host.
    pub host: String,
    /// The path.
    pub path: String,
    /// Names this attempt.
    pub id: String,
    /// The key.
    pub key: String,
    /// How long it waits.
    pub deadline_ms: u64,
    /// The body.
    pub body: String,
    /// Further header lines, each with its line end.
    pub extra: String,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It got an answer whose end it could see.
    Whole {
        /// The status.
        status: u16,
        /// The head's lines.
        head: String,
        /// The body.
        body: String,
    },
    /// The channel ended, or its time, before the end of an answer.
    Cut {
        /// What had come.
        received: String,
    },
    /// The address took no channel.
    Refused,
}

impl Ended {
    /// The status of a whole answer.
    #[must_use]
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Whole { status, .. } => Some(*status),
            _ => None,
        }
    }

    /// The body of a whole answer.
    #[must_use]
    pub fn body(&self) -> &str {
        match self {
            Self::Whole { body, .. } => body,
            Self::Cut { received } => received,
            Self::Refused => "",
        }
    }

    /// The id of the last whole event of a stream that was cut.
    #[must_use]
    pub fn last_event(&self) -> Option<u64> {
        let Self::Cut { received } = self else {
            return None;
        };
        let events = received.split_inclusive("\n\n");
        let whole = events.filter(|event| event.ends_with("\n\n"));
        let ids = whole.filter_map(|event| event.rsplit_once("id: "));
        ids.filter_map(|(_before, id)| id.lines().next()?.parse().ok())
            .last()
    }

    /// Whether the answer says that the request has not run.
    #[must_use]
    pub fn says_not_run(&self) -> bool {
        matches!(self.status(), Some(408 | 421 | 429 | 503))
    }
}

impl Asked {
    /// The same with a prompt of so many tokens, none of which others share.
    #[must_use]
    pub fn with_prompt(self, tokens: u64) -> Self {
        Self {
            extra: format!("{}Model: m\r\nToken-Count: {tokens},20\r\n", self.extra),
            ..self
        }
    }

    /// The request that takes this stream up behind an event, under an id of its own.
    #[must_use]
    pub fn take_up(&self, id: &str, after: u64) -> Self {
        Self {
            id: id.to_owned(),
            extra: format!(
                "{}Resumes: {}\r\nLast-Event-Id: {after}\r\n",
                self.extra, self.id
            ),
            ..self.clone()
        }
    }

    /// The event behind which it takes a stream up; zero if it begins one.
    #[must_use]
    pub fn resumes_after(&self) -> u64 {
        let after = self.extra.split_once("Last-Event-Id: ");
        let after = after.and_then(|(_before, after)| after.lines().next()?.parse().ok());
        after.unwrap_or(0)
    }

    /// The request as it is sent.
    #[must_use]
    pub fn text(&self) -> String {
        let Self {
            method,
            host,
            path,
            id,
            key,
            deadline_ms,
            body,
            extra,
        } = self;
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Attempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\nContent-Length: {}\r\n{extra}\r\n{body}",
            body.len()
        )
    }

    /// Sends the request to a node on a channel of its own and waits for its end.
    pub async fn send(&self, node: SocketAddr) -> Ended {
        self.send_on(&mut Channel::default(), node).await
    }

    /// Sends the request to a node on a kept channel and waits for its end; opens the channel if there is none.
    ///
    /// The channel stays open behind a whole answer, whatever the answer says of it.
    pub async fn send_on(&self, channel: &mut Channel, node: SocketAddr) -> Ended {
        let socket = match channel.socket.take() {
            Some(socket) => Ok(socket),
            None => TcpStream::connect(node).await,
        };
        let Ok(mut socket) = socket else {
            return Ended::Refused;
        };
        let mut received = Vec::new();
        let patience = Duration::from_millis(self.deadline_ms + 500);
        let text = self.text();
        let ended = exchange(&mut socket, &text, &mut received);
        match tokio::time::timeout(patience, ended).await {
            Ok(Ok(Some(ended))) => {
                channel.socket = Some(socket);
                ended
            }
            _ => Ended::Cut {
                received: String::from_utf8_lossy(&received).into_owned(),
            },
        }
    }
}

/// A channel to one node that a caller keeps until the node ends it.
#[derive(Debug, Default)]
pub struct Channel {
    socket: Option<TcpStream>,
}

async fn exchange(
    socket: &mut TcpStream,
    text: &str,
    received: &mut Vec<u8>,
) -> io::Result<Option<Ended>> {
    socket.write_all(text.as_bytes()).await?;
    loop {
        if let Some(ended) = parse(received) {
            return Ok(Some(ended));
        }
        if socket.read_buf(received).await? == 0 {
            return Ok(None);
        }
    }
}

/// Reads an answer, if it is whole.
#[must_use]
pub fn parse(received: &[u8]) -> Option<Ended> {
    let end = received.windows(4).position(|part| part == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&received[..end]).into_owned();
    let mut rest = &received[end + 4..];
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        let found = lines.find(|(given, _value)| given.eq_ignore_ascii_case(name));
        found.map(|(_name, value)| value.to_owned())
    };
    let mut body = Vec::new();
    if let Some(length) = header("content-length") {
        let length: usize = length.parse().ok()?;
        body.extend_from_slice(rest.get(..length)?);
    } else {
        loop {
            let line_end = rest.windows(2).position(|part| part == b"\r\n")?;
            let length = std::str::from_utf8(&rest[..line_end]).ok()?;
            let length = usize::from_str_radix(length, 16).ok()?;
            rest = &rest[line_end + 2..];
            if length == 0 {
                break;
            }
            body.extend_from_slice(rest.get(..length)?);
            rest = rest.get(length + 2..)?;
        }
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    Some(Ended::Whole { status, head, body })
}
