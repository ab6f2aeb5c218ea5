//! The proxy for TCP.

use std::{io, net::SocketAddr, sync::Arc};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::{mpsc, watch},
    task::{JoinHandle, JoinSet},
    time::{Instant, sleep_until},
};

use super::{Faults, ProxyKnobs, ProxySettings, Way};
use crate::server::{accept_one, listen};

const CHUNK_BYTES: usize = 16 << 10;
/// Chunks under way in one direction; more wait at the sender.
const CHUNKS_UNDER_WAY: usize = 256;

/// A running proxy for TCP connections.
#[derive(Debug)]
pub struct TcpProxy {
    address: SocketAddr,
    faults: Arc<Faults>,
    cuts: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl TcpProxy {
    /// Starts a proxy.
    ///
    /// # Errors
    ///
    /// If its address cannot be listened on.
    #[expect(
        clippy::unused_async,
        reason = "it needs a running runtime, which async callers have"
    )]
    pub async fn start(settings: ProxySettings) -> io::Result<Self> {
        let listener = listen(settings.address)?;
        let address = listener.local_addr()?;
        let faults = Faults::new(&settings);
        let cuts = watch::Sender::new(0);
        let task = tokio::spawn(accept(listener, Arc::clone(&faults), cuts.clone()));
        Ok(Self {
            address,
            faults,
            cuts,
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

    /// Resets the connections of the moment.
    pub fn cut(&self) {
        self.cuts.send_modify(|count| *count += 1);
    }
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, faults: Arc<Faults>, cuts: watch::Sender<u64>) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let caller = accept_one(&listener).await;
        connections.spawn(carry(caller, Arc::clone(&faults), cuts.subscribe()));
    }
}

/// Carries one connection until both ways have ended or it is reset.
async fn carry(mut caller: TcpStream, faults: Arc<Faults>, mut cuts: watch::Receiver<u64>) {
    let knobs = *faults.knobs.borrow();
    let connected = TcpStream::connect(knobs.target);
    let (false, Ok(mut target)) = (knobs.refuse, connected.await) else {
        return reset(&caller);
    };
    let is_reset = {
        drop(target.set_nodelay(true));
        let ((from_caller, to_caller), (from_target, to_target)) = (caller.split(), target.split());
        let there = pump(from_caller, to_target, &faults, Way::ToTarget);
        let back = pump(from_target, to_caller, &faults, Way::ToCaller);
        tokio::select! {
            carried = async { tokio::try_join!(there, back) } => carried.is_err(),
            _ = cuts.changed() => true,
        }
    };
    if is_reset {
        reset(&caller);
        reset(&target);
    }
}

/// Makes the socket's end a reset instead of an orderly end.
fn reset(socket: &TcpStream) {
    // A socket that has failed already needs no reset.
    drop(socket.set_zero_linger());
}

/// Carries bytes one way, each chunk as late as the delay says, until the end or a cut.
async fn pump(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    faults: &Faults,
    way: Way,
) -> io::Result<()> {
    let (sender, mut receiver) = mpsc::channel::<(Instant, Bytes)>(CHUNKS_UNDER_WAY);
    let read = async move {
        loop {
            let mut chunk = BytesMut::with_capacity(CHUNK_BYTES);
            let length = from.read_buf(&mut chunk).await?;
            let direction = faults.direction(way);
            if length > 0 && faults.chance.happens(direction.cut_probability) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            // An empty chunk stands for the end.
            let is_sent = sender
                .send((direction.arrival(), chunk.freeze()))
                .await
                .is_ok();
            if length == 0 || !is_sent {
                return Ok(());
            }
        }
    };
    let write = async {
        while let Some((arrival, chunk)) = receiver.recv().await {
            sleep_until(arrival).await;
            faults.until_heard(way).await;
            match chunk.len() {
                0 => to.shutdown().await?,
                _ => to.write_all(&chunk).await?,
            }
        }
        Ok(())
    };
    tokio::try_join!(read, write).map(|_| ())
}
