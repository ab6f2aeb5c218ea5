//! Property tests of invariants that hold for every plan.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

const SEED: u64 = 0x7ea5_e111;
const HOSTS: u64 = 12;
const DOMAINS: u64 = 4;

#[derive(Clone, Debug)]
struct Scenario {
    notices: Vec<Notice>,
    streams: Vec<StreamOnHost>,
    targets: Vec<Target>,
}

impl Scenario {
    fn plan(&self) -> ReclaimPlan {
        let view = ReclaimView {
            node: Incarnation(7),
            node_rank: 0,
            nodes: 1,
            notices: &self.notices,
            streams: &self.streams,
            targets: &self.targets,
            settings: Settings::default(),
        };
        plan(&view, NOW)
    }

    fn decided(&self) -> impl Iterator<Item = (&StreamOnHost, Move)> {
        let on_notice = |stream: &&StreamOnHost| self.notice(stream.host).is_some();
        let streams = self.streams.iter().filter(on_notice);
        let moves = self.plan().moves;
        assert_eq!(streams.clone().count(), moves.len(), "one move per stream");
        streams.zip(moves).map(|(stream, decided)| {
            assert_eq!(stream.stream, decided.stream);
            (stream, decided.action)
        })
    }

    fn notice(&self, host: HostKey) -> Option<&Notice> {
        self.notices.iter().find(|notice| notice.host == host)
    }

    fn target(&self, host: HostKey) -> &Target {
        let found = self.targets.iter().find(|target| target.host == host);
        found.expect("a plan contains only known targets")
    }
}

fn any_progress() -> impl Strategy<Value = Progress> {
    let target = (0..HOSTS).prop_map(HostKey);
    prop_oneof![
        6 => Just(Progress::Running),
        1 => Just(Progress::Exported),
        1 => Just(Progress::ExportFailed),
        1 => target.clone().prop_map(|target| Progress::Warmed { target }),
        1 => (target, 0..2_000_u64).prop_map(|(target, ago_ms)| Progress::Exporting {
            target,
            started_at_ms: TimeMs(NOW.0 - ago_ms),
        }),
    ]
}

fn any_stream() -> impl Strategy<Value = StreamOnHost> {
    let size = (1..20_000_u32, 0..4_000_u32, 0..4_000_u32);
    let kind = (0..10_u8, any::<bool>(), any_progress());
    let position = (0..HOSTS, 0..2_u16, 0.0..80.0);
    (size, kind, position).prop_map(
        |(
            (prompt, generated, remaining),
            (priority, idempotent, progress),
            (host, model, rate),
        )| {
            StreamOnHost {
                host: HostKey(host),
                model: ModelKey(model),
                generated_tokens: generated,
                tokens_per_second: rate,
                priority,
                idempotent,
                kv_bytes: u64::from(prompt + generated) * KV_BYTES_PER_TOKEN,
                progress,
                ..stream(0, prompt, remaining)
            }
        },
    )
}

fn any_target(host: u64) -> impl Strategy<Value = Target> {
    (0..8_u32, 0..60_000_u64, any::<bool>()).prop_map(move |(free_slots, kv_tokens_free, both)| {
        Target {
            models: if both {
                vec![ModelKey(0), ModelKey(1)]
            } else {
                vec![ModelKey(0)]
            },
            kv_tokens_free,
            ..target(host, domain_of(host).0, free_slots)
        }
    })
}

fn any_notices() -> impl Strategy<Value = Vec<Notice>> {
    let one = (0..30_000_u64, 0..40_u32, any::<bool>());
    vec(one, usize::try_from(HOSTS).expect("few hosts")).prop_map(|drawn| {
        let leaving = (0..).zip(drawn).filter(|(_, (_, _, leaving))| *leaving);
        let notices = leaving.map(|(host, (leave_in_ms, total_streams, _))| Notice {
            host: HostKey(host),
            domain: domain_of(host),
            total_streams,
            ..notice(leave_in_ms)
        });
        notices.collect()
    })
}

fn any_scenario() -> impl Strategy<Value = Scenario> {
    let targets: Vec<_> = (0..HOSTS).map(any_target).collect();
    (any_notices(), vec(any_stream(), 0..40), targets).prop_map(|(notices, streams, targets)| {
        let numbered = (0..).zip(streams).map(|(key, stream)| StreamOnHost {
            stream: StreamKey(key),
            ..stream
        });
        Scenario {
            notices,
            streams: numbered.collect(),
            targets,
        }
    })
}

fn domain_of(host: u64) -> DomainKey {
    DomainKey(u16::try_from(host % DOMAINS).expect("few domains"))
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn targets_are_not_under_notice_and_serve_the_model(scenario in any_scenario()) {
        for (stream, action) in scenario.decided() {
            if let Some(host) = target_of(&action) {
                prop_assert!(scenario.notice(host).is_none(), "{action:?}");
                let held = matches!(
                    stream.progress,
                    Progress::Exporting { .. } | Progress::Warmed { .. }
                );
                prop_assert!(held || scenario.target(host).models.contains(&stream.model));
            }
        }
    }

    #[test]
    fn target_capacity_is_not_exceeded(scenario in any_scenario()) {
        let mut reserved = vec![(0_u32, 0_u64); scenario.targets.len()];
        for (stream, action) in scenario.decided() {
            let held = matches!(
                stream.progress,
                Progress::Exporting { .. } | Progress::Warmed { .. }
            );
            let placed = match action {
                // A non-idempotent stream is exported even to a target where it has to queue.
                Move::Export { target, .. } if stream.idempotent => Some(target),
                Move::Recompute { target, queued: false, .. }
                | Move::Resume { target, queued: false, .. } => Some(target),
                _ => None,
            };
            if let Some(host) = placed.filter(|_| !held) {
                let index = scenario.targets.binary_search_by_key(&host, |t| t.host).expect("known");
                reserved[index].0 += 1;
                reserved[index].1 += u64::from(stream.context_tokens());
            }
        }
        for (target, (slots, kv_tokens)) in scenario.targets.iter().zip(reserved) {
            prop_assert!(slots <= target.free_slots);
            prop_assert!(kv_tokens <= target.kv_tokens_free);
        }
    }

    #[test]
    fn exports_do_not_overlap_on_the_link_and_end_before_the_host_leaves(
        scenario in any_scenario()
    ) {
        for notice in &scenario.notices {
            let here = scenario.decided().filter(|(stream, _)| stream.host == notice.host);
            let mut exports: Vec<(TimeMs, &StreamOnHost)> = here
                .filter_map(|(stream, action)| match action {
                    Move::Export { start_at_ms, .. } if stream.progress == Progress::Running => {
                        Some((start_at_ms, stream))
                    }
                    _ => None,
                })
                .collect();
            exports.sort_by_key(|(start_at_ms, _)| *start_at_ms);
            let rate = notice.kv_bytes_per_second;
            let mut free_at_ms = NOW;
            for (start_at_ms, stream) in exports {
                prop_assert!(start_at_ms >= free_at_ms);
                let bytes = f64::from(stream.context_tokens()) * 1e5;
                free_at_ms = start_at_ms.after(num::ceil_to_u64(bytes / rate * 1e3));
                let import_ms = num::ceil_to_u64(bytes / 1e9 * 1e3);
                prop_assert!(free_at_ms.after(import_ms) < notice.leave_at_ms);
            }
        }
    }

    #[test]
    fn non_idempotent_stream_never_runs_on_two_hosts(scenario in any_scenario()) {
        for (stream, action) in scenario.decided().filter(|(stream, _)| !stream.idempotent) {
            let runs_once = !matches!(action, Move::Recompute { .. } | Move::Wait { .. });
            prop_assert!(runs_once, "{stream:?} {action:?}");
            let served = |target: &Target| {
                target.models.contains(&stream.model) && scenario.notice(target.host).is_none()
            };
            if action == Move::RunUntilLeave {
                prop_assert!(!scenario.targets.iter().any(served), "a target was available");
            }
        }
    }

    #[test]
    fn idempotent_stream_is_not_stopped_before_it_resumes(scenario in any_scenario()) {
        for (stream, action) in scenario.decided().filter(|(stream, _)| stream.idempotent) {
            prop_assert!(!matches!(action, Move::Resume { .. }), "{stream:?} {action:?}");
        }
    }

    #[test]
    fn interactive_stream_is_moved_before_its_host_leaves(scenario in any_scenario()) {
        let interactive = scenario
            .decided()
            .filter(|(stream, _)| stream.idempotent && stream.priority >= 5);
        for (stream, action) in interactive {
            let notice = scenario.notice(stream.host).expect("decided streams are under notice");
            let served = |target: &Target| {
                target.models.contains(&stream.model) && scenario.notice(target.host).is_none()
            };
            match action {
                Move::Recompute { start_at_ms, .. } | Move::Export { start_at_ms, .. } => {
                    prop_assert!(start_at_ms <= notice.leave_at_ms.max(NOW));
                }
                Move::Finish => {
                    let needed_ms = f64::from(stream.remaining_tokens_max)
                        / stream.tokens_per_second * 1e3;
                    let left_ms = NOW.until(notice.leave_at_ms);
                    prop_assert!(
                        stream.remaining_tokens_max == 0 || num::ceil_to_u64(needed_ms) < left_ms
                    );
                }
                Move::Wait { .. } => prop_assert!(!scenario.targets.iter().any(served)),
                Move::RunUntilLeave | Move::Resume { .. } => {
                    prop_assert!(false, "an idempotent stream must not be abandoned or stopped");
                }
            }
        }
    }

    #[test]
    fn planning_is_deterministic(scenario in any_scenario()) {
        prop_assert_eq!(scenario.plan(), scenario.plan());
    }
}
