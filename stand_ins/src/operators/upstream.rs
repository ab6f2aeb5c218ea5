//! An upstream: it announces itself in the store, answers plain calls and streams, and fails as
//! it is told. It writes its answers byte by byte itself, since most of its faults are not HTTP.

mod answers;
mod crash;
mod cut;
mod fault;
mod history;
mod late_copy;
mod places;
mod wire;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::task::JoinHandle;

pub use self::crash::{BadPart, ChannelEnd, Crash, CrashPoint};
pub use self::cut::AnswerCut;
pub use self::fault::{Endless, EndlessPart, Fault, Framing, KILLER};
pub use self::history::{Arrival, Run, is_misfit};
use super::store::Store;
use crate::chance::Chance;
use crate::server::{listen, now_ms};

/// Between two announcements.
const BEAT_MS: u64 = 400;

/// Usual work of a plain call, and before the first event of a stream.
const WORK_MS: u64 = 10;

/// Usual pause between two events of a stream.
const EVENT_PAUSE_MS: u64 = 30;

/// A rest that an upstream asks for binds a node this long after the answer.
const REST_BEGINS_MS: u64 = 500;

/// An upstream; dropping it crashes it.
#[derive(Debug)]
pub struct Upstream {
    core: Arc<Core>,
    serve: JoinHandle<()>,
    beat: JoinHandle<()>,
}

#[derive(Debug)]
struct Core {
    id: String,
    service: String,
    zone: String,
    version: String,
    address: Mutex<SocketAddr>,
    store: Store,
    fault: Mutex<Fault>,
    state: Mutex<&'static str>,
    /// When it started last, in Unix milliseconds.
    born_ms: Mutex<u64>,
    /// Announcements since then.
    announced: Mutex<u64>,
    /// What another writer puts in place of each of its records.
    overwritten: Mutex<Option<String>>,
    runs: Arc<Mutex<Vec<Run>>>,
    requests: Mutex<u64>,
    /// What its answers name as the requests a second that it takes from all nodes.
    limit: Mutex<Option<String>>,
    /// The rest that it asks of whom it turns away, in seconds.
    rest: Mutex<Option<String>>,
    /// What its answers say of its leaving.
    leaving: Mutex<Option<String>>,
    /// Requests that reached it, whether they ran or not.
    arrivals: Mutex<Vec<Arrival>>,
    has_crashed: watch::Sender<bool>,
    is_announcing: Mutex<bool>,
    /// How many requests it runs at once; it refuses others. None: as many as come.
    places: Mutex<Option<usize>>,
    running: Mutex<usize>,
    /// It falls over when it refuses more requests than this in a second.
    brittle: Mutex<Option<usize>>,
    refused_at_ms: Mutex<Vec<u64>>,
    /// When it fell over, in Unix milliseconds.
    falls_at_ms: Mutex<Vec<u64>>,
    framing: Mutex<Framing>,
    answer_cut: Mutex<Option<AnswerCut>>,
    /// Work of a plain call, and before the first event of a stream.
    work_ms: Mutex<u64>,
    /// Between two events of a stream.
    event_pause_ms: Mutex<u64>,
    /// Bytes of filler in each whole answer and in each event.
    filler_bytes: Mutex<usize>,
    /// Until when it stands still, in Unix milliseconds.
    still_until_ms: Mutex<u64>,
    /// Parts of prompts on which it crashes, and how.
    bad_parts: Mutex<Vec<BadPart>>,
    crash_by_part: Mutex<Crash>,
    crashes: watch::Sender<Crash>,
    /// When it crashed, other than for good, in Unix milliseconds.
    crashed_at_ms: Mutex<Vec<u64>>,
    is_down: Mutex<bool>,
    /// Has it repeat this share of its answers where the next one is due.
    late_copies: Mutex<Option<(Chance, f64)>>,
    /// It closes channels that were idle for so long.
    idle_ms: Mutex<Option<u64>>,
    /// Starts under a new id after the first.
    starts: Mutex<u64>,
}

/// What an upstream is.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// New at each start.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it stands.
    pub zone: String,
    /// The version of its software.
    pub version: String,
}

impl Upstream {
    /// Starts an upstream that announces itself; what it runs goes into `runs`.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub fn start(
        settings: UpstreamSettings,
        store: &Store,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> io::Result<Self> {
        let listener = listen(([127, 0, 0, 1], 0).into())?;
        let core = Arc::new(Core {
            id: settings.id,
            service: settings.service,
            zone: settings.zone,
            version: settings.version,
            address: Mutex::new(listener.local_addr()?),
            store: store.clone(),
            fault: Mutex::default(),
            state: Mutex::new("ready"),
            born_ms: Mutex::new(now_ms()),
            announced: Mutex::default(),
            overwritten: Mutex::default(),
            runs: Arc::clone(runs),
            requests: Mutex::default(),
            limit: Mutex::default(),
            rest: Mutex::default(),
            leaving: Mutex::default(),
            arrivals: Mutex::default(),
            has_crashed: watch::Sender::default(),
            is_announcing: Mutex::new(true),
            places: Mutex::default(),
            running: Mutex::default(),
            brittle: Mutex::default(),
            refused_at_ms: Mutex::default(),
            falls_at_ms: Mutex::default(),
            framing: Mutex::default(),
            answer_cut: Mutex::default(),
            work_ms: Mutex::new(WORK_MS),
            event_pause_ms: Mutex::new(EVENT_PAUSE_MS),
            filler_bytes: Mutex::default(),
            still_until_ms: Mutex::default(),
            bad_parts: Mutex::default(),
            crash_by_part: Mutex::default(),
            crashes: watch::Sender::default(),
            crashed_at_ms: Mutex::default(),
            is_down: Mutex::default(),
            late_copies: Mutex::default(),
            idle_ms: Mutex::default(),
            starts: Mutex::default(),
        });
        let serve = tokio::spawn(crash::serve(Arc::clone(&core), listener));
        core.announce();
        let beating = Arc::clone(&core);
        let beat = tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(BEAT_MS)).await;
                if *beating.has_crashed.borrow() {
                    return;
                }
                if *beating.is_announcing.lock() {
                    beating.announce();
                }
            }
        });
        Ok(Self { core, serve, beat })
    }

    /// The id of its first start.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.core.id
    }

    /// The id of its newest start.
    #[must_use]
    pub fn start_id(&self) -> String {
        self.core.start_id()
    }

    /// The failure domain in which it stands.
    #[must_use]
    pub fn zone(&self) -> &str {
        &self.core.zone
    }

    /// The version of its software.
    #[must_use]
    pub fn version(&self) -> &str {
        &self.core.version
    }

    /// Whether it has announced that it leaves.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.core.is_draining()
    }

    /// Where it listens, or is announced to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        *self.core.address.lock()
    }

    /// Announces another address, such as that of a proxy before it.
    pub fn announce_as(&self, address: SocketAddr) {
        *self.core.address.lock() = address;
        self.core.announce();
    }

    /// Changes how it answers.
    pub fn set(&self, fault: Fault) {
        *self.core.fault.lock() = fault;
    }

    /// Has its answers name a limit from now on, or none.
    pub fn name_limit(&self, limit: Option<&str>) {
        *self.core.limit.lock() = limit.map(str::to_owned);
    }

    /// Has it ask for so many seconds of rest when it turns requests away, or for none.
    pub fn ask_for_rest(&self, rest_s: Option<&str>) {
        *self.core.rest.lock() = rest_s.map(str::to_owned);
    }

    /// Has its answers say this of its leaving from now on, or nothing; its announcement stays as it is.
    pub fn say_leaving(&self, leaving: Option<&str>) {
        *self.core.leaving.lock() = leaving.map(str::to_owned);
    }

    /// When each request reached it, in Unix milliseconds, whether it ran or not.
    #[must_use]
    pub fn arrivals(&self) -> Vec<u64> {
        let arrivals = self.core.arrivals.lock();
        arrivals.iter().map(|arrival| arrival.at_ms).collect()
    }

    /// The requests that reached it, whether they ran or not.
    #[must_use]
    pub fn arrived_requests(&self) -> Vec<Arrival> {
        self.core.arrivals.lock().clone()
    }

    /// Most requests of one node that reached it from half a second after it had asked that node for rest until the end
    /// of that rest; `node_of` tells by a request's id which node got it.
    #[must_use]
    pub fn most_in_rest(&self, node_of: impl Fn(&str) -> usize) -> usize {
        let arrivals = self.core.arrivals.lock();
        let of_rest = |asked: &Arrival| {
            let rest_ms = asked.rest_ms.unwrap_or(0);
            let within = asked.at_ms + REST_BEGINS_MS..asked.at_ms + rest_ms;
            (arrivals.iter())
                .filter(|arrival| within.contains(&arrival.at_ms))
                .filter(|arrival| node_of(&arrival.request) == node_of(&asked.request))
                .count()
        };
        arrivals.iter().map(of_rest).max().unwrap_or(0)
    }

    /// Most requests that reached it within a span that begins at `from_ms` or later.
    #[must_use]
    pub fn most_in_span(&self, span_ms: u64, from_ms: u64) -> usize {
        let mut arrivals = self.arrivals();
        arrivals.retain(|at_ms| *at_ms >= from_ms);
        arrivals.sort_unstable();
        let starts = arrivals.iter().enumerate();
        let counts = starts.map(|(place, start_ms)| {
            arrivals[place..].partition_point(|at_ms| at_ms - start_ms < span_ms)
        });
        counts.max().unwrap_or(0)
    }

    /// Has it repeat a share of its answers and refusals where the next one is due.
    pub fn repeat_late(&self, share: f64, seed: u64) {
        *self.core.late_copies.lock() = Some((Chance::new(seed), share));
    }

    /// Has it close channels that were idle for so long, and say so in whole seconds, if there are any.
    pub fn close_idle_after(&self, idle_ms: u64) {
        *self.core.idle_ms.lock() = Some(idle_ms);
    }

    /// Announces that it leaves; it goes on answering.
    pub fn drain(&self) {
        *self.core.state.lock() = "draining";
        self.core.announce();
    }

    /// Starts again under its id: its count begins anew, and what it ran is gone without a sign.
    pub fn restart(&self) {
        self.core.begin_count();
    }

    /// Has it crash as it begins to write an answer to a request with one of these parts, other than the last.
    pub fn crash_on(&self, bad_parts: &[BadPart], crash: Crash) {
        *self.core.crash_by_part.lock() = crash;
        bad_parts.clone_into(&mut self.core.bad_parts.lock());
    }

    /// Crashes it now; it starts again after a while.
    pub fn crash(&self, crash: Crash) {
        self.core.crash(crash);
    }

    /// When it crashed, other than for good, in Unix milliseconds.
    #[must_use]
    pub fn crashed_at_ms(&self) -> Vec<u64> {
        self.core.crashed_at_ms.lock().clone()
    }

    /// Whether it crashed at this time or later, in Unix milliseconds.
    #[must_use]
    pub fn has_crashed_since(&self, from_ms: u64) -> bool {
        let times_ms = self.core.crashed_at_ms.lock();
        times_ms.iter().any(|at_ms| *at_ms >= from_ms)
    }

    /// Whether it is down between a crash and the next start.
    #[must_use]
    pub fn is_down(&self) -> bool {
        *self.core.is_down.lock()
    }

    /// Changes how the end of its answers is told.
    pub fn frame(&self, framing: Framing) {
        *self.core.framing.lock() = framing;
    }

    /// Has its answers end early from now on, or not.
    pub fn cut_answers(&self, cut: Option<AnswerCut>) {
        *self.core.answer_cut.lock() = cut;
    }

    /// Changes how long it works on a plain call, and before the first event of a stream.
    pub fn work_for(&self, work_ms: u64) {
        *self.core.work_ms.lock() = work_ms;
    }

    /// Changes how long it pauses between two events of a stream.
    pub fn pause_between_events(&self, pause_ms: u64) {
        *self.core.event_pause_ms.lock() = pause_ms;
    }

    /// Adds so many bytes to each whole answer and to each event from now on.
    pub fn fill_answers(&self, filler_bytes: usize) {
        *self.core.filler_bytes.lock() = filler_bytes;
    }

    /// Has it stand still from now on for a while and go on: it neither reads nor writes meanwhile, while its host accepts
    /// connections and what is sent.
    pub fn stand_still(&self, still_ms: u64) {
        *self.core.still_until_ms.lock() = now_ms() + still_ms;
    }

    /// Has something else stand under its key from now on, as another writer may put it there.
    pub fn overwrite(&self, value: &str) {
        *self.core.overwritten.lock() = Some(value.to_owned());
        self.core.announce();
    }

    /// Removes its announcement, as the store does after silence.
    pub fn lapse(&self) {
        self.core.lapse();
    }

    /// Has it run so many requests at once from now on and refuse others; it announces as many slots.
    pub fn limit_places(&self, places: usize) {
        *self.core.places.lock() = Some(places);
        self.core.announce();
    }

    /// Has it say in all its answers that it falls over when it refuses more than this in a second.
    pub fn become_brittle(&self, refusals: usize) {
        *self.core.brittle.lock() = Some(refusals);
    }

    /// When it fell over, in Unix milliseconds.
    #[must_use]
    pub fn falls_at_ms(&self) -> Vec<u64> {
        self.core.falls_at_ms.lock().clone()
    }

    /// Stops announcing itself, so that its announcement lapses, or starts again; it goes on answering.
    pub fn set_announcing(&self, is_announcing: bool) {
        *self.core.is_announcing.lock() = is_announcing;
        if is_announcing {
            self.core.announce();
        } else {
            self.lapse();
        }
    }

    /// Whether a request has crashed it.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        *self.core.has_crashed.borrow()
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.serve.abort();
        self.beat.abort();
        self.core.lapse();
    }
}

impl Core {
    /// The id of the newest start.
    fn start_id(&self) -> String {
        match *self.starts.lock() {
            0 => self.id.clone(),
            starts => format!("{}-start{starts}", self.id),
        }
    }

    fn is_draining(&self) -> bool {
        *self.state.lock() == "draining"
    }

    /// Waits while it stands still.
    async fn wait_while_still(&self) {
        let until_ms = *self.still_until_ms.lock();
        let left_ms = until_ms.saturating_sub(now_ms());
        tokio::time::sleep(Duration::from_millis(left_ms)).await;
    }

    fn lapse(&self) {
        self.store.put("keyed.servers", &self.start_id(), "");
    }

    /// Begins the announcements of a start.
    fn begin_count(&self) {
        let mut born_ms = self.born_ms.lock();
        *born_ms = now_ms().max(*born_ms + 1);
        drop(born_ms);
        *self.announced.lock() = 0;
        self.announce();
    }

    fn announce(&self) {
        if *self.is_down.lock() {
            return;
        }
        let seq = {
            let mut announced = self.announced.lock();
            *announced += 1;
            *announced
        };
        let value = serde_json::json!({
            "service": self.service, "address": self.address.lock().to_string(), "zone": self.zone,
            "version": self.version, "slots": self.places.lock().unwrap_or(64), "state": *self.state.lock(), "coldRemainingMs": 0, "seq": seq,
            "born": *self.born_ms.lock(),
        });
        let overwritten = self.overwritten.lock().clone();
        let value = overwritten.unwrap_or_else(|| value.to_string());
        self.store.put("keyed.servers", &self.start_id(), &value);
    }
}
