//! The duties that one node has at a time: reporting usage and ordering upstreams.

use std::sync::Arc;
use std::time::Duration;

use super::clock;
use super::contact::StoreReach;
use super::lease::Entry;
use super::ordering::{self, Ended};
use super::place::Place;
use super::rolling;
use super::state::Gateway;
use super::upstreams::tag;
use super::usage::Report;
use crate::platform::cloud::{Cloud, Holder, Verdict};
use crate::platform::store::{StoreError, Topic};
use crate::time::TimeMs;

/// Between two looks at the lease and the duties.
const LOOK_INTERVAL_MS: u64 = 250;

/// Between two reads of the log of duties by a node that may take the lease.
const READ_INTERVAL_MS: u64 = 600;

/// A window is settled this long after its end: counts come from the peers some times a second,
/// also after a datagram or two were lost.
const SETTLE_AFTER_MS: u64 = 1_600;

/// Reports of windows that ended longer ago are not sent again after a takeover.
const WINDOWS_LOOKED_AT: u64 = 3;

/// What the holder of the lease remembers between two looks.
#[derive(Debug, Default)]
struct Memory {
    read_at: TimeMs,
    /// Windows whose report the platform has accepted.
    reported: Vec<u64>,
    /// Windows that ended before this time of day may have been settled by others unseen.
    unknown_before: TimeMs,
    /// What concerns orders of upstreams.
    orders: ordering::Memory,
    rollouts: rolling::Memory,
    /// Names of teams by tag, also of those that are no longer in the configuration.
    teams: Vec<(u64, String)>,
}

/// Takes part in the duties for as long as the node runs.
pub(crate) async fn run(node: Arc<Gateway>) {
    let Some(address) = node.settings().cloud_address else {
        log::info!("there are no duties");
        return;
    };
    let cloud = Cloud::new(address);
    let mut memory = Memory::default();
    let mut looks = tokio::time::interval(Duration::from_millis(LOOK_INTERVAL_MS));
    looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _tick = looks.tick() => {}
            () = node.stopping.cancelled() => {
                release(&node).await;
                return;
            }
        }
        memory.orders.note_needs(&node, clock::now());
        keep_lease(&node, &mut memory).await;
        if node.lease.lock().token(clock::now()).is_some() {
            write_lost(&node, &mut memory).await;
            report_usage(&node, &cloud, &mut memory).await;
            roll_out(&node, &mut memory).await;
            let ordered = ordering::order_upstreams(&node, &cloud, &mut memory.orders).await;
            if ordered == Ended::Fenced {
                give_up(&node, "orders").await;
            }
        }
    }
}

/// Renews the lease, or takes it if no other node has it.
async fn keep_lease(node: &Gateway, memory: &mut Memory) {
    let now = clock::now();
    let (is_own, is_due, is_overdue, holder) = {
        let lease = node.lease.lock();
        (
            lease.is_own(),
            lease.is_renewal_due(now),
            lease.is_overdue(now),
            lease.holder().cloned(),
        )
    };
    if is_own {
        if is_due {
            hold(node, memory).await;
        }
        return;
    }
    let can = node.is_ready(now) && node.store_reach(now) == StoreReach::Answering;
    let should = {
        let peers = node.peers.lock();
        let is_heard = holder.is_some_and(|holder| peers.is_alive(&holder, now));
        (!is_heard || is_overdue) && peers.is_first(can, now)
    };
    if should && now.since(memory.read_at) >= READ_INTERVAL_MS {
        memory.read_at = now;
        read_log(node, memory).await;
        if node.lease.lock().may_take(clock::now()) {
            hold(node, memory).await;
        }
    }
}

async fn hold(node: &Gateway, memory: &mut Memory) {
    let holder = node.lease.lock().own().clone();
    let was_own = node.lease.lock().is_own();
    if append(node, Entry::Hold { holder }, memory).await && !was_own {
        let now = clock::now();
        let token = node.lease.lock().token(now);
        log::info!(event = "lease_taken", fencing_token:? = token.map(Place::number); "this node has the duties");
    }
}

async fn release(node: &Gateway) {
    let is_own = node.lease.lock().is_own();
    if is_own {
        let holder = node.lease.lock().own().clone();
        let mut memory = Memory::default();
        if append(node, Entry::Release { holder }, &mut memory).await {
            log::info!(event = "lease_released"; "this node gave up the duties");
        }
    }
}

/// Appends a record behind all that this node has read; tells whether it is there.
async fn append(node: &Gateway, entry: Entry, memory: &mut Memory) -> bool {
    let encoded = match bincode::encode_to_vec(&entry, bincode::config::standard()) {
        Ok(encoded) => encoded,
        Err(error) => {
            log::error!(error:err = error; "a record of the duties cannot be encoded");
            return false;
        }
    };
    let at = node.lease.lock().end();
    let sent_at = clock::now();
    let appended = node.store.append(Topic::Duties, &encoded, Some(at)).await;
    node.note_store(&appended, clock::now());
    match appended {
        Ok(place) => {
            (node.lease.lock()).appended(place, entry, sent_at, clock::now());
            true
        }
        // Another node's record is there, or this one's after an answer was lost.
        Err(StoreError::NotAtEnd { .. }) => {
            read_log(node, memory).await;
            false
        }
        Err(error) => {
            let is_without_effect = error.is_without_effect();
            log::info!(event = "lease_not_renewed", error:err = error, is_without_effect; "a record of the duties was not appended");
            false
        }
    }
}

async fn read_log(node: &Gateway, memory: &mut Memory) {
    let mut from = node.lease.lock().read_end();
    loop {
        let read = node.store.read(Topic::Duties, from, 0).await;
        let now = clock::now();
        node.note_store_era(now);
        match read {
            Ok(records) => {
                let mut lease = node.lease.lock();
                for (place, body) in records.from.following().zip(&records.bodies) {
                    let config = bincode::config::standard();
                    match bincode::decode_from_slice::<Entry, _>(body, config) {
                        Ok((entry, length)) if length == body.len() => {
                            lease.read(place, entry, now);
                        }
                        Ok(_longer) => {
                            let reason = "more follows than a record holds";
                            Topic::Duties.note_malformed("", &reason);
                        }
                        Err(error) => Topic::Duties.note_malformed("", &error),
                    }
                }
                from = records.next();
                if from >= records.end || records.bodies.is_empty() {
                    lease.read_to(from, now);
                    return;
                }
            }
            Err(StoreError::Deleted { first }) => {
                memory.unknown_before = node.time_of_day(clock::now());
                let mut lease = node.lease.lock();
                lease.skip_to(first);
                if lease.read_end() == from {
                    log::warn!(event = "history_lost", topic = "duties", from:% = from, first; "the store lacks records that lie behind its oldest");
                    return;
                }
                from = lease.read_end();
            }
            Err(error) => {
                log::debug!(error:err = error; "the log of duties was not read");
                return;
            }
        }
    }
}

/// Decides on roll-outs, and tells the operators how they stand.
async fn roll_out(node: &Gateway, memory: &mut Memory) {
    rolling::read_decisions(node);
    for decided in rolling::due(node) {
        let holder = node.lease.lock().own().clone();
        let entry = Entry::Decide { holder, decided };
        if append(node, entry, memory).await {
            rolling::take(node, decided);
        }
    }
    rolling::tell_operators(node, &mut memory.rollouts).await;
}

/// Settles and reports the windows that have ended.
async fn report_usage(node: &Gateway, cloud: &Cloud, memory: &mut Memory) {
    learn_names(node, memory);
    let now = clock::now();
    let time_of_day = node.time_of_day(now);
    let late_ms = node.settings().bounds.usage_late_ms;
    let unseen_before = memory.unknown_before.max(unseen_before(node, now));
    let due: Vec<u64> = {
        let usage = node.usage.lock();
        let newest = usage.window_at(time_of_day);
        (newest.saturating_sub(WINDOWS_LOOKED_AT)..newest)
            .filter(|window| time_of_day >= usage.end_of(*window).after(SETTLE_AFTER_MS))
            .filter(|window| time_of_day < usage.end_of(*window).after(late_ms))
            .filter(|window| usage.end_of(*window) > unseen_before)
            .filter(|window| !memory.reported.contains(window))
            .collect()
    };
    for window in due {
        let settled = settle(node, window, memory).await;
        let Some(report) = settled else { continue };
        let Some(fencing_token) = node.lease.lock().token(clock::now()) else {
            return;
        };
        let holder = Holder {
            node: &node.settings().name,
            fencing_token: fencing_token.number(),
        };
        match cloud.report(holder, &report).await {
            Ok(Verdict::Accepted) => {
                log::info!(event = "usage_reported", window, teams = report.counts.len(), fencing_token:% = fencing_token; "usage was reported");
                memory.reported.push(window);
                let surplus = memory.reported.len().saturating_sub(16);
                memory.reported.drain(..surplus);
            }
            Ok(Verdict::Fenced) => {
                give_up(node, "usage").await;
                return;
            }
            Ok(verdict) => {
                log::info!(event = "usage_refused", window, verdict:? = verdict; "usage was not accepted");
            }
            Err(error) => {
                log::info!(event = "usage_unanswered", window, error:err = error; "usage is reported again");
            }
        }
    }
}

/// Windows that ended before this time of day may have been reported by a holder of whose reports the store has lost
/// the records.
fn unseen_before(node: &Gateway, now: TimeMs) -> TimeMs {
    let since = node.lease.lock().unseen_before();
    let ago_ms = since.map(|since| now.since(since));
    ago_ms.map_or(TimeMs(0), |ago_ms| {
        TimeMs(node.time_of_day(now).0.saturating_sub(ago_ms))
    })
}

/// Writes again what the store has lost of what was settled: it may have been told already.
async fn write_lost(node: &Gateway, memory: &mut Memory) {
    loop {
        let Some(report) = node.lease.lock().lost().cloned() else {
            return;
        };
        let holder = node.lease.lock().own().clone();
        if !append(node, Entry::Settle { holder, report }, memory).await {
            return;
        }
    }
}

/// What is reported for a window: as settled before, or settled now.
///
/// Two reports of a window with different counts would charge teams twice. The counts are in the
/// log before the first report is sent, so that whoever reports again reports the same.
async fn settle(node: &Gateway, window: u64, memory: &mut Memory) -> Option<Report> {
    let settled = {
        let lease = node.lease.lock();
        let mut reports = lease.settled().iter();
        reports.find(|report| report.window == window).cloned()
    };
    if settled.is_some() {
        return settled;
    }
    let totals = node.usage.lock().totals(window);
    let counts: Vec<(String, u64)> = (totals.iter())
        .filter_map(|(team, count)| {
            let place = memory.teams.binary_search_by_key(team, |(tag, _name)| *tag);
            place
                .ok()
                .map(|place| (memory.teams[place].1.clone(), *count))
        })
        .collect();
    if counts.is_empty() {
        return None;
    }
    let report = Report { window, counts };
    let holder = node.lease.lock().own().clone();
    let entry = Entry::Settle {
        holder,
        report: report.clone(),
    };
    append(node, entry, memory).await.then_some(report)
}

fn learn_names(node: &Gateway, memory: &mut Memory) {
    for team in &node.catalog().teams {
        let tag = tag(&team.name);
        if let Err(place) = memory.teams.binary_search_by_key(&tag, |(tag, _name)| *tag) {
            memory.teams.insert(place, (tag, team.name.clone()));
        }
    }
}

/// Gives the lease up after the platform said that a higher fencing token has been used.
///
/// The token is never used again; whoever takes the lease next gets a higher one.
async fn give_up(node: &Gateway, duty: &'static str) {
    log::warn!(event = "fenced", duty; "another node has acted with a higher token");
    release(node).await;
    node.lease.lock().lose();
}
