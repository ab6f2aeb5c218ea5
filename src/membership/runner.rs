//! Runs a [`View`] on a UDP socket.

use std::io;
use std::time::Duration;

use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use super::member::MemberLoad;
use super::view::{Datagram, Event, Output, View};
use super::wire::MAX_DATAGRAM_BYTES;
use crate::time::Clock;

/// One byte more than the largest datagram, so that a truncated longer one is rejected by its size.
const BUFFER_BYTES: usize = MAX_DATAGRAM_BYTES + 1;

/// A view that [`Membership::run`] keeps up to date.
#[derive(Debug)]
pub struct Membership {
    view: Mutex<View>,
    clock: Clock,
    pending: Mutex<Output>,
    pending_changed: Notify,
}

impl Membership {
    /// Creates a membership from a view and the clock that supplies its times.
    #[must_use]
    pub fn new(view: View, clock: Clock) -> Self {
        Self {
            view: Mutex::new(view),
            clock,
            pending: Mutex::default(),
            pending_changed: Notify::new(),
        }
    }

    /// Calls `act` with the view while holding its lock.
    pub fn with_view<T>(&self, act: impl FnOnce(&mut View) -> T) -> T {
        act(&mut self.view.lock())
    }

    /// Announces immediately that this node accepts no new work.
    pub fn leave(&self) {
        let output = self.with_view(|view| view.leave(self.clock.now()));
        let mut pending = self.pending.lock();
        pending.datagrams.extend(output.datagrams);
        pending.events.extend(output.events);
        drop(pending);
        self.pending_changed.notify_one();
    }

    /// Runs the protocol until `shutdown`, then announces that this node has ended.
    ///
    /// `load` returns this node's load for the next heartbeats; `on_event` receives the state
    /// changes of members.
    ///
    /// # Errors
    ///
    /// Returns an error if reading the socket fails.
    pub async fn run(
        &self,
        socket: UdpSocket,
        load: impl Fn() -> MemberLoad + Send,
        mut on_event: impl FnMut(Event) + Send,
        shutdown: CancellationToken,
    ) -> io::Result<()> {
        let mut rng = SmallRng::from_os_rng();
        let interval_ms = self.with_view(|view| view.settings.interval_ms);
        let mut ticks = tokio::time::interval(Duration::from_millis(interval_ms));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            let output = tokio::select! {
                () = shutdown.cancelled() => break,
                _ = ticks.tick() => self.with_view(|view| {
                    let now = self.clock.now();
                    view.set_load(now, load());
                    view.tick(now, &mut rng)
                }),
                () = self.pending_changed.notified() => std::mem::take(&mut *self.pending.lock()),
                received = receive(&socket, &mut buffer) => {
                    let (length, from) = received?;
                    let bytes = &buffer[..length];
                    let result = self.with_view(|view| view.on_datagram(self.clock.now(), from, bytes));
                    result.unwrap_or_else(|error| {
                        log::debug!(from:%, cause:err = error; "invalid datagram dropped");
                        Output::default()
                    })
                }
            };
            output.events.into_iter().for_each(&mut on_event);
            send(&socket, &output.datagrams).await;
        }
        let output = self.with_view(|view| view.end(self.clock.now()));
        send(&socket, &output.datagrams).await;
        Ok(())
    }
}

/// Receives a datagram, ignoring errors that report an earlier datagram as refused.
///
/// The operating system reports the closed port of a receiver on the next read of the socket. If
/// that ended the loop, a node would stop receiving after one peer has ended, and all other nodes
/// would suspect it.
async fn receive(
    socket: &UdpSocket,
    buffer: &mut [u8],
) -> io::Result<(usize, std::net::SocketAddr)> {
    loop {
        match socket.recv_from(buffer).await {
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
            received => return received,
        }
    }
}

async fn send(socket: &UdpSocket, datagrams: &[Datagram]) {
    let (mut sent_bytes, mut sent_datagrams) = (0, 0);
    for datagram in datagrams {
        match socket.send_to(&datagram.bytes, datagram.to).await {
            Ok(bytes) => {
                sent_bytes += bytes as u64;
                sent_datagrams += 1;
            }
            // No retry: the next heartbeat carries the same information.
            Err(error) => {
                log::debug!(to:% = datagram.to, cause:err = error; "sending a datagram failed; the next heartbeat replaces it");
            }
        }
    }
    metrics::counter!("teaselline_membership_sent_bytes_total").increment(sent_bytes);
    metrics::counter!("teaselline_membership_sent_datagrams_total").increment(sent_datagrams);
}

#[cfg(test)]
mod tests;
