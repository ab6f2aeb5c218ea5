//! Calls over raw sockets, so that the measuring side costs next to nothing.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::document::{FLEET_KEY, MODEL, TEAM_TOKEN};
use crate::experiments::Failure;

/// Room for what one read takes in.
const READ_BYTES: usize = 64 * 1024;

/// The last chunk of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// What the first token's event holds.
const TOKEN_EVENT: &[u8] = b"event: token";

/// What a whole stream's last event holds.
const DONE_EVENT: &[u8] = b"event: done";

/// A stream to ask for.
#[derive(Clone, Debug)]
pub struct StreamCall {
    /// Its prompt.
    pub prompt: String,
    /// Its length.
    pub max_tokens: u64,
}

/// How a stream went.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    /// From the call to the first token.
    pub first_token: Duration,
}

/// A connection that carries one stream after the other.
#[derive(Debug)]
pub struct Connection {
    socket: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Connects.
    pub async fn to(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        Ok(Self {
            socket,
            buffer: vec![0; READ_BYTES],
        })
    }

    /// Sends a call and reads its stream to the end.
    pub async fn stream(&mut self, request: &[u8]) -> Result<Seen, Failure> {
        let start = Instant::now();
        self.socket.write_all(request).await?;
        let mut first_token = None;
        let mut held = 0;
        loop {
            let read = self.socket.read(&mut self.buffer[held..]).await?;
            if read == 0 {
                return Err(Failure::Broken);
            }
            held += read;
            let seen = &self.buffer[..held];
            if first_token.is_none() && contains(seen, TOKEN_EVENT) {
                first_token = Some(start.elapsed());
            }
            if seen.ends_with(LAST_CHUNK) {
                let is_whole = contains(&seen[held.saturating_sub(512)..], DONE_EVENT);
                let first_token = first_token.filter(|_| is_whole).ok_or(Failure::Broken)?;
                return Ok(Seen { first_token });
            }
            // The tail may be the beginning of what is looked for.
            let tail = if first_token.is_some() {
                held.min(512)
            } else {
                held
            };
            self.buffer.copy_within(held - tail..held, 0);
            held = tail;
        }
    }
}

/// A streamed completion, as callers ask a node for it.
pub fn node_request(call: &StreamCall) -> Vec<u8> {
    let body = json!({
        "model": MODEL, "prompt": call.prompt, "max_tokens": call.max_tokens, "stream": true
    });
    let head = format!("authorization: Bearer {TEAM_TOKEN}\r\n");
    request("POST", "/v1/completions", &head, &body.to_string())
}

/// The same stream, as nodes ask an engine for it.
pub fn engine_request(call: &StreamCall, attempt: &str) -> Vec<u8> {
    let body = json!({
        "attempt": attempt, "model": MODEL, "prompt": call.prompt, "prefix": "", "position": 0,
        "max_tokens": call.max_tokens, "priority": 8, "seed": 1
    });
    request("POST", "/v1/streams", "", &body.to_string())
}

/// Makes one call of an operator and gives the body of its answer.
pub async fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> Result<String, Failure> {
    let head = format!("authorization: Bearer {FLEET_KEY}\r\nconnection: close\r\n");
    let mut socket = TcpStream::connect(to).await?;
    socket
        .write_all(&request(method, path, &head, body))
        .await?;
    let mut answer = String::new();
    socket.read_to_string(&mut answer).await?;
    match answer.split_once("\r\n\r\n") {
        Some((head, body)) if head.starts_with("HTTP/1.1 200") => Ok(body.to_owned()),
        Some((head, body)) => Err(Failure::Refused {
            status: head.lines().next().unwrap_or_default().to_owned(),
            body: body.to_owned(),
        }),
        None => Err(Failure::Broken),
    }
}

fn request(method: &str, path: &str, head: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: node\r\ncontent-type: application/json\r\n{head}\
         content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

fn contains(bytes: &[u8], part: &[u8]) -> bool {
    bytes.windows(part.len()).any(|window| window == part)
}
