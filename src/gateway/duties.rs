//! Performs the duties of the lease holder: reporting usage, deciding on rollouts and ordering
//! upstreams.

use std::sync::Arc;
use std::time::Duration;

use super::clock;
use super::lease::DutyRecord;
use super::log_position::LogPosition;
use super::provisioning::{self, OrderOutcome};
use super::rollout_decisions;
use super::state::Gateway;
use super::store_contact::StoreAvailability;
use super::upstreams::tag;
use super::usage::UsageReport;
use crate::platform::cloud::{CallOutcome, Cloud, LeaseHolder};
use crate::platform::store::{StoreError, Topic};
use crate::time::TimeMs;

/// Interval between checks of the lease and the duties.
const CHECK_INTERVAL_MS: u64 = 250;

/// Interval between reads of the log of duties by a node that may acquire the lease.
const READ_INTERVAL_MS: u64 = 600;

/// Delay after the end of a window before it is settled: counts arrive from the peers several times
/// a second, also after one or two lost datagrams.
const SETTLE_DELAY_MS: u64 = 1_600;

/// Number of ended windows that are considered; reports of older ones are not sent again after a
/// takeover.
const MAX_REPORTED_WINDOWS: u64 = 3;

/// Largest record that is decoded, as long as a response with records.
///
/// Without a limit, memory is taken for whatever length a record of another writer states.
const MAX_RECORD_BYTES: usize = 1_048_576;

/// What a node remembers between two checks.
#[derive(Debug, Default)]
struct DutyState {
    read_at: TimeMs,
    /// Windows whose report the platform has accepted.
    reported: Vec<u64>,
    /// Windows that ended before this time of day may have been settled in records that were
    /// deleted unread.
    unread_before: TimeMs,
    /// State of the orders of upstreams.
    orders: provisioning::ScalingState,
    rollouts: rollout_decisions::ReportedStages,
    /// Team names by tag, including teams that are no longer configured.
    teams: Vec<(u64, String)>,
}

/// Takes part in the duties until the node stops.
pub(crate) async fn run(node: Arc<Gateway>) {
    let Some(address) = node.settings().cloud_address else {
        log::info!("no cloud address is configured; this node performs no duties");
        return;
    };
    let cloud = Cloud::new(address);
    let mut state = DutyState::default();
    let mut ticks = tokio::time::interval(Duration::from_millis(CHECK_INTERVAL_MS));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _tick = ticks.tick() => {}
            () = node.stopping.cancelled() => {
                release_lease(&node).await;
                return;
            }
        }
        state.orders.update_needs(&node, clock::now());
        maintain_lease(&node, &mut state).await;
        if node.lease.lock().token(clock::now()).is_some() {
            rewrite_missing_reports(&node, &mut state).await;
            report_usage(&node, &cloud, &mut state).await;
            roll_out(&node, &mut state).await;
            let ordered = provisioning::order_upstreams(&node, &cloud, &mut state.orders).await;
            if ordered == OrderOutcome::Fenced {
                abandon_lease(&node, "orders").await;
            }
        }
    }
}

/// Renews the lease, or acquires it if no other node holds it.
async fn maintain_lease(node: &Gateway, state: &mut DutyState) {
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
            acquire_or_renew(node, state).await;
        }
        return;
    }
    let is_eligible = node.is_ready(now) && node.store_reach(now) == StoreAvailability::Answering;
    let should_acquire = {
        let peers = node.peers.lock();
        let is_holder_alive = holder.is_some_and(|holder| peers.is_alive(&holder, now));
        (!is_holder_alive || is_overdue) && peers.is_elected(is_eligible, now)
    };
    if should_acquire && now.since(state.read_at) >= READ_INTERVAL_MS {
        state.read_at = now;
        read_log(node, state).await;
        if node.lease.lock().may_acquire(clock::now()) {
            acquire_or_renew(node, state).await;
        }
    }
}

async fn acquire_or_renew(node: &Gateway, state: &mut DutyState) {
    let holder = node.lease.lock().own().clone();
    let was_own = node.lease.lock().is_own();
    if append_record(node, DutyRecord::Hold { holder }, state).await && !was_own {
        let now = clock::now();
        let token = node.lease.lock().token(now);
        log::info!(event = "lease_taken", fencing_token:? = token.map(LogPosition::number); "acquired the lease; this node performs the duties");
    }
}

async fn release_lease(node: &Gateway) {
    let is_own = node.lease.lock().is_own();
    if is_own {
        let holder = node.lease.lock().own().clone();
        let mut state = DutyState::default();
        if append_record(node, DutyRecord::Release { holder }, &mut state).await {
            log::info!(event = "lease_released"; "released the lease; this node no longer performs the duties");
        }
    }
}

/// Appends a record to the log of duties, provided that the log ends where this node knows it to
/// end; returns whether the append succeeded.
async fn append_record(node: &Gateway, record: DutyRecord, state: &mut DutyState) -> bool {
    let encoded = match bincode::encode_to_vec(&record, bincode::config::standard()) {
        Ok(encoded) => encoded,
        Err(error) => {
            log::error!(error:err = error; "encoding a record of the log of duties failed");
            return false;
        }
    };
    let at = node.lease.lock().end();
    let sent_at = clock::now();
    let appended = node.store.append(Topic::Duties, &encoded, Some(at)).await;
    node.record_store_call(&appended, clock::now());
    match appended {
        Ok(position) => {
            (node.lease.lock()).record_append(position, record, sent_at, clock::now());
            true
        }
        // The log has another record: of another node, or of this one if an answer was lost.
        Err(StoreError::EndMismatch { .. }) => {
            read_log(node, state).await;
            false
        }
        Err(error) => {
            let is_without_effect = error.is_without_effect();
            log::info!(event = "lease_not_renewed", error:err = error, is_without_effect; "appending to the log of duties failed");
            false
        }
    }
}

async fn read_log(node: &Gateway, state: &mut DutyState) {
    let mut from = node.lease.lock().next_read();
    loop {
        let read = node.store.read(Topic::Duties, from, 0).await;
        let now = clock::now();
        node.record_store_era(now);
        match read {
            Ok(records) => {
                let mut lease = node.lease.lock();
                for (position, body) in records.from.following().zip(&records.bodies) {
                    let config = bincode::config::standard().with_limit::<MAX_RECORD_BYTES>();
                    match bincode::decode_from_slice::<DutyRecord, _>(body, config) {
                        Ok((record, length)) if length == body.len() => {
                            lease.read(position, record, now);
                        }
                        Ok(_longer) => {
                            let reason = "more follows than a record holds";
                            node.store.report_malformed(Topic::Duties, "", &reason);
                        }
                        Err(error) => node.store.report_malformed(Topic::Duties, "", &error),
                    }
                }
                from = records.next();
                if from >= records.end || records.bodies.is_empty() {
                    lease.read_to(from, now);
                    return;
                }
            }
            Err(StoreError::Deleted { first }) => {
                state.unread_before = node.agreed_time_of_day(clock::now());
                let mut lease = node.lease.lock();
                lease.skip_to(first);
                if lease.next_read() == from {
                    log::warn!(event = "history_lost", topic = "duties", from:% = from, first; "the store lacks records after its oldest offset; stopped reading the log of duties");
                    return;
                }
                from = lease.next_read();
            }
            Err(error) => {
                log::debug!(error:err = error; "reading the log of duties failed; retrying");
                return;
            }
        }
    }
}

/// Decides on rollouts, and informs the operators of their state.
async fn roll_out(node: &Gateway, state: &mut DutyState) {
    rollout_decisions::apply_logged_decisions(node);
    for decided in rollout_decisions::due_decisions(node) {
        let holder = node.lease.lock().own().clone();
        let record = DutyRecord::Decide { holder, decided };
        if append_record(node, record, state).await {
            rollout_decisions::take(node, decided);
        }
    }
    rollout_decisions::report_to_operators(node, &mut state.rollouts).await;
}

/// Settles and reports the windows that have ended.
async fn report_usage(node: &Gateway, cloud: &Cloud, state: &mut DutyState) {
    record_team_names(node, state);
    let now = clock::now();
    let time_of_day = node.agreed_time_of_day(now);
    let late_ms = node.settings().bounds.usage_late_ms;
    let unseen_before = state.unread_before.max(unseen_before(node, now));
    let due: Vec<u64> = {
        let usage = node.usage.lock();
        let newest = usage.window_at(time_of_day);
        (newest.saturating_sub(MAX_REPORTED_WINDOWS)..newest)
            .filter(|window| time_of_day >= usage.window_end(*window).after(SETTLE_DELAY_MS))
            .filter(|window| time_of_day < usage.window_end(*window).after(late_ms))
            .filter(|window| usage.window_end(*window) > unseen_before)
            .filter(|window| !state.reported.contains(window))
            .collect()
    };
    for window in due {
        let settled = settle(node, window, state).await;
        let Some(report) = settled else { continue };
        let Some(fencing_token) = node.lease.lock().token(clock::now()) else {
            return;
        };
        let holder = LeaseHolder {
            node: &node.settings().name,
            fencing_token: fencing_token.number(),
        };
        match cloud.report_usage(holder, &report).await {
            Ok(CallOutcome::Accepted) => {
                log::info!(event = "usage_reported", window, teams = report.counts.len(), fencing_token:% = fencing_token; "the platform accepted the usage report");
                state.reported.push(window);
                let surplus = state.reported.len().saturating_sub(16);
                state.reported.drain(..surplus);
            }
            Ok(CallOutcome::Fenced) => {
                abandon_lease(node, "usage").await;
                return;
            }
            Ok(verdict) => {
                log::info!(event = "usage_refused", window, verdict:? = verdict; "the platform did not accept the usage report; retrying");
            }
            Err(error) => {
                log::info!(event = "usage_unanswered", window, error:err = error; "the usage report got no valid answer; retrying");
            }
        }
    }
}

/// Returns the time of day such that windows that ended before it may have been reported by a
/// holder whose records the store has lost.
fn unseen_before(node: &Gateway, now: TimeMs) -> TimeMs {
    let since = node.lease.lock().unseen_era_since();
    let ago_ms = since.map(|since| now.since(since));
    ago_ms.map_or(TimeMs(0), |ago_ms| {
        TimeMs(node.agreed_time_of_day(now).0.saturating_sub(ago_ms))
    })
}

/// Appends settled reports again that the store has lost: they may already have been sent.
async fn rewrite_missing_reports(node: &Gateway, state: &mut DutyState) {
    loop {
        let Some(report) = node.lease.lock().missing_report().cloned() else {
            return;
        };
        let holder = node.lease.lock().own().clone();
        if !append_record(node, DutyRecord::Settle { holder, report }, state).await {
            return;
        }
    }
}

/// Returns the report of a window: as settled before, or settled now.
///
/// Two reports of a window with different counts would charge teams twice. The counts are written
/// to the log before the first report is sent, so that every later holder reports the same.
async fn settle(node: &Gateway, window: u64, state: &mut DutyState) -> Option<UsageReport> {
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
            let position = state.teams.binary_search_by_key(team, |(tag, _name)| *tag);
            position
                .ok()
                .map(|position| (state.teams[position].1.clone(), *count))
        })
        .collect();
    if counts.is_empty() {
        return None;
    }
    let report = UsageReport { window, counts };
    let holder = node.lease.lock().own().clone();
    let record = DutyRecord::Settle {
        holder,
        report: report.clone(),
    };
    append_record(node, record, state).await.then_some(report)
}

fn record_team_names(node: &Gateway, state: &mut DutyState) {
    for team in &node.catalog().teams {
        let tag = tag(&team.name);
        if let Err(position) = state.teams.binary_search_by_key(&tag, |(tag, _name)| *tag) {
            state.teams.insert(position, (tag, team.name.clone()));
        }
    }
}

/// Releases the lease after the platform stated that a higher fencing token has been used.
///
/// The token is never used again; the next holder gets a higher one.
async fn abandon_lease(node: &Gateway, duty: &'static str) {
    log::warn!(event = "fenced", duty; "another node has acted with a higher fencing token; releasing the lease");
    release_lease(node).await;
    node.lease.lock().invalidate();
}
