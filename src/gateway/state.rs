//! What one node knows and holds; collectors fill it, the request path and the duties read it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use parking_lot::{Mutex, RwLock};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::allowance::Allowance;
use super::budget::{RepeatBudget, Repeats};
use super::by_pool::ByPool;
use super::catalog::Catalog;
use super::channels::Channels;
use super::clock;
use super::confirm;
use super::contact::{StoreContact, StoreReach};
use super::demand::Demands;
use super::in_force::InForce;
use super::labels::RouteLabels;
use super::lease::{Holder, Lease};
use super::pace::{EngineModel, Pace, PeerPaces};
use super::peers::{Member, Message, Peers};
use super::prefixes::Prefixes;
use super::quota::Quotas;
use super::recent::Recent;
use super::rollout::Standing;
use super::rollouts::Rollouts;
use super::settings::NodeSettings;
use super::stopping::Stop;
use super::strikes::Strikes;
use super::upstreams::{UpstreamTable, tag};
use super::usage::UsageBook;
use super::view::UpstreamsView;
use crate::platform::store::{self, Store, StoreError};
use crate::time::TimeMs;

/// Messages to peers that wait to be sent; more than this at once is a fault elsewhere.
const OUTBOX_MESSAGES: usize = 1_024;

/// The state of one node.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub settings: RwLock<Arc<NodeSettings>>,
    /// New at each start.
    pub incarnation: u64,
    pub started_at: TimeMs,
    pub store: Store,
    pub in_force: RwLock<InForce>,
    pub upstreams: Mutex<UpstreamTable>,
    pub upstreams_view: Mutex<UpstreamsView>,
    /// What is answered to peers that ask for announcements.
    pub answers: Mutex<Allowance>,
    /// Changes of upstreams for peers that missed them.
    pub recent: Mutex<Recent>,
    pub store_contact: Mutex<StoreContact>,
    pub prefixes: Mutex<Prefixes>,
    /// How fast engines are.
    pub engines: Mutex<ByPool<EngineModel>>,
    /// How fast peers have learned that they are.
    pub peer_paces: Mutex<PeerPaces>,
    /// What is asked of them.
    pub demands: Mutex<Demands>,
    pub quotas: Mutex<Quotas>,
    pub repeats: Mutex<ByPool<Repeats>>,
    pub strikes: Mutex<Strikes>,
    pub rollouts: Mutex<Rollouts>,
    pub usage: Mutex<UsageBook>,
    pub peers: Mutex<Peers>,
    pub lease: Mutex<Lease>,
    pub channels: Channels,
    /// Routes that stand in metrics.
    pub route_labels: Mutex<RouteLabels>,
    /// Requests that are being answered.
    pub in_flight: AtomicUsize,
    /// Set when the node has been told to stop.
    pub stop: Mutex<Option<Stop>>,
    /// Cancelled at the same time, to wake what waits.
    pub stopping: CancellationToken,
    /// Whether the node was ready when it last looked, to log changes.
    pub was_ready: AtomicBool,
    era: Mutex<Era>,
    outbox: mpsc::Sender<Outgoing>,
}

/// What is known of how often the store has come back from a copy.
#[derive(Clone, Copy, Debug, Default)]
struct Era {
    /// Zero while no answer has named it.
    era: u64,
    /// Since when it is known to any node.
    since: TimeMs,
}

/// A message and whom it is for.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub message: Message,
    pub recipients: Recipients,
}

/// Whom a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Recipients {
    /// All peers.
    All,
    /// The peers of this node's failure domain.
    Neighbours,
    /// Of each other failure domain the peer that comes first.
    FirstOfOtherDomains,
    /// The node that takes datagrams there.
    One(SocketAddr),
}

impl Gateway {
    /// A node that knows nothing yet, and the messages that it will want sent.
    #[must_use]
    pub fn new(settings: NodeSettings, incarnation: u64) -> (Arc<Self>, mpsc::Receiver<Outgoing>) {
        let (outbox, messages) = mpsc::channel(OUTBOX_MESSAGES);
        let member = Member {
            name: settings.name.clone(),
            incarnation,
            gossip: settings.gossip_listen,
            callers: settings.caller_listen,
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
            in_force: RwLock::new(InForce::settling_until(started_at.after(confirm::START_MS))),
            upstreams: Mutex::default(),
            upstreams_view: Mutex::default(),
            answers: Mutex::new(Allowance::of_link(settings.link_mbps)),
            recent: Mutex::default(),
            store_contact: Mutex::default(),
            prefixes: Mutex::default(),
            engines: Mutex::default(),
            peer_paces: Mutex::default(),
            demands: Mutex::default(),
            quotas: Mutex::new(Quotas::new(settings.bounds.limit_window, clock::now())),
            repeats: Mutex::default(),
            strikes: Mutex::default(),
            rollouts: Mutex::default(),
            usage: Mutex::new(UsageBook::new(incarnation, settings.bounds.usage_window_ms)),
            peers: Mutex::new(Peers::new(member)),
            lease: Mutex::new(Lease::new(holder, settings.bounds.lease_ms)),
            channels: Channels::default(),
            route_labels: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            stop: Mutex::new(None),
            stopping: CancellationToken::new(),
            was_ready: AtomicBool::new(false),
            era: Mutex::default(),
            outbox,
            settings: RwLock::new(Arc::new(settings)),
        };
        (Arc::new(node), messages)
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<NodeSettings> {
        Arc::clone(&self.settings.read())
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Arc<Catalog> {
        Arc::clone(&self.in_force.read().catalog)
    }

    /// Whether this node should get requests.
    pub fn is_ready(&self, now: TimeMs) -> bool {
        let revoke_ms = self.settings().bounds.revoke_ms;
        let is_current = {
            let in_force = self.in_force.read();
            in_force.is_known() && in_force.is_fresh(revoke_ms, now)
        };
        let knows_upstreams = self.upstreams_view.lock().is_known();
        is_current && knows_upstreams && !self.is_stopping()
    }

    /// Whether this node has been told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.is_cancelled()
    }

    /// Whether the store answers this node.
    pub fn store_reach(&self, now: TimeMs) -> StoreReach {
        self.store_contact.lock().reach(now)
    }

    /// Since this node started.
    pub fn running_ms(&self, now: TimeMs) -> u64 {
        now.since(self.started_at)
    }

    /// Whether a request that has just been read is answered here, be the node stopping or not.
    pub fn accepts(&self, is_stream: bool, now: TimeMs) -> bool {
        let stop = *self.stop.lock();
        stop.is_none_or(|stop| stop.accepts(is_stream, now))
    }

    /// Takes in how a call to the store ended.
    pub fn note_store<T>(&self, called: &Result<T, StoreError>, now: TimeMs) {
        self.store_contact
            .lock()
            .note(store::is_served(called), now);
        self.note_store_era(now);
    }

    /// Takes in the era that the store has named last.
    pub fn note_store_era(&self, now: TimeMs) {
        self.note_era(self.store.era(), 0, now);
    }

    /// The store's era, and how long this node has known of it.
    pub fn era(&self, now: TimeMs) -> (u64, u64) {
        let known = *self.era.lock();
        (known.era, now.since(known.since))
    }

    /// Takes in the store's era as the store or a peer names it, and how long a peer has known of it.
    pub fn note_era(&self, era: u64, age_ms: u64, now: TimeMs) {
        let since = TimeMs(now.0.saturating_sub(age_ms));
        let mut known = self.era.lock();
        if era < known.era || (era == known.era && since >= known.since) {
            return;
        }
        let before = std::mem::replace(&mut *known, Era { era, since });
        let is_first = before.era == 0 && self.settings().is_first_start;
        self.lease.lock().enter_era(era, since, is_first);
        if era == before.era {
            return;
        }
        self.store.note_era(era);
        self.in_force.write().enter_era(era);
        self.upstreams_view.lock().enter_era(era);
        if before.era > 0 {
            self.store_contact.lock().note_return(now);
        }
        log::info!(event = "store_era_changed", before = before.era, era, age_ms; "the store has come back from a copy, or is known for the first time");
    }

    /// Whether removals of upstreams may only be lapses while the store was away.
    pub fn store_was_away(&self, now: TimeMs) -> bool {
        self.store_contact.lock().was_away(now)
    }

    /// Has a message sent to all peers at once.
    pub fn tell_peers(&self, message: Message) {
        self.tell(Recipients::All, message);
    }

    /// Has a message sent at once.
    pub fn tell(&self, recipients: Recipients, message: Message) {
        let outgoing = Outgoing {
            message,
            recipients,
        };
        if let Err(error) = self.outbox.try_send(outgoing) {
            log::warn!(error:% = error; "a message to the peers was dropped");
        }
    }

    /// The budget for sending requests to a second upstream.
    pub fn repeat_budget(&self) -> RepeatBudget {
        let bounds = self.settings().bounds;
        RepeatBudget {
            ratio: bounds.retry_ratio,
            window_ms: bounds.retry_window_ms,
            slack: bounds.retry_slack,
            nodes: self.peers.lock().told_of(),
        }
    }

    /// How fast a pool's engines are: as this node has learned, else as its peers have, else as is
    /// usual.
    pub fn pace(&self, pool: &str, now: TimeMs) -> Pace {
        let own = self.engines.lock().of(pool).pace();
        if own.is_learned {
            return own;
        }
        let learned = self.peer_paces.lock().middle(pool, None, now);
        learned.unwrap_or(own)
    }

    /// How fast a pool's engines are by what all nodes have learned; none if none has.
    pub fn fleet_pace(&self, pool: &str, now: TimeMs) -> Option<Pace> {
        let own = self.engines.lock().of(pool).pace();
        let own = own.is_learned.then_some(own);
        self.peer_paces.lock().middle(pool, own, now)
    }

    /// Upstreams of a pool that take work, by whether they are of a version.
    pub fn standing_by_version(&self, pool: &str, version: &str, now: TimeMs) -> Standing {
        let mut standing = Standing::default();
        for (_key, upstream) in self.upstreams.lock().iter() {
            let is_new = upstream.announced.version == version;
            match upstream.announced.pool == pool {
                true if is_new => standing.new += usize::from(upstream.takes_work(now)),
                true => {
                    standing.old += usize::from(upstream.takes_work(now));
                    standing.old_running += upstream.running();
                }
                false => {}
            }
        }
        standing
    }

    /// What this node has learned of each pool's engines, for its peers.
    pub fn learned_paces(&self) -> Vec<(u64, Pace)> {
        let engines = self.engines.lock();
        let paces = engines
            .iter()
            .map(|(pool, model)| (tag(pool), model.pace()));
        paces.filter(|(_pool, pace)| pace.is_learned).collect()
    }

    /// The time of day that most nodes agree on.
    pub fn time_of_day(&self, now: TimeMs) -> TimeMs {
        self.peers
            .lock()
            .agreed_time_of_day(clock::time_of_day(), now)
    }

    /// Counts a request while it is being answered.
    pub fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight {
            node: Arc::clone(self),
        }
    }
}

/// A request that is being answered.
#[derive(Debug)]
pub(crate) struct InFlight {
    node: Arc<Gateway>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.node.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
