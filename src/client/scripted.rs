//! Nodes that follow a script, for tests.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What nodes were asked, as `METHOD path request-id last-event-id`, over all nodes.
pub type Asked = Arc<Mutex<Vec<String>>>;

/// Starts a node that gives ids away and answers the rest by the script, which gets how many
/// requests came before, over all nodes.
pub async fn node(asked: &Asked, script: fn(usize) -> String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let asked = Arc::clone(asked);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, Arc::clone(&asked), script));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, asked: Asked, script: fn(usize) -> String) {
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    // The body is read as well: closing on unread bytes would reset the connection and lose the
    // answer on its way.
    while !is_whole(&request) {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(length) => request.extend_from_slice(&buffer[..length]),
        }
    }
    let head = String::from_utf8_lossy(&request).into_owned();
    let text = answer_to(&head, &mut asked.lock(), script);
    drop(stream.write_all(text.as_bytes()).await);
    drop(stream.shutdown().await);
}

fn is_whole(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request);
    let Some((head, _)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = field(head, "content-length").parse().unwrap_or(0);
    request.len() >= head.len() + 4 + length
}

fn field<'a>(head: &'a str, name: &str) -> &'a str {
    let mut fields = head.lines().filter_map(|line| line.split_once(": "));
    let found = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
    found.map_or("-", |(_, value)| value)
}

fn answer_to(head: &str, asked: &mut Vec<String>, script: fn(usize) -> String) -> String {
    let line = head.lines().next().unwrap_or_default();
    let line = line.trim_end_matches(" HTTP/1.1");
    let count = asked.len();
    match line.rsplit_once("/v1/entries?ids=") {
        Some((_, "0")) => json("200 OK", r#"{"entries":[],"ttl_ms":0}"#),
        Some(_) => {
            let list = format!("{{\"entries\":[],\"ttl_ms\":0,\"ids\":[\"id-{count}\"]}}");
            json("200 OK", &list)
        }
        None => {
            asked.push(format!(
                "{line} {} {}",
                field(head, "request-id"),
                field(head, "last-event-id")
            ));
            script(count)
        }
    }
}

/// An answer with a JSON body.
pub fn json(status: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nconnection: close\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
}
