//! A server of a plain service. It follows the users' pages: slots and a short queue, refusals that
//! say so, its own id, an entry in the store, a seal on each answer.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use rand::Rng;
use serde_json::json;
use teaselline_stand_ins::operators::store::Store;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::record::Record;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const DOWN: Duration = Duration::from_millis(3_000);
/// A body with these words crashes the server that begins to run it.
pub const KILLER: &str = "splice 7f: unreadable frame table";

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub server: String,
}

#[derive(Clone, Copy)]
pub struct Shape {
    pub slots: usize,
    pub queue: usize,
    pub work_ms: u64,
}

/// What all servers of a site share.
#[derive(Clone)]
pub struct Shared {
    pub store: Store,
    pub record: Record,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Of these answers a copy is sent again, in the place of the next answer; a share of one.
    pub late_copies: Arc<Mutex<f64>>,
    /// Ids of requests in whose place a copy of an earlier answer came.
    pub displaced: Arc<Mutex<Vec<String>>>,
}

pub struct Server {
    core: Arc<Core>,
}

struct Core {
    shared: Shared,
    service: String,
    zone: String,
    address: Mutex<SocketAddr>,
    id: Mutex<String>,
    seq: AtomicUsize,
    shape: Shape,
    slots: Semaphore,
    held: AtomicUsize,
    is_faulty: AtomicBool,
    /// The share of the requests that it runs whose answers it loses, by a reset of the channel.
    lost_share: Mutex<f64>,
    is_down: AtomicBool,
    /// Whether its machine loses power in a crash: it falls silent, and no channel is closed.
    is_dark: AtomicBool,
    starts: watch::Sender<u64>,
    pub crashes: AtomicUsize,
}

struct Received {
    method: String,
    path: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

impl Server {
    pub async fn start(
        shared: &Shared,
        service: &str,
        zone: &str,
        shape: Shape,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let core = Arc::new(Core {
            shared: shared.clone(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: Mutex::new(listener.local_addr()?),
            id: Mutex::new(new_id()),
            seq: AtomicUsize::new(0),
            shape,
            slots: Semaphore::new(shape.slots),
            held: AtomicUsize::new(0),
            is_faulty: AtomicBool::new(false),
            lost_share: Mutex::new(0.0),
            is_down: AtomicBool::new(false),
            is_dark: AtomicBool::new(false),
            starts: watch::Sender::new(0),
            crashes: AtomicUsize::new(0),
        });
        core.announce();
        tokio::spawn(Arc::clone(&core).beat());
        tokio::spawn(Arc::clone(&core).serve(listener));
        Ok(Self { core })
    }

    /// Has it send some answers twice, the second time late.
    pub fn set_faulty(&self, is_faulty: bool) {
        self.core.is_faulty.store(is_faulty, Ordering::Relaxed);
    }

    /// Has its machine fall silent in a crash.
    pub fn go_dark_in_crashes(&self) {
        self.core.is_dark.store(true, Ordering::Relaxed);
    }

    /// Has it run requests and lose the answers of this share of them.
    pub fn lose_answers(&self, share: f64) {
        *self.core.lost_share.lock() = share;
    }

    pub fn crashes(&self) -> usize {
        self.core.crashes.load(Ordering::Relaxed)
    }
}

impl Core {
    fn announce(&self) {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let value = json!({
            "service": self.service, "address": self.address.lock().to_string(), "zone": self.zone,
            "version": "v1", "slots": self.shape.slots, "state": "ready", "coldRemainingMs": 0, "seq": seq,
        });
        let id = self.id.lock().clone();
        self.shared
            .store
            .put("keyed.servers", &id, &value.to_string());
    }

    async fn beat(self: Arc<Self>) {
        loop {
            tokio::time::sleep(HEARTBEAT).await;
            if !self.is_down.load(Ordering::Relaxed) {
                self.announce();
            }
        }
    }

    async fn serve(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            let start = *self.starts.borrow();
            let mut starts = self.starts.subscribe();
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = starts.wait_for(|now| *now != start) => break,
                };
                if let Ok((socket, _)) = accepted {
                    let _ = socket.set_nodelay(true);
                    tokio::spawn(Arc::clone(&self).channel(socket));
                }
            }
            drop(listener);
            listener = self.come_back().await;
        }
    }

    /// Is down for a while after a crash, then starts with a new id at the same address.
    async fn come_back(&self) -> TcpListener {
        let old = self.id.lock().clone();
        let store = self.shared.store.clone();
        let silent = if self.is_dark.load(Ordering::Relaxed) {
            DOWN
        } else {
            Duration::ZERO
        };
        tokio::spawn(async move {
            // The store removes an entry after three check-in intervals of silence.
            tokio::time::sleep(3 * HEARTBEAT - silent).await;
            store.put("keyed.servers", &old, "");
        });
        if !self.is_dark.load(Ordering::Relaxed) {
            tokio::time::sleep(DOWN).await;
        }
        let address = *self.address.lock();
        let listener = loop {
            let socket = TcpSocket::new_v4().expect("a socket");
            let _ = socket.set_reuseaddr(true);
            if socket.bind(address).is_ok()
                && let Ok(listener) = socket.listen(512)
            {
                break listener;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        *self.id.lock() = new_id();
        self.seq.store(0, Ordering::Relaxed);
        self.is_down.store(false, Ordering::Relaxed);
        self.shared
            .record
            .note(&format!("server {} starts at {address}", self.id.lock()));
        self.announce();
        listener
    }

    async fn channel(self: Arc<Self>, mut socket: TcpStream) {
        let mut starts = self.starts.subscribe();
        let start = *starts.borrow();
        tokio::select! {
            _ = self.requests(&mut socket) => {}
            // The process ends: the operating system resets its channels.
            _ = starts.wait_for(|now| *now != start) => {
                let _ = socket.set_zero_linger();
            }
        }
    }

    async fn requests(&self, socket: &mut TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        // A copy of an earlier answer, to be sent where the next one is expected.
        let mut copy: Option<String> = None;
        while let Some(request) = receive(socket, &mut buffer).await? {
            if let Some(copy) = copy.take()
                && self.is_faulty.load(Ordering::Relaxed)
            {
                let id = request.header("request-attempt-id").to_owned();
                let first = copy.lines().next().unwrap_or_default().to_owned();
                self.shared.record.note(&format!(
                    "server {} sends a second copy of an earlier answer ({first}) where that of {id} is expected",
                    self.id.lock()
                ));
                self.shared.displaced.lock().push(id);
                socket.write_all(copy.as_bytes()).await?;
            }
            let answer = self.answer(&request).await;
            let lost_share = *self.lost_share.lock();
            if answer.contains("Server-Seal") && rand::rng().random_bool(lost_share) {
                let id = request.header("request-attempt-id");
                self.shared.record.note(&format!(
                    "server {} loses the answer of {id} and resets the channel",
                    self.id.lock()
                ));
                return socket.set_zero_linger();
            }
            socket.write_all(answer.as_bytes()).await?;
            let share = *self.shared.late_copies.lock();
            if self.is_faulty.load(Ordering::Relaxed) && rand::rng().random_bool(share) {
                copy = Some(answer);
            }
        }
        Ok(())
    }

    async fn answer(&self, request: &Received) -> String {
        if self.is_down.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        let id = request.header("request-attempt-id");
        let own = self.id.lock().clone();
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != own {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nRequest-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        if request.path == "/health" {
            return format!("HTTP/1.1 200 OK\r\nInstance-Id: {own}\r\nContent-Length: 0\r\n\r\n");
        }
        let held = self.held.fetch_add(1, Ordering::SeqCst);
        let _held = Held(&self.held);
        if held >= self.shape.slots + self.shape.queue {
            return format!(
                "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        let _slot = self.slots.acquire().await;
        self.shared.record.note(&format!("server {own} runs {id}"));
        self.shared.runs.lock().push(Run {
            request: id.to_owned(),
            server: own.clone(),
        });
        tokio::time::sleep(Duration::from_millis(self.shape.work_ms)).await;
        if request
            .body
            .windows(KILLER.len())
            .any(|part| part == KILLER.as_bytes())
        {
            self.crash(&own, id);
            std::future::pending::<()>().await;
        }
        if !request.header("prompt-prefix").is_empty() {
            return stream(&own, id);
        }
        let body = format!("{} {} for {id}", request.method, request.path);
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: {id}\r\nServer-Seal: 3e1b.{own}\r\nKeep-Alive: timeout=5\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    fn crash(&self, own: &str, id: &str) {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        self.crashes.fetch_add(1, Ordering::Relaxed);
        self.shared
            .record
            .note(&format!("server {own} crashes under {id}"));
        let starts = self.starts.clone();
        let silence = if self.is_dark.load(Ordering::Relaxed) {
            DOWN
        } else {
            Duration::ZERO
        };
        tokio::spawn(async move {
            tokio::time::sleep(silence).await;
            starts.send_modify(|start| *start += 1);
        });
    }
}

struct Held<'a>(&'a AtomicUsize);

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Received {
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// A whole stream of three events.
fn stream(own: &str, id: &str) -> String {
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: {id}\r\nServer-Seal: 3e1b.{own}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let events = (1..=3).map(|event| format!("id: {event}\ndata: {event} of {id}\n\n"));
    let chunks: String = events
        .map(|event| format!("{:x}\r\n{event}\r\n", event.len()))
        .collect();
    format!("{head}{chunks}0\r\n\r\n")
}

fn new_id() -> String {
    format!("i-{:010x}", rand::rng().random::<u64>() & 0xff_ffff_ffff)
}

async fn receive(socket: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Received>> {
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
    let mut first = lines
        .next()
        .unwrap_or_default()
        .split(' ')
        .map(str::to_owned);
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    while buffer.len() < length {
        if socket.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
    let body = buffer.drain(..length).collect();
    Ok(Some(Received {
        method: first.next().unwrap_or_default(),
        path: first.next().unwrap_or_default(),
        headers,
        body,
    }))
}
