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
use crate::gateway::clock;
use crate::gateway::messages::Message;
use crate::gateway::state::{Gateway, Recipients};
use crate::time::TimeMs;

/// Interval after which a peer that has not answered is asked again; an answer takes a few milliseconds.
const ASK_INTERVAL: Duration = Duration::from_millis(60);

/// How often a peer is asked before its answer is not waited for any longer.
const MAX_ROUNDS: usize = 3;

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
}

/// What a peer states on a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum Statement {
    Began(Origin),
    /// The peer does not know the stream, but only this version has served the pool for as long as streams last.
    SoleVersion(VersionTag),
    /// The peer does not know the stream, and several versions serve the pool or have just served it.
    SeveralVersions,
    Unknown,
}

/// What the peers that were asked have stated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Stated {
    pub statements: Vec<Statement>,
    /// Whether all of them have answered, or one of them knows the stream.
    pub is_complete: bool,
}

/// The requests of this node that wait for answers of peers.
#[derive(Debug, Default)]
pub(crate) struct WaitingQueries {
    waiting: Vec<WaitingQuery>,
}

/// A request that waits for answers about one stream.
#[derive(Debug)]
struct WaitingQuery {
    key: Option<StreamKey>,
    answers: mpsc::Sender<(SocketAddr, Statement)>,
}

impl WaitingQueries {
    fn register(&mut self, key: Option<StreamKey>) -> mpsc::Receiver<(SocketAddr, Statement)> {
        self.waiting.retain(|query| !query.answers.is_closed());
        let (answers, receiver) = mpsc::channel(MAX_WAITING_ANSWERS);
        self.waiting.push(WaitingQuery { key, answers });
        receiver
    }

    /// Passes an answer on to all requests that take up this stream.
    fn deliver(&self, key: Option<StreamKey>, from: SocketAddr, statement: Statement) {
        for query in self.waiting.iter().filter(|query| query.key == key) {
            if let Err(error) = query.answers.try_send((from, statement)) {
                log::debug!(peer:% = from, error:% = error; "dropped a peer's answer about a stream: the request no longer reads answers");
            }
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
///
/// A node that has still to read the store's records does not answer on a stream that it does not know: the peer would
/// take it for one that nobody knows.
pub(crate) fn answer(node: &Gateway, query: &Query, from: SocketAddr, now: TimeMs) {
    let known = (query.key).and_then(|key| recorded(node, key, now));
    let known = known.map(|(origin, _source)| origin);
    if known.is_none() && query.key.is_some() && node.stream_archive.lock().is_unread() {
        log::debug!(peer:% = from; "did not answer a peer about a stream: the store's records are still to be read");
        return;
    }
    let statement = known.map_or_else(
        || binding::view(node, &query.pool, now).statement(),
        Statement::Began,
    );
    let message = Message::StreamStated(query.key, statement);
    node.send_message(Recipients::Address(from), message);
}

/// Applies a peer's answer.
pub(crate) fn apply_statement(
    node: &Gateway,
    key: Option<StreamKey>,
    statement: Statement,
    from: SocketAddr,
) {
    (node.stream_queries.lock()).deliver(key, from, statement);
}

/// Returns the peers that may know a stream: those that record it and, unless this node has read the store's records
/// itself, some that have.
fn peers_to_ask(node: &Gateway, order: StreamKey, now: TimeMs) -> Vec<SocketAddr> {
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
pub(super) async fn ask(node: &Gateway, key: Option<StreamKey>, pool: &str) -> Stated {
    let order = key.unwrap_or_else(|| StreamKey::of(pool));
    let mut silent = peers_to_ask(node, order, clock::now());
    let mut answers = node.stream_queries.lock().register(key);
    let mut stated = Stated::default();
    for _round in 0..MAX_ROUNDS {
        for address in &silent {
            let query = Query {
                key,
                pool: pool.to_owned(),
            };
            node.send_message(Recipients::Address(*address), Message::QueryStream(query));
        }
        let round_end = Instant::now() + ASK_INTERVAL;
        while !silent.is_empty()
            && let Ok(Some((from, statement))) =
                tokio::time::timeout_at(round_end, answers.recv()).await
        {
            if silent.contains(&from) {
                silent.retain(|address| *address != from);
                stated.statements.push(statement);
            }
            if matches!(statement, Statement::Began(_)) {
                silent.clear();
            }
        }
    }
    stated.is_complete = silent.is_empty() && !stated.statements.is_empty();
    stated
}
