//! Moves this node's streams off hosts under notice, according to the plans of `reclaim`.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::Node;
use super::lateness::Lateness;
use crate::blackboard::{ActiveConfiguration, HostRow, HostState};
use crate::keys::HostKey;
use crate::membership::Member;
use crate::reclaim::{
    Move, Notice, Progress, ReclaimView, Settings, StreamKey, StreamMove, StreamOnHost, Target,
    plan,
};
use crate::requests::record::Order;
use crate::requests::{Record, Work};
use crate::time::TimeMs;

/// Maximum interval between plans while streams run on hosts under notice.
const MAX_REPLAN_INTERVAL_MS: u64 = 200;

/// Interval between checks for streams on hosts under notice while there are none.
const IDLE_INTERVAL_MS: u64 = 500;

/// Estimated UTF-8 bytes per prompt token.
const BYTES_PER_TOKEN: usize = 4;

/// Plans moves and issues the orders that are due, until `shutdown`.
pub(super) async fn control(node: Arc<Node>, shutdown: CancellationToken) {
    let mut lateness = Lateness::default();
    loop {
        let now = node.core.clock.now();
        let settings = Settings {
            step_delay_ms: lateness.delay_ms(now),
            ..Settings::default()
        };
        let pause_ms = match node.core.blackboard.active_configuration() {
            Some(in_force) => {
                PlanInput::collect(&node, &in_force).issue_due_orders(&node, settings, now)
            }
            None => IDLE_INTERVAL_MS,
        };
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = node.notices_changed.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(pause_ms)) => {
                lateness.record(now.after(pause_ms), node.core.clock.now());
            }
        }
    }
}

/// The input of a plan, read from the blackboard and the request records.
struct PlanInput {
    notices: Vec<Notice>,
    records: Vec<Arc<Record>>,
    streams: Vec<StreamOnHost>,
    targets: Vec<Target>,
    node_rank: u32,
    nodes: u32,
}

impl PlanInput {
    fn collect(node: &Node, in_force: &ActiveConfiguration) -> Self {
        let mut hosts = Vec::new();
        node.core
            .blackboard
            .for_each_host(|row| hosts.push(row.clone()));
        hosts.sort_unstable_by_key(|row| row.key);
        let notices: Vec<_> = hosts
            .iter()
            .filter_map(|row| notice(node, row, in_force))
            .collect();
        let is_under_notice =
            |host: HostKey| notices.binary_search_by_key(&host, |n| n.host).is_ok();
        let records = if notices.is_empty() {
            Vec::new()
        } else {
            node.core.records.select(|record| {
                record.outcome().is_none()
                    && record
                        .place()
                        .is_some_and(|place| is_under_notice(place.host))
            })
        };
        let streams: Vec<_> = (0..)
            .zip(&records)
            .filter_map(|(index, record)| stream(index, record, &hosts, in_force))
            .collect();
        let targets = if streams.is_empty() {
            Vec::new()
        } else {
            hosts
                .iter()
                .filter_map(|row| target(row, in_force))
                .collect()
        };
        let mut live: Vec<_> = node.directory.members();
        live.retain(Member::is_live);
        let rank = live.binary_search_by_key(&node.core.own, |member| member.incarnation);
        Self {
            notices,
            records,
            streams,
            targets,
            node_rank: rank
                .ok()
                .and_then(|rank| u32::try_from(rank).ok())
                .unwrap_or(0),
            nodes: u32::try_from(live.len().max(1)).unwrap_or(1),
        }
    }

    /// Plans and issues the orders that are due; returns the delay until the next plan.
    fn issue_due_orders(&self, node: &Node, settings: Settings, now: TimeMs) -> u64 {
        if self.streams.is_empty() {
            return IDLE_INTERVAL_MS;
        }
        let view = ReclaimView {
            node: node.core.own,
            node_rank: self.node_rank,
            nodes: self.nodes,
            notices: &self.notices,
            streams: &self.streams,
            targets: &self.targets,
            settings,
        };
        let plan = plan(&view, now);
        for StreamMove { stream, action } in &plan.moves {
            if let Some(record) = self.records.get(stream.0 as usize) {
                issue_if_due(record, *action, now);
            }
        }
        log::debug!(streams = self.streams.len(), step_delay_ms = settings.step_delay_ms; "planned the streams on hosts under notice");
        let starts = plan
            .moves
            .iter()
            .filter_map(|planned| next_start_at(planned.action, now));
        let next_plan_at = plan.replan_at_ms.into_iter().chain(starts).min();
        next_plan_at.map_or(MAX_REPLAN_INTERVAL_MS, |at| {
            now.until(at).clamp(10, MAX_REPLAN_INTERVAL_MS)
        })
    }
}

/// Issues the order if its start time has come; otherwise a later plan issues it.
fn issue_if_due(record: &Record, action: Move, now: TimeMs) {
    match action {
        Move::Export {
            target,
            start_at_ms,
            is_live,
            ..
        } if start_at_ms <= now && record.progress() == Progress::Running => {
            record.set_progress(Progress::Exporting {
                target,
                started_at_ms: now,
            });
            record.order(Order::Export { target, is_live });
        }
        Move::Recompute {
            target,
            start_at_ms,
            ..
        } if start_at_ms <= now => {
            record.order(Order::Recompute { target });
        }
        Move::Resume {
            target,
            start_at_ms,
            ..
        } if start_at_ms <= now => {
            log::debug!(id:% = record.id; "ordering to stop a stream");
            record.order(Order::Resume { target });
        }
        Move::Recompute {
            target,
            warm_at_ms: Some(warm_at_ms),
            ..
        }
        | Move::Resume {
            target,
            warm_at_ms: Some(warm_at_ms),
            ..
        } if warm_at_ms <= now => {
            record.set_progress(Progress::Warmed { target });
            record.order(Order::Warm { target });
        }
        _ => {}
    }
}

/// Returns the next time after `now` at which a move starts or warms its target.
fn next_start_at(action: Move, now: TimeMs) -> Option<TimeMs> {
    let times = match action {
        Move::Export { start_at_ms, .. } => [Some(start_at_ms), None],
        Move::Recompute {
            start_at_ms,
            warm_at_ms,
            ..
        }
        | Move::Resume {
            start_at_ms,
            warm_at_ms,
            ..
        } => [Some(start_at_ms), warm_at_ms],
        Move::Wait { retry_at_ms } => [Some(retry_at_ms), None],
        Move::Finish | Move::RunUntilLeave => [None, None],
    };
    times.into_iter().flatten().filter(|at| *at > now).min()
}

fn notice(node: &Node, row: &HostRow, in_force: &ActiveConfiguration) -> Option<Notice> {
    let HostState::Leaving { leave_at_ms } = row.state else {
        return None;
    };
    let class = in_force.document.host_classes.get(row.class.index())?;
    Some(Notice {
        host: row.key,
        domain: row.domain,
        received_at_ms: node
            .hosts
            .lock()
            .received_at_ms(row.key)
            .unwrap_or_else(|| node.core.clock.now()),
        leave_at_ms,
        kv_bytes_per_second: class.kv_bytes_per_second,
        total_streams: row.load.running.max(row.own_open_streams),
        queued: row.load.queued,
    })
}

fn stream(
    index: u32,
    record: &Record,
    hosts: &[HostRow],
    in_force: &ActiveConfiguration,
) -> Option<StreamOnHost> {
    let document = &in_force.document;
    let Work::Completion {
        model,
        prompt,
        max_tokens,
        ..
    } = &record.call.work
    else {
        return None;
    };
    let place = record.place()?;
    let row = &hosts[hosts
        .binary_search_by_key(&place.host, |row| row.key)
        .ok()?];
    let class = document.host_classes.get(row.class.index())?;
    let model = document.find_model(model)?;
    let generated_tokens = u32::try_from(record.next_position()).unwrap_or(u32::MAX);
    let prompt_tokens = u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX);
    let latency = document.find_latency_class(&record.call.latency_class);
    let context_tokens = u64::from(prompt_tokens) + u64::from(generated_tokens);
    Some(StreamOnHost {
        stream: StreamKey(index),
        host: place.host,
        model,
        prompt_tokens,
        generated_tokens,
        remaining_tokens_max: max_tokens.saturating_sub(generated_tokens),
        tokens_per_second: class.tokens_per_second / f64::from(class.slots.max(1)),
        priority: latency.map_or(0, |key| document.latency_class(key).priority),
        idempotent: record.call.idempotent,
        kv_bytes: context_tokens * document.model(model).kv_bytes_per_token,
        cached_on: None,
        progress: record.progress(),
    })
}

fn target(row: &HostRow, in_force: &ActiveConfiguration) -> Option<Target> {
    let document = &in_force.document;
    let crate::document::checked::PoolKind::Engine { models, .. } =
        &document.pools.get(row.pool.index())?.kind
    else {
        return None;
    };
    let class = document.host_classes.get(row.class.index())?;
    let slots = if row.load.slots > 0 {
        row.load.slots
    } else {
        class.slots
    };
    let in_use = row.load.running.max(row.own_open_streams);
    (row.state == HostState::Live).then(|| Target {
        host: row.key,
        domain: row.domain,
        models: models.clone(),
        free_slots: slots.saturating_sub(in_use),
        queued: row.load.queued,
        kv_tokens_free: class
            .kv_tokens_capacity
            .saturating_sub(row.load.kv_tokens_used),
        kv_bytes_per_second: class.kv_bytes_per_second,
        prefill_tokens_per_second: class.prefill_tokens_per_second,
    })
}
