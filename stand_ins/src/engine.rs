//! The model engine: continuous batching by rate, a prefix cache and KV transfer.

mod cache;
mod core;
mod http;
mod kv;
mod load;
mod orders;
mod schedule;
mod stream;
mod text;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use parking_lot::Mutex;
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

pub use self::{
    cache::{BLOCK_BYTES, BLOCK_TOKENS, CacheEvent, CacheEventKind, blocks},
    load::Load,
    orders::{LoadedModel, Order, OrderBody, OrderRecord},
    stream::{Execution, Finish},
    text::{STOP_MARK, answer_tokens, expected_answer, prompt_tokens, token_text},
};
use self::{core::Core, http::Http, stream::Stream};
use crate::server::Server;

const REBIND_PAUSE: Duration = Duration::from_millis(5);
const REBIND_ATTEMPTS: u32 = 400;

/// What an engine is like.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Where to listen; port 0 takes a free one.
    pub address: SocketAddr,
    /// The models loaded at the start, each with its version.
    pub models: Vec<(String, String)>,
    /// The role at the start.
    pub role: String,
    /// Streams that run at once.
    pub slots: usize,
    /// Streams that wait; more are refused with `queue_full`.
    pub queue_limit: usize,
    /// Tokens generated per second by all streams together.
    pub tokens_per_second: f64,
    /// Prompt tokens computed per second by all streams together.
    pub prefill_tokens_per_second: f64,
    /// The shortest time between two tokens of a stream; may be 0.
    pub min_token_interval_ms: f64,
    /// Tokens that running streams may hold together.
    pub kv_tokens_capacity: u64,
    /// Tokens that the prefix cache holds.
    pub cache_tokens_capacity: u64,
    /// The share of cache events that are lost.
    pub cache_event_gap_probability: f64,
    /// Bytes of KV cache per token.
    pub kv_bytes_per_token: u64,
    /// Bytes of KV cache that leave or arrive per second.
    pub kv_bytes_per_second: f64,
    /// Whether orders with an old fencing number are refused.
    pub checks_orders: bool,
    /// How long loading a model takes.
    pub load_model_ms: u64,
    /// A prompt that holds this text kills the engine at the end of its prefill.
    pub crash_mark: Option<String>,
    /// The seed of what is lost.
    pub seed: u64,
    /// What may change at run time.
    pub knobs: EngineKnobs,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            models: vec![("m".to_owned(), "1".to_owned())],
            role: "interactive".to_owned(),
            slots: 32,
            queue_limit: 1024,
            tokens_per_second: 2_000.0,
            prefill_tokens_per_second: 50_000.0,
            min_token_interval_ms: 10.0,
            kv_tokens_capacity: 1 << 22,
            cache_tokens_capacity: 1 << 18,
            cache_event_gap_probability: 0.0,
            kv_bytes_per_token: 1 << 10,
            kv_bytes_per_second: 1e9,
            checks_orders: true,
            load_model_ms: 50,
            crash_mark: None,
            seed: 1,
            knobs: EngineKnobs::default(),
        }
    }
}

/// What may change while an engine runs.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineKnobs {
    /// How old a load report is.
    pub load_lag_ms: u64,
    /// How late cache events come.
    pub cache_event_lag_ms: u64,
    /// The engine's speed; 1 is that of its settings.
    pub speed: f64,
    /// Whether new streams are refused with `draining`.
    pub draining: bool,
    /// What goes wrong with new streams.
    pub fault: EngineFault,
}

impl Default for EngineKnobs {
    fn default() -> Self {
        Self {
            load_lag_ms: 0,
            cache_event_lag_ms: 0,
            speed: 1.0,
            draining: false,
            fault: EngineFault::None,
        }
    }
}

/// What goes wrong with new streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineFault {
    /// Nothing.
    None,
    /// They get `500`, without running.
    Refuse,
    /// They run up to their first token and end in an `error` event.
    FailFirstToken,
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
}

/// What outlives the engine's death.
#[derive(Debug)]
struct Shared {
    settings: EngineSettings,
    address: SocketAddr,
    knobs: Mutex<EngineKnobs>,
    paused: Arc<watch::Sender<bool>>,
    life: Mutex<Option<Life>>,
    executed: Mutex<Vec<Arc<Stream>>>,
    orders: Mutex<Vec<OrderRecord>>,
    deaths: Mutex<Vec<u64>>,
}

/// One life of the engine's process; dropping it ends it.
#[derive(Debug)]
struct Life {
    core: Arc<Core>,
    _server: Server,
    scheduler: JoinHandle<()>,
}

impl Drop for Life {
    fn drop(&mut self) {
        self.scheduler.abort();
    }
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// If its address cannot be listened on.
    #[expect(
        clippy::unused_async,
        reason = "it needs a running runtime, which async callers have"
    )]
    pub async fn start(settings: EngineSettings) -> io::Result<Self> {
        let knobs = Mutex::new(settings.knobs.clone());
        let listener = crate::server::listen(settings.address)?;
        let shared = Shared {
            settings,
            address: listener.local_addr()?,
            knobs,
            paused: Arc::new(watch::Sender::new(false)),
            life: Mutex::new(None),
            executed: Mutex::default(),
            orders: Mutex::default(),
            deaths: Mutex::default(),
        };
        let engine = Self {
            shared: Arc::new(shared),
        };
        engine.live(listener)?;
        Ok(engine)
    }

    /// Where it listens, also after a restart.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Changes what may change at run time.
    pub fn change(&self, change: impl FnOnce(&mut EngineKnobs)) {
        change(&mut self.shared.knobs.lock());
        if let Some(core) = self.core() {
            core.wake.notify_one();
        }
    }

    /// Dies at once: cuts all connections and forgets everything.
    pub fn kill(&self) {
        self.shared.kill();
    }

    /// Whether it runs.
    #[must_use]
    pub fn is_alive(&self) -> bool {
        self.shared.life.lock().is_some()
    }

    /// Dies if it runs, then begins anew at the same address.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on.
    pub async fn restart(&self) -> io::Result<()> {
        self.kill();
        // The listener of the last life closes only when the runtime gets to its task.
        let mut attempts = 0;
        let listener = loop {
            match crate::server::listen(self.address()) {
                Ok(listener) => break listener,
                Err(fault) if attempts == REBIND_ATTEMPTS => return Err(fault),
                Err(_) => attempts += 1,
            }
            tokio::time::sleep(REBIND_PAUSE).await;
        };
        self.live(listener)
    }

    fn live(&self, listener: TcpListener) -> io::Result<()> {
        let shared = &self.shared;
        let core = Arc::new(Core::new(&shared.settings));
        let handler = Arc::new(Http::new(Arc::clone(&core), Arc::clone(shared)));
        let server = Server::serve(listener, handler)?;
        let scheduler = tokio::spawn(schedule::run(Arc::clone(&core), Arc::clone(shared)));
        *shared.life.lock() = Some(Life {
            core,
            _server: server,
            scheduler,
        });
        Ok(())
    }

    /// Stands still, as a stopped process does, or goes on.
    pub fn pause(&self, paused: bool) {
        self.shared.paused.send_replace(paused);
        if let Some(core) = self.core() {
            core.wake_readers();
            core.wake.notify_one();
        }
    }

    /// Every attempt that began to run, in the order of their start, over all lives.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        let executed = self.shared.executed.lock();
        executed.iter().map(|stream| stream.execution()).collect()
    }

    /// Every order that arrived, over all lives.
    #[must_use]
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.shared.orders.lock().clone()
    }

    /// When it died, by a crash or by [`Engine::kill`].
    #[must_use]
    pub fn deaths_ms(&self) -> Vec<u64> {
        self.shared.deaths.lock().clone()
    }

    /// The load at present, without lag; `None` when dead.
    #[must_use]
    pub fn load(&self) -> Option<Load> {
        let core = self.core()?;
        let draining = self.shared.knobs.lock().draining;
        Some(core.state.lock().load.report(crate::now_ms(), draining))
    }

    fn core(&self) -> Option<Arc<Core>> {
        self.shared
            .life
            .lock()
            .as_ref()
            .map(|life| Arc::clone(&life.core))
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Shared {
    fn kill(&self) {
        let life = self.life.lock().take();
        if life.is_some() {
            self.deaths.lock().push(crate::now_ms());
        }
    }

    async fn unpaused(&self) {
        // The sender lives in `self`, so the wait cannot fail.
        drop(self.paused.subscribe().wait_for(|paused| !paused).await);
    }
}
