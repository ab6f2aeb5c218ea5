//! Applies the datagrams of peers.

use std::net::SocketAddr;
use std::sync::Arc;

use super::speeds;
use crate::gateway::announcements;
use crate::gateway::catalog::Team;
use crate::gateway::configuration_sync;
use crate::gateway::crashes::reports as crash_reports;
use crate::gateway::fragments::MAX_MESSAGE_BYTES;
use crate::gateway::handover;
use crate::gateway::lease::Holder;
use crate::gateway::limits::credit;
use crate::gateway::limits::quota::AdmittedTotal;
use crate::gateway::limits::throttle::LimitReport;
use crate::gateway::messages::{Account, GroupReport, Heartbeat, Message, Status};
use crate::gateway::rollout::Decision;
use crate::gateway::state::{Gateway, Recipients};
use crate::gateway::streams;
use crate::time::TimeMs;

/// Most member records in one answer: some ten kilobytes.
const MAX_ANSWERED_MEMBERS: usize = 100;

/// Decodes and applies a datagram, or a message that came in fragments.
pub(super) fn handle_datagram(node: &Arc<Gateway>, datagram: &[u8], from: SocketAddr, now: TimeMs) {
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    match bincode::decode_from_slice::<Message, _>(datagram, config) {
        Ok((message, _length)) => {
            metrics::counter!("teaselline_datagrams_received_total", "kind" => message.kind())
                .increment(1);
            apply(node, message, from, now);
        }
        Err(error) => {
            metrics::counter!("teaselline_datagrams_malformed_total").increment(1);
            log::debug!(error:err = error; "dropped a datagram that cannot be decoded");
        }
    }
}

fn apply(node: &Arc<Gateway>, message: Message, from: SocketAddr, now: TimeMs) {
    if let Some((era, age_ms)) = message.era() {
        node.record_era(era, age_ms, now);
    }
    match message {
        Message::Heartbeat(heartbeat) => apply_heartbeat(node, &heartbeat, now),
        Message::GroupReport(report) => {
            apply_report(node, &report, from, now);
            node.relay.lock().add_pending(report);
        }
        Message::GroupReports(reports) => {
            for report in &reports {
                apply_report(node, report, from, now);
            }
        }
        Message::Admitted(totals) => apply_admitted(node, &totals, now),
        Message::Accounts(accounts) => apply_accounts(node, accounts, now),
        Message::QueryMembers(wanted) => answer_members(node, &wanted, from),
        Message::Members(members) => {
            let mut peers = node.peers.lock();
            for member in members {
                peers.add_member(member, now);
            }
        }
        Message::Upstreams(news) => announcements::apply_peer_changes(node, news, from, now),
        Message::QueryUpstreams(asked) => handover::answer_request(node, &asked, from, now),
        Message::UpstreamsPage(page) => handover::apply_page(node, page, from, now),
        Message::QueryConfirmation(request) => {
            configuration_sync::answer_request(node, &request, from, now);
        }
        Message::Decided(decided) => apply_decided(node, &decided),
        Message::Observed(incarnation, observed) => {
            (node.rollouts.lock()).record_observations(incarnation, observed);
        }
        Message::Confirmation(confirmation) => {
            configuration_sync::apply_confirmation(node, &confirmation, now);
        }
        Message::Limit(told) => apply_limit(node, &told, now),
        Message::Leaving(upstream) => apply_leaving(node, upstream, now),
        Message::StreamsBegan(starts) => {
            let mut origins = node.stream_origins.lock();
            for (key, origin) in starts {
                origins.record(key, origin, now);
            }
        }
        Message::StreamsToArchive(starts) => streams::accept_to_pass_on(node, &starts),
        Message::StreamsToWrite(starts) => streams::accept_to_write(node, &starts),
        Message::QueryStream(query) => streams::answer(node, query, from, now),
        Message::StreamStated(answer) => streams::apply_answer(node, answer, from),
        Message::Unreached(unreached) => node.peers.lock().record_unreached(&unreached),
        Message::CreditAsk(ask) => credit::apply_ask(node, ask, from, now),
        Message::CreditGrant(grant) => credit::apply_grant(node, grant, from, now),
        Message::Demand(report) => node.scheduling.lock().record_report(report, now),
        Message::Crash(crash) => crash_reports::apply_crash(node, crash, now),
        Message::DarkCrash(crash) => crash_reports::apply_dark_crash(node, crash, now),
        Message::Sound(told) => crash_reports::apply_sound(node, &told, now),
        Message::Trials(subjects) => crash_reports::apply_trials(node, &subjects, now),
        Message::Fragment(fragment) => {
            let complete = node.reassembly.lock().add(from, fragment, now);
            if let Some(encoded) = complete {
                handle_datagram(node, &encoded, from, now);
            }
        }
        Message::GroupSpeeds(stated) => speeds::apply_of_group(node, &stated),
        Message::Forward(message) if matches!(*message, Message::Forward(_)) => {
            log::debug!(peer:% = from; "dropped a message that was to be forwarded twice");
        }
        Message::Forward(message) => {
            node.send_message(Recipients::Group, (*message).clone());
            apply(node, *message, from, now);
        }
    }
}

fn answer_members(node: &Gateway, wanted: &[u64], from: SocketAddr) {
    let wanted = &wanted[..wanted.len().min(MAX_ANSWERED_MEMBERS)];
    let members = node.peers.lock().members(wanted);
    if !members.is_empty() {
        node.send_message(Recipients::Address(from), Message::Members(members));
    }
}

fn apply_admitted(node: &Gateway, totals: &[(u64, AdmittedTotal)], now: TimeMs) {
    let catalog = node.catalog();
    for (incarnation, total) in totals {
        if *incarnation != node.incarnation {
            record_admitted(node, *incarnation, &[*total], &catalog.teams, now);
        }
    }
}

/// Deducts what a peer has admitted since its last report.
fn record_admitted(
    node: &Gateway,
    incarnation: u64,
    totals: &[AdmittedTotal],
    teams: &[Team],
    now: TimeMs,
) {
    let mut credit = node.credit.lock();
    let mut quotas = node.quotas.lock();
    (credit.leases).record_peer(incarnation, totals, teams, &mut quotas, now);
}

fn apply_decided(node: &Gateway, decided: &Decision) {
    if node.rollouts.lock().apply_decision(decided) {
        log::info!(event = "rollout_stage", order:% = decided.order, stage:? = decided.stage; "a rollout entered another stage");
    }
}

fn apply_limit(node: &Gateway, told: &LimitReport, now: TimeMs) {
    let mut upstreams = node.upstreams.lock();
    if let Some((upstream, change)) = upstreams.apply_limit_report(told, now) {
        let id = upstream.announcement.id.as_str();
        log::debug!(event = "upstream_limit_heard", upstream = id, change:? = change, age_ms = told.age_ms; "a peer reported a change of an upstream's rate limit");
    }
}

fn apply_leaving(node: &Gateway, upstream: u64, now: TimeMs) {
    if let Some(upstream) = node.upstreams.lock().apply_leaving_report(upstream, now) {
        let id = upstream.announcement.id.as_str();
        log::debug!(event = "upstream_leaving_heard", upstream = id; "a peer reported that an upstream is leaving");
    }
}

fn apply_heartbeat(node: &Gateway, heartbeat: &Heartbeat, now: TimeMs) {
    let incarnation = heartbeat.status.incarnation;
    {
        let mut peers = node.peers.lock();
        peers.record_heartbeat(heartbeat, now);
        if let Some(introduced) = &heartbeat.introduced {
            peers.add_member(introduced.clone(), now);
        }
    }
    node.relay.lock().record(&heartbeat.status, now);
    node.usage.lock().record_peer(incarnation, &heartbeat.usage);
    (node.demands.lock()).record_peer(incarnation, heartbeat.demand.clone(), now);
    for (pool, pace) in &heartbeat.paces {
        (node.peer_paces.lock()).record(incarnation, *pool, *pace, now);
    }
    speeds::apply_own(node, heartbeat);
    apply_status(node, &heartbeat.status, now);
}

/// Applies the report of another group.
fn apply_report(node: &Gateway, report: &GroupReport, from: SocketAddr, now: TimeMs) {
    let unknown = {
        let mut peers = node.peers.lock();
        peers.record_silent(&report.silent);
        peers.record_alive(&report.alive, now)
    };
    if !unknown.is_empty() {
        node.send_message(Recipients::Address(from), Message::QueryMembers(unknown));
    }
    {
        let mut quotas = node.quotas.lock();
        for incarnation in &report.alive {
            quotas.record_contact(*incarnation, now);
        }
    }
    for status in &report.statuses {
        if node.peers.lock().record_status(status) {
            apply_status(node, status, now);
        }
    }
}

/// Applies a node's status, which came in its heartbeat or in a report on its group.
fn apply_status(node: &Gateway, status: &Status, now: TimeMs) {
    let incarnation = status.incarnation;
    (node.in_force.write()).record_peer_version(status.configuration_version);
    (node.upstreams.lock()).set_peer_loads(incarnation, &status.loads);
    let catalog = node.catalog();
    record_admitted(node, incarnation, &status.admitted, &catalog.teams, now);
    if !status.observed.is_empty() {
        (node.rollouts.lock()).record_observations(incarnation, status.observed.clone());
    }
    for decided in &status.decided {
        apply_decided(node, decided);
    }
    crash_reports::apply_blocks(node, &status.blocks, now);
    for told in &status.limits {
        apply_limit(node, told, now);
    }
    for upstream in &status.leaving {
        apply_leaving(node, *upstream, now);
    }
    if let Some((end, token)) = status.lease {
        let name = node.peers.lock().name_of(incarnation).map(str::to_owned);
        let holder = name.map(|name| Holder {
            node: name,
            incarnation,
            era: end.era,
        });
        if let Some(holder) = holder {
            node.lease.lock().record_peer_end(end, &holder, token, now);
        }
    }
}

fn apply_accounts(node: &Gateway, accounts: Vec<Account>, now: TimeMs) {
    for account in accounts {
        if account.incarnation == node.incarnation {
            continue;
        }
        (node.usage.lock()).record_peer(account.incarnation, &account.usage);
        (node.demands.lock()).record_peer(account.incarnation, account.demand, now);
    }
}
