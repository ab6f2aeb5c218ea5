//! The proxy for UDP.

use std::{
    collections::{HashMap, hash_map::Entry},
    io,
    net::{Ipv4Addr, Ipv6Addr, SocketAddr},
    sync::Arc,
};

use tokio::{
    net::UdpSocket,
    task::{JoinHandle, JoinSet},
    time::sleep_until,
};

use super::{Faults, ProxyKnobs, ProxySettings, Way};

const MAX_DATAGRAM_BYTES: usize = 65_535;

/// A running proxy for datagrams; each caller keeps one port towards the target.
#[derive(Debug)]
pub struct UdpProxy {
    address: SocketAddr,
    faults: Arc<Faults>,
    task: JoinHandle<()>,
}

impl UdpProxy {
    /// Starts a proxy.
    ///
    /// # Errors
    ///
    /// If its address cannot be bound.
    pub async fn start(settings: ProxySettings) -> io::Result<Self> {
        let socket = UdpSocket::bind(settings.address).await?;
        let address = socket.local_addr()?;
        let faults = Faults::new(&settings);
        let task = tokio::spawn(receive(Arc::new(socket), Arc::clone(&faults)));
        Ok(Self {
            address,
            faults,
            task,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what may change at run time.
    pub fn change(&self, change: impl FnOnce(&mut ProxyKnobs)) {
        self.faults.knobs.send_modify(change);
    }
}

impl Drop for UdpProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn receive(socket: Arc<UdpSocket>, faults: Arc<Faults>) {
    let mut tasks = JoinSet::new();
    let mut ports = HashMap::new();
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        while tasks.try_join_next().is_some() {}
        // An error tells of an earlier datagram that nobody wanted.
        let Ok((length, caller)) = socket.recv_from(&mut datagram).await else {
            continue;
        };
        let port = match ports.entry(caller) {
            Entry::Occupied(known) => Arc::clone(known.get()),
            Entry::Vacant(unknown) => {
                let Ok(port) = UdpSocket::bind(any_port(caller)).await else {
                    continue;
                };
                let port = Arc::clone(unknown.insert(Arc::new(port)));
                let (from, to) = (Arc::clone(&port), Arc::clone(&socket));
                tasks.spawn(answer(from, to, caller, Arc::clone(&faults)));
                port
            }
        };
        let target = faults.knobs.borrow().target;
        let bytes = datagram[..length].to_vec();
        tasks.spawn(deliver(
            port,
            target,
            bytes,
            Arc::clone(&faults),
            Way::ToTarget,
        ));
    }
}

async fn answer(from: Arc<UdpSocket>, to: Arc<UdpSocket>, caller: SocketAddr, faults: Arc<Faults>) {
    let mut tasks = JoinSet::new();
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        while tasks.try_join_next().is_some() {}
        let Ok(length) = from.recv(&mut datagram).await else {
            continue;
        };
        let bytes = datagram[..length].to_vec();
        tasks.spawn(deliver(
            Arc::clone(&to),
            caller,
            bytes,
            Arc::clone(&faults),
            Way::ToCaller,
        ));
    }
}

async fn deliver(
    by: Arc<UdpSocket>,
    to: SocketAddr,
    bytes: Vec<u8>,
    faults: Arc<Faults>,
    way: Way,
) {
    let direction = faults.direction(way);
    if direction.silent || faults.chance.happens(direction.drop_probability) {
        return;
    }
    if direction.delay_ms > 0 {
        sleep_until(direction.arrival()).await;
    }
    // A datagram that cannot be sent is lost, as datagrams may be.
    drop(by.send_to(&bytes, to).await);
}

fn any_port(caller: SocketAddr) -> SocketAddr {
    match caller {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    }
}
