//! The settings of a node.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use url::Url;

use super::reader::Reader;
use super::secret::Secret;
use super::settings::SettingsFaultKind;

/// The shortest fleet key: 128 bits cannot be guessed.
const LEAST_FLEET_KEY_BYTES: usize = 16;
/// The most worker threads.
const MOST_THREADS: u64 = 256;
/// The most connections of callers.
const MOST_CONNECTIONS: u64 = 1_000_000;
/// The largest body limit, a gibibyte.
const MOST_BODY_BYTES: u64 = 1 << 30;
/// The smallest header buffer that the HTTP library takes.
const LEAST_HEADER_BYTES: u64 = 8_192;
/// The largest header limit, a mebibyte.
const MOST_HEADER_BYTES: u64 = 1 << 20;
/// The longest timeout, an hour.
const MOST_TIMEOUT_MS: u64 = 60 * 60 * 1_000;
/// The shortest time for headers to arrive.
const LEAST_HEADER_READ_TIMEOUT_MS: u64 = 100;

/// Retentions that can be relied on, from a minute to a year.
const LOG_RETENTION_MS: RangeInclusive<u64> = 60_000..=365 * 24 * 60 * 60 * 1_000;

/// The settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct ServeSettings {
    /// Where it listens for callers and operators.
    pub listen: SocketAddr,
    /// Where it listens for other nodes, over TCP.
    pub peer_listen: SocketAddr,
    /// Where it listens for heartbeats, over UDP.
    pub heartbeat_listen: SocketAddr,
    /// Where callers are told to connect.
    pub advertise: SocketAddr,
    /// Where other nodes are told to connect.
    pub peer_advertise: SocketAddr,
    /// Where other nodes are told to send heartbeats.
    pub heartbeat_advertise: SocketAddr,
    /// The node's name.
    pub name: String,
    /// The name of its failure domain.
    pub failure_domain: String,
    /// The name of its region.
    pub region: String,
    /// Heartbeat addresses of other nodes.
    pub seeds: Vec<SocketAddr>,
    /// The platform's log service.
    pub log_url: Url,
    /// The platform's host list and cloud API.
    pub cloud_url: Url,
    /// The platform's weight store.
    pub weights_url: Url,
    /// Proves to other nodes that this one belongs to them.
    pub fleet_key: Secret,
    /// How long the log keeps records, at least.
    pub log_retention_ms: Option<u64>,
    /// Worker threads.
    pub threads: usize,
    /// Connections of callers at once.
    pub max_connections: usize,
    /// The longest request body.
    pub max_body_bytes: usize,
    /// The longest request headers.
    pub max_header_bytes: usize,
    /// How long request headers may take to arrive.
    pub header_read_timeout_ms: u64,
    /// How long a planned stop may take.
    pub drain_timeout_ms: u64,
}

impl ServeSettings {
    /// Settings for a node of a test or example, to be completed by the `with_` methods.
    ///
    /// Every platform URL leads to a port on which nothing listens.
    ///
    /// # Panics
    ///
    /// Never: the placeholder is a URL.
    #[must_use]
    pub fn new(listen: SocketAddr, peer_listen: SocketAddr, heartbeat_listen: SocketAddr) -> Self {
        let nowhere = Url::parse("http://127.0.0.1:1/").expect("the placeholder is a URL");
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
            log_url: nowhere.clone(),
            cloud_url: nowhere.clone(),
            weights_url: nowhere,
            fleet_key: Secret::new("a fleet key for tests only"),
            log_retention_ms: None,
            threads: 2,
            max_connections: 16_384,
            max_body_bytes: 4 << 20,
            max_header_bytes: 16_384,
            header_read_timeout_ms: 10_000,
            drain_timeout_ms: 30_000,
        }
    }

    /// Names the node.
    #[must_use]
    pub fn with_name(mut self, name: impl Into<String>) -> Self {
        self.name = name.into();
        self
    }

    /// Places the node in a failure domain of a region.
    #[must_use]
    pub fn with_place(
        mut self,
        region: impl Into<String>,
        failure_domain: impl Into<String>,
    ) -> Self {
        self.region = region.into();
        self.failure_domain = failure_domain.into();
        self
    }

    /// Tells callers and other nodes to connect elsewhere than to where it listens.
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

    /// Finds other nodes through these heartbeat addresses.
    #[must_use]
    pub fn with_seeds(mut self, seeds: impl Into<Vec<SocketAddr>>) -> Self {
        self.seeds = seeds.into();
        self
    }

    /// Reaches the platform's systems at these URLs.
    #[must_use]
    pub fn with_platform(mut self, log_url: Url, cloud_url: Url, weights_url: Url) -> Self {
        self.log_url = log_url;
        self.cloud_url = cloud_url;
        self.weights_url = weights_url;
        self
    }

    /// Proves with this key that the node belongs to the others.
    #[must_use]
    pub fn with_fleet_key(mut self, fleet_key: Secret) -> Self {
        self.fleet_key = fleet_key;
        self
    }

    /// Relies on the log to keep records for this long.
    #[must_use]
    pub fn with_log_retention_ms(mut self, log_retention_ms: Option<u64>) -> Self {
        self.log_retention_ms = log_retention_ms;
        self
    }

    /// Runs this many worker threads.
    #[must_use]
    pub fn with_threads(mut self, threads: usize) -> Self {
        self.threads = threads;
        self
    }

    /// Serves this many connections of callers at once.
    #[must_use]
    pub fn with_max_connections(mut self, max_connections: usize) -> Self {
        self.max_connections = max_connections;
        self
    }

    /// Refuses longer bodies and headers.
    #[must_use]
    pub fn with_max_bytes(mut self, max_body_bytes: usize, max_header_bytes: usize) -> Self {
        self.max_body_bytes = max_body_bytes;
        self.max_header_bytes = max_header_bytes;
        self
    }

    /// Closes connections whose headers take longer.
    #[must_use]
    pub fn with_header_read_timeout_ms(mut self, header_read_timeout_ms: u64) -> Self {
        self.header_read_timeout_ms = header_read_timeout_ms;
        self
    }

    /// Waits at most this long at a planned stop.
    #[must_use]
    pub fn with_drain_timeout_ms(mut self, drain_timeout_ms: u64) -> Self {
        self.drain_timeout_ms = drain_timeout_ms;
        self
    }

    /// Puts the ports that the system chose in the place of port 0, in advertised addresses too.
    #[must_use]
    pub fn with_bound(
        mut self,
        callers: SocketAddr,
        peers: SocketAddr,
        heartbeats: SocketAddr,
    ) -> Self {
        let choose = |advertised: &mut SocketAddr, bound: SocketAddr| {
            if advertised.port() == 0 {
                advertised.set_port(bound.port());
            }
        };
        choose(&mut self.advertise, callers);
        choose(&mut self.peer_advertise, peers);
        choose(&mut self.heartbeat_advertise, heartbeats);
        self.listen = callers;
        self.peer_listen = peers;
        self.heartbeat_listen = heartbeats;
        self
    }

    /// Reads and checks them; what is wrong is noted in the reader.
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
        let log_retention_ms = reader.optional_integer("log-retention-ms", LOG_RETENTION_MS);
        let fleet_key = reader.environment_key("fleet-key", LEAST_FLEET_KEY_BYTES);
        let settings = Self::new(listen, peer_listen, heartbeat_listen)
            .with_advertised(advertise, peer_advertise, heartbeat_advertise)
            .with_name(name)
            .with_place(region, failure_domain)
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
        let body = 1_024..=MOST_BODY_BYTES;
        let header = LEAST_HEADER_BYTES..=MOST_HEADER_BYTES;
        let header_read = LEAST_HEADER_READ_TIMEOUT_MS..=MOST_TIMEOUT_MS;
        let max_body_bytes = reader.integer_usize("max-body-bytes", body);
        let max_header_bytes = reader.integer_usize("max-header-bytes", header);
        self.with_threads(reader.integer_usize("threads", 1..=MOST_THREADS))
            .with_max_connections(reader.integer_usize("max-connections", 1..=MOST_CONNECTIONS))
            .with_max_bytes(max_body_bytes, max_header_bytes)
            .with_header_read_timeout_ms(reader.integer("header-read-timeout-ms", header_read))
            .with_drain_timeout_ms(reader.integer("drain-timeout-ms", 0..=MOST_TIMEOUT_MS))
    }
}

/// An address to listen on and the one that others are told.
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
