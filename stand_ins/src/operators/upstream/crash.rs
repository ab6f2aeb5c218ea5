//! Crashes on a part of a prompt, and the start after each.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;

use super::wire::Received;
use super::{BEAT_MS, Core};
use crate::server::{BACKLOG, accept_one, bind, now_ms};

/// The store removes an announcement after this long without a new one.
const LAPSE_MS: u64 = 3 * BEAT_MS;

/// Wait before another attempt to bind an address.
const BIND_RETRY: Duration = Duration::from_millis(20);

/// Time in which the channels of a crashed upstream end.
const CHANNELS_END: Duration = Duration::from_millis(100);

/// A part of a prompt that crashes upstreams, unless it is the prompt's last part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadPart {
    /// The part's id.
    pub id: String,
    /// The model whose requests crash; none: all models.
    pub model: Option<String>,
    /// What begins the paths whose requests crash; none: all paths.
    pub path: Option<String>,
}

impl BadPart {
    /// A part that is bad in all requests.
    #[must_use]
    pub fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            model: None,
            path: None,
        }
    }

    /// Returns whether a request with these parts crashes the upstream.
    #[must_use]
    pub fn crashes(&self, parts: &[String], model: Option<&str>, path: &str) -> bool {
        let but_last = parts.split_last().map_or(&[][..], |(_last, others)| others);
        but_last.contains(&self.id)
            && (self.model.as_deref()).is_none_or(|bad| Some(bad) == model)
            && (self.path.as_deref()).is_none_or(|bad| path.starts_with(bad))
    }
}

/// How much of the answer is sent before the crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Nothing.
    BeforeHead,
    /// The head.
    BeforeBody,
    /// The head and half of the body, or of the first event.
    InsideBody,
}

/// How the channels of a crashed upstream end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChannelEnd {
    /// By a reset.
    Reset,
    /// By an orderly end.
    Orderly,
    /// Not before the next start: the host is dark.
    None,
}

/// A crash and the start after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// How much of the answer is sent before it.
    pub point: CrashPoint,
    /// How all channels end.
    pub channels: ChannelEnd,
    /// Time until the upstream starts again, at the same address.
    pub down_ms: u64,
    /// Whether the upstream keeps its id.
    pub keeps_id: bool,
}

impl Default for Crash {
    fn default() -> Self {
        Self {
            point: CrashPoint::InsideBody,
            channels: ChannelEnd::Reset,
            down_ms: 1_500,
            keeps_id: false,
        }
    }
}

/// Accepts channels until the upstream ends; starts it again after each crash.
pub(super) async fn serve(core: Arc<Core>, mut listener: TcpListener) {
    let mut crashes = core.crashes.subscribe();
    let mut end = core.has_crashed.subscribe();
    loop {
        let mut channels = JoinSet::new();
        tokio::select! {
            () = accept(&core, &listener, &mut channels) => return,
            _ = end.wait_for(|has_crashed| *has_crashed) => return,
            _ = crashes.changed() => {}
        }
        let crash = *crashes.borrow_and_update();
        let address = listener.local_addr();
        let Ok(address) = address else { return };
        if crash.channels == ChannelEnd::None {
            core.stay_down(crash).await;
            channels.shutdown().await;
            drop(listener);
            let reserved = reserve(address).await;
            let Ok(started) = reserved.listen(BACKLOG) else {
                return;
            };
            listener = started;
            core.start_again(crash.keeps_id);
            continue;
        }
        drop(listener);
        let reserved = reserve(address).await;
        let ends = async { while channels.join_next().await.is_some() {} };
        drop(tokio::time::timeout(CHANNELS_END, ends).await);
        channels.shutdown().await;
        core.stay_down(crash).await;
        if core.is_draining() {
            return core.lapse();
        }
        let Ok(started) = reserved.listen(BACKLOG) else {
            return;
        };
        listener = started;
        core.start_again(crash.keeps_id);
    }
}

async fn accept(core: &Arc<Core>, listener: &TcpListener, channels: &mut JoinSet<()>) {
    loop {
        let socket = accept_one(listener).await;
        let crashes = core.crashes.subscribe();
        let core = Arc::clone(core);
        channels.spawn(async move {
            // A caller that goes away is ordinary here.
            drop(core.channel(socket, crashes).await);
        });
    }
}

/// Binds an address without listening, so that it refuses channels and no other socket takes it.
async fn reserve(address: SocketAddr) -> TcpSocket {
    loop {
        if let Ok(socket) = bind(address) {
            return socket;
        }
        tokio::time::sleep(BIND_RETRY).await;
    }
}

impl ChannelEnd {
    /// Ends a channel.
    pub(super) fn apply(self, socket: TcpStream) -> io::Result<()> {
        if self == Self::Reset {
            // Closing with nothing to linger for sends a reset.
            socket.set_zero_linger()?;
        }
        drop(socket);
        Ok(())
    }
}

impl Core {
    /// Ends all channels, and the announcements until the next start.
    pub(super) fn crash(&self, crash: Crash) {
        let mut is_down = self.is_down.lock();
        if *is_down {
            return;
        }
        *is_down = true;
        self.crashed_at_ms.lock().push(now_ms());
        self.crashes.send_replace(crash);
    }

    /// Returns how a request crashes this upstream; none if it does not.
    pub(super) fn crash_of(&self, request: &Received) -> Option<Crash> {
        let parts = request.parts();
        let model = request.header("model");
        let bad_parts = self.bad_parts.lock();
        let mut bad_parts = bad_parts.iter();
        bad_parts
            .any(|bad| bad.crashes(&parts, model, &request.path))
            .then(|| *self.crash_by_part.lock())
    }

    async fn stay_down(&self, crash: Crash) {
        let silent_ms = crash.down_ms.min(LAPSE_MS);
        tokio::time::sleep(Duration::from_millis(silent_ms)).await;
        if !crash.keeps_id || crash.down_ms > LAPSE_MS {
            self.lapse();
        }
        tokio::time::sleep(Duration::from_millis(crash.down_ms - silent_ms)).await;
    }

    fn start_again(&self, keeps_id: bool) {
        if !keeps_id {
            *self.starts.lock() += 1;
        }
        *self.is_down.lock() = false;
        self.begin_count();
    }
}

#[cfg(test)]
mod tests;
