//! A fleet of real processes over stand-ins, and a plain HTTP caller.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use parking_lot::Mutex;
use serde_json::{Value, json};
use teaselline::client::http::{BufferedResponse, HttpClient, HttpError};
use teaselline::document::Document;
use teaselline_stand_ins::operators::HostLimits;
use teaselline_stand_ins::site::Site;

use super::deployment::site_settings;
use super::process::{Launch, Process};
use super::trial;

/// How long a fleet may take to be ready on a busy machine.
const READY_TRIES: u32 = 1_200;

/// Pause between two looks at whether it is.
const READY_PAUSE: Duration = Duration::from_millis(50);

/// How long a node may take for an answer in set-up.
const ASK_PATIENCE_MS: u64 = 30_000;

/// Numbers the fleets of this process.
static FLEETS: AtomicU16 = AtomicU16::new(0);

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// The binary of the nodes.
    pub binary: PathBuf,
    /// Nodes, in failure domains in turn.
    pub nodes: usize,
    /// The deadline of calls.
    pub deadline_ms: u64,
    /// How long a call to a plain service may take.
    pub service_timeout_ms: u64,
    /// How long a planned stop may take.
    pub drain_timeout_ms: u64,
    /// What each node's host allows; otherwise nodes are started with the defaults.
    pub host: Option<HostLimits>,
    /// Further settings of each node, as names and values of its environment.
    pub environment: &'static [(&'static str, &'static str)],
}

impl FleetSettings {
    /// Three nodes of this binary.
    pub fn new(binary: impl Into<PathBuf>) -> Self {
        Self {
            binary: binary.into(),
            nodes: 3,
            deadline_ms: 10_000,
            service_timeout_ms: trial::SERVICE_TIMEOUT_MS,
            drain_timeout_ms: 10_000,
            host: None,
            environment: &[],
        }
    }
}

/// Nodes in processes of their own, over stand-ins in this process.
#[derive(Debug)]
pub struct Fleet {
    /// The stand-ins.
    pub site: Site,
    /// The key by which its nodes know each other.
    pub key: String,
    settings: FleetSettings,
    ip: Ipv4Addr,
    nodes: Mutex<Vec<Arc<Process>>>,
}

impl Fleet {
    /// Starts a fleet and waits until each node knows the document, the others and all hosts.
    ///
    /// # Errors
    ///
    /// If a part cannot be started or the fleet does not get ready.
    pub async fn start(settings: FleetSettings) -> io::Result<Self> {
        let text = trial::document_with(settings.deadline_ms, settings.service_timeout_ms);
        let document = Document::parse(&text).map_err(io::Error::other)?;
        let site = Site::start(site_settings(&document)).await?;
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let ip = own_ip(number);
        let fleet = Self {
            site,
            // Another fleet may get an address that a node of this one had; it is not to join it.
            key: format!("a fleet key for trials at {ip} only"),
            ip,
            settings,
            nodes: Mutex::default(),
        };
        for index in 0..fleet.settings.nodes {
            fleet.start_node(index).await?;
        }
        fleet.configure(&text).await?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Starts the `index`th node, in place of one that has ended if there was one.
    ///
    /// # Errors
    ///
    /// If the process cannot be started.
    pub async fn start_node(&self, index: usize) -> io::Result<Arc<Process>> {
        let seeds: Vec<_> = self.nodes().iter().map(|node| node.heartbeats).collect();
        let process = Arc::new(self.launch(index, &seeds).await?);
        let mut nodes = self.nodes.lock();
        match nodes.get_mut(index) {
            Some(place) => *place = Arc::clone(&process),
            None => nodes.push(Arc::clone(&process)),
        }
        Ok(process)
    }

    /// Starts a node that knows of no other and is not one of the fleet's nodes here.
    ///
    /// # Errors
    ///
    /// If the process cannot be started.
    pub async fn start_apart(&self) -> io::Result<Process> {
        self.launch(self.settings.nodes, &[]).await
    }

    async fn launch(&self, index: usize, seeds: &[SocketAddr]) -> io::Result<Process> {
        let launch = Launch {
            binary: &self.settings.binary,
            ip: self.ip,
            fleet_key: &self.key,
            site: &self.site,
            index,
            seeds,
            drain_timeout_ms: self.settings.drain_timeout_ms,
            host: self.settings.host,
            environment: self.settings.environment,
        };
        Process::start(&launch).await
    }

    /// The nodes of the moment.
    pub fn nodes(&self) -> Vec<Arc<Process>> {
        self.nodes.lock().clone()
    }

    /// One of the nodes of the moment.
    pub fn node(&self, index: usize) -> Arc<Process> {
        Arc::clone(&self.nodes.lock()[index])
    }

    async fn configure(&self, document: &str) -> io::Result<()> {
        let document: Value = serde_json::from_str(document).map_err(io::Error::other)?;
        let body = json!({ "base_revision": 0, "document": document }).to_string();
        let client = Client::new(self.key.clone());
        let answer = client
            .send(
                Method::POST,
                self.node(0).callers,
                "/v1/configuration",
                &[],
                body,
            )
            .await
            .map_err(io::Error::other)?;
        if answer.status.is_success() {
            return Ok(());
        }
        let refusal = String::from_utf8_lossy(&answer.body).into_owned();
        Err(io::Error::other(refusal))
    }

    /// Waits until each node that runs knows the document, the others and all hosts.
    ///
    /// # Errors
    ///
    /// If that does not come about.
    pub async fn wait_until_ready(&self) -> io::Result<()> {
        let client = Client::new(trial::OPERATOR_TOKEN);
        for _try in 0..READY_TRIES {
            let nodes = self.nodes();
            let mut ready = true;
            for node in &nodes {
                let status = client.get(node.callers, "/v1/status").await;
                ready &= status.is_ok_and(|status| self.is_ready(&status, nodes.len()));
            }
            if ready {
                return Ok(());
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    fn is_ready(&self, status: &BufferedResponse, nodes: usize) -> bool {
        let status: Value = serde_json::from_slice(&status.body).unwrap_or_default();
        let members = status["nodes"].as_array().map_or(&[][..], Vec::as_slice);
        let alive = members.iter().filter(|member| member["state"] == "alive");
        let hosts = status["upstreams"].as_array().map_or(0, Vec::len);
        status["revision"].as_u64() > Some(0)
            && alive.count() >= nodes
            && hosts >= self.site.upstreams().len()
    }
}

/// A loopback address for one fleet.
///
/// On one address for all, the port of a node that was killed soon belongs to a node or a stand-in
/// of another fleet, and callers that still use it get that one's answers.
fn own_ip(number: u16) -> Ipv4Addr {
    let [.., process] = std::process::id().to_be_bytes();
    let [high, low] = number.to_be_bytes();
    Ipv4Addr::new(127, process.max(1), high, low.saturating_add(1))
}

/// Sends single requests to single nodes.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient,
    token: String,
    patience_ms: u64,
}

impl Client {
    /// A client with this token.
    pub fn new(token: impl Into<String>) -> Self {
        Self {
            http: HttpClient::new(),
            token: token.into(),
            patience_ms: ASK_PATIENCE_MS,
        }
    }

    /// Waits so long for a head and for a body.
    pub fn with_patience_ms(mut self, patience_ms: u64) -> Self {
        self.patience_ms = patience_ms;
        self
    }

    /// `GET path` at a node.
    pub async fn get(&self, at: SocketAddr, path: &str) -> Result<BufferedResponse, HttpError> {
        self.send(Method::GET, at, path, &[], "").await
    }

    /// One request to one node.
    pub async fn send(
        &self,
        method: Method,
        at: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<BufferedResponse, HttpError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{at}{path}"))
            .header("authorization", format!("Bearer {}", self.token));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into()))?;
        self.http.fetch(request, self.patience_ms).await
    }

    /// An id that this node mints, with itself as home.
    pub async fn id(&self, at: SocketAddr) -> Option<String> {
        let answer = self.get(at, "/v1/entries?ids=1").await.ok()?;
        let entries: Value = serde_json::from_slice(&answer.body).ok()?;
        Some(entries["ids"][0].as_str()?.to_owned())
    }
}
