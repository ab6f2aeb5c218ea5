//! A fault-injecting proxy for TCP and UDP.

mod tcp;
mod udp;

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use tokio::{sync::watch, time::Instant};

use crate::chance::Chance;

pub use self::{tcp::TcpProxy, udp::UdpProxy};

/// What a proxy is like.
#[derive(Clone, Copy, Debug)]
pub struct ProxySettings {
    /// Where to listen; port 0 takes a free one.
    pub address: SocketAddr,
    /// The seed of what goes wrong.
    pub seed: u64,
    /// What may change at run time.
    pub knobs: ProxyKnobs,
}

impl ProxySettings {
    /// A proxy without faults before `target`, on a free loopback port.
    #[must_use]
    pub fn new(target: SocketAddr) -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            seed: 1,
            knobs: ProxyKnobs {
                target,
                refuse: false,
                to_target: Direction::default(),
                to_caller: Direction::default(),
            },
        }
    }
}

/// What may change while a proxy runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProxyKnobs {
    /// Where new connections and datagrams go.
    pub target: SocketAddr,
    /// Whether new connections are reset at once.
    pub refuse: bool,
    /// What happens on the way to the target.
    pub to_target: Direction,
    /// What happens on the way back.
    pub to_caller: Direction,
}

/// What happens in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Direction {
    /// How late everything arrives.
    pub delay_ms: u64,
    /// Whether nothing arrives: TCP bytes wait until this ends, datagrams are lost.
    ///
    /// In one direction this is a half-open connection, in both a partition.
    pub silent: bool,
    /// The share of datagrams that are lost.
    pub drop_probability: f64,
    /// The share of forwarded TCP chunks at which the connection is reset.
    pub cut_probability: f64,
}

/// A way through the proxy.
#[derive(Clone, Copy, Debug)]
enum Way {
    ToTarget,
    ToCaller,
}

#[derive(Debug)]
struct Faults {
    knobs: watch::Sender<ProxyKnobs>,
    chance: Chance,
}

impl Faults {
    fn new(settings: &ProxySettings) -> Arc<Self> {
        Arc::new(Self {
            knobs: watch::Sender::new(settings.knobs),
            chance: Chance::new(settings.seed),
        })
    }

    fn direction(&self, way: Way) -> Direction {
        way.of(&self.knobs.borrow())
    }

    async fn until_heard(&self, way: Way) {
        // The sender lives in `self`, so the wait cannot fail.
        drop(
            self.knobs
                .subscribe()
                .wait_for(|knobs| !way.of(knobs).silent)
                .await,
        );
    }
}

impl Way {
    fn of(self, knobs: &ProxyKnobs) -> Direction {
        match self {
            Self::ToTarget => knobs.to_target,
            Self::ToCaller => knobs.to_caller,
        }
    }
}

impl Direction {
    fn arrival(self) -> Instant {
        Instant::now() + Duration::from_millis(self.delay_ms)
    }
}
