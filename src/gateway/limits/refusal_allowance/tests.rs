use super::*;

const SLOTS: u32 = 10;

fn brittle(refusals_per_s: f64, nodes: u32, draw: f64) -> RefusalAllowance {
    let mut allowance = RefusalAllowance::default();
    let stated = StatedBrittleness::RefusalsPerS(refusals_per_s);
    allowance.record_statement(stated, nodes, draw, TimeMs(9_000), TimeMs(10_000));
    allowance
}

/// Returns a number from 0 to 1 for each node, spread over it.
fn draw(node: u32) -> f64 {
    (f64::from(node) * 0.618_033_988_75) % 1.0
}

/// Guards against an upstream that falls over because each node goes on sending to it while it is
/// full: every request that a node may send is refused.
#[test]
fn refusals_by_a_full_upstream_stay_below_what_it_bears() {
    for nodes in [1_u32, 3, 9, 60, 985] {
        for refusals_per_s in [4.0, 20.0] {
            let nodes_draws = (0..nodes).map(draw);
            let mut fleet: Vec<_> = nodes_draws
                .map(|draw| brittle(refusals_per_s, nodes, draw))
                .collect();
            let mut refused_at_ms = Vec::new();
            for now in (10_000..40_000).step_by(10) {
                for allowance in &mut fleet {
                    if allowance.admits(SLOTS, SLOTS, TimeMs(now)) {
                        allowance.record_sent(SLOTS, SLOTS, TimeMs(now));
                        allowance.record_refusal(TimeMs(now));
                        refused_at_ms.push(now);
                    }
                }
            }
            let most = refused_at_ms.iter().map(|start| {
                let within = start..&(start + 1_000);
                refused_at_ms
                    .iter()
                    .filter(|at| within.contains(at))
                    .count()
            });
            let most = num::to_f64(most.max().unwrap_or(0) as u64);
            assert!(!refused_at_ms.is_empty(), "the upstream is tried again");
            // Each node may find out once that the upstream is full.
            let bound = refusals_per_s.max(f64::from(nodes));
            assert!(
                most <= bound,
                "{most} in a second, {nodes} nodes, {refusals_per_s}"
            );
        }
    }
}

#[test]
fn brittle_upstream_with_room_gets_requests_freely() {
    let allowance = brittle(1.0, 985, 0.0);
    assert!((0..100).all(|at| allowance.admits(SLOTS / 2, SLOTS, TimeMs(10_000 + at))));
}

/// Guards against loads of peers that are known late: an upstream that refuses is full, whatever
/// load is known.
#[test]
fn upstream_that_refused_has_no_room_for_a_second() {
    let mut allowance = brittle(2.0, 9, 0.0);
    allowance.record_refusal(TimeMs(20_000));
    assert!(!allowance.admits(0, SLOTS, TimeMs(20_900)));
    assert!(allowance.admits(0, SLOTS, TimeMs(20_000 + FULL_AFTER_REFUSAL_MS)));
}

#[test]
fn upstream_that_is_not_brittle_gets_requests_although_it_refuses_them() {
    let mut allowance = RefusalAllowance::default();
    for at in 0..100 {
        allowance.record_refusal(TimeMs(20_000 + at));
        assert!(allowance.admits(SLOTS * 2, SLOTS, TimeMs(20_000 + at)));
    }
}

/// Guards against an answer that was sent before the statement and arrives after it.
#[test]
fn only_an_answer_to_a_later_request_ends_the_brittleness() {
    let mut allowance = brittle(2.0, 9, 0.0);
    let unstated = StatedBrittleness::Unstated;
    let early = allowance.record_statement(unstated, 9, 0.0, TimeMs(9_990), TimeMs(10_010));
    assert_eq!(early, None);
    let late = allowance.record_statement(unstated, 9, 0.0, TimeMs(10_020), TimeMs(10_040));
    assert_eq!(late, Some(Change::Ended));
    assert!(allowance.admits(SLOTS * 2, SLOTS, TimeMs(10_050)));
}

/// Guards against many requests at once to a full upstream, before the first of them is refused.
#[test]
fn sends_without_room_are_charged_before_their_answers() {
    let mut allowance = brittle(4.0, 1, 1.0);
    let now = TimeMs(10_000);
    let mut sent = 0;
    while allowance.admits(SLOTS, SLOTS, now) {
        allowance.record_sent(SLOTS, SLOTS, now);
        sent += 1;
    }
    assert_eq!(sent, 1);
}
