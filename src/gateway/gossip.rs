//! Sends and receives the datagrams between nodes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use super::announcements;
use super::clock;
use super::follow;
use super::handover;
use super::num;
use super::peers::{FORGET_MS, Member, Message, Pulse};
use super::place::Place;
use super::rank;
use super::rollout::Decided;
use super::state::{Gateway, Outgoing, Recipients};
use super::throttle::{Sharers, Told};
use super::upstreams::tag;
use crate::platform::rollouts;
use crate::platform::store::Topic;
use crate::time::TimeMs;

/// Largest datagram: what UDP carries over IPv4.
const MAX_DATAGRAM_BYTES: usize = 65_000;

/// Between two pulses to each peer, for few peers.
const PULSE_INTERVAL_MS: u64 = 200;

/// Time that each peer adds to the interval, so that a node sends at most about 170 pulses a second.
const PULSE_INTERVAL_PER_PEER_MS: u64 = 6;

/// Paces are told this often: they change over tens of seconds, and take as much as the rest of a
/// pulse at a node with few requests.
const PACES_INTERVAL_MS: u64 = 2_000;

/// A node that has just started sends nothing to upstreams that name a limit for this long.
const START_QUIET_MS: u64 = 1_000;

/// Between two looks at the store for nodes that are not known.
const DISCOVERY_INTERVAL_MS: u64 = 1_000;

/// Exchanges datagrams for as long as the node runs.
pub(crate) async fn run(
    node: Arc<Gateway>,
    socket: UdpSocket,
    mut messages: mpsc::Receiver<Outgoing>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut pulses = tokio::time::interval(Duration::from_millis(PULSE_INTERVAL_MS));
    pulses.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut pulsed_at = TimeMs(0);
    let mut paced_at = TimeMs(0);
    let mut was_stopping = false;
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => take(&node, &buffer[..length], from, clock::now()),
                Err(error) => log::debug!(error:err = error; "a datagram was not received"),
            },
            message = messages.recv() => match message {
                Some(outgoing) => send(&node, &socket, &outgoing).await,
                None => return,
            },
            _tick = pulses.tick() => {
                let now = clock::now();
                let is_stopping = node.is_stopping();
                divide_limits(&node, now);
                if interval_ms(&node) > PULSE_INTERVAL_MS * 2 {
                    exchange_admitted(&node, &socket, now).await;
                }
                let is_due = now.since(pulsed_at) >= interval_ms(&node);
                if is_due || is_stopping != was_stopping {
                    pulsed_at = now;
                    was_stopping = is_stopping;
                    let mut pulse = pulse(&node, now);
                    if now.since(paced_at) >= PACES_INTERVAL_MS {
                        paced_at = now;
                        pulse.paces = node.learned_paces();
                    }
                    send_to_all(&node, &socket, &Message::Pulse(Box::new(pulse))).await;
                    expire(&node, now);
                }
            }
            () = node.stopping.cancelled(), if !was_stopping => {
                was_stopping = true;
                let pulse = Message::Pulse(Box::new(pulse(&node, clock::now())));
                send_to_all(&node, &socket, &pulse).await;
            }
        }
    }
}

fn interval_ms(node: &Gateway) -> u64 {
    let peers = node.peers.lock().iter().count() as u64;
    PULSE_INTERVAL_MS.max(peers * PULSE_INTERVAL_PER_PEER_MS)
}

/// Works out this node's parts of the limits that upstreams name.
fn divide_limits(node: &Gateway, now: TimeMs) {
    if !node.upstreams.lock().names_limits() {
        return;
    }
    // Until two pulses of each peer had the time to come, this node may take itself for the only one.
    let is_settled = node.running_ms(now) >= START_QUIET_MS.max(interval_ms(node) * 2);
    let day_ms = node.time_of_day(now).0;
    let sharers = {
        let peers = node.peers.lock();
        let heard = peers.staying(now).map(|peer| tag(&peer.member.name));
        Sharers {
            own: tag(&peers.own().name),
            peers: heard.collect(),
            share: peers.audience(now).share(),
            day_ms,
            is_sending: is_settled && !node.is_stopping(),
        }
    };
    (node.upstreams.lock()).divide_limits(&sharers, now);
}

fn take_limit(node: &Gateway, told: &Told, now: TimeMs) {
    let mut upstreams = node.upstreams.lock();
    if let Some((upstream, change)) = upstreams.note_told_limit(told, now) {
        let id = upstream.announced.id.as_str();
        log::debug!(event = "upstream_limit_heard", upstream = id, change:? = change, age_ms = told.age_ms; "a peer was told of an upstream's limit");
    }
}

fn take_leaving(node: &Gateway, upstream: u64) {
    if let Some(upstream) = node.upstreams.lock().note_told_leaving(upstream) {
        let id = upstream.announced.id.as_str();
        log::debug!(event = "upstream_leaving_heard", upstream = id; "an upstream told a peer that it leaves");
    }
}

fn expire(node: &Gateway, now: TimeMs) {
    node.peers.lock().forget(now);
    let audience = node.peers.lock().audience(now);
    node.quotas.lock().note_audience(audience);
    node.quotas.lock().forget_peers(FORGET_MS, now);
    node.peer_paces.lock().forget(now);
    let mut upstreams = node.upstreams.lock();
    upstreams.forget_gone(now);
    let silent: Vec<u64> = {
        let peers = node.peers.lock();
        let heard: Vec<u64> = peers
            .heard(now)
            .map(|peer| peer.member.incarnation)
            .collect();
        let all = peers.iter().map(|peer| peer.member.incarnation);
        all.filter(|incarnation| !heard.contains(incarnation))
            .collect()
    };
    // What a peer that is away had running has ended or is not known.
    for incarnation in silent {
        upstreams.set_peer_loads(incarnation, &[]);
    }
    node.channels
        .close_idle(|key| upstreams.get(key).is_some(), now);
}

fn pulse(node: &Gateway, now: TimeMs) -> Pulse {
    let peers = node.peers.lock();
    let known: Vec<&Member> = peers.heard(now).map(|peer| &peer.member).collect();
    let also = match known.len() {
        0 => None,
        count => Some(known[rand::rng().random_range(0..count)].clone()),
    };
    let member = peers.own().clone();
    drop(peers);
    let lease = node.lease.lock().announced(now);
    let rollouts = node.rollouts.lock();
    let observed = rollouts.observed(None);
    let decided = lease.map(|_lease| rollouts.decided()).unwrap_or_default();
    drop(rollouts);
    let upstreams = node.upstreams.lock();
    let loads = upstreams.own_loads();
    let limits = upstreams.told_limits(now);
    let leaving = upstreams.leaving_unannounced();
    drop(upstreams);
    let strikes = node.strikes.lock().of_blocked(now);
    let (era, era_age_ms) = node.era(now);
    Pulse {
        member,
        also,
        is_ready: node.is_ready(now),
        is_stopping: node.is_stopping(),
        store: node.store_reach(now),
        era,
        era_age_ms,
        configuration_version: node.catalog().version,
        time_of_day_ms: clock::time_of_day().0,
        interval_ms: interval_ms(node),
        loads,
        usage: node.usage.lock().own_rows(),
        admitted: node.quotas.lock().own_totals(),
        paces: Vec::new(),
        demand: node.demands.lock().own_rates(now),
        lease,
        observed,
        decided,
        strikes,
        limits,
        leaving,
    }
}

async fn send(node: &Gateway, socket: &UdpSocket, outgoing: &Outgoing) {
    match outgoing.recipients {
        Recipients::All => send_to_all(node, socket, &outgoing.message).await,
        Recipients::Neighbours => {
            let addresses = node.peers.lock().neighbours(clock::now());
            send_to(socket, &outgoing.message, &addresses).await;
        }
        Recipients::FirstOfOtherDomains => {
            let addresses = {
                let peers = node.peers.lock();
                let domain = &peers.own().failure_domain;
                (rank::first_of_each_domain(&peers, clock::now()).iter())
                    .filter(|member| member.failure_domain != *domain)
                    .map(|member| member.gossip)
                    .collect::<Vec<_>>()
            };
            send_to(socket, &outgoing.message, &addresses).await;
        }
        Recipients::One(address) => send_to(socket, &outgoing.message, &[address]).await,
    }
}

async fn send_to_all(node: &Gateway, socket: &UdpSocket, message: &Message) {
    let addresses: Vec<SocketAddr> = {
        let peers = node.peers.lock();
        peers.iter().map(|peer| peer.member.gossip).collect()
    };
    send_to(socket, message, &addresses).await;
}

async fn send_to(socket: &UdpSocket, message: &Message, addresses: &[SocketAddr]) {
    let encoded = match bincode::encode_to_vec(message, bincode::config::standard()) {
        Ok(encoded) if encoded.len() <= MAX_DATAGRAM_BYTES => encoded,
        Ok(encoded) => {
            log::error!(bytes = encoded.len(); "a message to the peers is too long");
            return;
        }
        Err(error) => {
            log::error!(error:err = error; "a message to the peers cannot be encoded");
            return;
        }
    };
    for address in addresses {
        if let Err(error) = socket.send_to(&encoded, *address).await {
            log::debug!(error:err = error, peer:% = *address; "a datagram was not sent");
        }
    }
}

fn take(node: &Gateway, datagram: &[u8], from: SocketAddr, now: TimeMs) {
    let config = bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>();
    let message = match bincode::decode_from_slice::<Message, _>(datagram, config) {
        Ok((message, _length)) => message,
        Err(error) => {
            metrics::counter!("teaselline_datagrams_malformed_total").increment(1);
            log::debug!(error:err = error; "a datagram cannot be read");
            return;
        }
    };
    if let Some((era, age_ms)) = message.era() {
        node.note_era(era, age_ms, now);
    }
    match message {
        Message::Pulse(pulse) => take_pulse(node, &pulse, now),
        Message::Upstreams(news) => announcements::take_news(node, news, from, now),
        Message::AskUpstreams(asked) => handover::answer(node, &asked, from, now),
        Message::UpstreamsPage(page) => handover::take_page(node, page, from, now),
        Message::AskConfirmation(question) => {
            let confirmation = node.in_force.read().confirmation(&question, now);
            if let Some(confirmation) = confirmation {
                let confirmation = confirmation.with_orders(node.rollouts.lock().orders());
                let answer = Message::Confirmation(confirmation);
                node.tell(Recipients::One(from), answer);
            }
        }
        Message::Decided(decided) => take_decided(node, &decided),
        Message::Observed(incarnation, observed) => {
            node.rollouts.lock().note_observed(incarnation, observed);
        }
        Message::Confirmation(confirmation) => follow::take_confirmation(node, &confirmation, now),
        Message::Limit(told) => take_limit(node, &told, now),
        Message::Leaving(upstream) => take_leaving(node, upstream),
        Message::Admitted { team, totals } => take_admitted(node, team, &totals, now),
        Message::Strike(strike) => {
            node.strikes.lock().note(strike, now);
        }
    }
}

fn take_admitted(node: &Gateway, team: u64, totals: &[(u64, f64)], now: TimeMs) {
    let catalog = node.catalog();
    let mut quotas = node.quotas.lock();
    for (incarnation, total) in totals
        .iter()
        .filter(|(peer, _total)| *peer != node.incarnation)
    {
        quotas.note_peer(*incarnation, &[(team, *total)], &catalog.teams, now);
    }
}

/// Tells the collectors of all teams what this node has admitted, and passes on what it collects.
async fn exchange_admitted(node: &Gateway, socket: &UdpSocket, now: TimeMs) {
    for team in &node.catalog().teams {
        let tag = tag(&team.name);
        let collector = node.peers.lock().collector(tag, now);
        if let Some(address) = collector {
            let untold = node.quotas.lock().untold(team, now);
            if let Some(total) = untold {
                let totals = vec![(node.incarnation, total)];
                let message = Message::Admitted { team: tag, totals };
                send_to(socket, &message, &[address]).await;
            }
            continue;
        }
        let totals = (node.quotas.lock()).collected(team, node.incarnation, now);
        if !totals.is_empty() {
            let message = Message::Admitted { team: tag, totals };
            send_to_all(node, socket, &message).await;
        }
    }
}

fn take_decided(node: &Gateway, decided: &Decided) {
    if node.rollouts.lock().note_decided(decided) {
        log::info!(event = "rollout_stage", order:% = decided.order, stage:? = decided.stage; "a roll-out has come to another stage");
    }
}

fn take_pulse(node: &Gateway, pulse: &Pulse, now: TimeMs) {
    let incarnation = pulse.member.incarnation;
    {
        let mut peers = node.peers.lock();
        peers.note_pulse(pulse, now);
        (node.in_force.write()).note_peer_version(pulse.configuration_version);
        if let Some(also) = &pulse.also {
            peers.introduce(also.clone(), now);
        }
    }
    node.upstreams
        .lock()
        .set_peer_loads(incarnation, &pulse.loads);
    node.usage.lock().note_peer(incarnation, &pulse.usage);
    (node.demands.lock()).note_peer(incarnation, pulse.demand.clone(), now);
    for (pool, pace) in &pulse.paces {
        (node.peer_paces.lock()).note(incarnation, *pool, *pace, now);
    }
    let catalog = node.catalog();
    (node.quotas.lock()).note_peer(incarnation, &pulse.admitted, &catalog.teams, now);
    if !pulse.observed.is_empty() {
        (node.rollouts.lock()).note_observed(incarnation, pulse.observed.clone());
    }
    for decided in &pulse.decided {
        take_decided(node, decided);
    }
    for remembered in &pulse.strikes {
        (node.strikes.lock()).note_remembered(*remembered, now);
    }
    for told in &pulse.limits {
        take_limit(node, told, now);
    }
    for upstream in &pulse.leaving {
        take_leaving(node, *upstream);
    }
    if let Some((end, token)) = pulse.lease {
        let holder = super::lease::Holder {
            node: pulse.member.name.clone(),
            incarnation,
            era: end.era,
        };
        node.lease.lock().heard_end(end, &holder, token, now);
    }
}

/// Makes this node known in the store and learns of the others there.
///
/// One look after this node's own record is there is enough: of two nodes that start at the same
/// time the later one sees the earlier one's record, and is heard by it.
pub(crate) async fn discover(node: Arc<Gateway>) {
    // The store may have lost this node's record when it came back from a copy.
    let mut announced_in = None;
    let mut has_looked = false;
    loop {
        let (era, _age_ms) = node.era(clock::now());
        if announced_in != Some(era) {
            announced_in = announce(&node).await.map(|place| place.era);
        }
        let is_announced = announced_in.is_some();
        let is_alone = node.peers.lock().heard(clock::now()).next().is_none();
        if (is_announced && !has_looked) || is_alone {
            let has_read = look(&node).await;
            node.upstreams_view.lock().knows_nodes |= has_read;
            has_looked |= has_read && is_announced;
            // The others would hear of this node only with its next pulse, up to a second later.
            let pulse = pulse(&node, clock::now());
            node.tell_peers(Message::Pulse(Box::new(pulse)));
        }
        let pause_ms = num::real(DISCOVERY_INTERVAL_MS) * rand::rng().random_range(0.8..1.2);
        tokio::time::sleep(Duration::from_millis(num::whole(pause_ms))).await;
    }
}

async fn announce(node: &Gateway) -> Option<Place> {
    let member = node.peers.lock().own().clone();
    let encoded = match bincode::encode_to_vec(&member, bincode::config::standard()) {
        Ok(encoded) => encoded,
        Err(error) => {
            log::error!(error:err = error; "this node's record cannot be encoded");
            return None;
        }
    };
    let put = node.store.put(Topic::Nodes, &member.name, &encoded).await;
    if let Err(error) = &put {
        log::debug!(error:% = error; "this node is not announced yet");
    }
    node.note_store_era(clock::now());
    put.ok()
}

async fn look(node: &Gateway) -> bool {
    let newest = match node.store.newest(Topic::Nodes).await {
        Ok(newest) => newest,
        Err(error) => {
            log::debug!(error:err = error; "the other nodes are not known yet");
            return false;
        }
    };
    let now = clock::now();
    for item in newest.items {
        let Some(value) = item.value else { continue };
        if let Some(pool) = rollouts::pool_of(&item.key) {
            if let Some((order, stage)) = rollouts::ended(&value) {
                node.rollouts.lock().note_ended(pool, order, stage);
            }
            continue;
        }
        let config = bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>();
        match bincode::decode_from_slice::<Member, _>(&value, config) {
            // A record of another writer may happen to be of this form; a node writes under its own
            // name, and nothing behind.
            Ok((member, length)) if member.name == item.key && length == value.len() => {
                node.peers.lock().introduce(member, now);
            }
            Ok(_other) => {
                let reason = "it is not the record of the node that its key names";
                Topic::Nodes.note_malformed(&item.key, &reason);
            }
            Err(error) => Topic::Nodes.note_malformed(&item.key, &error),
        }
    }
    true
}

/// Opens the socket for datagrams.
///
/// # Errors
///
/// If the address cannot be listened on.
pub(crate) async fn listen(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}
