//! Decisions of one owner and one node on single messages.

use super::pair::{NODE, Pair, RATE_PER_S, admits};
use super::*;

#[test]
fn request_waits_for_one_answer_and_is_admitted() {
    let mut pair = Pair::new(team(RATE_PER_S));
    let (arrival, ask) = pair.arrive(8_000.0, at(0));
    assert_eq!(arrival, Arrival::Waits);
    let grant = pair.answer(ask.expect("an ask"), at(2)).expect("a grant");
    assert!((grant.granted - 8_000.0).abs() < 1.0, "{grant:?}");
    assert!(admits(pair.apply(grant, at(4)).as_deref(), 1));
}

#[test]
fn requests_that_arrive_during_an_ask_share_the_next_one() {
    let mut pair = Pair::new(team(RATE_PER_S));
    let first = pair.arrive(8_000.0, at(0)).1.expect("an ask");
    assert_eq!(pair.arrive(3_000.0, at(1)).1, None);
    assert_eq!(pair.arrive(2_000.0, at(1)).1, None);
    let grant = pair.answer(first, at(2)).expect("a grant");
    // Small ones first: the credit for the first request covers the two later ones.
    assert!(admits(pair.apply(grant, at(4)).as_deref(), 2));
    let (leases, quotas) = &mut pair.node;
    let second = leases.next_ask(&pair.team, quotas, at(4)).expect("an ask");
    assert!((second.waiting - 8_000.0).abs() < 1.0, "{second:?}");
    let grant = pair.answer(second, at(6)).expect("a grant");
    assert!(admits(pair.apply(grant, at(8)).as_deref(), 1));
}

/// Guards against granting the credit of a lost answer a second time.
#[test]
fn repeated_ask_gets_the_same_grant() {
    let mut pair = Pair::new(team(RATE_PER_S));
    let ask = pair.arrive(8_000.0, at(0)).1.expect("an ask");
    let first = pair.answer(ask, at(2)).expect("a grant");
    let (leases, _quotas) = &mut pair.node;
    assert_eq!(leases.repeat_ask(&pair.team, at(10)), None);
    assert_eq!(leases.repeat_ask(&pair.team, at(20)), Some(ask));
    assert_eq!(pair.answer(ask, at(22)), Some(first));
    assert!((pair.outstanding(at(22)) - 8_000.0).abs() < 1.0);
}

/// Guards against credit that is added twice, or by an answer to an ask that the node has replaced.
#[test]
fn grant_for_another_ask_than_the_last_is_ignored() {
    let mut pair = Pair::new(team(RATE_PER_S));
    let ask = pair.arrive(8_000.0, at(0)).1.expect("an ask");
    let grant = pair.answer(ask, at(2)).expect("a grant");
    assert!(pair.apply(grant, at(4)).is_some());
    assert_eq!(pair.apply(grant, at(5)), None);
    let older = CreditGrant {
        sequence: grant.sequence - 1,
        ..grant
    };
    assert_eq!(pair.apply(older, at(6)), None);
    assert!(pair.held(at(6)) < 1.0);
}

/// Guards against an ask that overtook a newer one and restores credit that was spent.
#[test]
fn ask_that_arrives_after_a_newer_one_is_not_answered() {
    let mut pair = Pair::new(team(RATE_PER_S));
    let older = pair.arrive(8_000.0, at(0)).1.expect("an ask");
    let newer = pair.arrive(8_000.0, at(70)).1.expect("an ask");
    assert!(pair.answer(newer, at(72)).is_some());
    assert_eq!(pair.answer(older, at(73)), None);
}

/// Guards against an owner that takes the asks of a node that has forgotten the team for late ones.
#[test]
fn node_that_comes_back_to_a_team_is_answered() {
    let mut pair = Pair::new(team(RATE_PER_S));
    let teams = [pair.team.clone()];
    for now_ms in [0, 100, 200] {
        let ask = pair.arrive(8_000.0, at(now_ms)).1.expect("an ask");
        let grant = pair.answer(ask, at(now_ms + 2)).expect("a grant");
        pair.apply(grant, at(now_ms + 4));
    }
    let (leases, quotas) = &mut pair.node;
    leases.update(&teams, |_team| false, quotas, at(200 + LEASE_MS));
    assert_eq!(
        pair.node.0.standing(pair.team.tag, at(200 + LEASE_MS)),
        None
    );
    let ask = pair.arrive(8_000.0, at(201 + LEASE_MS)).1.expect("an ask");
    assert!(pair.answer(ask, at(201 + LEASE_MS)).is_some());
}

/// Guards against an owner that, once thawed, refuses for what its successor granted meanwhile.
#[test]
fn thawed_owner_bears_no_more_debt_than_grants_cause() {
    let mut pair = Pair::new(team(RATE_PER_S));
    let teams = [pair.team.clone()];
    let ask = pair.arrive(8_000.0, at(0)).1.expect("an ask");
    let grant = pair.answer(ask, at(2)).expect("a grant");
    pair.apply(grant, at(4));
    let total = AdmittedTotal {
        team: pair.team.tag,
        base: 8_000.0,
        total: 3.0 * RATE_PER_S,
        round: 0,
    };
    pair.owner.1.record_peer(NODE, &[total], &teams, at(3_000));
    let ask = pair.arrive(8_000.0, at(3_010)).1.expect("an ask");
    let grant = pair.answer(ask, at(3_012)).expect("an answer");
    assert!(grant.available >= -RATE_PER_S / 2.0, "{grant:?}");
}

/// Guards against a node that was frozen and spends credit that the owner has granted anew.
#[test]
fn lease_counts_from_when_the_ask_was_sent() {
    let mut pair = Pair::new(team(RATE_PER_S));
    let ask = pair.arrive(8_000.0, at(0)).1.expect("an ask");
    let grant = pair.answer(ask, at(500)).expect("a grant");
    // The node is frozen between sending the ask and reading the answer.
    assert_eq!(pair.apply(grant, at(LEASE_MS)), Some(Vec::new()));
    assert!(pair.held(at(LEASE_MS)) <= 0.0);
    assert!(pair.outstanding(at(LEASE_MS)) > 0.0);
    let teams = [pair.team.clone()];
    pair.update(&teams, at(500 + LEASE_MS));
    assert!(pair.outstanding(at(500 + LEASE_MS)) <= 0.0);
}

/// Guards against usage that is deducted both as reported and as outstanding.
#[test]
fn reported_usage_reduces_the_outstanding_credit() {
    let mut pair = Pair::new(team(RATE_PER_S));
    let ask = pair.arrive(8_000.0, at(0)).1.expect("an ask");
    let grant = pair.answer(ask, at(2)).expect("a grant");
    pair.apply(grant, at(4));
    let total = pair.node.1.own_total(&pair.team, at(5)).expect("a total");
    let (leases, quotas) = &mut pair.owner;
    let before = quotas.fleet_bucket(&pair.team, at(6));
    let teams = [pair.team.clone()];
    leases.record_peer(NODE, &[total], &teams, quotas, at(6));
    assert_eq!(quotas.fleet_bucket(&pair.team, at(6)), before);
    assert!(pair.outstanding(at(6)) < 1.0);
}

/// Guards against an owner that is asked for each request of a team far beyond its limit.
#[test]
fn denial_refuses_locally_until_its_end() {
    let mut pair = Pair::new(team(RATE_PER_S));
    let (leases, quotas) = &mut pair.owner;
    while leases.admit_owned(&pair.team, 8_000.0, quotas, at(0)) == Verdict::Admitted {}
    let ask = pair.arrive(8_000.0, at(0)).1.expect("an ask");
    let grant = pair.answer(ask, at(2)).expect("a denial");
    assert!(grant.quiet_ms > 0 && grant.granted <= 0.0, "{grant:?}");
    let settled = pair.apply(grant, at(4)).expect("a decision");
    assert!(matches!(settled[..], [(_, Verdict::Refused(_))]));
    let (arrival, ask) = pair.arrive(8_000.0, at(5));
    assert!(matches!(arrival, Arrival::Decided(Verdict::Refused(_))));
    assert_eq!(ask, None);
    let (arrival, ask) = pair.arrive(8_000.0, at(4 + grant.quiet_ms));
    assert_eq!((arrival, ask.is_some()), (Arrival::Waits, true));
}

/// Guards against requests whose callers left, for which a node asks as long as it runs.
#[test]
fn request_that_nobody_waits_for_is_forgotten() {
    let mut pair = Pair::new(team(RATE_PER_S));
    let teams = [pair.team.clone()];
    assert!(pair.arrive(8_000.0, at(0)).1.is_some());
    pair.update(&teams, at(LEASE_MS));
    let ask = pair.arrive(500.0, at(LEASE_MS)).1.expect("an ask");
    assert!((ask.waiting - 500.0).abs() < 1.0, "{ask:?}");
}

/// Guards against requests that wait one after the other for an owner that does not answer.
#[test]
fn silent_owner_is_probed_and_no_request_waits_for_it() {
    let mut pair = Pair::new(team(RATE_PER_S));
    let (leases, quotas) = &mut pair.node;
    let (ticket, _waits) = leases.arrive(&pair.team, 8_000.0, quotas, at(0));
    let asked = leases.next_ask(&pair.team, quotas, at(0));
    assert!(asked.is_some());
    let settled = leases.give_up(&pair.team, ticket, at(ANSWER_TIMEOUT_MS));
    assert_eq!(settled, [(ticket, Verdict::Unanswered)]);
    let mut probes = 0;
    for now_ms in ANSWER_TIMEOUT_MS..ANSWER_TIMEOUT_MS + 1_000 {
        let (arrival, ask) = pair.arrive(100.0, at(now_ms));
        assert_eq!(arrival, Arrival::Decided(Verdict::Unanswered));
        probes += usize::from(ask.is_some());
    }
    assert!((3..=4).contains(&probes), "{probes}");
    let late = pair.arrive(100.0, at(2_000)).1.expect("a probe");
    let grant = pair.answer(late, at(2_002)).expect("an answer");
    pair.apply(grant, at(2_004));
    assert_eq!(pair.arrive(8_000.0, at(2_005)).0, Arrival::Waits);
}

/// Guards against a new owner that grants what its predecessor's leases still hold.
#[test]
fn new_owner_withholds_what_may_be_out_for_one_lease() {
    let mut pair = Pair::new(team(RATE_PER_S));
    let teams = [pair.team.clone()];
    for step in 1..=20_u32 {
        let total = AdmittedTotal {
            team: pair.team.tag,
            base: 0.0,
            total: f64::from(step) * 100_000.0,
            round: 0,
        };
        let now = at(u64::from(step) * 200);
        pair.owner.1.record_peer(NODE, &[total], &teams, now);
        pair.update(&teams, now);
    }
    let available = |pair: &mut Pair, now| {
        let ask = pair.arrive(1.0, now).1.expect("an ask");
        let grant = pair.answer(ask, now).expect("an answer");
        pair.apply(grant, now);
        let level = pair
            .owner
            .1
            .fleet_bucket(&pair.team, now)
            .expect("a bucket");
        level.level - grant.available
    };
    let withheld = available(&mut pair, at(4_000));
    assert!(withheld > 50_000.0, "{withheld}");
    pair.update(&teams, at(4_900));
    let later = available(&mut pair, at(4_000 + LEASE_MS));
    assert!(later < 10.0, "{later}");
}

/// Sends a request of 8,000 units, which is admitted.
fn spend(pair: &mut Pair, now_ms: u64) {
    let (arrival, ask) = pair.arrive(8_000.0, at(now_ms));
    let grant = ask.and_then(|ask| pair.answer(ask, at(now_ms + 1)));
    let settled = grant.and_then(|grant| pair.apply(grant, at(now_ms + 2)));
    let is_admitted = arrival == Arrival::Decided(Verdict::Admitted);
    assert!(is_admitted || admits(settled.as_deref(), 1));
}

/// Returns what the owner may grant once all leases have ended.
fn left_at_owner(pair: &mut Pair, now_ms: u64) -> f64 {
    let bucket = pair.owner.1.fleet_bucket(&pair.team, at(now_ms));
    bucket.expect("a limit").level + pair.outstanding(at(now_ms))
}

/// Guards against a team within its limit that is refused because its refunded requests are deducted each time.
#[test]
fn refunded_requests_leave_the_owner_what_they_did_not_use() {
    let mut refunded = Pair::new(team(RATE_PER_S));
    for step in 0..30 {
        spend(&mut refunded, step * 10);
        let now = at(step * 10 + 3);
        refunded.node.1.refund(&refunded.team, 8_000.0, now);
    }
    spend(&mut refunded, 300);
    let mut unused = Pair::new(team(RATE_PER_S));
    spend(&mut unused, 300);
    let expected = left_at_owner(&mut unused, 310);
    let left = left_at_owner(&mut refunded, 310);
    assert!(left >= expected - 8_001.0, "{left} of {expected}");
}

/// Guards against debts that are forgiven whenever a team pauses: requests larger than the bucket would exceed the limit.
#[test]
fn pause_of_a_team_leaves_its_debt() {
    let mut pair = Pair::new(team(RATE_PER_S));
    let teams = [pair.team.clone()];
    let cost = 5.0 * RATE_PER_S;
    let mut granted = 0;
    for step in 0..20_u64 {
        let now_ms = step * 1_200;
        for tick_ms in (now_ms.saturating_sub(1_000)..now_ms).step_by(200) {
            pair.update(&teams, at(tick_ms));
        }
        let Some(ask) = pair.arrive(cost, at(now_ms)).1 else {
            continue;
        };
        let grant = pair.answer(ask, at(now_ms + 1)).expect("an answer");
        granted += u32::from(grant.granted > 0.0);
        pair.apply(grant, at(now_ms + 2));
    }
    // 24 s of the rate, half a second of burst and its share of the rate cover five such requests.
    assert!(granted <= 6, "{granted}");
    assert!(granted >= 4, "{granted}");
}
