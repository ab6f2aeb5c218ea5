//! An upstream: it announces itself in the store, answers plain calls and streams, and fails as
//! it is told. It writes its answers byte by byte itself, since most of its faults are not HTTP.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, JoinSet};

use super::store::Store;
use crate::server::{accept_one, listen, now_ms};

/// Between two announcements.
const BEAT_MS: u64 = 400;

/// Work of a plain call, and between two events of a stream.
const WORK_MS: u64 = 10;

/// A rest that an upstream asks for binds a node this long after the answer.
const REST_BEGINS_MS: u64 = 500;

/// How long an upstream that has fallen over resets its channels.
const FALLEN_MS: u64 = 1_500;

/// The span in which a brittle upstream counts what it refuses.
const BRITTLE_SPAN_MS: u64 = 1_000;

/// A body that holds this crashes the upstream that runs it.
pub const KILLER: &str = "kill-the-upstream";

/// How an upstream answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// As it should.
    #[default]
    None,
    /// It runs each second request and resets the channel without an answer.
    LosesAnswers,
    /// It sends a second answer some milliseconds after each.
    AnswersTwice,
    /// It runs requests and never answers.
    Silent,
    /// It answers with a failure.
    Fails,
    /// It does not run requests and says so.
    Sheds,
    /// It breaks streams off within their third event, and plain answers within their body.
    BreaksOff,
    /// It breaks streams that begin there off within their third event, and none that go on there.
    BreaksBegunStreams,
    /// It answers without a length and resets the channel in the middle.
    UnframedReset,
}

/// A request that an upstream began to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The upstream.
    pub upstream: String,
    /// The version of its software.
    pub version: String,
    /// The request's id.
    pub request: String,
    /// Path and query.
    pub path: String,
    /// The team that it was told.
    pub team: Option<String>,
    /// The event behind which it went on.
    pub resumed_after: Option<u64>,
    /// The request that brought the first event of the stream that the caller takes up, as it named it.
    pub resumes: Option<String>,
    /// The upstream's address from which it was told to copy what it lacks of the prompt.
    pub copied_from: Option<String>,
    /// When, in Unix milliseconds.
    pub at_ms: u64,
    /// When its channel was closed before the answer was out.
    pub left_at_ms: Option<u64>,
}

/// Whether the run of this place goes on with a stream that another software version began.
#[must_use]
pub fn is_misfit(runs: &[Run], place: usize) -> bool {
    let run = &runs[place];
    let begun_by = run.resumes.as_ref().unwrap_or(&run.request);
    let mut earlier = runs[..place].iter().rev();
    let began = earlier.find(|one| one.request == *begun_by && one.resumed_after.is_none());
    run.resumed_after.is_some() && began.is_some_and(|began| began.version != run.version)
}

/// A request that reached an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request's id.
    pub request: String,
    /// When, in Unix milliseconds.
    pub at_ms: u64,
    /// The rest in milliseconds that was asked of whom it turned away, if it did.
    pub rest_ms: Option<u64>,
}

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
    has_crashed: Mutex<bool>,
    is_announcing: Mutex<bool>,
    /// How many requests it runs at once; it refuses others. None: as many as come.
    places: Mutex<Option<usize>>,
    running: Mutex<usize>,
    /// It falls over when it refuses more requests than this in a second.
    brittle: Mutex<Option<usize>>,
    refused_at_ms: Mutex<Vec<u64>>,
    /// When it fell over, in Unix milliseconds.
    falls_at_ms: Mutex<Vec<u64>>,
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
            has_crashed: Mutex::default(),
            is_announcing: Mutex::new(true),
            places: Mutex::default(),
            running: Mutex::default(),
            brittle: Mutex::default(),
            refused_at_ms: Mutex::default(),
            falls_at_ms: Mutex::default(),
        });
        let accepting = Arc::clone(&core);
        let serve = tokio::spawn(async move {
            let mut channels = JoinSet::new();
            while !*accepting.has_crashed.lock() {
                let socket = accept_one(&listener).await;
                let core = Arc::clone(&accepting);
                channels.spawn(async move { drop(core.channel(socket).await) });
            }
        });
        core.announce();
        let beating = Arc::clone(&core);
        let beat = tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(BEAT_MS)).await;
                if *beating.has_crashed.lock() {
                    return;
                }
                if *beating.is_announcing.lock() {
                    beating.announce();
                }
            }
        });
        Ok(Self { core, serve, beat })
    }

    /// Its id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.core.id
    }

    /// The version of its software.
    #[must_use]
    pub fn version(&self) -> &str {
        &self.core.version
    }

    /// Whether it has announced that it leaves.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        *self.core.state.lock() == "draining"
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

    /// Announces that it leaves; it goes on answering.
    pub fn drain(&self) {
        *self.core.state.lock() = "draining";
        self.core.announce();
    }

    /// Starts again under its id: its count begins anew, and what it ran is gone without a sign.
    pub fn restart(&self) {
        let mut born_ms = self.core.born_ms.lock();
        *born_ms = now_ms().max(*born_ms + 1);
        drop(born_ms);
        *self.core.announced.lock() = 0;
        self.core.announce();
    }

    /// Has something else stand under its key from now on, as another writer may put it there.
    pub fn overwrite(&self, value: &str) {
        *self.core.overwritten.lock() = Some(value.to_owned());
        self.core.announce();
    }

    /// Removes its announcement, as the store does after silence.
    pub fn lapse(&self) {
        self.core.store.put("keyed.servers", &self.core.id, "");
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
        *self.core.has_crashed.lock()
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.serve.abort();
        self.beat.abort();
        self.core.store.put("keyed.servers", &self.core.id, "");
    }
}

/// A place that a request holds while it runs.
struct Place<'a> {
    core: &'a Core,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        *self.core.running.lock() -= 1;
    }
}

#[derive(Debug)]
struct Received {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Received {
    fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(given, _value)| given.eq_ignore_ascii_case(name))
            .map(|(_name, value)| value.as_str())
    }
}

impl Core {
    fn announce(&self) {
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
        self.store.put("keyed.servers", &self.id, &value);
    }

    async fn channel(&self, mut socket: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(request) = receive(&mut socket, &mut buffer).await? {
            if *self.has_crashed.lock() || self.is_fallen() {
                return reset(socket);
            }
            self.note_arrival(&request);
            if !self.answer(&mut socket, &request).await? {
                return reset(socket);
            }
        }
        Ok(())
    }

    fn note_arrival(&self, request: &Received) {
        let is_turned_away = *self.fault.lock() == Fault::Sheds;
        let asked = self
            .rest
            .lock()
            .as_deref()
            .and_then(|rest| rest.parse().ok());
        let asked = asked.and_then(|rest_s| Duration::try_from_secs_f64(rest_s).ok());
        let asked = asked.and_then(|rest| u64::try_from(rest.as_millis()).ok());
        let id = request.header("request-attempt-id").unwrap_or_default();
        self.arrivals.lock().push(Arrival {
            request: id.to_owned(),
            at_ms: now_ms(),
            rest_ms: asked.filter(|_rest_ms| is_turned_away),
        });
    }

    /// Answers a request; tells whether the channel stays open.
    async fn answer(&self, socket: &mut TcpStream, request: &Received) -> io::Result<bool> {
        let id = request.header("request-attempt-id").unwrap_or_default();
        let is_other = request
            .header("expect-instance")
            .is_some_and(|expected| expected != self.id);
        let fault = *self.fault.lock();
        if is_other {
            socket
                .write_all(b"HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n")
                .await?;
            return Ok(true);
        }
        if fault == Fault::Sheds {
            let head = format!(
                "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\n{}{}content-length: 0\r\n\r\n",
                self.said_lines(),
                line("retry-after", self.rest.lock().as_deref()),
            );
            socket.write_all(head.as_bytes()).await?;
            return Ok(true);
        }
        let Some(_place) = self.take_place() else {
            if self.falls_by_refusal() {
                return Ok(false);
            }
            let head = format!(
                "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\n{}content-length: 0\r\n\r\n",
                self.said_lines(),
            );
            socket.write_all(head.as_bytes()).await?;
            return Ok(true);
        };
        let place = self.begin(request, id);
        let number = {
            let mut requests = self.requests.lock();
            *requests += 1;
            *requests
        };
        if request
            .body
            .windows(KILLER.len())
            .any(|part| part == KILLER.as_bytes())
        {
            *self.has_crashed.lock() = true;
            return Ok(false);
        }
        let worked = self.work(socket, place, WORK_MS).await?;
        match fault {
            _ if !worked => Ok(false),
            Fault::Silent => {
                self.work(socket, place, 60_000).await?;
                Ok(false)
            }
            Fault::LosesAnswers if number.is_multiple_of(2) => Ok(false),
            Fault::Fails => {
                let head = self.head("500 Internal Server Error", id, "content-length: 4\r\n");
                socket.write_all(format!("{head}fail").as_bytes()).await?;
                Ok(true)
            }
            _ if request.path.contains("stream") => {
                self.stream(socket, request, place, fault).await
            }
            Fault::BreaksOff => {
                let head = self.head("200 OK", id, "content-length: 40\r\n");
                socket.write_all(format!("{head}half").as_bytes()).await?;
                Ok(false)
            }
            Fault::UnframedReset => {
                let head = self.head("200 OK", id, "");
                socket.write_all(format!("{head}half").as_bytes()).await?;
                tokio::time::sleep(Duration::from_millis(WORK_MS)).await;
                Ok(false)
            }
            _ => {
                let body = format!("{} {} for {id}", request.method, request.path);
                let length = format!("content-length: {}\r\n", body.len());
                let answer = format!("{}{body}", self.head("200 OK", id, &length));
                socket.write_all(answer.as_bytes()).await?;
                if fault == Fault::AnswersTwice {
                    tokio::time::sleep(Duration::from_millis(3)).await;
                    socket.write_all(answer.as_bytes()).await?;
                }
                Ok(true)
            }
        }
    }

    async fn stream(
        &self,
        socket: &mut TcpStream,
        request: &Received,
        place: usize,
        fault: Fault,
    ) -> io::Result<bool> {
        let id = request.header("request-attempt-id").unwrap_or_default();
        let number = |name| {
            request
                .header(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let after = number("last-event-id").unwrap_or(0);
        let is_misfit = is_misfit(&self.runs.lock(), place);
        let extra = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
        socket
            .write_all(self.head("200 OK", id, extra).as_bytes())
            .await?;
        for event in after + 1..=10 {
            // What two versions write does not fit together.
            let text = if is_misfit {
                format!("id: {event}\ndata: {event} of {id} by {}\n\n", self.version)
            } else {
                format!("id: {event}\ndata: {event} of {id}\n\n")
            };
            let breaks_off = match fault {
                Fault::BreaksOff => true,
                Fault::BreaksBegunStreams => after == 0,
                _ => false,
            };
            if breaks_off && event == 3 {
                let half = &text[..text.len() / 2];
                socket.write_all(chunk(half).as_bytes()).await?;
                return Ok(false);
            }
            socket.write_all(chunk(&text).as_bytes()).await?;
            if !self.work(socket, place, WORK_MS * 3).await? {
                return Ok(false);
            }
        }
        socket.write_all(b"0\r\n\r\n").await?;
        Ok(true)
    }

    fn head(&self, status: &str, id: &str, extra: &str) -> String {
        format!(
            "HTTP/1.1 {status}\r\nrequest-attempt-id: {id}\r\nserver-seal: s.{}\r\n{}{extra}\r\n",
            self.id,
            self.said_lines()
        )
    }

    /// What all its answers say of it.
    fn said_lines(&self) -> String {
        let limit = line("server-limit", self.limit.lock().as_deref());
        let leaving = line("server-leaving", self.leaving.lock().as_deref());
        let brittle = self.brittle.lock().map(|refusals| refusals.to_string());
        limit + &leaving + &line("server-brittle", brittle.as_deref())
    }

    /// Takes a place until the returned guard is dropped; none if all are taken.
    fn take_place(&self) -> Option<Place<'_>> {
        let mut running = self.running.lock();
        let is_full = (*self.places.lock()).is_some_and(|places| *running >= places);
        (!is_full).then(|| {
            *running += 1;
            Place { core: self }
        })
    }

    fn is_fallen(&self) -> bool {
        let falls_at_ms = self.falls_at_ms.lock();
        (falls_at_ms.last()).is_some_and(|at_ms| now_ms() < at_ms + FALLEN_MS)
    }

    /// Counts a refusal for want of a place; tells whether it falls over by it.
    fn falls_by_refusal(&self) -> bool {
        let now = now_ms();
        let mut refused_at_ms = self.refused_at_ms.lock();
        refused_at_ms.retain(|at_ms| *at_ms + BRITTLE_SPAN_MS > now);
        refused_at_ms.push(now);
        let is_fall = (*self.brittle.lock()).is_some_and(|most| refused_at_ms.len() > most);
        if is_fall {
            refused_at_ms.clear();
            self.falls_at_ms.lock().push(now);
        }
        is_fall
    }

    fn begin(&self, request: &Received, id: &str) -> usize {
        let mut runs = self.runs.lock();
        runs.push(Run {
            upstream: self.id.clone(),
            version: self.version.clone(),
            request: id.to_owned(),
            path: request.path.clone(),
            team: request.header("tenant").map(str::to_owned),
            resumed_after: request
                .header("last-event-id")
                .and_then(|text| text.parse().ok()),
            resumes: request.header("resumes").map(str::to_owned),
            copied_from: request.header("kv-fetch").map(str::to_owned),
            at_ms: now_ms(),
            left_at_ms: None,
        });
        runs.len() - 1
    }

    /// Works for a while; tells whether the channel was still open at the end.
    async fn work(&self, socket: &mut TcpStream, place: usize, work_ms: u64) -> io::Result<bool> {
        let mut byte = [0];
        let closed = tokio::time::timeout(Duration::from_millis(work_ms), socket.peek(&mut byte));
        let is_closed = match closed.await {
            Err(_elapsed) => false,
            Ok(Ok(length)) => length == 0,
            Ok(Err(_error)) => true,
        };
        if is_closed {
            self.runs.lock()[place].left_at_ms = Some(now_ms());
        }
        Ok(!is_closed)
    }
}

/// A line of a head; nothing without a value.
fn line(name: &str, value: Option<&str>) -> String {
    value.map_or_else(String::new, |value| format!("{name}: {value}\r\n"))
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn reset(socket: TcpStream) -> io::Result<()> {
    // Closing with nothing to linger for sends a reset.
    socket.set_zero_linger()?;
    drop(socket);
    Ok(())
}

/// Reads one request; none at the end of the channel.
async fn receive(socket: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Received>> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            break end;
        }
        if socket.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.lines();
    let mut first = lines.next().unwrap_or_default().split(' ');
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
        .collect();
    let mut request = Received {
        method: first.next().unwrap_or_default().to_owned(),
        path: first.next().unwrap_or_default().to_owned(),
        headers,
        body: Vec::new(),
    };
    let length = request
        .header("content-length")
        .and_then(|text| text.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < length {
        if socket.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
    request.body = buffer.drain(..length).collect();
    Ok(Some(request))
}
