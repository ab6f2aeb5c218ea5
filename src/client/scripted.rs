//! Scripted nodes for tests of clients.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Requests received by all nodes of a test, as `METHOD path request-id last-event-id`.
pub type RequestLog = Arc<Mutex<Vec<String>>>;

/// Starts a node and returns its address.
///
/// The node issues request ids by itself; for other requests it sends the response that the script
/// returns for the number of earlier requests to all nodes.
pub async fn start_node(requests: &RequestLog, script: fn(usize) -> String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let requests = Arc::clone(requests);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, Arc::clone(&requests), script));
        }
    });
    address
}

async fn respond(mut stream: TcpStream, requests: RequestLog, script: fn(usize) -> String) {
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    // The body must be read too: closing a socket with unread bytes resets the connection, and the
    // client would lose the response.
    while !is_complete(&request) {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(length) => request.extend_from_slice(&buffer[..length]),
        }
    }
    let head = String::from_utf8_lossy(&request).into_owned();
    let text = response_to(&head, &mut requests.lock(), script);
    drop(stream.write_all(text.as_bytes()).await);
    drop(stream.shutdown().await);
}

/// Whether the head and the body of a request have been received.
fn is_complete(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request);
    let Some((head, _)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = header(head, "content-length").parse().unwrap_or(0);
    request.len() >= head.len() + 4 + length
}

/// Value of a header, or `-`.
fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let mut fields = head.lines().filter_map(|line| line.split_once(": "));
    let found = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
    found.map_or("-", |(_, value)| value)
}

fn response_to(head: &str, requests: &mut Vec<String>, script: fn(usize) -> String) -> String {
    let line = head.lines().next().unwrap_or_default();
    let line = line.trim_end_matches(" HTTP/1.1");
    let count = requests.len();
    match line.rsplit_once("/v1/entries?ids=") {
        Some((_, "0")) => json("200 OK", r#"{"entries":[],"ttl_ms":0}"#),
        Some(_) => {
            let list = format!("{{\"entries\":[],\"ttl_ms\":0,\"ids\":[\"id-{count}\"]}}");
            json("200 OK", &list)
        }
        None => {
            requests.push(format!(
                "{line} {} {}",
                header(head, "request-id"),
                header(head, "last-event-id")
            ));
            script(count)
        }
    }
}

/// A response with a JSON body.
pub fn json(status: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nconnection: close\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
}
