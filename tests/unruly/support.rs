//! What the tests of crowds share: nodes with lowered limits, what a node uses, and ordinary requests.

use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use http::Method;
use serde_json::json;
use teaselline_stand_ins::operators::deployment::{
    DeploymentSettings, HOST, KEYS, asked, document,
};
use teaselline_stand_ins::operators::{Deployment, HostLimits};
use tokio::sync::{Mutex, MutexGuard};

use crate::fleet::{Client, Fleet, FleetSettings};
use crate::{BINARY, trial};

/// A host of 64 MB, which the crowds of these tests pass where nothing bounds them.
pub const SMALL_HOST: HostLimits = HostLimits {
    memory_mb: 64,
    max_descriptors: 4_100,
};

/// A host with few descriptors.
pub const FEW_DESCRIPTORS: HostLimits = HostLimits {
    memory_mb: 260,
    max_descriptors: 500,
};

/// Descriptors of a host that are kept for files; sockets share the others.
const FILE_DESCRIPTORS: u64 = 200;

/// Longest body that the configuration allows.
pub const MAX_BODY_BYTES: usize = 100_000;

/// Longest wait for an ordinary answer; generous, because the machine may be busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause before a request is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Interval between two counts of sockets.
const COUNT_INTERVAL: Duration = Duration::from_millis(5);

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Waits until no other test of a crowd runs.
pub async fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().await
}

/// Starts one node of the operators' platform on a host with these limits.
pub async fn one_node(host: HostLimits) -> Deployment {
    let settings = DeploymentSettings {
        binary: Path::new(BINARY),
        nodes: 1,
        upstreams: 1,
        grace_s: 6,
        usage_window_s: 1.0,
        has_quota_window: false,
        is_proxied: false,
        host: Some(host),
    };
    let started = Deployment::start(settings).await;
    started.expect("the node becomes ready")
}

/// Has routes wait so long for an answer, and upstreams work as long on each request but a bit less.
pub async fn slow_down(deployment: &Deployment, timeout_ms: u64) {
    let mut next = document(2);
    for route in next["routes"].as_array_mut().expect("there are routes") {
        route["timeoutMs"] = json!(timeout_ms);
    }
    configure(deployment, &next).await;
    for upstream in &deployment.upstreams {
        upstream.work_for(timeout_ms * 4 / 5);
    }
}

/// Puts a configuration into force at the first node.
pub async fn configure(deployment: &Deployment, next: &serde_json::Value) {
    deployment.configure(next);
    let version = format!("teaselline_configuration_version {}", next["version"]);
    let metrics = deployment.nodes[0].metrics();
    let until = tokio::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        let page = teaselline_stand_ins::operators::deployment::get(metrics, "/metrics").await;
        if page.body().contains(&version) {
            return;
        }
        assert!(
            tokio::time::Instant::now() < until,
            "not in force: {version}"
        );
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// The head of a request with a body on the route `once`.
pub fn head(id: &str, framing: &str) -> Vec<u8> {
    format!(
        "POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Attempt-Id: {id}\r\nDeadline-Ms: 60000\r\nAuthorization: Bearer {}\r\n{framing}\r\n\r\n",
        KEYS[0]
    )
    .into_bytes()
}

/// A body in chunks of `chunk_bytes`, without its end.
pub fn chunks(body_bytes: usize, chunk_bytes: usize) -> Vec<u8> {
    let size = format!("{chunk_bytes:x}\r\n");
    let mut chunk = size.into_bytes();
    chunk.resize(chunk.len() + chunk_bytes, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk.repeat(body_bytes / chunk_bytes)
}

/// What a process uses while a test runs.
#[derive(Debug)]
pub struct Usage {
    process_id: u32,
    most_sockets: Arc<AtomicUsize>,
    is_over: Arc<AtomicBool>,
}

impl Usage {
    /// Counts the sockets of a process until it is dropped.
    pub fn watch(process_id: u32) -> Self {
        let usage = Self {
            process_id,
            most_sockets: Arc::default(),
            is_over: Arc::default(),
        };
        let (most, is_over) = (Arc::clone(&usage.most_sockets), Arc::clone(&usage.is_over));
        std::thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                most.fetch_max(sockets(process_id), Ordering::Relaxed);
                std::thread::sleep(COUNT_INTERVAL);
            }
        });
        usage
    }

    /// Asserts that the process lives and has stayed within the limits of its host.
    pub fn assert_within(&self, host: HostLimits) {
        let peak_kb = peak_kb(self.process_id);
        let peak_kb = peak_kb.expect("the process lives");
        let most_sockets = self.most_sockets.load(Ordering::Relaxed) as u64;
        println!("peak {peak_kb} kB, at most {most_sockets} sockets");
        assert!(peak_kb <= host.memory_mb * 1024, "{peak_kb} kB");
        let for_sockets = host.max_descriptors - FILE_DESCRIPTORS;
        assert!(most_sockets <= for_sockets, "{most_sockets} sockets");
    }
}

impl Drop for Usage {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

/// Returns the sockets that a process has open.
fn sockets(process_id: u32) -> usize {
    let Ok(open) = fs::read_dir(format!("/proc/{process_id}/fd")) else {
        return 0;
    };
    let targets = open
        .flatten()
        .filter_map(|entry| fs::read_link(entry.path()).ok());
    targets
        .filter(|target| target.to_string_lossy().starts_with("socket:"))
        .count()
}

/// Returns the most memory that a process has held, in kilobytes; `None` if it has ended.
fn peak_kb(process_id: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    peak.trim().strip_suffix(" kB")?.parse().ok()
}

/// Asserts that an ordinary request is answered; its caller sends it again when it is refused.
pub async fn ordinary_request_is_answered(deployment: &Deployment) {
    let node = &deployment.nodes[0];
    let until = tokio::time::Instant::now() + WAIT_TIMEOUT;
    for attempt in 0.. {
        let call = asked(&format!("ordinary-{attempt}"), "once");
        let ended = call.send(node.callers()).await;
        if ended.status() == Some(200) {
            return;
        }
        assert!(node.ended().is_none(), "the process has ended");
        assert!(tokio::time::Instant::now() < until, "{ended:?}");
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Starts one node of the role `serve` on a host with these limits, with further settings.
pub async fn one_served_node(
    host: HostLimits,
    environment: &'static [(&'static str, &'static str)],
) -> Fleet {
    let settings = FleetSettings {
        nodes: 1,
        host: Some(host),
        environment,
        ..FleetSettings::new(BINARY)
    };
    Fleet::start(settings)
        .await
        .expect("the node becomes ready")
}

/// Asserts that an ordinary request to the role `serve` is answered.
pub async fn ordinary_served_request_is_answered(fleet: &Fleet) {
    let client = Client::new(trial::TOKEN);
    let node = fleet.node(0);
    let path = format!("/v1/services/{}/x", trial::TRACKING);
    let until = tokio::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        let answer = client
            .send(Method::POST, node.callers, &path, &[], "{}")
            .await;
        if answer
            .as_ref()
            .is_ok_and(|answer| answer.status.is_success())
        {
            return;
        }
        assert!(!node.has_ended(), "the process has ended");
        assert!(tokio::time::Instant::now() < until, "{answer:?}");
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
