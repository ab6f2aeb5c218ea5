//! Changes of the configuration, extreme limits, invalid messages and many teams.

use super::pair::{Pair, RATE_PER_S, admits};
use super::*;
use crate::gateway::limits::credit::wire::InvalidAmount;
use crate::gateway::limits::quota::Admission;

/// Guards against credit of a team that was removed from the configuration.
#[test]
fn removed_team_loses_its_credit_and_its_ledger() {
    let mut pair = Pair::new(team(RATE_PER_S));
    let ask = pair.arrive(8_000.0, at(0)).1.expect("an ask");
    let grant = pair.answer(ask, at(2)).expect("a grant");
    pair.update(&[], at(3));
    assert_eq!(pair.owner.0.standing(pair.team.tag, at(3)), None);
    assert_eq!(pair.node.0.standing(pair.team.tag, at(3)), None);
    assert_eq!(pair.apply(grant, at(4)), None);
}

/// Guards against credit of the former limit at a node after the limit was lowered.
#[test]
fn held_credit_falls_with_the_limit() {
    let mut pair = Pair::new(team(RATE_PER_S));
    let ask = pair.arrive(8_000.0, at(0)).1.expect("an ask");
    let grant = CreditGrant {
        granted: 108_000.0,
        ..pair.answer(ask, at(2)).expect("a grant")
    };
    pair.apply(grant, at(4));
    pair.team = team(RATE_PER_S / 10.0);
    pair.arrive(1.0, at(5));
    assert!(pair.held(at(5)) <= 10_000.0, "{}", pair.held(at(5)));
}

/// Guards against state that grows with the number of configured teams.
#[test]
fn state_holds_only_teams_in_use() {
    let teams: Vec<Team> = (0..1_400)
        .map(|number| Team {
            tag: number,
            ..team(RATE_PER_S)
        })
        .collect();
    let mut pair = Pair::new(teams[7].clone());
    for now_ms in (0..5_000).step_by(100) {
        pair.team = teams[usize::from(now_ms < 2_500)].clone();
        if let (_arrival, Some(ask)) = pair.arrive(8_000.0, at(now_ms)) {
            let grant = pair.answer(ask, at(now_ms)).expect("a grant");
            pair.apply(grant, at(now_ms));
        }
        pair.update(&teams, at(now_ms));
    }
    let in_use = |leases: &CreditLeases| {
        let standings = teams
            .iter()
            .filter_map(|team| leases.standing(team.tag, at(5_000)));
        standings.count()
    };
    assert_eq!((in_use(&pair.owner.0), in_use(&pair.node.0)), (1, 1));
}

/// Guards against amounts in a datagram that would make a level infinite or not a number.
#[test]
fn messages_with_invalid_amounts_are_rejected() {
    let mut pair = Pair::new(team(RATE_PER_S));
    let ask = pair.arrive(8_000.0, at(0)).1.expect("an ask");
    let grant = pair.answer(ask, at(2)).expect("a grant");
    for amount in [f64::NAN, f64::INFINITY, -1.0] {
        let admitted = AdmittedTotal {
            team: ask.team,
            base: 0.0,
            total: amount,
            round: 0,
        };
        let asks = [
            CreditAsk {
                held: amount,
                ..ask
            },
            CreditAsk {
                ahead: amount,
                ..ask
            },
            CreditAsk {
                waiting: amount,
                ..ask
            },
            CreditAsk {
                least_cost: amount,
                ..ask
            },
            CreditAsk {
                admitted: Some(admitted),
                ..ask
            },
        ];
        for ask in asks {
            assert_eq!(CheckedAsk::try_from(ask), Err(InvalidAmount), "{ask:?}");
        }
        let granted = CreditGrant {
            granted: amount,
            ..grant
        };
        assert_eq!(CheckedGrant::try_from(granted), Err(InvalidAmount));
    }
}

/// Guards against a limit of zero that admits, and a huge one that overflows.
#[test]
fn extreme_limits_neither_admit_without_end_nor_refuse_all() {
    let mut none = Pair::new(team(0.0));
    let mut admitted = 0.0;
    for now_ms in 0..4_000 {
        let (leases, quotas) = &mut none.owner;
        let verdict = leases.admit_owned(&none.team, 8_000.0, quotas, at(now_ms));
        admitted += 8_000.0 * f64::from(u8::from(verdict == Verdict::Admitted));
    }
    assert!(admitted <= WINDOW.allowance(0.0, 0.0), "{admitted}");
    let mut huge = Pair::new(team(1e18));
    let ask = huge.arrive(8_000.0, at(0)).1.expect("an ask");
    let grant = huge.answer(ask, at(2)).expect("a grant");
    assert!(admits(huge.apply(grant, at(4)).as_deref(), 1));
}

/// Guards against messages that exceed a datagram's share of a small link.
#[test]
fn messages_take_few_bytes() {
    let mut pair = Pair::new(team(RATE_PER_S));
    let ask = pair.arrive(8_000.0, at(0)).1.expect("an ask");
    let grant = pair.answer(ask, at(2)).expect("a grant");
    pair.apply(grant, at(4));
    let later = pair.arrive(8_000.0, at(100)).1.expect("an ask");
    let config = bincode::config::standard();
    let ask_bytes = bincode::encode_to_vec(later, config)
        .expect("an encoding")
        .len();
    let grant_bytes = bincode::encode_to_vec(grant, config)
        .expect("an encoding")
        .len();
    assert!(ask_bytes <= 100, "{ask_bytes}");
    assert!(grant_bytes <= 60, "{grant_bytes}");
}

/// Guards against a node that loses its owner and spends its part on top of what it leased.
#[test]
fn leased_spending_uses_up_the_own_part_and_leaves_no_debt() {
    let team = team(RATE_PER_S);
    let mut quotas = Quotas::new(Some(WINDOW), 1, TimeMs(0));
    quotas.set_visibility(visibility(2));
    quotas.charge_leased(&team, RATE_PER_S, at(0));
    let small = quotas.admit(&team, 8_000.0, visibility(2), at(0));
    assert!(matches!(small, Admission::Over(_)), "{small:?}");
    let later = quotas.admit(&team, 8_000.0, visibility(2), at(500));
    assert_eq!(later, Admission::Admitted);
}
