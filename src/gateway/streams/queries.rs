//! Records the starts of streams at peers, and asks peers for them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bincode::{Decode, Encode};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::archive::StreamArchive;
use super::archiving;
use super::binding::{self, Source};
use super::holders;
use super::origins::{Origin, StreamKey};
use super::version::VersionTag;
use crate::gateway::log_position::LogPosition;
use crate::gateway::messages::Message;
use crate::gateway::state::{Gateway, Recipients};
use crate::gateway::{announcements, clock};
use crate::time::TimeMs;

/// Interval after which a peer that has not answered is asked again; an answer takes a few milliseconds.
const ASK_INTERVAL: Duration = Duration::from_millis(60);

/// How often a peer is asked before its answer is not waited for any longer.
const MAX_ROUNDS: usize = 3;

/// Longest wait for this node's own read of the announcements; the store answers within some milliseconds.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest wait for that at a peer, whose answer is not waited for any longer.
const PEER_READ_TIMEOUT: Duration = Duration::from_millis(180);

/// Answers that may wait for a request to read them.
const MAX_WAITING_ANSWERS: usize = 32;

/// Starts of streams in one datagram; each takes some 40 bytes.
const MAX_STARTS_PER_MESSAGE: usize = 1_000;

/// Asks a peer where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Query {
    /// `None` for a stream that its caller does not name.
    pub key: Option<StreamKey>,
    /// Pool that the request would go to if it began a stream.
    pub pool: String,
    /// Random number of the question, which its answers repeat: an answer to an earlier one may be older than the stream.
    pub number: u64,
    /// Whether the peer is to read the announcements before it answers that it knows one version.
    pub is_confirmation_asked: bool,
}

/// A peer's answer to a [`Query`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Answer {
    pub statement: Statement,
    /// Position up to which the peer's table holds all announcements.
    pub read_to: LogPosition,
    /// End of the announcements at a time after the question; `None` if the peer has not read them since.
    pub confirmed_end: Option<LogPosition>,
    /// Number of the question.
    pub number: u64,
}

/// What a peer states on a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum Statement {
    Began(Origin),
    /// The peer does not know the stream, but by its table only this version has served the pool for as long as streams
    /// last.
    SoleVersion(VersionTag),
    /// The peer does not know the stream, and several versions serve the pool or have just served it.
    SeveralVersions,
    Unknown,
}

/// What the peers that were asked have stated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Stated {
    pub answers: Vec<Answer>,
    /// Whether all of them have answered, or one of them knows the stream.
    pub is_complete: bool,
}

impl Stated {
    /// Whether no further answer can show that only one version has served.
    fn is_settled(&self) -> bool {
        self.answers.iter().any(|answer| {
            let is_decided = matches!(
                answer.statement,
                Statement::Began(_) | Statement::SeveralVersions
            );
            is_decided || answer.confirmed_end.is_some()
        })
    }
}

/// The requests of this node that wait for answers of peers.
#[derive(Debug, Default)]
pub(crate) struct WaitingQueries {
    waiting: Vec<WaitingQuery>,
}

/// A request that waits for answers to one question.
#[derive(Debug)]
struct WaitingQuery {
    number: u64,
    answers: mpsc::Sender<(SocketAddr, Answer)>,
}

impl WaitingQueries {
    fn register(&mut self, number: u64) -> mpsc::Receiver<(SocketAddr, Answer)> {
        self.waiting.retain(|query| !query.answers.is_closed());
        let (answers, receiver) = mpsc::channel(MAX_WAITING_ANSWERS);
        self.waiting.push(WaitingQuery { number, answers });
        receiver
    }

    /// Passes an answer on to the request that asked.
    fn deliver(&self, from: SocketAddr, answer: Answer) {
        let mut waiting = self.waiting.iter();
        let query = waiting.find(|query| query.number == answer.number);
        if let Some(Err(error)) = query.map(|query| query.answers.try_send((from, answer))) {
            log::debug!(peer:% = from, error:% = error; "dropped a peer's answer about a stream: the request no longer reads answers");
        }
    }
}

/// Records where a stream began, here, at peers and in the store; called before its first event is forwarded.
///
/// A caller that takes the stream up comes to any node, at times because this one is gone.
pub(crate) fn record_start(node: &Arc<Gateway>, key: StreamKey, origin: Origin, now: TimeMs) {
    node.stream_origins.lock().record(key, origin, now);
    let holders = holders::holders(&node.peers.lock(), key, now);
    for address in holders {
        let message = Message::StreamsBegan(vec![(key, origin)]);
        node.send_message(Recipients::Address(address), message);
    }
    archiving::submit(node, (key, origin), now);
}

/// Returns where a stream began, if this node recorded it or the store held it when this node started.
pub(super) fn recorded(node: &Gateway, key: StreamKey, now: TimeMs) -> Option<(Origin, Source)> {
    let own = node.stream_origins.lock().get(key, now);
    let own = own.map(|origin| (origin, Source::Own));
    own.or_else(|| {
        let archived = node.stream_archive.lock().get(key);
        archived.map(|origin| (origin, Source::Store))
    })
}

/// Hands the starts that this node keeps to the peers that are asked for them once it has stopped.
pub(crate) fn hand_over(node: &Gateway, now: TimeMs) {
    let starts: Vec<(StreamKey, Origin)> = node.stream_origins.lock().iter().collect();
    let mut by_address: Vec<(SocketAddr, StreamKey, Origin)> = {
        let peers = node.peers.lock();
        let first = |key| holders::asked(&peers, key, now).into_iter().next();
        let starts = starts.into_iter();
        starts
            .filter_map(|(key, origin)| Some((first(key)?, key, origin)))
            .collect()
    };
    by_address.sort_unstable_by_key(|(address, key, _origin)| (*address, *key));
    for of_peer in by_address.chunk_by(|a, b| a.0 == b.0) {
        let address = of_peer[0].0;
        for starts in of_peer.chunks(MAX_STARTS_PER_MESSAGE) {
            let starts = starts.iter().map(|(_address, key, origin)| (*key, *origin));
            let message = Message::StreamsBegan(starts.collect());
            node.send_message(Recipients::Address(address), message);
        }
    }
}

/// Answers a peer's question where a stream began.
pub(crate) fn answer(node: &Arc<Gateway>, query: Query, from: SocketAddr, now: TimeMs) {
    let Some(statement) = statement(node, &query, now) else {
        log::debug!(peer:% = from; "did not answer a peer about a stream: the store's records are still to be read");
        return;
    };
    let is_settled = matches!(statement, Statement::Began(_) | Statement::SeveralVersions);
    if query.is_confirmation_asked && !is_settled {
        tokio::spawn(answer_after_read(Arc::clone(node), query, from));
        return;
    }
    send_answer(node, &query, statement, None, from);
}

/// Answers a peer by the announcements that the store holds now, unless the store does not answer.
async fn answer_after_read(node: Arc<Gateway>, query: Query, from: SocketAddr) {
    let read = announcements::read_to_end(&node);
    let Ok(Some(end)) = tokio::time::timeout(PEER_READ_TIMEOUT, read).await else {
        log::debug!(peer:% = from; "did not answer a peer about a stream: the announcements cannot be read");
        return;
    };
    if let Some(statement) = statement(&node, &query, clock::now()) {
        send_answer(&node, &query, statement, Some(end), from);
    }
}

fn send_answer(
    node: &Gateway,
    query: &Query,
    statement: Statement,
    confirmed_end: Option<LogPosition>,
    to: SocketAddr,
) {
    let answer = Answer {
        statement,
        read_to: node.upstreams_view.lock().end,
        confirmed_end,
        number: query.number,
    };
    node.send_message(Recipients::Address(to), Message::StreamStated(answer));
}

/// Returns what this node states on a stream.
///
/// A node that has still to read the store's records states nothing on a stream that it does not know: the peer would
/// take it for one that nobody knows.
fn statement(node: &Gateway, query: &Query, now: TimeMs) -> Option<Statement> {
    let known = (query.key).and_then(|key| recorded(node, key, now));
    match known {
        Some((origin, _source)) => Some(Statement::Began(origin)),
        None if query.key.is_some() && node.stream_archive.lock().is_unread() => None,
        None => Some(binding::view(node, &query.pool, now).statement()),
    }
}

/// Applies a peer's answer.
pub(crate) fn apply_answer(node: &Gateway, answer: Answer, from: SocketAddr) {
    node.stream_queries.lock().deliver(from, answer);
}

/// Reads the announcements; returns their end at a time after the call, or `None` if the store does not answer in time.
pub(super) async fn read_announcements(node: &Gateway) -> Option<LogPosition> {
    let read = announcements::read_to_end(node);
    tokio::time::timeout(READ_TIMEOUT, read)
        .await
        .ok()
        .flatten()
}

/// A question to peers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Question<'a> {
    /// `None` for a stream that its caller does not name.
    pub key: Option<StreamKey>,
    /// Pool that the request would go to if it began a stream.
    pub pool: &'a str,
    /// Whether this node has observed the upstreams for as long as streams last.
    pub has_observed: bool,
}

/// Returns the peers that may know a stream: those that record it and, unless this node has read the store's records
/// itself, some that have. Nobody knows a stream without a name; peers state which versions they have observed.
fn peers_to_ask(node: &Gateway, question: &Question<'_>, now: TimeMs) -> Vec<SocketAddr> {
    if question.key.is_none() && question.has_observed {
        return Vec::new();
    }
    let order = (question.key).unwrap_or_else(|| StreamKey::of(question.pool));
    let is_read_elsewhere = matches!(*node.stream_archive.lock(), StreamArchive::ReadElsewhere);
    let peers = node.peers.lock();
    let mut addresses = holders::asked(&peers, order, now);
    if is_read_elsewhere {
        let readers = holders::archive_readers(&peers, now);
        let others = readers
            .into_iter()
            .filter(|reader| !addresses.contains(reader));
        let others: Vec<SocketAddr> = others.collect();
        addresses.extend(others);
    }
    addresses
}

/// Asks peers where a stream began, until one knows, all have answered or the last round has ended.
///
/// One more peer in each round is asked to confirm what it states by a read, until one has.
pub(super) async fn ask(node: &Gateway, question: Question<'_>) -> Stated {
    let now = clock::now();
    let mut silent = peers_to_ask(node, &question, now);
    let confirmers = holders::confirmers(&node.peers.lock(), now);
    let number = rand::random();
    let mut answers = node.stream_queries.lock().register(number);
    let mut stated = Stated::default();
    for round in 0..MAX_ROUNDS {
        let confirmers = &confirmers[..confirmers.len().min(round + 1)];
        if !stated.is_settled() {
            let others = confirmers
                .iter()
                .filter(|address| !silent.contains(address));
            let others: Vec<SocketAddr> = others.copied().collect();
            silent.extend(others);
        }
        for address in &silent {
            let query = Query {
                key: question.key,
                pool: question.pool.to_owned(),
                number,
                is_confirmation_asked: confirmers.contains(address),
            };
            node.send_message(Recipients::Address(*address), Message::QueryStream(query));
        }
        let round_end = Instant::now() + ASK_INTERVAL;
        while !silent.is_empty()
            && let Ok(Some((from, answer))) =
                tokio::time::timeout_at(round_end, answers.recv()).await
        {
            if silent.contains(&from) {
                silent.retain(|address| *address != from);
                stated.answers.push(answer);
            }
            if matches!(answer.statement, Statement::Began(_)) {
                silent.clear();
            }
        }
    }
    stated.is_complete = silent.is_empty() && !stated.answers.is_empty();
    stated
}
