//! Tests of single planning decisions.

mod properties;

use super::*;
use crate::keys::{DomainKey, HostKey, Incarnation, ModelKey};

const NOW: TimeMs = TimeMs(1_000_000);
const LEAVING: HostKey = HostKey(1);
const KV_BYTES_PER_TOKEN: u64 = 100_000;

fn notice(leave_in_ms: u64) -> Notice {
    Notice {
        host: LEAVING,
        domain: DomainKey(0),
        received_at_ms: NOW,
        leave_at_ms: NOW.after(leave_in_ms),
        kv_bytes_per_second: 1e9,
        total_streams: 0,
        queued: 0,
    }
}

fn stream(key: u32, prompt_tokens: u32, remaining_tokens_max: u32) -> StreamOnHost {
    StreamOnHost {
        stream: StreamKey(key),
        host: LEAVING,
        model: ModelKey(0),
        prompt_tokens,
        generated_tokens: 0,
        remaining_tokens_max,
        tokens_per_second: 20.0,
        priority: 7,
        idempotent: true,
        kv_bytes: u64::from(prompt_tokens) * KV_BYTES_PER_TOKEN,
        cached_on: None,
        progress: Progress::Running,
    }
}

fn target(host: u64, domain: u16, free_slots: u32) -> Target {
    Target {
        host: HostKey(host),
        domain: DomainKey(domain),
        models: vec![ModelKey(0)],
        free_slots,
        queued: 0,
        kv_tokens_free: 1_000_000,
        kv_bytes_per_second: 1e9,
        prefill_tokens_per_second: 10_000.0,
    }
}

fn actions(notices: &[Notice], streams: &[StreamOnHost], targets: &[Target]) -> Vec<Move> {
    actions_under(Settings::default(), notices, streams, targets)
}

fn actions_under(
    settings: Settings,
    notices: &[Notice],
    streams: &[StreamOnHost],
    targets: &[Target],
) -> Vec<Move> {
    let view = ReclaimView {
        node: Incarnation(7),
        node_rank: 0,
        nodes: 1,
        notices,
        streams,
        targets,
        settings,
    };
    let plan = plan(&view, NOW);
    plan.moves.iter().map(|decided| decided.action).collect()
}

#[test]
fn stream_ending_before_the_host_leaves_finishes_in_place() {
    let moves = actions(
        &[notice(10_000)],
        &[stream(0, 100, 100)],
        &[target(2, 1, 4)],
    );
    assert_eq!(moves, [Move::Finish]);
}

#[test]
fn cache_that_fits_the_link_is_exported_immediately() {
    let moves = actions(
        &[notice(10_000)],
        &[stream(0, 4_000, 2_000)],
        &[target(2, 1, 4)],
    );
    let expected = Move::Export {
        target: HostKey(2),
        start_at_ms: NOW,
        // Export 400 ms, import 400 ms, request and switch 170 ms; the slack is half of the sum.
        give_up_at_ms: NOW.after(970 + 485),
        is_live: true,
    };
    assert_eq!(moves, [expected]);
}

#[test]
fn source_continues_during_import_only_without_queued_streams() {
    let busy = Notice {
        queued: 1,
        ..notice(10_000)
    };
    let moves = actions(&[busy], &[stream(0, 4_000, 2_000)], &[target(2, 1, 4)]);
    assert!(matches!(moves[0], Move::Export { is_live: false, .. }));
    // Export and import take half a second each, which exceeds the longest allowed stall.
    let moves = actions(&[busy], &[stream(0, 5_000, 2_000)], &[target(2, 1, 4)]);
    assert!(matches!(moves[0], Move::Recompute { .. }), "{moves:?}");
}

#[test]
fn exports_beyond_the_link_capacity_are_recomputed() {
    let streams: Vec<_> = (0..6).map(|key| stream(key, 4_000, 2_000)).collect();
    let targets = [target(2, 1, 4), target(3, 2, 4)];
    let moves = actions(&[notice(2_000)], &streams, &targets);
    let exports = moves.iter().filter(|m| matches!(m, Move::Export { .. }));
    let recomputes = moves.iter().filter_map(|m| match m {
        Move::Recompute {
            warm_at_ms: Some(warm_at_ms),
            start_at_ms,
            queued: false,
            ..
        } => Some((*warm_at_ms, *start_at_ms)),
        _ => None,
    });
    let recomputes: Vec<_> = recomputes.collect();
    // Three exports of 400 ms fit into 1,800 ms, each followed by a 400 ms import and a switch.
    assert_eq!((exports.count(), recomputes.len()), (3, 3));
    for (warm_at_ms, start_at_ms) in recomputes {
        assert_eq!(start_at_ms, NOW.after(2_000 - 200 - 150));
        assert!(warm_at_ms < start_at_ms.after(0) && start_at_ms.since(warm_at_ms) >= 400);
    }
}

#[test]
fn exports_of_several_nodes_are_staggered_on_a_link() {
    // Four nodes receive a notice and export their streams from the same host. If they share its
    // link at the same time, each stream stalls for as long as the exports of all nodes take.
    let shared = [Notice {
        total_streams: 4,
        ..notice(10_000)
    }];
    let streams = [stream(0, 4_000, 2_000)];
    let starts = (0..4).map(|node_rank| {
        let view = ReclaimView {
            node: Incarnation(u64::from(node_rank)),
            node_rank,
            nodes: 4,
            notices: &shared,
            streams: &streams,
            targets: &[target(2, 1, 8)],
            settings: Settings::default(),
        };
        match plan(&view, NOW).moves[0].action {
            Move::Export { start_at_ms, .. } => start_at_ms,
            other => panic!("{other:?}"),
        }
    });
    let mut starts: Vec<_> = starts.collect();
    starts.sort_unstable();
    assert_eq!(starts[0], NOW);
    for pair in starts.windows(2) {
        assert!(pair[1].since(pair[0]) >= 400, "{starts:?}");
    }
}

#[test]
fn non_idempotent_stream_is_exported_first_or_stopped_before_it_resumes() {
    let once = StreamOnHost {
        idempotent: false,
        ..stream(9, 4_000, 2_000)
    };
    let streams = [stream(0, 4_000, 2_000), once];
    let moves = actions(&[notice(1_100)], &streams, &[target(2, 1, 4)]);
    assert!(matches!(moves[0], Move::Recompute { .. }), "{moves:?}");
    assert!(matches!(
        moves[1],
        Move::Export {
            start_at_ms: NOW,
            ..
        }
    ));
    let moves = actions(&[notice(600)], &streams, &[target(2, 1, 4)]);
    assert!(matches!(moves[1], Move::Resume { .. }), "{moves:?}");
    let moves = actions(&[notice(600)], &[stream(0, 4_000, 2_000), once], &[]);
    assert_eq!(moves[1], Move::RunUntilLeave);
}

#[test]
fn batch_stream_waits_when_interactive_streams_need_the_capacity() {
    let batch = StreamOnHost {
        priority: 1,
        ..stream(0, 1_000, 2_000)
    };
    let streams = [batch, stream(1, 1_000, 2_000), stream(2, 1_000, 2_000)];
    let moves = actions(&[notice(10_000)], &streams, &[target(2, 1, 1)]);
    assert!(matches!(moves[0], Move::Wait { .. }), "{moves:?}");
    let placed = |m: &Move| {
        matches!(
            m,
            Move::Export { .. } | Move::Recompute { queued: false, .. }
        )
    };
    let queued = |m: &Move| matches!(m, Move::Recompute { queued: true, .. });
    assert_eq!(moves.iter().filter(|m| placed(m)).count(), 1);
    assert_eq!(moves.iter().filter(|m| queued(m)).count(), 1);
}

#[test]
fn hanging_export_is_replaced_by_recompute_after_its_deadline() {
    // The engine never completes a requested export. Without a deadline on the export, the stream
    // stalls until its host is gone.
    let hanging = |started_ms_ago| StreamOnHost {
        progress: Progress::Exporting {
            target: HostKey(2),
            started_at_ms: TimeMs(NOW.0 - started_ms_ago),
        },
        ..stream(0, 4_000, 2_000)
    };
    let targets = [target(2, 1, 4)];
    let moves = actions(&[notice(10_000)], &[hanging(1_000)], &targets);
    assert!(matches!(moves[0], Move::Export { .. }), "{moves:?}");
    let moves = actions(&[notice(10_000)], &[hanging(1_500)], &targets);
    let at_once = Move::Recompute {
        target: HostKey(2),
        warm_at_ms: None,
        start_at_ms: NOW,
        queued: false,
    };
    assert_eq!(moves, [at_once]);
}

#[test]
fn domain_under_mass_reclaim_is_used_last() {
    let second = Notice {
        host: HostKey(5),
        ..notice(10_000)
    };
    let targets = [target(2, 0, 50), target(3, 1, 1), target(5, 0, 50)];
    let streams = [stream(0, 1_000, 2_000), stream(1, 1_000, 2_000)];
    let moves = actions(&[notice(10_000), second], &streams, &targets);
    let mut hosts: Vec<HostKey> = moves.iter().filter_map(target_of).collect();
    hosts.sort_unstable();
    assert_eq!(hosts, [HostKey(2), HostKey(3)]);
}

fn target_of(action: &Move) -> Option<HostKey> {
    match action {
        Move::Export { target, .. }
        | Move::Recompute { target, .. }
        | Move::Resume { target, .. } => Some(*target),
        Move::Finish | Move::Wait { .. } | Move::RunUntilLeave => None,
    }
}

#[test]
fn nodes_with_the_same_view_spread_over_targets() {
    // Many nodes plan from the same load reports, each for its own streams. If all choose the best
    // target, one host has a long queue after a mass reclaim while others are idle.
    let notices = [Notice {
        total_streams: 320,
        ..notice(10_000)
    }];
    let streams: Vec<_> = (0..8).map(|key| stream(key, 1_000, 2_000)).collect();
    let targets: Vec<_> = (0..40).map(|host| target(100 + host, 1, 10)).collect();
    let mut assigned = vec![0_u32; targets.len()];
    for node in 0..40_u32 {
        let view = ReclaimView {
            node: Incarnation(u64::from(node)),
            node_rank: node,
            nodes: 40,
            notices: &notices,
            streams: &streams,
            targets: &targets,
            settings: Settings::default(),
        };
        let plan = plan(&view, NOW);
        let hosts = plan.moves.iter().filter_map(|m| target_of(&m.action));
        hosts.for_each(|host| assigned[usize::try_from(host.0 - 100).expect("small")] += 1);
    }
    assert_eq!(assigned.iter().sum::<u32>(), 320);
    assert!(
        assigned.iter().all(|streams| *streams <= 10),
        "{assigned:?}"
    );
}

/// Guards against a late import that ends a non-idempotent stream as `unknown`.
///
/// When half of the hosts are reclaimed on two seconds' notice on a busy machine, this affected one
/// of 100 such streams: the cache was exported 370 ms before the host left, the stream continued
/// there during the import, and the import took longer than planned. A plan that keeps the transfer
/// until the host leaves is too late to stop the stream.
#[test]
fn non_idempotent_stream_is_stopped_before_its_host_leaves() {
    let settings = Settings::default();
    let needed_ms = settings.leave_margin_ms + settings.switch_lead_ms;
    let begun = [
        Progress::Importing {
            target: HostKey(2),
            started_at_ms: NOW,
        },
        Progress::Exporting {
            target: HostKey(2),
            started_at_ms: NOW,
        },
    ];
    for progress in begun {
        let late = |idempotent, leave_in_ms| {
            let stream = StreamOnHost {
                idempotent,
                progress,
                ..stream(0, 4_000, 2_000)
            };
            actions(&[notice(leave_in_ms)], &[stream], &[target(2, 1, 4)])[0]
        };
        let stopped = late(false, needed_ms);
        assert!(
            matches!(stopped, Move::Resume { start_at_ms, .. } if start_at_ms == NOW),
            "{stopped:?}"
        );
        let kept = late(false, needed_ms + 20);
        let until_ms = NOW.after(20);
        assert!(
            matches!(kept, Move::Export { give_up_at_ms, .. } if give_up_at_ms == until_ms),
            "expected a replan early enough to stop the stream: {kept:?}"
        );
        let repeatable = late(true, needed_ms);
        assert!(matches!(repeatable, Move::Export { .. }), "{repeatable:?}");
    }
}

// Guards against a non-idempotent stream that ends as unknown: its node is busy, and the engine's
// confirmation that the stream has stopped arrives when the host is gone.
#[test]
fn busy_node_stops_non_idempotent_streams_earlier() {
    let stream = |idempotent| StreamOnHost {
        idempotent,
        progress: Progress::Warmed { target: HostKey(2) },
        ..stream(0, 4_000, 2_000)
    };
    // Slow links, so that no cache is exported.
    let slow_link = |target: Target| Target {
        kv_bytes_per_second: 1.0,
        ..target
    };
    let start_at = |step_delay_ms, idempotent| {
        let settings = Settings {
            step_delay_ms,
            ..Settings::default()
        };
        let targets = [slow_link(target(2, 1, 4))];
        let moves = actions_under(settings, &[notice(2_000)], &[stream(idempotent)], &targets);
        match moves[0] {
            Move::Resume { start_at_ms, .. } | Move::Recompute { start_at_ms, .. } => start_at_ms,
            other => panic!("expected the stream to start elsewhere: {other:?}"),
        }
    };
    let unhurried = start_at(0, false);
    assert_eq!(unhurried, NOW.after(2_000 - 350));
    assert_eq!(start_at(100, false), NOW.after(2_000 - 350 - 400));
    assert_eq!(start_at(600, false), NOW);
    assert_eq!(start_at(600, true), unhurried);
}

// Guards against a non-idempotent stream that is left to finish on its host, falls behind its estimate
// and cannot be stopped any more.
#[test]
fn finish_is_expected_while_a_stop_is_possible() {
    let settings = Settings::default();
    let stream = |idempotent| StreamOnHost {
        idempotent,
        tokens_per_second: 1_000.0,
        ..stream(0, 4_000, 1_000)
    };
    let needed_ms = 1_100;
    let action = |idempotent, spare_ms| {
        let notice = notice(needed_ms + settings.leave_margin_ms + spare_ms);
        actions(&[notice], &[stream(idempotent)], &[target(2, 1, 4)])[0]
    };
    assert_eq!(action(true, 50), Move::Finish);
    assert_ne!(action(false, 50), Move::Finish);
    assert_eq!(action(false, settings.switch_lead_ms + 50), Move::Finish);
}
