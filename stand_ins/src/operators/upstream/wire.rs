//! The bytes of an upstream's channel.

use std::io;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

#[derive(Debug)]
pub(super) struct Received {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Received {
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

pub(super) fn reset(socket: TcpStream) -> io::Result<()> {
    // Closing with nothing to linger for sends a reset.
    socket.set_zero_linger()?;
    drop(socket);
    Ok(())
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
