//! The bytes of an upstream's channel.

use std::io;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::ChannelEnd;

/// What becomes of a channel after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum After {
    /// It takes the next request.
    Stays,
    /// The same; the upstream was full and did not run the last one.
    Refused,
    /// It ends.
    Ends(ChannelEnd),
}

#[derive(Debug)]
pub(super) struct Received {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Received {
    /// The ids of its prompt's parts.
    pub fn parts(&self) -> Vec<String> {
        let parts = self.header("prompt-prefix").unwrap_or_default().split(',');
        let ids = parts.filter_map(|part| part.split_once(':'));
        ids.map(|(id, _tokens)| id.trim().to_owned()).collect()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(given, _value)| given.eq_ignore_ascii_case(name))
            .map(|(_name, value)| value.as_str())
    }
}

/// A line of a head; nothing without a value.
pub(super) fn line(name: &str, value: Option<&str>) -> String {
    value.map_or_else(String::new, |value| format!("{name}: {value}\r\n"))
}

pub(super) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Reads one request; none at the end of the channel.
pub(super) async fn receive(
    socket: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<Received>> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            break end;
        }
        if socket.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.lines();
    let mut first = lines.next().unwrap_or_default().split(' ');
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
        .collect();
    let mut request = Received {
        method: first.next().unwrap_or_default().to_owned(),
        path: first.next().unwrap_or_default().to_owned(),
        headers,
        body: Vec::new(),
    };
    let length = request
        .header("content-length")
        .and_then(|text| text.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < length {
        if socket.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
    request.body = buffer.drain(..length).collect();
    Ok(Some(request))
}
