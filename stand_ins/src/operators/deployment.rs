//! A small installation: the store, the interface for duties, upstreams, and nodes as processes.

use std::io;
use std::net::Ipv4Addr;
use std::path::Path;
use std::process;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::{Value, json};
use tempfile::TempDir;

use super::caller::{Asked, Ended};
use super::cloud::Cloud;
use super::node::{HostLimits, Launch, Node};
use super::store::{Door, OpenDoor, Store};
use super::upstream::{Run, Upstream, UpstreamSettings, is_misfit};
use crate::proxy::{ProxySettings, TcpProxy};

/// The host that callers name.
pub const HOST: &str = "films.example";
/// The key of the first team, and that of the second.
pub const KEYS: [&str; 2] = ["key-archive", "key-studio"];
/// The names of the teams.
pub const TEAMS: [&str; 2] = ["archive", "studio"];
/// The names of further teams, with one limit each, in requests a second; the burst is that of one second.
pub const LIMITED_TEAMS: [&str; 3] = ["half", "full", "far"];
pub(super) const LIMIT_PER_S: f64 = 20.0;

/// The window in which operators measure limits, and what they tolerate beyond one: a fraction of it and some requests.
pub(super) const QUOTA_WINDOW_S: f64 = 4.0;
pub(super) const QUOTA_OVERSHOOT: f64 = 0.1;
pub(super) const QUOTA_SLACK: f64 = 20.0;

/// Between two looks whether something has come about.
const LOOK: Duration = Duration::from_millis(20);

/// How long a node may take until it is ready on a busy machine.
const READY_PATIENCE: Duration = Duration::from_secs(30);

/// Sets installations of one test process apart.
static INSTALLATIONS: AtomicU16 = AtomicU16::new(0);

/// The installation; dropping it ends all of it.
#[derive(Debug)]
pub struct Deployment {
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The store's door for each node.
    pub doors: Vec<OpenDoor>,
    /// Proxies between each node and its door, if there are any.
    pub store_proxies: Vec<TcpProxy>,
    /// Proxies between callers and each node, if there are any.
    pub caller_proxies: Vec<TcpProxy>,
    /// Proxies before upstreams by their ids, if there are any.
    pub upstream_proxies: Vec<(String, TcpProxy)>,
    /// The store.
    pub store: Store,
    /// The interface for duties.
    pub cloud: Cloud,
    /// Upstreams of both services.
    pub upstreams: Vec<Upstream>,
    /// What upstreams have run.
    pub runs: Arc<Mutex<Vec<Run>>>,
    is_proxied: bool,
    folder: TempDir,
}

/// What an installation is made of.
#[derive(Clone, Debug)]
pub struct DeploymentSettings<'a> {
    /// The program.
    pub binary: &'a Path,
    /// Nodes.
    pub nodes: usize,
    /// Upstreams of each service.
    pub upstreams: usize,
    /// The grace of a planned stop, in seconds.
    pub grace_s: u64,
    /// Windows of usage, in seconds.
    pub usage_window_s: f64,
    /// Limits of teams are measured over a window; otherwise nodes know rates and bursts alone.
    pub has_quota_window: bool,
    /// Leads what nodes say to the store, to upstreams and to callers through proxies.
    pub is_proxied: bool,
    /// What each node's host allows; otherwise the settings do not say so.
    pub host: Option<HostLimits>,
}

impl Deployment {
    /// Starts an installation and waits until all nodes are ready.
    ///
    /// # Errors
    ///
    /// If a part of it cannot be started or a node does not become ready.
    pub async fn start(settings: DeploymentSettings<'_>) -> io::Result<Self> {
        let folder = tempfile::tempdir()?;
        let store = Store::default();
        store.put("keyed.op", "config", &document(1).to_string());
        let cloud = Cloud::start()?;
        let mut deployment = Self {
            nodes: Vec::new(),
            doors: Vec::new(),
            store_proxies: Vec::new(),
            caller_proxies: Vec::new(),
            upstream_proxies: Vec::new(),
            is_proxied: settings.is_proxied,
            store,
            cloud,
            upstreams: Vec::new(),
            runs: Arc::default(),
            folder,
        };
        for place in 0..settings.upstreams {
            deployment
                .add_upstream("desk", &format!("desk-{place}"))
                .await?;
            deployment
                .add_upstream("pool", &format!("pool-{place}"))
                .await?;
        }
        let installation = INSTALLATIONS.fetch_add(1, Ordering::Relaxed);
        for place in 0..settings.nodes {
            let door = deployment.store.open()?;
            let mut store = door.address();
            if settings.is_proxied {
                let proxy = TcpProxy::start(ProxySettings::new(store)).await?;
                store = proxy.address();
                deployment.store_proxies.push(proxy);
            }
            let launch = Launch {
                binary: settings.binary.to_owned(),
                name: format!("node-{place}"),
                ip: address(installation, place),
                zone: format!("zone-{}", place % 2),
                zones: vec![String::from("zone-0"), String::from("zone-1")],
                store,
                cloud: deployment.cloud.address(),
                grace_s: settings.grace_s,
                usage_window_s: settings.usage_window_s,
                has_quota_window: settings.has_quota_window,
                host: settings.host,
                folder: deployment.folder.path().to_owned(),
            };
            deployment.doors.push(door);
            let node = Node::start(launch)?;
            if settings.is_proxied {
                let proxy = TcpProxy::start(ProxySettings::new(node.callers())).await?;
                deployment.caller_proxies.push(proxy);
            }
            deployment.nodes.push(node);
        }
        for place in 0..settings.nodes {
            if !deployment.wait_until_ready(place).await {
                let log = deployment.nodes[place].log().join("\n");
                return Err(io::Error::other(log));
            }
        }
        Ok(deployment)
    }

    /// Starts one more upstream.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn add_upstream(&mut self, service: &str, id: &str) -> io::Result<()> {
        self.add_upstream_of(service, id, "v1").await
    }

    /// Starts one more upstream whose software has this version.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn add_upstream_of(
        &mut self,
        service: &str,
        id: &str,
        version: &str,
    ) -> io::Result<()> {
        let settings = UpstreamSettings {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: format!("zone-{}", self.upstreams.len() / 2 % 2),
            version: version.to_owned(),
        };
        let upstream = Upstream::start(settings, &self.store, &self.runs)?;
        if self.is_proxied {
            let proxy = TcpProxy::start(ProxySettings::new(upstream.address())).await?;
            upstream.announce_as(proxy.address());
            self.upstream_proxies.push((id.to_owned(), proxy));
        }
        self.upstreams.push(upstream);
        Ok(())
    }

    /// Has all doors of the store behave so from the next call on.
    pub fn set_doors(&self, state: Door) {
        for door in &self.doors {
            door.set(state);
        }
    }

    /// The upstream with an id.
    #[must_use]
    pub fn upstream(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.iter().find(|one| one.id() == id)
    }

    /// Puts a version of the configuration into the store.
    pub fn configure(&self, document: &Value) {
        self.store.put("keyed.op", "config", &document.to_string());
    }

    /// Orders that a service's traffic moves to another version.
    pub fn roll_out(&self, service: &str, target: &str, duration_s: f64) {
        let order = json!({ "service": service, "target": target, "durationS": duration_s });
        let key = format!("rollout/{service}");
        self.store.put("keyed.op", &key, &order.to_string());
    }

    /// What the operators read of a service's roll-out.
    #[must_use]
    pub fn rollout_state(&self, service: &str) -> Option<String> {
        let key = format!("rollout/{service}");
        let status = self.store.newest("keyed.status", &key)?;
        let status: Value = serde_json::from_slice(&status).ok()?;
        status["state"].as_str().map(str::to_owned)
    }

    /// Waits until a node says that it is ready and hears all others.
    pub async fn wait_until_ready(&self, place: usize) -> bool {
        let count = self.nodes.len();
        let until = tokio::time::Instant::now() + READY_PATIENCE;
        while tokio::time::Instant::now() < until {
            let is_ready = get(self.nodes[place].readiness(), "/api/ready")
                .await
                .status()
                == Some(200);
            if is_ready && self.addresses(place).await.len() == count {
                return true;
            }
            tokio::time::sleep(LOOK).await;
        }
        false
    }

    /// The addresses that a node's directory gives.
    pub async fn addresses(&self, place: usize) -> Vec<String> {
        let path = format!("/api/resolve?name={HOST}&region=r&zone=elsewhere");
        let answer = get(self.nodes[place].directory(), &path).await;
        let body: Value = serde_json::from_str(answer.body()).unwrap_or_default();
        let addresses = body["addresses"].as_array().cloned().unwrap_or_default();
        let addresses = addresses.iter().filter_map(Value::as_str);
        addresses.map(str::to_owned).collect()
    }

    /// The runs that went on with a stream that another software version began.
    #[must_use]
    pub fn misfits(&self) -> Vec<Run> {
        let runs = self.runs.lock();
        let misfits = (0..runs.len()).filter(|place| is_misfit(&runs, *place));
        misfits.map(|place| runs[place].clone()).collect()
    }

    /// What upstreams ran of a request.
    #[must_use]
    pub fn runs_of(&self, request: &str) -> Vec<Run> {
        let runs = self.runs.lock();
        let of_request = runs.iter().filter(|run| run.request == request);
        of_request.cloned().collect()
    }
}

/// Asks a node about itself.
pub async fn get(address: std::net::SocketAddr, path: &str) -> Ended {
    let asked = Asked {
        method: "GET",
        path: path.to_owned(),
        deadline_ms: 1_000,
        ..asked("info", "")
    };
    asked.send(address).await
}

/// A call on one of the routes: `once`, `again`, `stream` or `stream-on`.
#[must_use]
pub fn asked(id: &str, route: &str) -> Asked {
    Asked {
        method: if route == "again" { "GET" } else { "POST" },
        host: HOST.to_owned(),
        path: format!("/{route}/x"),
        id: id.to_owned(),
        key: KEYS[0].to_owned(),
        deadline_ms: 3_000,
        body: String::new(),
        extra: String::new(),
    }
}

/// An address of its own for each node, apart from those of other test processes.
fn address(installation: u16, place: usize) -> Ipv4Addr {
    let process = u8::try_from(process::id() % 250).unwrap_or(0) + 2;
    let installation = u8::try_from(installation % 256).unwrap_or(0);
    let host = u8::try_from(place).unwrap_or(0) + 2;
    Ipv4Addr::new(127, process, installation, host)
}

/// The key of one of the further teams.
#[must_use]
pub fn key_of(team: &str) -> String {
    format!("key-{team}")
}

/// A version of the configuration.
#[must_use]
pub fn document(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, resumable: bool| {
        json!({
            "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "kind": kind,
            "timeoutMs": 2500, "targetLatencyMs": 200, "priority": 1, "service": service,
            "maxAttempts": if kind == "idempotent" || resumable { 2 } else { 1 },
            "public": false, "sticky": false, "resumable": resumable, "gapAimMs": 300,
        })
    };
    let limited = |name: &str| {
        json!({
            "name": name, "apiKeys": [key_of(name)], "unit": "requests",
            "ratePerS": LIMIT_PER_S, "burst": LIMIT_PER_S,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("once", "non_idempotent", "desk", false),
            route("again", "idempotent", "desk", false),
            route("stream", "streaming", "pool", false),
            route("stream-on", "streaming", "pool", true),
        ],
        "services": [
            {"name": "desk", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false},
            {"name": "pool", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false,
             "scaling": {"min": 1, "max": 4, "bootS": 1.0, "spotPrice": 0.2, "zonePrices": {"zone-0": 1.0, "zone-1": 0.8}}},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100_000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [
            {"name": TEAMS[0], "apiKeys": [KEYS[0]], "unit": "requests", "ratePerS": 10_000, "burst": 10_000},
            {"name": TEAMS[1], "apiKeys": [KEYS[1]], "unit": "requests", "ratePerS": 20, "burst": 20},
            limited(LIMITED_TEAMS[0]),
            limited(LIMITED_TEAMS[1]),
            limited(LIMITED_TEAMS[2]),
        ],
    })
}
