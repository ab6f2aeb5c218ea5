//! Simple clients that run streams at the engines themselves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use teaselline::client::call::{Call, CallContent};
use teaselline::client::policy::End;
use teaselline::upstreams::{
    CallTimeouts, Delivery, EngineClient, EngineEvent, Engines, EventStream, Finish, StartStream,
    UpstreamError,
};
use teaselline_stand_ins::site::{Site, Upstream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::load::Seen;

/// Between two attempts, where no host can be had.
const PAUSE: Duration = Duration::from_millis(50);

/// What a client does with the streams of hosts that leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Start each over elsewhere as soon as the notice comes.
    RestartAtNotice,
    /// Start each over elsewhere when its host is gone.
    RestartAtLoss,
    /// Go on elsewhere from the tokens so far as soon as the notice comes.
    RecomputeAtNotice,
}

/// A client with a policy.
#[derive(Clone, Debug)]
pub struct Client(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    policy: Policy,
    engines: EngineClient,
    hosts: Mutex<Vec<Host>>,
    noticed: watch::Sender<u32>,
}

#[derive(Clone, Debug)]
struct Host {
    name: String,
    address: SocketAddr,
    streams: u32,
    /// It leaves or is gone.
    closed: bool,
}

/// How an attempt ended.
enum Ended {
    Whole(u64),
    /// The client gave it up because its host leaves.
    Left,
    /// Its host is gone.
    Lost,
}

/// A stream in the making.
struct Stream<'a> {
    shared: &'a Shared,
    name: String,
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    start: Instant,
    tokens: Vec<String>,
    first_token: Option<Duration>,
    last_token: Option<Instant>,
    pauses: Vec<Duration>,
}

impl Client {
    /// A client of all engines of a site.
    pub fn new(site: &Site, policy: Policy) -> Self {
        let engines = site.upstreams().into_iter();
        let engines = engines.filter(|(_, it)| matches!(**it, Upstream::Engine(_)));
        let hosts = engines.map(|(name, engine)| Host {
            name,
            address: engine.address(),
            streams: 0,
            closed: false,
        });
        Self(Arc::new(Shared {
            policy,
            engines: EngineClient::new(CallTimeouts::default()),
            hosts: Mutex::new(hosts.collect()),
            noticed: watch::Sender::new(0),
        }))
    }

    /// Tells it that hosts leave.
    pub fn note_leaving(&self, leaving: &[String]) {
        for host in self.0.hosts.lock().iter_mut() {
            host.closed |= leaving.contains(&host.name);
        }
        self.0.noticed.send_modify(|count| *count += 1);
    }

    /// Begins the calls all at once.
    pub fn begin(&self, calls: Vec<Call>) -> JoinHandle<Vec<Seen>> {
        let client = self.clone();
        tokio::spawn(async move {
            let mut running = tokio::task::JoinSet::new();
            for (index, call) in calls.into_iter().enumerate() {
                let client = client.clone();
                running.spawn(async move { client.make(index, call).await });
            }
            running.join_all().await
        })
    }

    async fn make(&self, index: usize, call: Call) -> Seen {
        let CallContent::Completion {
            model,
            prompt,
            max_tokens,
            ..
        } = &call.content
        else {
            unreachable!("the streams of this experiment are completions");
        };
        let mut stream = Stream {
            shared: &self.0,
            name: format!("request-{index}"),
            model,
            prompt,
            max_tokens: *max_tokens,
            start: Instant::now(),
            tokens: Vec::new(),
            first_token: None,
            last_token: None,
            pauses: Vec::new(),
        };
        let tokens = stream.run().await;
        Seen {
            ids: vec![stream.name],
            end: End::Completed {
                tokens,
                finish: "length".to_owned(),
            },
            text: stream.tokens.concat(),
            first_token: stream.first_token,
            pauses: stream.pauses,
            call,
        }
    }
}

impl Stream<'_> {
    async fn run(&mut self) -> u64 {
        let mut number = 0;
        loop {
            let Some(host) = self.shared.take_host() else {
                tokio::time::sleep(PAUSE).await;
                continue;
            };
            number += 1;
            let attempt = format!("{}.{number}", self.name);
            let ended = self.attempt(&attempt, &host).await;
            self.shared.leave_host(&host, matches!(ended, Ended::Lost));
            match ended {
                Ended::Whole(tokens) => return tokens,
                Ended::Lost => {}
                Ended::Left => drop(self.shared.engines.cancel(host.address, &attempt).await),
            }
        }
    }

    async fn attempt(&mut self, attempt: &str, host: &Host) -> Ended {
        let mut noticed = self.shared.noticed.subscribe();
        let prefix = match self.shared.policy {
            Policy::RecomputeAtNotice => self.tokens.concat(),
            Policy::RestartAtNotice | Policy::RestartAtLoss => String::new(),
        };
        let position = match self.shared.policy {
            Policy::RecomputeAtNotice => self.tokens.len() as u64,
            Policy::RestartAtNotice | Policy::RestartAtLoss => 0,
        };
        let start = StartStream {
            attempt,
            model: self.model,
            prompt: self.prompt,
            prefix: &prefix,
            position,
            max_tokens: u64::from(self.max_tokens),
            priority: 8,
            seed: 0,
            import: None,
            delivery: Delivery::Repeatable,
        };
        let Ok(mut events) = self.shared.engines.start(host.address, &start).await else {
            return Ended::Lost;
        };
        loop {
            let event = tokio::select! {
                event = events.next() => event,
                _ = noticed.changed() => {
                    if self.shared.policy != Policy::RestartAtLoss && self.shared.is_closed(host) {
                        return Ended::Left;
                    }
                    continue;
                }
            };
            if let Some(ended) = self.take(event) {
                return ended;
            }
        }
    }

    /// Takes an event; gives the attempt's end if this is it.
    fn take(&mut self, event: Option<Result<EngineEvent, UpstreamError>>) -> Option<Ended> {
        match event {
            Some(Ok(EngineEvent::Token { position, text, .. })) => {
                // Positions generated again are nothing new to the caller.
                if position == self.tokens.len() as u64 {
                    self.tokens.push(text);
                    self.first_token.get_or_insert_with(|| self.start.elapsed());
                    let last = self.last_token.replace(Instant::now());
                    self.pauses.extend(last.map(|last| last.elapsed()));
                }
                None
            }
            Some(Ok(EngineEvent::Done {
                tokens,
                finish: Finish::Length,
                ..
            })) => Some(Ended::Whole(tokens)),
            _ => Some(Ended::Lost),
        }
    }
}

impl Shared {
    /// The open host with the fewest streams.
    fn take_host(&self) -> Option<Host> {
        let mut hosts = self.hosts.lock();
        let open = hosts.iter_mut().filter(|host| !host.closed);
        let host = open.min_by_key(|host| host.streams)?;
        host.streams += 1;
        Some(host.clone())
    }

    fn leave_host(&self, left: &Host, gone: bool) {
        let mut hosts = self.hosts.lock();
        for host in hosts.iter_mut().filter(|host| host.name == left.name) {
            host.streams -= 1;
            host.closed |= gone;
        }
    }

    fn is_closed(&self, asked: &Host) -> bool {
        let hosts = self.hosts.lock();
        let mut same = hosts.iter().filter(|host| host.name == asked.name);
        same.any(|host| host.closed)
    }
}
