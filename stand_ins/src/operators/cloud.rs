//! The interface for duties: it notes every call and refuses lower fencing tokens.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::Full;
use parking_lot::Mutex;
use serde::Deserialize;

use crate::server::{Answer, Call, Handler, Server, empty, now_ms};

/// A call that was made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Made {
    /// When, in Unix milliseconds.
    pub at_ms: u64,
    /// The name of the node.
    pub holder: String,
    /// Its fencing token.
    pub token: u64,
    /// What it asked for.
    pub duty: Duty,
    /// Whether it was accepted.
    pub is_accepted: bool,
}

/// What a call asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Duty {
    /// The usage of one window by team.
    Usage {
        /// The window.
        window: u64,
        /// Requests by team.
        counts: BTreeMap<String, u64>,
    },
    /// Upstreams.
    Scale {
        /// Where.
        zone: String,
        /// How many.
        desired: u32,
        /// Of which kind.
        spot: bool,
    },
}

#[derive(Deserialize)]
struct RawUsage {
    window: u64,
    counts: BTreeMap<String, u64>,
}

#[derive(Deserialize)]
struct RawScale {
    zone: String,
    desired: u32,
    #[serde(default)]
    spot: bool,
}

/// The interface; dropping it closes it.
#[derive(Debug)]
pub struct Cloud {
    server: Server,
    calls: Arc<Mutex<Vec<Made>>>,
}

#[derive(Debug)]
struct Behind {
    calls: Arc<Mutex<Vec<Made>>>,
}

impl Cloud {
    /// Starts the interface.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub fn start() -> io::Result<Self> {
        let calls = Arc::new(Mutex::new(Vec::new()));
        let behind = Behind {
            calls: Arc::clone(&calls),
        };
        let server = Server::start(([127, 0, 0, 1], 0).into(), Arc::new(behind))?;
        Ok(Self { server, calls })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// All calls so far, in order.
    #[must_use]
    pub fn calls(&self) -> Vec<Made> {
        self.calls.lock().clone()
    }

    /// Accepted reports by window, each with its different counts.
    #[must_use]
    pub fn reports(&self) -> BTreeMap<u64, Vec<BTreeMap<String, u64>>> {
        let mut reports: BTreeMap<u64, Vec<_>> = BTreeMap::new();
        for call in self.calls.lock().iter().filter(|call| call.is_accepted) {
            if let Duty::Usage { window, counts } = &call.duty {
                let different = reports.entry(*window).or_default();
                if !different.contains(counts) {
                    different.push(counts.clone());
                }
            }
        }
        reports
    }
}

impl Handler for Behind {
    type Body = Full<Bytes>;

    async fn handle(&self, call: Call) -> Answer {
        let header = |name: &str| {
            let value = call.head.headers.get(name);
            let value = value.and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let (holder, token) = (header("duty-holder"), header("fencing-token"));
        let (Ok(token), (_method, path)) = (token.parse(), call.route()) else {
            return Ok(empty(StatusCode::BAD_REQUEST));
        };
        let duty = match path.as_slice() {
            ["usage"] => call.json::<RawUsage>().map(|raw| Duty::Usage {
                window: raw.window,
                counts: raw.counts,
            }),
            _ => call.json::<RawScale>().map(|raw| Duty::Scale {
                zone: raw.zone,
                desired: raw.desired,
                spot: raw.spot,
            }),
        };
        let duty = match duty {
            Ok(duty) => duty,
            Err(fault) => return Ok(fault.answer()),
        };
        let mut calls = self.calls.lock();
        let subject = |duty: &Duty| match duty {
            Duty::Usage { .. } => String::from("usage"),
            Duty::Scale { zone, .. } => zone.clone(),
        };
        let highest = (calls.iter())
            .filter(|made| subject(&made.duty) == subject(&duty))
            .map(|made| made.token)
            .max();
        let is_accepted = highest.is_none_or(|highest| token >= highest);
        calls.push(Made {
            at_ms: now_ms(),
            holder,
            token,
            duty,
            is_accepted,
        });
        Ok(empty(if is_accepted {
            StatusCode::OK
        } else {
            StatusCode::CONFLICT
        }))
    }
}
