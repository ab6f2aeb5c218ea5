//! Sends and receives the datagrams between nodes and discovers members in the store.

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
use super::configuration_sync;
use super::handover;
use super::log_position::LogPosition;
use super::num;
use super::peers::{Heartbeat, Member, Message, PEER_EXPIRY_MS};
use super::rank;
use super::rollout::Decision;
use super::state::{Gateway, Outgoing, Recipients};
use super::throttle::{LimitReport, Sharers};
use super::upstreams::tag;
use crate::platform::rollouts;
use crate::platform::store::Topic;
use crate::time::TimeMs;

/// Largest datagram, just below the limit of UDP over IPv4.
const MAX_DATAGRAM_BYTES: usize = 65_000;

/// Least interval between two heartbeats to each peer.
const HEARTBEAT_INTERVAL_MS: u64 = 200;

/// Heartbeat interval per peer, so that a node sends at most about 170 heartbeats a second.
const HEARTBEAT_INTERVAL_PER_PEER_MS: u64 = 6;

/// Interval between two heartbeats that carry engine speeds.
///
/// The speeds change over tens of seconds and, at a node with few requests, take as many bytes as the
/// rest of a heartbeat.
const PACES_INTERVAL_MS: u64 = 2_000;

/// Time after its start in which a node sends no requests to upstreams that announce a rate limit.
const STARTUP_QUIET_MS: u64 = 1_000;

/// Interval between two reads of the member records in the store.
const DISCOVERY_INTERVAL_MS: u64 = 1_000;

/// Exchanges datagrams with the peers until the process exits.
pub(crate) async fn run(
    node: Arc<Gateway>,
    socket: UdpSocket,
    mut messages: mpsc::Receiver<Outgoing>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut ticks = tokio::time::interval(Duration::from_millis(HEARTBEAT_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut heartbeat_at = TimeMs(0);
    let mut paces_sent_at = TimeMs(0);
    let mut was_stopping = false;
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => handle_datagram(&node, &buffer[..length], from, clock::now()),
                Err(error) => log::debug!(error:err = error; "cannot receive a datagram"),
            },
            message = messages.recv() => match message {
                Some(outgoing) => send(&node, &socket, &outgoing).await,
                None => return,
            },
            _tick = ticks.tick() => {
                let now = clock::now();
                let is_stopping = node.is_stopping();
                divide_limits(&node, now);
                if heartbeat_interval_ms(&node) > HEARTBEAT_INTERVAL_MS * 2 {
                    send_admitted_totals(&node, &socket, now).await;
                }
                let is_due = now.since(heartbeat_at) >= heartbeat_interval_ms(&node);
                if is_due || is_stopping != was_stopping {
                    heartbeat_at = now;
                    was_stopping = is_stopping;
                    let mut heartbeat = build_heartbeat(&node, now);
                    if now.since(paces_sent_at) >= PACES_INTERVAL_MS {
                        paces_sent_at = now;
                        heartbeat.paces = node.learned_paces();
                    }
                    send_to_all(&node, &socket, &Message::Heartbeat(Box::new(heartbeat))).await;
                    remove_expired(&node, now);
                }
            }
            () = node.stopping.cancelled(), if !was_stopping => {
                was_stopping = true;
                let heartbeat = Message::Heartbeat(Box::new(build_heartbeat(&node, clock::now())));
                send_to_all(&node, &socket, &heartbeat).await;
            }
        }
    }
}

/// Returns the interval between two heartbeats to each peer, which grows with the fleet.
fn heartbeat_interval_ms(node: &Gateway) -> u64 {
    let peers = node.peers.lock().iter().count() as u64;
    HEARTBEAT_INTERVAL_MS.max(peers * HEARTBEAT_INTERVAL_PER_PEER_MS)
}

/// Computes this node's share of the rate limits that upstreams announce.
fn divide_limits(node: &Gateway, now: TimeMs) {
    if !node.upstreams.lock().has_stated_limits() {
        return;
    }
    // Until two heartbeats of each peer could have arrived, this node may appear to be the only one
    // and would take the whole limit.
    let is_settled = node.uptime_ms(now) >= STARTUP_QUIET_MS.max(heartbeat_interval_ms(node) * 2);
    let day_ms = node.agreed_time_of_day(now).0;
    let sharers = {
        let peers = node.peers.lock();
        let heard = peers.active(now).map(|peer| tag(&peer.member.name));
        Sharers {
            own: tag(&peers.own().name),
            peers: heard.collect(),
            share: peers.visibility(now).share(),
            day_ms,
            is_sending: is_settled && !node.is_stopping(),
        }
    };
    (node.upstreams.lock()).update_limit_shares(&sharers, now);
}

fn apply_limit(node: &Gateway, told: &LimitReport, now: TimeMs) {
    let mut upstreams = node.upstreams.lock();
    if let Some((upstream, change)) = upstreams.apply_limit_report(told, now) {
        let id = upstream.announcement.id.as_str();
        log::debug!(event = "upstream_limit_heard", upstream = id, change:? = change, age_ms = told.age_ms; "a peer reported a change of an upstream's rate limit");
    }
}

fn apply_leaving(node: &Gateway, upstream: u64) {
    if let Some(upstream) = node.upstreams.lock().apply_leaving_report(upstream) {
        let id = upstream.announcement.id.as_str();
        log::debug!(event = "upstream_leaving_heard", upstream = id; "a peer reported that an upstream is leaving");
    }
}

/// Removes expired peers, gone upstreams, silent peers' loads and idle connections.
fn remove_expired(node: &Gateway, now: TimeMs) {
    node.peers.lock().remove_expired(now);
    let audience = node.peers.lock().visibility(now);
    node.quotas.lock().set_visibility(audience);
    node.quotas.lock().forget_peers(PEER_EXPIRY_MS, now);
    node.peer_paces.lock().forget(now);
    let mut upstreams = node.upstreams.lock();
    upstreams.evict_removed(now);
    let silent: Vec<u64> = {
        let peers = node.peers.lock();
        let heard: Vec<u64> = peers
            .live(now)
            .map(|peer| peer.member.incarnation)
            .collect();
        let all = peers.iter().map(|peer| peer.member.incarnation);
        all.filter(|incarnation| !heard.contains(incarnation))
            .collect()
    };
    // The requests of a silent peer have ended or are unknown; its load counts as zero.
    for incarnation in silent {
        upstreams.set_peer_loads(incarnation, &[]);
    }
    node.channels
        .close_idle(|key| upstreams.get(key).is_some(), now);
}

/// Builds this node's heartbeat, without engine speeds.
fn build_heartbeat(node: &Gateway, now: TimeMs) -> Heartbeat {
    let peers = node.peers.lock();
    let known: Vec<&Member> = peers.live(now).map(|peer| &peer.member).collect();
    let introduced = match known.len() {
        0 => None,
        count => Some(known[rand::rng().random_range(0..count)].clone()),
    };
    let member = peers.own().clone();
    drop(peers);
    let lease = node.lease.lock().announced(now);
    let rollouts = node.rollouts.lock();
    let observed = rollouts.observations(None);
    let decided = lease.map(|_lease| rollouts.decisions()).unwrap_or_default();
    drop(rollouts);
    let upstreams = node.upstreams.lock();
    let loads = upstreams.own_loads();
    let limits = upstreams.limit_reports(now);
    let leaving = upstreams.leaving_unannounced();
    drop(upstreams);
    let strikes = node.strikes.lock().blocked_strikes(now);
    let (era, era_age_ms) = node.era(now);
    Heartbeat {
        member,
        introduced,
        is_ready: node.is_ready(now),
        is_stopping: node.is_stopping(),
        store: node.store_reach(now),
        era,
        era_age_ms,
        configuration_version: node.catalog().version,
        time_of_day_ms: clock::time_of_day().0,
        interval_ms: heartbeat_interval_ms(node),
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
        Recipients::SameDomain => {
            let addresses = node.peers.lock().same_domain_addresses(clock::now());
            send_to(socket, &outgoing.message, &addresses).await;
        }
        Recipients::OtherDomainLeaders => {
            let addresses = {
                let peers = node.peers.lock();
                let domain = &peers.own().failure_domain;
                (rank::first_of_each_domain(&peers, clock::now()).iter())
                    .filter(|member| member.failure_domain != *domain)
                    .map(|member| member.gossip_address)
                    .collect::<Vec<_>>()
            };
            send_to(socket, &outgoing.message, &addresses).await;
        }
        Recipients::Address(address) => send_to(socket, &outgoing.message, &[address]).await,
    }
}

async fn send_to_all(node: &Gateway, socket: &UdpSocket, message: &Message) {
    let addresses: Vec<SocketAddr> = {
        let peers = node.peers.lock();
        peers
            .iter()
            .map(|peer| peer.member.gossip_address)
            .collect()
    };
    send_to(socket, message, &addresses).await;
}

async fn send_to(socket: &UdpSocket, message: &Message, addresses: &[SocketAddr]) {
    let encoded = match bincode::encode_to_vec(message, bincode::config::standard()) {
        Ok(encoded) if encoded.len() <= MAX_DATAGRAM_BYTES => encoded,
        Ok(encoded) => {
            log::error!(bytes = encoded.len(); "dropped a message to peers that exceeds the datagram size");
            return;
        }
        Err(error) => {
            log::error!(error:err = error; "dropped a message to peers that cannot be encoded");
            return;
        }
    };
    for address in addresses {
        if let Err(error) = socket.send_to(&encoded, *address).await {
            log::debug!(error:err = error, peer:% = *address; "cannot send a datagram to a peer");
        }
    }
}

fn handle_datagram(node: &Gateway, datagram: &[u8], from: SocketAddr, now: TimeMs) {
    let config = bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>();
    let message = match bincode::decode_from_slice::<Message, _>(datagram, config) {
        Ok((message, _length)) => message,
        Err(error) => {
            metrics::counter!("teaselline_datagrams_malformed_total").increment(1);
            log::debug!(error:err = error; "dropped a datagram that cannot be decoded");
            return;
        }
    };
    if let Some((era, age_ms)) = message.era() {
        node.record_era(era, age_ms, now);
    }
    match message {
        Message::Heartbeat(heartbeat) => apply_heartbeat(node, &heartbeat, now),
        Message::Upstreams(news) => announcements::apply_peer_changes(node, news, from, now),
        Message::QueryUpstreams(asked) => handover::answer_request(node, &asked, from, now),
        Message::UpstreamsPage(page) => handover::apply_page(node, page, from, now),
        Message::QueryConfirmation(question) => {
            let confirmation = node.in_force.read().confirmation(&question, now);
            if let Some(confirmation) = confirmation {
                let confirmation = confirmation.with_orders(node.rollouts.lock().orders());
                let answer = Message::Confirmation(confirmation);
                node.send_message(Recipients::Address(from), answer);
            }
        }
        Message::Decided(decided) => apply_decided(node, &decided),
        Message::Observed(incarnation, observed) => {
            node.rollouts
                .lock()
                .record_observations(incarnation, observed);
        }
        Message::Confirmation(confirmation) => {
            configuration_sync::apply_confirmation(node, &confirmation, now);
        }
        Message::Limit(told) => apply_limit(node, &told, now),
        Message::Leaving(upstream) => apply_leaving(node, upstream),
        Message::Admitted { team, totals } => apply_admitted(node, team, &totals, now),
        Message::Strike(strike) => {
            node.strikes.lock().record(strike, now);
        }
    }
}

fn apply_admitted(node: &Gateway, team: u64, totals: &[(u64, f64)], now: TimeMs) {
    let catalog = node.catalog();
    let mut quotas = node.quotas.lock();
    for (incarnation, total) in totals
        .iter()
        .filter(|(peer, _total)| *peer != node.incarnation)
    {
        quotas.record_peer(*incarnation, &[(team, *total)], &catalog.teams, now);
    }
}

/// Sends admitted totals to the teams' collectors, and to all nodes where this node is the collector.
async fn send_admitted_totals(node: &Gateway, socket: &UdpSocket, now: TimeMs) {
    for team in &node.catalog().teams {
        let tag = tag(&team.name);
        let collector = node.peers.lock().quota_collector(tag, now);
        if let Some(address) = collector {
            let unsent = node.quotas.lock().take_unreported_total(team, now);
            if let Some(total) = unsent {
                let totals = vec![(node.incarnation, total)];
                let message = Message::Admitted { team: tag, totals };
                send_to(socket, &message, &[address]).await;
            }
            continue;
        }
        let totals = (node.quotas.lock()).take_changed_totals(team, node.incarnation, now);
        if !totals.is_empty() {
            let message = Message::Admitted { team: tag, totals };
            send_to_all(node, socket, &message).await;
        }
    }
}

fn apply_decided(node: &Gateway, decided: &Decision) {
    if node.rollouts.lock().apply_decision(decided) {
        log::info!(event = "rollout_stage", order:% = decided.order, stage:? = decided.stage; "a rollout entered another stage");
    }
}

fn apply_heartbeat(node: &Gateway, heartbeat: &Heartbeat, now: TimeMs) {
    let incarnation = heartbeat.member.incarnation;
    {
        let mut peers = node.peers.lock();
        peers.record_heartbeat(heartbeat, now);
        (node.in_force.write()).record_peer_version(heartbeat.configuration_version);
        if let Some(introduced) = &heartbeat.introduced {
            peers.add_member(introduced.clone(), now);
        }
    }
    node.upstreams
        .lock()
        .set_peer_loads(incarnation, &heartbeat.loads);
    node.usage.lock().record_peer(incarnation, &heartbeat.usage);
    (node.demands.lock()).record_peer(incarnation, heartbeat.demand.clone(), now);
    for (pool, pace) in &heartbeat.paces {
        (node.peer_paces.lock()).record(incarnation, *pool, *pace, now);
    }
    let catalog = node.catalog();
    (node.quotas.lock()).record_peer(incarnation, &heartbeat.admitted, &catalog.teams, now);
    if !heartbeat.observed.is_empty() {
        (node.rollouts.lock()).record_observations(incarnation, heartbeat.observed.clone());
    }
    for decided in &heartbeat.decided {
        apply_decided(node, decided);
    }
    for remembered in &heartbeat.strikes {
        (node.strikes.lock()).record_aged(*remembered, now);
    }
    for told in &heartbeat.limits {
        apply_limit(node, told, now);
    }
    for upstream in &heartbeat.leaving {
        apply_leaving(node, *upstream);
    }
    if let Some((end, token)) = heartbeat.lease {
        let holder = super::lease::Holder {
            node: heartbeat.member.name.clone(),
            incarnation,
            era: end.era,
        };
        node.lease.lock().record_peer_end(end, &holder, token, now);
    }
}

/// Writes this node's member record to the store and reads the records of the others.
///
/// One read after the own record is written is enough: of two nodes that start at the same time, the
/// later one reads the earlier one's record and sends it a heartbeat.
pub(crate) async fn discover(node: Arc<Gateway>) {
    // A store that is restored from a copy may have lost this node's record, so the record is written
    // again in each era.
    let mut written_in_era = None;
    let mut has_read_members = false;
    loop {
        let (era, _age_ms) = node.era(clock::now());
        if written_in_era != Some(era) {
            written_in_era = write_member(&node).await.map(|place| place.era);
        }
        let is_written = written_in_era.is_some();
        let is_alone = node.peers.lock().live(clock::now()).next().is_none();
        if (is_written && !has_read_members) || is_alone {
            let has_read = read_members(&node).await;
            node.upstreams_view.lock().knows_nodes |= has_read;
            has_read_members |= has_read && is_written;
            // Without this message the others would learn of this node from its next heartbeat, up
            // to a second later.
            let heartbeat = build_heartbeat(&node, clock::now());
            node.broadcast(Message::Heartbeat(Box::new(heartbeat)));
        }
        let delay_ms = num::to_f64(DISCOVERY_INTERVAL_MS) * rand::rng().random_range(0.8..1.2);
        tokio::time::sleep(Duration::from_millis(num::round_to_u64(delay_ms))).await;
    }
}

/// Writes this node's member record; returns its place in the store, or `None` on failure.
async fn write_member(node: &Gateway) -> Option<LogPosition> {
    let member = node.peers.lock().own().clone();
    let encoded = match bincode::encode_to_vec(&member, bincode::config::standard()) {
        Ok(encoded) => encoded,
        Err(error) => {
            log::error!(error:err = error; "cannot encode this node's member record");
            return None;
        }
    };
    let written = node.store.put(Topic::Nodes, &member.name, &encoded).await;
    if let Err(error) = &written {
        log::debug!(error:% = error; "cannot write this node's member record to the store; retrying");
    }
    node.record_store_era(clock::now());
    written.ok()
}

/// Adds the members and rollout results in the store; returns whether the read succeeded.
async fn read_members(node: &Gateway) -> bool {
    let newest = match node.store.read_latest(Topic::Nodes).await {
        Ok(newest) => newest,
        Err(error) => {
            log::debug!(error:err = error; "cannot read the member records from the store; retrying");
            return false;
        }
    };
    let now = clock::now();
    for item in newest.items {
        let Some(value) = item.value else { continue };
        if let Some(pool) = rollouts::pool_from_key(&item.key) {
            if let Some((order, stage)) = rollouts::decode_final_status(&value) {
                node.rollouts.lock().record_end(pool, order, stage);
            }
            continue;
        }
        let config = bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>();
        match bincode::decode_from_slice::<Member, _>(&value, config) {
            // A record of another writer may decode as a member by chance. A node writes its record
            // under its own name, without trailing bytes.
            Ok((member, length)) if member.name == item.key && length == value.len() => {
                node.peers.lock().add_member(member, now);
            }
            Ok(_other) => {
                let reason = "it is not the record of the node that its key names";
                Topic::Nodes.report_malformed(&item.key, &reason);
            }
            Err(error) => Topic::Nodes.report_malformed(&item.key, &error),
        }
    }
    true
}

/// Binds the socket for datagrams.
///
/// # Errors
///
/// If the address cannot be bound.
pub(crate) async fn listen(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}
