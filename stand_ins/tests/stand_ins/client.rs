//! A caller that makes one call per connection.

use std::net::SocketAddr;

use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// An answer that arrived, whole or cut off.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("the answer is JSON")
    }

    /// The tokens of an event stream, put together.
    pub fn text(&self) -> String {
        let data = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        let events = data.map(|data| serde_json::from_str::<Value>(data).expect("JSON"));
        events
            .filter_map(|event| event["token"].as_str().map(str::to_owned))
            .collect()
    }

    /// The closing event of an event stream.
    pub fn last_event(&self) -> Value {
        let (_, data) = self.body.rsplit_once("data: ").expect("an event");
        serde_json::from_str(data).expect("JSON")
    }
}

/// Makes a call; `None` if the connection ends without an answer.
pub async fn call(at: SocketAddr, method: &str, path: &str, body: &str) -> Option<Answer> {
    call_with(at, method, path, "", body).await
}

/// Makes a call with more header lines, each ended by `\r\n`.
pub async fn call_with(
    at: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
) -> Option<Answer> {
    let mut socket = TcpStream::connect(at).await.ok()?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n{headers}\
         Content-Length: {length}\r\n\r\n{body}"
    );
    socket.write_all(request.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    // A reset after part of the answer leaves that part.
    drop(socket.read_to_end(&mut bytes).await);
    parse(&String::from_utf8(bytes).expect("the stand-ins answer in UTF-8"))
}

fn parse(answer: &str) -> Option<Answer> {
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let head = head.to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let is_chunked = head.contains("transfer-encoding: chunked");
    let body = if is_chunked {
        unchunk(body)
    } else {
        body.to_owned()
    };
    Some(Answer { status, head, body })
}

fn unchunk(mut body: &str) -> String {
    let mut whole = String::new();
    while let Some((length, rest)) = body.split_once("\r\n") {
        let length = usize::from_str_radix(length, 16).expect("a chunk's length");
        if length == 0 || rest.len() < length + 2 {
            break;
        }
        whole.push_str(&rest[..length]);
        body = &rest[length + 2..];
    }
    whole
}
