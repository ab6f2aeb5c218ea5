//! The shared state of one node, updated by collectors and read by the request path and the duties.

mod paces;
mod pool_reach;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use parking_lot::{Mutex, RwLock};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::active_configuration::ActiveConfiguration;
use super::announcements::LatestRead;
use super::bandwidth::BandwidthLimiter;
use super::catalog::{Catalog, Route};
use super::clock;
use super::confirmation;
use super::connections::ConnectionPool;
use super::crashes::Crashes;
use super::demand::DemandTracker;
use super::durations::RouteDurations;
use super::exchange::AnswerMemory;
use super::forwarding::{self, Forwarding};
use super::fragments::Reassembly;
use super::lease::{Holder, Lease};
use super::limits::credit::Credit;
use super::limits::quota::Quotas;
use super::limits::repeat_budget::{RepeatBudget, Repeats};
use super::messages::{Member, Message};
use super::peers::Peers;
use super::pool_map::PoolMap;
use super::prefixes::Prefixes;
use super::reach::PoolReach;
use super::recent_changes::RecentChanges;
use super::relay::Relay;
use super::rollout::Standing;
use super::rollouts::Rollouts;
use super::route_labels::RouteLabels;
use super::scheduling::gate::Schedulers;
use super::settings::NodeSettings;
use super::shutdown::{Outlook, Shutdown};
use super::speed::pace::{EngineModel, PeerPaces};
use super::store_contact::{StoreAvailability, StoreContact};
use super::streams::{Origins, StreamArchive, UnwrittenStarts, WaitingQueries, WaitingStarts};
use super::upstreams::{UpstreamTable, tag};
use super::usage::UsageCounts;
use super::view::UpstreamsView;
use crate::in_flight::InFlight;
use crate::peers::Connections;
use crate::platform::store::{self, Store, StoreError};
use crate::resources::CallerAccount;
use crate::time::TimeMs;

/// Capacity of the queue of messages to peers; a full queue indicates a fault in a sender.
const OUTBOX_CAPACITY: usize = 1_024;

/// The state of one node.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub settings: RwLock<Arc<NodeSettings>>,
    /// Random number, new at each start.
    pub incarnation: u64,
    pub started_at: TimeMs,
    pub store: Store,
    pub in_force: RwLock<ActiveConfiguration>,
    pub upstreams: Mutex<UpstreamTable>,
    pub upstreams_view: Mutex<UpstreamsView>,
    /// The latest read of the announcements by this node; locked while one is in progress.
    pub latest_read: tokio::sync::Mutex<Option<LatestRead>>,
    /// Bandwidth budget for answers to peers that request announcements.
    pub answer_bandwidth: Mutex<BandwidthLimiter>,
    /// Bandwidth budget for configuration documents that peers are sent.
    pub document_bandwidth: Mutex<BandwidthLimiter>,
    /// Recent changes of upstreams, for peers that missed them.
    pub recent_changes: Mutex<RecentChanges>,
    pub store_contact: Mutex<StoreContact>,
    pub prefixes: Mutex<Prefixes>,
    /// Speed of each pool's engines as this node has measured it.
    pub engine_models: Mutex<PoolMap<EngineModel>>,
    /// Speed of each pool's engines as the peers have measured it.
    pub peer_paces: Mutex<PeerPaces>,
    /// Demand on each pool of engines.
    pub demands: Mutex<DemandTracker>,
    pub quotas: Mutex<Quotas>,
    /// Leases of the teams' limits; locked before `quotas`.
    pub credit: Mutex<Credit>,
    pub repeats: Mutex<PoolMap<Repeats>>,
    /// Which requests start while a pool of engines is short of room.
    pub scheduling: Mutex<Schedulers>,
    /// Since when this node has observed the installation; zero at the installation's first start.
    pub observing_since: TimeMs,
    /// Whether this node reaches the upstreams of each pool.
    pub reach: Mutex<PoolMap<PoolReach>>,
    /// Crashes of upstreams and what is blocked for them.
    pub crashes: Mutex<Crashes>,
    pub rollouts: Mutex<Rollouts>,
    /// Where streams began that this node or its peers forward.
    pub stream_origins: Mutex<Origins>,
    /// Starts of streams of this node's group, for the node that writes them to the store.
    pub starts_to_pass_on: Mutex<WaitingStarts>,
    /// Starts of streams that this node is to write to the store.
    pub unwritten_starts: Mutex<UnwrittenStarts>,
    /// Starts of streams that the store held when this node started.
    pub stream_archive: Mutex<StreamArchive>,
    /// Requests that wait for what peers state on the streams that they take up.
    pub stream_queries: Mutex<WaitingQueries>,
    pub usage: Mutex<UsageCounts>,
    pub peers: Mutex<Peers>,
    /// Statuses to be reported to other groups, and reports of theirs.
    pub relay: Mutex<Relay>,
    /// Messages of peers that exceed a datagram, as far as they have arrived.
    pub reassembly: Mutex<Reassembly>,
    pub lease: Mutex<Lease>,
    pub channels: ConnectionPool,
    /// Memory that whole answers of upstreams take up while they are read.
    pub answer_memory: AnswerMemory,
    /// Connections to peers that send requests in place of this node.
    pub forwarding: Connections<Forwarding>,
    /// How long requests took of late.
    pub durations: Mutex<RouteDurations>,
    /// Routes that have metric labels of their own.
    pub route_labels: Mutex<RouteLabels>,
    /// Memory and connections that callers hold.
    pub callers: Arc<CallerAccount>,
    /// Number of requests in progress, whose answers are not yet written.
    pub in_flight: Arc<AtomicUsize>,
    /// Set when the node begins to stop.
    pub stop: Mutex<Option<Shutdown>>,
    /// Cancelled when `stop` is set, to wake waiting tasks.
    pub stopping: CancellationToken,
    /// Cancelled when the node has to answer all callers before its exit.
    pub last_answers: CancellationToken,
    /// Readiness at the last check, to log changes.
    pub was_ready: AtomicBool,
    /// Sequence number of this node's last status.
    status_sequence: AtomicU64,
    era: Mutex<KnownEra>,
    outbox: mpsc::Sender<Outgoing>,
}

/// The store's era: the number of times that it has been restored from a copy.
#[derive(Clone, Copy, Debug, Default)]
struct KnownEra {
    /// Zero until a response of the store or a peer names the era.
    era: u64,
    /// When the first node learned of the era.
    known_since: TimeMs,
}

/// A message to peers and its recipients.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub message: Message,
    pub recipients: Recipients,
}

/// The recipients of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Recipients {
    /// All peers.
    All,
    /// The peers of this node's group.
    Group,
    /// The peers in this node's failure domain.
    SameDomain,
    /// The first peer by rank of each other failure domain.
    OtherDomainLeaders,
    /// The node that receives datagrams on this address.
    Address(SocketAddr),
}

impl Gateway {
    /// Creates the state of a node that has just started and the receiver of its outgoing messages.
    #[must_use]
    pub fn new(settings: NodeSettings, incarnation: u64) -> (Arc<Self>, mpsc::Receiver<Outgoing>) {
        let (outbox, messages) = mpsc::channel(OUTBOX_CAPACITY);
        let member = Member {
            name: settings.name.clone(),
            incarnation,
            gossip_address: settings.gossip_listen,
            caller_address: settings.caller_listen,
            failure_domain: settings.failure_domain.clone(),
            capacity_per_s: settings.capacity_per_s(),
        };
        let holder = Holder {
            node: settings.name.clone(),
            incarnation,
            era: 0,
        };
        let started_at = clock::now();
        let node = Self {
            incarnation,
            started_at,
            store: Store::new(settings.store_address),
            in_force: RwLock::new(ActiveConfiguration::trusting_store_from(
                started_at.after(confirmation::STARTUP_MS),
            )),
            upstreams: Mutex::default(),
            upstreams_view: Mutex::default(),
            latest_read: tokio::sync::Mutex::default(),
            answer_bandwidth: Mutex::new(BandwidthLimiter::for_link(settings.link_mbps)),
            document_bandwidth: Mutex::new(BandwidthLimiter::for_link(settings.link_mbps)),
            recent_changes: Mutex::default(),
            store_contact: Mutex::default(),
            prefixes: Mutex::default(),
            engine_models: Mutex::default(),
            peer_paces: Mutex::default(),
            demands: Mutex::default(),
            quotas: Mutex::new(Quotas::new(
                settings.bounds.limit_window,
                incarnation,
                clock::now(),
            )),
            credit: Mutex::new(Credit::new(incarnation, started_at)),
            repeats: Mutex::default(),
            scheduling: Mutex::default(),
            observing_since: if settings.is_first_start {
                TimeMs(0)
            } else {
                started_at
            },
            reach: Mutex::default(),
            crashes: Mutex::default(),
            rollouts: Mutex::default(),
            stream_origins: Mutex::default(),
            starts_to_pass_on: Mutex::default(),
            unwritten_starts: Mutex::default(),
            stream_archive: Mutex::default(),
            stream_queries: Mutex::default(),
            usage: Mutex::new(UsageCounts::new(
                incarnation,
                settings.bounds.usage_window_ms,
            )),
            peers: Mutex::new(Peers::new(member)),
            relay: Mutex::default(),
            reassembly: Mutex::default(),
            lease: Mutex::new(Lease::new(holder, settings.bounds.lease_ms)),
            channels: ConnectionPool::default(),
            answer_memory: AnswerMemory::new(settings.host.unread_answers_bytes()),
            forwarding: forwarding::connections(settings.store_address, incarnation),
            durations: Mutex::default(),
            route_labels: Mutex::default(),
            callers: CallerAccount::new(settings.host.callers()),
            in_flight: Arc::default(),
            stop: Mutex::new(None),
            stopping: CancellationToken::new(),
            last_answers: CancellationToken::new(),
            was_ready: AtomicBool::new(false),
            status_sequence: AtomicU64::new(0),
            era: Mutex::default(),
            outbox,
            settings: RwLock::new(Arc::new(settings)),
        };
        (Arc::new(node), messages)
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Arc<NodeSettings> {
        Arc::clone(&self.settings.read())
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Arc<Catalog> {
        Arc::clone(&self.in_force.read().catalog)
    }

    /// Returns whether this node should receive requests.
    pub fn is_ready(&self, now: TimeMs) -> bool {
        let revoke_ms = self.settings().bounds.revoke_ms;
        let is_current = {
            let in_force = self.in_force.read();
            in_force.is_known() && in_force.is_fresh(revoke_ms, now)
        };
        let knows_upstreams = self.upstreams_view.lock().is_known();
        is_current && knows_upstreams && !self.is_stopping()
    }

    /// Returns whether this node is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.is_cancelled()
    }

    /// Returns whether the store answers this node.
    pub fn store_reach(&self, now: TimeMs) -> StoreAvailability {
        self.store_contact.lock().availability(now)
    }

    /// Returns the time since this node started, in milliseconds.
    pub fn uptime_ms(&self, now: TimeMs) -> u64 {
        now.since(self.started_at)
    }

    /// Returns whether a request of this route may be sent now, also while the node is stopping.
    pub fn may_send(&self, route: &Route, deadline: TimeMs, now: TimeMs) -> bool {
        let Some(stop) = *self.stop.lock() else {
            return true;
        };
        let longest_ms = if route.is_repeatable() {
            self.durations.lock().longest_ms(tag(&route.name), now)
        } else {
            None
        };
        let outlook = Outlook {
            deadline,
            longest_ms,
        };
        stop.accepts(&outlook, now)
    }

    /// Records the result of a call to the store.
    pub fn record_store_call<T>(&self, called: &Result<T, StoreError>, now: TimeMs) {
        self.store_contact
            .lock()
            .record(store::shows_store_available(called), now);
        self.record_store_era(now);
    }

    /// Records the era that the store named in its latest response.
    pub fn record_store_era(&self, now: TimeMs) {
        self.record_era(self.store.era(), 0, now);
    }

    /// Returns the store's era and the time since it became known, in milliseconds.
    pub fn era(&self, now: TimeMs) -> (u64, u64) {
        let known = *self.era.lock();
        (known.era, now.since(known.known_since))
    }

    /// Records an era named by the store or by a peer, and for how long the peer has known of it.
    pub fn record_era(&self, era: u64, age_ms: u64, now: TimeMs) {
        let known_since = TimeMs(now.0.saturating_sub(age_ms));
        let mut known = self.era.lock();
        if era < known.era || (era == known.era && known_since >= known.known_since) {
            return;
        }
        let before = std::mem::replace(&mut *known, KnownEra { era, known_since });
        let is_first = before.era == 0 && self.settings().is_first_start;
        self.lease.lock().enter_era(era, known_since, is_first);
        if era == before.era {
            return;
        }
        self.store.record_era(era);
        self.in_force.write().enter_era(era);
        self.upstreams_view.lock().enter_era(era);
        if before.era > 0 {
            self.store_contact.lock().record_restore(now);
        }
        log::info!(event = "store_era_changed", before = before.era, era, age_ms; "the store was restored from a copy, or its era became known for the first time");
    }

    /// Returns whether removals of upstreams may be records that expired while the store was
    /// unavailable.
    pub fn store_was_away(&self, now: TimeMs) -> bool {
        self.store_contact.lock().was_unavailable(now)
    }

    /// Queues a message to all peers for immediate sending.
    pub fn broadcast(&self, message: Message) {
        self.send_message(Recipients::All, message);
    }

    /// Queues a message for immediate sending; drops it if the queue is full.
    pub fn send_message(&self, recipients: Recipients, message: Message) {
        let outgoing = Outgoing {
            message,
            recipients,
        };
        if let Err(error) = self.outbox.try_send(outgoing) {
            log::warn!(error:% = error; "dropped a message to peers: the send queue is full or closed");
        }
    }

    /// Returns the fleet's budget for sending requests to a second upstream.
    pub fn repeat_budget(&self) -> RepeatBudget {
        let bounds = self.settings().bounds;
        RepeatBudget {
            ratio: bounds.retry_ratio,
            window_ms: bounds.retry_window_ms,
            slack: bounds.retry_slack,
            nodes: self.peers.lock().known_nodes(),
            recorded_since: self.observing_since,
        }
    }

    /// Counts the upstreams of a pool that accept work, separately for `version` and all others.
    pub fn availability_by_version(&self, pool: &str, version: &str, now: TimeMs) -> Standing {
        let mut standing = Standing::default();
        for (_key, upstream) in self.upstreams.lock().iter() {
            let is_new = upstream.announcement.version == version;
            match upstream.announcement.pool == pool {
                true if is_new => standing.new += usize::from(upstream.accepts_requests(now)),
                true => {
                    standing.old += usize::from(upstream.accepts_requests(now));
                    standing.old_running += upstream.running();
                }
                false => {}
            }
        }
        standing
    }

    /// Returns the fleet's median time of day, in Unix milliseconds.
    pub fn agreed_time_of_day(&self, now: TimeMs) -> TimeMs {
        self.peers
            .lock()
            .agreed_time_of_day(clock::time_of_day(), now)
    }

    /// Returns the sequence number of this node's next status.
    pub fn next_status_sequence(&self) -> u64 {
        self.status_sequence.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub fn track_request(&self) -> InFlight {
        InFlight::new(&self.in_flight)
    }
}
