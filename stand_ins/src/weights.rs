//! The weight store: tickets for loading a model, at a limited rate.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use bytes::Bytes;
use http::StatusCode;
use http_body_util::Full;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::json;

use crate::{
    rate::Bucket,
    server::{self, Answer, Call, Handler, Server, error, ok},
};

/// What a weight store is like.
#[derive(Clone, Debug)]
pub struct WeightsSettings {
    /// Where to listen; port 0 takes a free one.
    pub address: SocketAddr,
    /// Tickets per second; more get `429`.
    pub tickets_per_second: f64,
    /// Tickets that may be asked for at once.
    pub burst: f64,
}

impl Default for WeightsSettings {
    fn default() -> Self {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            address,
            tickets_per_second: 2.0,
            burst: 4.0,
        }
    }
}

/// A ticket that was given.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Ticket {
    /// The model.
    pub model: String,
    /// Its version.
    pub version: String,
    /// The host that loads it.
    pub host: String,
    /// When the loading may start.
    #[serde(skip)]
    pub start_at_ms: u64,
}

/// A running weight store.
#[derive(Debug)]
pub struct Weights {
    server: Server,
    desk: Arc<Desk>,
}

#[derive(Debug)]
struct Desk {
    bucket: Mutex<Bucket>,
    tickets: Mutex<Vec<Ticket>>,
}

impl Weights {
    /// Starts a weight store.
    ///
    /// # Errors
    ///
    /// If its address cannot be listened on.
    #[expect(
        clippy::unused_async,
        reason = "it needs a running runtime, which async callers have"
    )]
    pub async fn start(settings: WeightsSettings) -> io::Result<Self> {
        let bucket = Bucket::new(settings.tickets_per_second, settings.burst);
        let desk = Arc::new(Desk {
            bucket: Mutex::new(bucket),
            tickets: Mutex::default(),
        });
        let server = Server::start(settings.address, Arc::clone(&desk))?;
        Ok(Self { server, desk })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the rate.
    pub fn set_rate(&self, tickets_per_second: f64, burst: f64) {
        self.desk.bucket.lock().set(tickets_per_second, burst);
    }

    /// Every ticket that was given.
    #[must_use]
    pub fn tickets(&self) -> Vec<Ticket> {
        self.desk.tickets.lock().clone()
    }
}

impl Handler for Desk {
    type Body = Full<Bytes>;

    async fn handle(&self, call: Call) -> Answer {
        match call.route() {
            ("POST", path) if path == ["v1", "tickets"] => {}
            _ => return Ok(error(StatusCode::NOT_FOUND, "unknown_path")),
        }
        let ticket: Ticket = match call.json() {
            Ok(ticket) => ticket,
            Err(malformed) => return Ok(malformed.answer()),
        };
        if let Err(retry_after_ms) = self.bucket.lock().take() {
            let answer = json!({ "retry_after_ms": retry_after_ms });
            return Ok(server::json(StatusCode::TOO_MANY_REQUESTS, &answer));
        }
        let start_at_ms = crate::now_ms();
        let mut tickets = self.tickets.lock();
        tickets.push(Ticket {
            start_at_ms,
            ..ticket
        });
        let number = tickets.len();
        Ok(ok(
            &json!({ "ticket": format!("t-{number}"), "start_at_ms": start_at_ms }),
        ))
    }
}
