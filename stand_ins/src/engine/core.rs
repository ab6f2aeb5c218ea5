//! The state of one life of an engine, and what requests do to it.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Instant,
};

use parking_lot::Mutex;
use serde::Deserialize;
use tokio::sync::Notify;

use super::{
    EngineFault, EngineKnobs, EngineSettings,
    cache::{self, PrefixCache},
    kv::KvStore,
    load::LoadHistory,
    orders::Orders,
    stream::{Finish, Stream},
    text::{answer_tokens, prompt_tokens},
};
use crate::{chance::Chance, number::float};

/// The body of `POST /v1/streams`.
#[derive(Debug, Deserialize)]
pub(crate) struct StreamBody {
    attempt: String,
    model: String,
    prompt: String,
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    position: u64,
    /// The length of the whole answer, the prefix included.
    max_tokens: u64,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    seed: u64,
    import: Option<String>,
}

/// Why a stream was refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    Draining,
    QueueFull,
    ModelNotLoaded,
    Cancelled,
    Fault,
}

/// A stream that waits or runs.
#[derive(Debug)]
pub(crate) struct Job {
    pub stream: Arc<Stream>,
    /// Prompt and prefix.
    pub text: Vec<u8>,
    pub blocks: Vec<u64>,
    /// The position at which it ends.
    pub limit: u64,
    pub finish: Finish,
    /// Tokens that an import holds.
    pub imported_tokens: u64,
    /// Prompt tokens still to be computed.
    pub prefill_left: f64,
    /// The part of the next token that is done.
    pub fraction: f64,
    pub crashes: bool,
    pub fails: bool,
}

impl Job {
    pub fn is_decoding(&self) -> bool {
        self.prefill_left <= 0.0
    }

    /// Tokens that it may come to hold.
    pub fn kv_tokens(&self) -> u64 {
        self.stream.prompt_tokens + self.limit.saturating_sub(self.stream.start)
    }

    /// Prompt, prefix and what was generated.
    pub fn whole_text(&self) -> Vec<u8> {
        let stream = &self.stream;
        let generated = (stream.start..stream.position()).flat_map(|at| stream.key.token(at));
        self.text.iter().copied().chain(generated).collect()
    }
}

#[derive(Debug)]
pub(crate) struct State {
    pub streams: HashMap<String, Arc<Stream>>,
    pub refused: HashSet<String>,
    /// Higher priority first, then in the order of arrival.
    pub queue: BTreeMap<(Reverse<u8>, u64), Job>,
    pub arrivals: u64,
    pub running: Vec<Job>,
    pub cache: PrefixCache,
    pub kv: KvStore,
    pub orders: Orders,
    pub load: LoadHistory,
    pub generated_tokens: u64,
    /// When the scheduler last looked, in milliseconds since the start.
    pub ticked_ms: f64,
    pub purged_ms: u64,
}

#[derive(Debug)]
pub(crate) struct Core {
    pub state: Mutex<State>,
    /// Tells the scheduler that something arrived.
    pub wake: Notify,
    pub started: Instant,
}

impl Core {
    pub fn new(settings: &EngineSettings) -> Self {
        let state = State {
            streams: HashMap::new(),
            refused: HashSet::new(),
            queue: BTreeMap::new(),
            arrivals: 0,
            running: Vec::new(),
            cache: PrefixCache::new(
                settings.cache_tokens_capacity,
                settings.cache_event_gap_probability,
                Chance::new(settings.seed),
            ),
            kv: KvStore::default(),
            orders: Orders::new(settings),
            load: LoadHistory::new(settings.slots, settings.kv_tokens_capacity),
            generated_tokens: 0,
            ticked_ms: 0.0,
            purged_ms: 0,
        };
        Self {
            state: Mutex::new(state),
            wake: Notify::new(),
            started: Instant::now(),
        }
    }

    pub fn wake_readers(&self) {
        let streams: Vec<_> = self.state.lock().streams.values().cloned().collect();
        for stream in &streams {
            stream.advance(|_| ());
        }
    }

    /// Queues a stream, or finds the one that runs under this attempt already.
    pub fn start(
        &self,
        body: StreamBody,
        settings: &EngineSettings,
        knobs: &EngineKnobs,
        now_ms: u64,
    ) -> Result<Arc<Stream>, Refusal> {
        // The hashes are taken before the lock, as a prompt may be megabytes long.
        let crash_mark = settings.crash_mark.as_deref();
        let crashes = crash_mark.is_some_and(|mark| body.prompt.contains(mark));
        let fails = knobs.fault == EngineFault::FailFirstToken;
        let model = body.model.clone();
        let (priority, import) = (body.priority, body.import.clone());
        let mut job = body.into_job(crashes, fails);
        let mut state = self.state.lock();
        if let Some(stream) = state.streams.get(&job.stream.attempt) {
            return Ok(Arc::clone(stream));
        }
        match () {
            () if state.refused.contains(&job.stream.attempt) => return Err(Refusal::Cancelled),
            () if knobs.draining => return Err(Refusal::Draining),
            () if !state.orders.serves(&model, now_ms) => return Err(Refusal::ModelNotLoaded),
            () if state.queue.len() >= settings.queue_limit => return Err(Refusal::QueueFull),
            () if knobs.fault == EngineFault::Refuse => return Err(Refusal::Fault),
            () => {}
        }
        job.imported_tokens =
            import.map_or(0, |handle| state.kv.covered_tokens(&handle, &job.text));
        let stream = Arc::clone(&job.stream);
        state
            .streams
            .insert(stream.attempt.clone(), Arc::clone(&stream));
        state.arrivals += 1;
        let place = (Reverse(priority), state.arrivals);
        state.queue.insert(place, job);
        drop(state);
        self.wake.notify_one();
        Ok(stream)
    }

    /// Cancels an attempt, or refuses it for good if it has not arrived.
    pub fn cancel(&self, attempt: &str, now_ms: u64) {
        let mut state = self.state.lock();
        let Some(stream) = state.streams.get(attempt).cloned() else {
            state.refused.insert(attempt.to_owned());
            return;
        };
        state.queue.retain(|_, job| job.stream.attempt != attempt);
        state.running.retain(|job| job.stream.attempt != attempt);
        stream.end(Finish::Cancelled, now_ms);
        drop(state);
        self.wake.notify_one();
    }
}

impl StreamBody {
    fn into_job(self, crashes: bool, fails: bool) -> Job {
        let limit = answer_tokens(&self.prompt, self.max_tokens);
        let finish = if limit < self.max_tokens {
            Finish::Stop
        } else {
            Finish::Length
        };
        let text = [self.prompt.as_bytes(), self.prefix.as_bytes()].concat();
        let tokens = prompt_tokens(text.len());
        let stream = Stream::new(self.attempt, &self.prompt, self.seed, self.position, tokens);
        Job {
            stream: Arc::new(stream),
            blocks: cache::blocks(&text),
            text,
            limit,
            finish,
            imported_tokens: 0,
            prefill_left: float(tokens),
            fraction: 0.0,
            crashes,
            fails,
        }
    }
}
