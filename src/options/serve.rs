//! Settings of `serve`, with their limits and defaults.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use url::Url;

use super::reader::Reader;
use super::secret::Secret;
use super::settings::SettingsFaultKind;

/// Minimum length of the fleet key: 128 bits resist guessing.
const MIN_FLEET_KEY_BYTES: usize = 16;
/// Maximum number of worker threads.
const MAX_THREADS: u64 = 256;
/// Maximum for the limit of concurrent caller connections.
const MAX_CONNECTIONS: u64 = 1_000_000;
/// Maximum for the request body limit: one gibibyte.
const MAX_BODY_BYTES: u64 = 1 << 30;
/// Minimum header buffer size that the HTTP library accepts.
const MIN_HEADER_BYTES: u64 = 8_192;
/// Maximum for the request header limit: one mebibyte.
const MAX_HEADER_BYTES: u64 = 1 << 20;
/// Maximum for timeouts: one hour.
const MAX_TIMEOUT_MS: u64 = 60 * 60 * 1_000;
/// Minimum for the header read timeout.
const MIN_HEADER_READ_TIMEOUT_MS: u64 = 100;

/// Minimum of the memory, in megabytes.
const MIN_MEMORY_MB: u64 = 32;
/// Maximum of the memory: one tebibyte, in megabytes.
const MAX_MEMORY_MB: u64 = 1 << 20;
/// Accepted range of the descriptors.
const DESCRIPTORS: RangeInclusive<u64> = 256..=10_000_000;

/// Accepted range of the log's retention: one minute to one year.
const LOG_RETENTION_RANGE_MS: RangeInclusive<u64> = 60_000..=365 * 24 * 60 * 60 * 1_000;

/// Settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct ServeSettings {
    /// Listening address for callers and operators.
    pub listen: SocketAddr,
    /// Listening address for connections of other nodes, over TCP.
    pub peer_listen: SocketAddr,
    /// Listening address for heartbeats, over UDP.
    pub heartbeat_listen: SocketAddr,
    /// Address advertised to callers.
    pub advertise: SocketAddr,
    /// Address advertised to other nodes for connections.
    pub peer_advertise: SocketAddr,
    /// Address advertised to other nodes for heartbeats.
    pub heartbeat_advertise: SocketAddr,
    /// The node's name.
    pub name: String,
    /// Name of the node's failure domain.
    pub failure_domain: String,
    /// Name of the node's region.
    pub region: String,
    /// Heartbeat addresses of other nodes, for discovering the fleet.
    pub seeds: Vec<SocketAddr>,
    /// URL of the platform's log service.
    pub log_url: Url,
    /// URL of the platform's host list and cloud API.
    pub cloud_url: Url,
    /// URL of the platform's weight store.
    pub weights_url: Url,
    /// Shared key that authenticates nodes of the fleet to each other.
    pub fleet_key: Secret,
    /// Minimum time for which the log retains records; unknown if `None`.
    pub log_retention_ms: Option<u64>,
    /// Number of worker threads.
    pub threads: usize,
    /// Maximum number of concurrent caller connections.
    pub max_connections: usize,
    /// Maximum length of a request body.
    pub max_body_bytes: usize,
    /// Maximum length of the request headers.
    pub max_header_bytes: usize,
    /// Time limit for reading the request headers.
    pub header_read_timeout_ms: u64,
    /// Time limit for reading a request body.
    pub body_read_timeout_ms: u64,
    /// Memory of the host that the process may use, in megabytes.
    pub memory_mb: usize,
    /// Descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Time limit for draining requests at a graceful shutdown.
    pub drain_timeout_ms: u64,
}

impl ServeSettings {
    /// Default settings, to be completed by the `with_` methods in tests and examples.
    ///
    /// Platform URLs default to port 1 of the local host, which refuses connections.
    ///
    /// # Panics
    ///
    /// Never: the placeholder is a URL.
    #[must_use]
    pub fn new(listen: SocketAddr, peer_listen: SocketAddr, heartbeat_listen: SocketAddr) -> Self {
        let placeholder = Url::parse("http://127.0.0.1:1/").expect("the placeholder is a URL");
        Self {
            listen,
            peer_listen,
            heartbeat_listen,
            advertise: listen,
            peer_advertise: peer_listen,
            heartbeat_advertise: heartbeat_listen,
            name: String::from("node"),
            failure_domain: String::new(),
            region: String::new(),
            seeds: Vec::new(),
            log_url: placeholder.clone(),
            cloud_url: placeholder.clone(),
            weights_url: placeholder,
            fleet_key: Secret::new("a fleet key for tests only"),
            log_retention_ms: None,
            threads: 2,
            max_connections: 16_384,
            max_body_bytes: 4 << 20,
            max_header_bytes: 16_384,
            header_read_timeout_ms: 10_000,
            body_read_timeout_ms: 60_000,
            memory_mb: 2_048,
            max_descriptors: 65_536,
            drain_timeout_ms: 30_000,
        }
    }

    /// Sets the node's name.
    #[must_use]
    pub fn with_name(mut self, name: impl Into<String>) -> Self {
        self.name = name.into();
        self
    }

    /// Sets the node's region and failure domain.
    #[must_use]
    pub fn with_location(
        mut self,
        region: impl Into<String>,
        failure_domain: impl Into<String>,
    ) -> Self {
        self.region = region.into();
        self.failure_domain = failure_domain.into();
        self
    }

    /// Sets advertised addresses that differ from the listening addresses.
    #[must_use]
    pub fn with_advertised(
        mut self,
        callers: SocketAddr,
        peers: SocketAddr,
        heartbeats: SocketAddr,
    ) -> Self {
        self.advertise = callers;
        self.peer_advertise = peers;
        self.heartbeat_advertise = heartbeats;
        self
    }

    /// Sets the heartbeat addresses through which other nodes are discovered.
    #[must_use]
    pub fn with_seeds(mut self, seeds: impl Into<Vec<SocketAddr>>) -> Self {
        self.seeds = seeds.into();
        self
    }

    /// Sets the URLs of the platform's services.
    #[must_use]
    pub fn with_platform(mut self, log_url: Url, cloud_url: Url, weights_url: Url) -> Self {
        self.log_url = log_url;
        self.cloud_url = cloud_url;
        self.weights_url = weights_url;
        self
    }

    /// Sets the shared key of the fleet.
    #[must_use]
    pub fn with_fleet_key(mut self, fleet_key: Secret) -> Self {
        self.fleet_key = fleet_key;
        self
    }

    /// Sets the log's retention.
    #[must_use]
    pub fn with_log_retention_ms(mut self, log_retention_ms: Option<u64>) -> Self {
        self.log_retention_ms = log_retention_ms;
        self
    }

    /// Sets the number of worker threads.
    #[must_use]
    pub fn with_threads(mut self, threads: usize) -> Self {
        self.threads = threads;
        self
    }

    /// Sets the maximum number of concurrent caller connections.
    #[must_use]
    pub fn with_max_connections(mut self, max_connections: usize) -> Self {
        self.max_connections = max_connections;
        self
    }

    /// Sets the maximum lengths of request bodies and headers.
    #[must_use]
    pub fn with_max_bytes(mut self, max_body_bytes: usize, max_header_bytes: usize) -> Self {
        self.max_body_bytes = max_body_bytes;
        self.max_header_bytes = max_header_bytes;
        self
    }

    /// Sets the time limit for reading request headers.
    #[must_use]
    pub fn with_header_read_timeout_ms(mut self, header_read_timeout_ms: u64) -> Self {
        self.header_read_timeout_ms = header_read_timeout_ms;
        self
    }

    /// Sets the time limit for reading request bodies.
    #[must_use]
    pub fn with_body_read_timeout_ms(mut self, body_read_timeout_ms: u64) -> Self {
        self.body_read_timeout_ms = body_read_timeout_ms;
        self
    }

    /// Sets the memory and the descriptors that the host allows.
    #[must_use]
    pub fn with_host(mut self, memory_mb: usize, max_descriptors: usize) -> Self {
        self.memory_mb = memory_mb;
        self.max_descriptors = max_descriptors;
        self
    }

    /// Sets the time limit for draining at a graceful shutdown.
    #[must_use]
    pub fn with_drain_timeout_ms(mut self, drain_timeout_ms: u64) -> Self {
        self.drain_timeout_ms = drain_timeout_ms;
        self
    }

    /// Sets the bound listening addresses; their ports replace port 0 in advertised addresses.
    #[must_use]
    pub fn with_bound(
        mut self,
        callers: SocketAddr,
        peers: SocketAddr,
        heartbeats: SocketAddr,
    ) -> Self {
        let replace_zero_port = |advertised: &mut SocketAddr, bound: SocketAddr| {
            if advertised.port() == 0 {
                advertised.set_port(bound.port());
            }
        };
        replace_zero_port(&mut self.advertise, callers);
        replace_zero_port(&mut self.peer_advertise, peers);
        replace_zero_port(&mut self.heartbeat_advertise, heartbeats);
        self.listen = callers;
        self.peer_listen = peers;
        self.heartbeat_listen = heartbeats;
        self
    }

    /// Parses and validates the settings; faults are added to the reader.
    pub(super) fn read(reader: &mut Reader<'_>) -> Self {
        let (listen, advertise) = addresses(reader, "listen", "advertise");
        let (peer_listen, peer_advertise) = addresses(reader, "peer-listen", "peer-advertise");
        let (heartbeat_listen, heartbeat_advertise) =
            addresses(reader, "heartbeat-listen", "heartbeat-advertise");
        let domain = "the name of a failure domain of the document";
        let name = reader.text("name", "a name");
        let failure_domain = reader.text("failure-domain", domain);
        let region = reader.text("region", "the name of a region");
        let seeds = reader.addresses("seed");
        let log_url = reader.url("log-url");
        let cloud_url = reader.url("cloud-url");
        let weights_url = reader.url("weights-url");
        let log_retention_ms = reader.optional_integer("log-retention-ms", LOG_RETENTION_RANGE_MS);
        let fleet_key = reader.environment_key("fleet-key", MIN_FLEET_KEY_BYTES);
        let settings = Self::new(listen, peer_listen, heartbeat_listen)
            .with_advertised(advertise, peer_advertise, heartbeat_advertise)
            .with_name(name)
            .with_location(region, failure_domain)
            .with_seeds(seeds)
            .with_fleet_key(fleet_key)
            .with_log_retention_ms(log_retention_ms)
            .read_limits(reader);
        match (log_url, cloud_url, weights_url) {
            (Some(log), Some(cloud), Some(weights)) => settings.with_platform(log, cloud, weights),
            _ => settings,
        }
    }

    fn read_limits(self, reader: &mut Reader<'_>) -> Self {
        let body = 1_024..=MAX_BODY_BYTES;
        let header = MIN_HEADER_BYTES..=MAX_HEADER_BYTES;
        let header_read = MIN_HEADER_READ_TIMEOUT_MS..=MAX_TIMEOUT_MS;
        let max_body_bytes = reader.integer_usize("max-body-bytes", body);
        let max_header_bytes = reader.integer_usize("max-header-bytes", header);
        let memory_mb = reader.integer_usize("memory-mb", MIN_MEMORY_MB..=MAX_MEMORY_MB);
        let max_descriptors = reader.integer_usize("max-descriptors", DESCRIPTORS);
        self.with_threads(reader.integer_usize("threads", 1..=MAX_THREADS))
            .with_max_connections(reader.integer_usize("max-connections", 1..=MAX_CONNECTIONS))
            .with_max_bytes(max_body_bytes, max_header_bytes)
            .with_header_read_timeout_ms(
                reader.integer("header-read-timeout-ms", header_read.clone()),
            )
            .with_body_read_timeout_ms(reader.integer("body-read-timeout-ms", header_read))
            .with_host(memory_mb, max_descriptors)
            .with_drain_timeout_ms(reader.integer("drain-timeout-ms", 0..=MAX_TIMEOUT_MS))
    }
}

/// A listening address and its advertised address, which defaults to the former.
fn addresses(
    reader: &mut Reader<'_>,
    listen_flag: &'static str,
    advertise_flag: &'static str,
) -> (SocketAddr, SocketAddr) {
    let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = reader.address(listen_flag).unwrap_or(placeholder);
    let advertise = reader.optional_address(advertise_flag).unwrap_or(listen);
    if advertise.ip().is_unspecified() {
        let given = advertise;
        reader.fault(advertise_flag, SettingsFaultKind::Unreachable { given });
    }
    (listen, advertise)
}
