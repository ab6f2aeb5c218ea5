//! Sends and receives the datagrams between nodes.

mod demand;
mod discovery;
mod receive;
mod speeds;
mod statements;
mod transport;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

pub(crate) use discovery::discover;
use transport::{send, send_to, send_to_all};

use super::clock;
use super::crashes::reports as crash_reports;
use super::limits::credit;
use super::limits::throttle::Sharers;
use super::messages::Message;
use super::peers::PEER_EXPIRY_MS;
use super::relay::{self, ALIVE_INTERVAL_MS, REPORT_INTERVAL_MS};
use super::speed::relative::Scope;
use super::state::{Gateway, Outgoing};
use super::upstreams::tag;
use crate::time::TimeMs;

/// Largest datagram, just below the limit of UDP over IPv4.
const MAX_DATAGRAM_BYTES: usize = 65_000;

/// Least interval between two heartbeats to each node of the group.
const HEARTBEAT_INTERVAL_MS: u64 = 200;

/// Heartbeat interval per node of the group, so that a node sends at most about 83 heartbeats a
/// second.
const HEARTBEAT_INTERVAL_PER_PEER_MS: u64 = 12;

/// Interval between two heartbeats that carry engine speeds, and between two statements on those of a group.
///
/// The speeds change over tens of seconds and, at a node with few requests, take as many bytes as the
/// rest of a heartbeat.
const PACES_INTERVAL_MS: u64 = 2_000;

/// Interval between two messages with the accounts of a group.
const ACCOUNTS_INTERVAL_MS: u64 = 1_000;

/// Most accounts in one datagram; one with many teams takes a kilobyte.
const MAX_ACCOUNTS_PER_MESSAGE: usize = 32;

/// Most admitted totals in one datagram; each takes some 35 bytes.
const MAX_TOTALS_PER_MESSAGE: usize = 1_000;

/// Most reports of other groups in one datagram; one of a large group takes three kilobytes.
const MAX_REPORTS_PER_MESSAGE: usize = 12;

/// Time after its start in which a node sends no requests to upstreams that announce a rate limit.
const STARTUP_QUIET_MS: u64 = 1_000;

/// The periodic messages of a node.
#[derive(Debug, Default)]
struct Schedule {
    heartbeat: Timer,
    paces: Timer,
    group_speeds: Timer,
    report: Timer,
    accounts: Timer,
    demand: Timer,
}

/// Time of the last message of one kind; zero before the first.
#[derive(Debug, Default)]
struct Timer {
    sent_at: TimeMs,
}

impl Timer {
    /// Returns whether a message is due now, and if so counts it as sent.
    fn try_start(&mut self, interval_ms: u64, now: TimeMs) -> bool {
        let is_due = now.since(self.sent_at) >= interval_ms;
        if is_due {
            self.sent_at = now;
        }
        is_due
    }
}

/// Exchanges datagrams with the peers until the process exits.
pub(crate) async fn run(
    node: Arc<Gateway>,
    socket: UdpSocket,
    mut messages: mpsc::Receiver<Outgoing>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut ticks = tokio::time::interval(Duration::from_millis(HEARTBEAT_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut schedule = Schedule::default();
    let mut was_stopping = false;
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    receive::handle_datagram(&node, &buffer[..length], from, clock::now());
                }
                Err(error) => log::debug!(error:err = error; "cannot receive a datagram"),
            },
            message = messages.recv() => match message {
                Some(outgoing) => send(&node, &socket, &outgoing).await,
                None => return,
            },
            _tick = ticks.tick() => {
                let now = clock::now();
                divide_limits(&node, now);
                credit::update(&node, now);
                crash_reports::send_due(&node, now);
                send_admitted_totals(&node, &socket, now).await;
                send_heartbeat_if_due(&node, &socket, &mut schedule, now).await;
                send_reports_if_due(&node, &socket, &mut schedule, now).await;
                send_accounts_if_due(&node, &socket, &mut schedule, now).await;
                speeds::send_if_due(&node, &socket, &mut schedule.group_speeds, now).await;
                demand::send_if_due(&node, &socket, &mut schedule, now).await;
            }
            () = node.stopping.cancelled(), if !was_stopping => {
                was_stopping = true;
                schedule.heartbeat = Timer::default();
                schedule.report = Timer::default();
                let now = clock::now();
                send_heartbeat_if_due(&node, &socket, &mut schedule, now).await;
                send_reports_if_due(&node, &socket, &mut schedule, now).await;
            }
        }
    }
}

async fn send_heartbeat_if_due(
    node: &Gateway,
    socket: &UdpSocket,
    schedule: &mut Schedule,
    now: TimeMs,
) {
    if !schedule
        .heartbeat
        .try_start(heartbeat_interval_ms(node), now)
    {
        return;
    }
    let mut heartbeat = statements::build_heartbeat(node, now);
    if schedule.paces.try_start(PACES_INTERVAL_MS, now) {
        heartbeat.paces = node.learned_paces();
        heartbeat.speeds = (node.upstreams.lock()).take_speed_rows(Scope::Node, &[]);
    }
    node.relay.lock().record(&heartbeat.status, now);
    let addresses = node.peers.lock().group_addresses();
    send_to(socket, &Message::Heartbeat(Box::new(heartbeat)), &addresses).await;
    remove_expired(node, now);
}

/// Sends the report on this group to the others, if this node is its speaker, and passes on the
/// reports of other groups that it has received.
async fn send_reports_if_due(
    node: &Gateway,
    socket: &UdpSocket,
    schedule: &mut Schedule,
    now: TimeMs,
) {
    if !schedule.report.try_start(REPORT_INTERVAL_MS, now) {
        return;
    }
    let reach = node.store_reach(now);
    let deliveries = {
        let mut peers = node.peers.lock();
        relay::deliveries(&mut node.relay.lock(), &mut peers, reach, now)
    };
    if !deliveries.to_group.is_empty() {
        let group = node.peers.lock().group_addresses();
        for reports in deliveries.to_group.chunks(MAX_REPORTS_PER_MESSAGE) {
            send_to(socket, &Message::GroupReports(reports.to_vec()), &group).await;
        }
    }
    if let Some((report, carriers)) = deliveries.to_carriers {
        send_to(socket, &Message::GroupReport(report), &carriers).await;
    }
}

/// Sends the accounts of this group to the nodes that may perform the duties, if this node is the
/// speaker of a group among others.
async fn send_accounts_if_due(
    node: &Gateway,
    socket: &UdpSocket,
    schedule: &mut Schedule,
    now: TimeMs,
) {
    if !schedule.accounts.try_start(ACCOUNTS_INTERVAL_MS, now) {
        return;
    }
    let holder = node.lease.lock().holder().cloned();
    let keepers = {
        let reach = node.store_reach(now);
        let mut peers = node.peers.lock();
        let speaks = peers.group_count() > 1 && peers.is_speaker(reach, now);
        if speaks {
            peers.account_keepers(holder.as_ref(), now)
        } else {
            Vec::new()
        }
    };
    if keepers.is_empty() {
        return;
    }
    let accounts = statements::build_accounts(node, now);
    for accounts in accounts.chunks(MAX_ACCOUNTS_PER_MESSAGE) {
        send_to(socket, &Message::Accounts(accounts.to_vec()), &keepers).await;
    }
}

/// Sends admitted totals to the teams' collectors, and to all nodes where this node is the collector.
///
/// Within a single group the heartbeats carry them fast enough.
async fn send_admitted_totals(node: &Gateway, socket: &UdpSocket, now: TimeMs) {
    if node.peers.lock().group_count() == 1 {
        return;
    }
    let catalog = node.catalog();
    let active: Vec<u64> = node.quotas.lock().active_teams().collect();
    let mut relayed = Vec::new();
    let mut collected = Vec::new();
    for team in (catalog.teams.iter()).filter(|team| active.binary_search(&team.tag).is_ok()) {
        let unreported = node.quotas.lock().take_unreported_total(team, now);
        let changed = (node.quotas.lock()).take_changed_totals(team, node.incarnation, now);
        if unreported.is_none() && changed.is_empty() {
            continue;
        }
        match node.peers.lock().quota_collector(team.tag, now) {
            Some(address) => {
                let total = unreported.map(|total| (node.incarnation, total));
                collected.extend(total.map(|total| (address, total)));
            }
            None => relayed.extend(changed),
        }
    }
    for (address, total) in collected {
        send_to(socket, &Message::Admitted(vec![total]), &[address]).await;
    }
    for totals in relayed.chunks(MAX_TOTALS_PER_MESSAGE) {
        send_to_all(node, socket, &Message::Admitted(totals.to_vec())).await;
    }
}

/// Returns the interval between two heartbeats to each node of the group, which grows with the group.
fn heartbeat_interval_ms(node: &Gateway) -> u64 {
    let mates = node.peers.lock().group_addresses().len() as u64;
    HEARTBEAT_INTERVAL_MS.max(mates * HEARTBEAT_INTERVAL_PER_PEER_MS)
}

/// Returns the time within which each node has been heard twice, directly or by its group's report.
fn settling_ms(node: &Gateway) -> u64 {
    let heartbeat_ms = heartbeat_interval_ms(node);
    let report_ms = match node.peers.lock().group_count() {
        1 => 0,
        _ => ALIVE_INTERVAL_MS + REPORT_INTERVAL_MS,
    };
    (heartbeat_ms + report_ms) * 2
}

/// Computes this node's share of the rate limits that upstreams announce.
fn divide_limits(node: &Gateway, now: TimeMs) {
    if !node.upstreams.lock().has_stated_limits() {
        return;
    }
    // Until two heartbeats of each peer could have arrived, this node may appear to be the only one
    // and would take the whole limit.
    let is_settled = node.uptime_ms(now) >= STARTUP_QUIET_MS.max(settling_ms(node));
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

/// Removes expired peers, gone upstreams, silent peers' loads and idle connections.
fn remove_expired(node: &Gateway, now: TimeMs) {
    node.peers.lock().remove_expired(now);
    node.relay.lock().remove_silent(now);
    let audience = node.peers.lock().visibility(now);
    node.quotas.lock().set_visibility(audience);
    node.quotas.lock().forget_peers(PEER_EXPIRY_MS, now);
    node.peer_paces.lock().forget(now);
    let silent: Vec<u64> = {
        let peers = node.peers.lock();
        peers.silent_incarnations(now)
    };
    let mut upstreams = node.upstreams.lock();
    upstreams.evict_removed(now);
    // The requests of a silent peer have ended or are unknown; its load counts as zero.
    for incarnation in silent {
        upstreams.set_peer_loads(incarnation, &[]);
    }
    node.channels
        .close_idle(|key| upstreams.get(key).is_some(), now);
}

/// Binds the socket for datagrams.
///
/// # Errors
///
/// If the address cannot be bound.
pub(crate) async fn listen(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}
