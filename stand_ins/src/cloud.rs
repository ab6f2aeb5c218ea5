//! The host list and cloud API: a lagging list, notices, purchases, prices and reclaims.

mod http;
mod state;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Weak},
};

use parking_lot::Mutex;
use tokio::sync::{mpsc, watch};

use self::state::State;
pub use self::state::{HostRecord, HostSpec, LeaveReason, Notice, Price, PurchaseRecord};
use crate::{
    chance::Chance,
    server::{Server, sleep_until_ms},
};

/// What a cloud is like.
#[derive(Clone, Debug)]
pub struct CloudSettings {
    /// Where to listen; port 0 takes a free one.
    pub address: SocketAddr,
    /// What hosts cost.
    pub prices: Vec<Price>,
    /// The seed of refusals and lost answers.
    pub seed: u64,
    /// What may change at run time.
    pub knobs: CloudKnobs,
}

impl Default for CloudSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            prices: Vec::new(),
            seed: 1,
            knobs: CloudKnobs::default(),
        }
    }
}

/// What may change while a cloud runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CloudKnobs {
    /// How old the host list is.
    pub list_lag_ms: u64,
    /// The time between a purchase and its host's start.
    pub start_delay_ms: u64,
    /// The share of purchases that are refused.
    pub refuse_probability: f64,
    /// Failure domains in which no reclaimable host is to be had.
    pub exhausted_domains: Vec<String>,
    /// The share of purchases whose answer is lost after they took effect.
    pub lose_answer_probability: f64,
    /// Whether every call is answered with `503`.
    pub outage: bool,
}

/// What the owner of the hosts has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostEvent {
    /// A purchased host is to be started; answer with [`Cloud::started`].
    Start(HostSpec),
    /// The host is gone: its process is to be killed.
    Stop {
        /// The host.
        host: String,
    },
}

/// Which hosts a reclaim takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reclaim {
    /// All reclaimable hosts of a failure domain.
    Domain(String),
    /// These hosts.
    Hosts(Vec<String>),
}

/// A running cloud.
#[derive(Debug)]
pub struct Cloud {
    server: Server,
    shared: Arc<Shared>,
    events: Mutex<Option<mpsc::UnboundedReceiver<HostEvent>>>,
}

#[derive(Debug)]
struct Shared {
    /// For tasks that run longer than the call that starts them.
    this: Weak<Shared>,
    state: Mutex<State>,
    knobs: Mutex<CloudKnobs>,
    chance: Chance,
    events: mpsc::UnboundedSender<HostEvent>,
    /// Counts notices, for those who wait for one.
    noticed: watch::Sender<u64>,
}

impl Cloud {
    /// Starts a cloud without hosts.
    ///
    /// # Errors
    ///
    /// If its address cannot be listened on.
    #[expect(
        clippy::unused_async,
        reason = "it needs a running runtime, which async callers have"
    )]
    pub async fn start(settings: CloudSettings) -> io::Result<Self> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let shared = Arc::new_cyclic(|this| Shared {
            this: Weak::clone(this),
            state: Mutex::new(State::new(settings.prices)),
            knobs: Mutex::new(settings.knobs),
            chance: Chance::new(settings.seed),
            events: sender,
            noticed: watch::Sender::new(0),
        });
        let server = Server::start(settings.address, Arc::clone(&shared))?;
        Ok(Self {
            server,
            shared,
            events: Mutex::new(Some(receiver)),
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// What the owner of the hosts has to do; `None` if taken before.
    pub fn take_events(&self) -> Option<mpsc::UnboundedReceiver<HostEvent>> {
        self.events.lock().take()
    }

    /// Changes what may change at run time.
    pub fn change(&self, change: impl FnOnce(&mut CloudKnobs)) {
        change(&mut self.shared.knobs.lock());
    }

    /// Lists a host that runs already; the list shows it at once.
    pub fn register(&self, spec: HostSpec, address: SocketAddr) {
        self.shared
            .state
            .lock()
            .register(spec, address, crate::now_ms());
    }

    /// Says that a purchased host runs; the list shows it after its lag.
    pub fn started(&self, host: &str, address: SocketAddr) {
        self.shared
            .state
            .lock()
            .started(host, address, crate::now_ms());
    }

    /// Sets a price from now on, also for hosts that are held.
    pub fn set_price(&self, price: Price) {
        self.shared.state.lock().set_price(price, crate::now_ms());
    }

    /// Announces that hosts are reclaimed in `notice_ms`; gives those hosts.
    pub fn announce_reclaim(&self, reclaim: &Reclaim, notice_ms: u64) -> Vec<String> {
        self.announce(reclaim, notice_ms, LeaveReason::Reclaim)
    }

    /// Announces that a host leaves by plan in `notice_ms`.
    pub fn announce_leave(&self, host: &str, notice_ms: u64) {
        let hosts = Reclaim::Hosts(vec![host.to_owned()]);
        self.announce(&hosts, notice_ms, LeaveReason::Planned);
    }

    /// Takes a host away without notice.
    pub fn lose(&self, host: &str) {
        self.shared.end(host);
    }

    /// Every host there ever was.
    #[must_use]
    pub fn hosts(&self) -> Vec<HostRecord> {
        self.shared.state.lock().records(crate::now_ms())
    }

    /// Every purchase that took effect.
    #[must_use]
    pub fn purchases(&self) -> Vec<PurchaseRecord> {
        self.shared.state.lock().purchases()
    }

    /// What all hosts have cost so far.
    #[must_use]
    pub fn cost(&self) -> f64 {
        self.hosts().iter().map(|host| host.cost).sum()
    }

    fn announce(&self, reclaim: &Reclaim, notice_ms: u64, reason: LeaveReason) -> Vec<String> {
        let now_ms = crate::now_ms();
        let leave_at_ms = now_ms + notice_ms;
        let hosts = self
            .shared
            .state
            .lock()
            .notice(reclaim, leave_at_ms, reason, now_ms);
        self.shared.noticed.send_modify(|count| *count += 1);
        let (shared, leaving) = (Arc::downgrade(&self.shared), hosts.clone());
        tokio::spawn(async move {
            sleep_until_ms(leave_at_ms).await;
            // A cloud dropped meanwhile takes nothing any more.
            let Some(shared) = shared.upgrade() else {
                return;
            };
            for host in &leaving {
                shared.end(host);
            }
        });
        hosts
    }
}

impl Shared {
    fn end(&self, host: &str) {
        let event = self.state.lock().end(host, crate::now_ms());
        if let Some(event) = event {
            self.emit(event);
        }
    }

    fn emit(&self, event: HostEvent) {
        // Without an owner there is no process to start or stop.
        drop(self.events.send(event));
    }
}
