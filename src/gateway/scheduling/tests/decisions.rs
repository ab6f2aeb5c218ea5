//! Single decisions of the scheduling.

use crate::gateway::scheduling::allocation::{Allocation, Weights};
use crate::gateway::scheduling::demand::{
    DemandReport, Kind, KindDemand, PeerDemand, Source, fleet_demand,
};
use crate::gateway::scheduling::queue::{Arrival, Reason};
use crate::gateway::scheduling::retry_after::retry_after_ms;
use crate::gateway::scheduling::room::{EngineLoad, Pacer, Room};
use crate::gateway::scheduling::{Entry, PoolScheduler, PoolView};
use crate::limits::TeamTag;
use crate::time::TimeMs;

const TARGET_MS: f64 = 800.0;

pub(super) fn view(backlog_ms: f64) -> PoolView {
    let tokens_per_ms = 20.0;
    let engine = EngineLoad {
        read_tokens_per_ms: tokens_per_ms,
        unread_tokens: crate::gateway::num::round_to_u64(backlog_ms * tokens_per_ms),
        running: 0,
        slots: 8,
    };
    PoolView {
        room: Room::of(std::iter::once(engine)),
        target_ms: TARGET_MS,
        known_nodes: 1,
        weights: Weights::default(),
    }
}

fn arrival(now: TimeMs) -> Arrival {
    Arrival {
        kind: kind(1, 1),
        tokens: 1_000.0,
        idle_ms: 70.0,
        expected_ms: 70.0,
        target_at: now.after(800),
        deadline: now.after(3_000),
        draw: 1,
    }
}

fn kind(team: u32, urgency: u8) -> Kind {
    Kind {
        team: TeamTag(team),
        urgency,
    }
}

fn demand(team: u32, urgency: u8, tokens_per_s: f32) -> KindDemand {
    KindDemand {
        kind: kind(team, urgency),
        tokens_per_s,
    }
}

/// Returns a scheduler of a pool that is short and whose engine has 450 ms to read, and a request
/// whose share allows it to start.
pub(super) fn short_with_backlog(now: TimeMs) -> (PoolScheduler, Arrival) {
    let mut scheduler = PoolScheduler::default();
    for before in (0..=10).rev() {
        scheduler.refresh(&view(450.0), TimeMs(now.0 - before * 50));
    }
    assert!(scheduler.is_short());
    (scheduler, arrival(now))
}

#[test]
fn everything_starts_while_the_pool_has_room() {
    let now = TimeMs(10_000);
    let mut scheduler = PoolScheduler::default();
    for step in 0..100 {
        let now = now.after(step * 50);
        scheduler.refresh(&view(390.0), now);
        scheduler.record_demand(kind(1, 1), 1e9, now);
        let hopeless = Arrival {
            expected_ms: 1e6,
            draw: step,
            ..arrival(now)
        };
        assert_eq!(scheduler.enter(hopeless, now), Entry::Start);
        assert_eq!(scheduler.own_report(0, 1, now), None);
    }
}

#[test]
fn burst_shorter_than_the_bound_is_no_shortage() {
    let mut scheduler = PoolScheduler::default();
    scheduler.refresh(&view(700.0), TimeMs(1_000));
    scheduler.refresh(&view(700.0), TimeMs(1_200));
    scheduler.refresh(&view(100.0), TimeMs(1_250));
    scheduler.refresh(&view(700.0), TimeMs(1_300));
    assert!(!scheduler.is_short());
}

#[test]
fn node_follows_a_peer_that_reports_a_shortage_it_does_not_see() {
    let mut scheduler = PoolScheduler::default();
    let report = DemandReport {
        source: Source::Node(2),
        pool: 0,
        nodes: 1,
        kinds: vec![demand(1, 1, 1e6)],
    };
    scheduler.record_report(report, TimeMs(1_000));
    scheduler.refresh(&view(200.0), TimeMs(1_050));
    assert!(scheduler.is_short());
}

#[test]
fn waiting_request_starts_when_the_engine_has_read_enough() {
    let now = TimeMs(1_000);
    let (mut scheduler, arrival) = short_with_backlog(now);
    let Entry::Wait(ticket) = scheduler.enter(arrival, now) else {
        panic!("the request waits");
    };
    assert_eq!(scheduler.poll(now.after(10)), Vec::new());
    scheduler.refresh(&view(300.0), now.after(50));
    let ended = scheduler.poll(now.after(50));
    assert_eq!((ended[0].ticket, ended[0].result), (ticket, Ok(())));
    assert_eq!(ended[0].waited_ms, 50);
}

#[test]
fn request_that_cannot_be_in_time_is_refused_on_arrival() {
    let now = TimeMs(1_000);
    let (mut scheduler, arrival) = short_with_backlog(now);
    let late = Arrival {
        expected_ms: 900.0,
        ..arrival
    };
    let Entry::Refuse(refused) = scheduler.enter(late, now) else {
        panic!("the request is refused");
    };
    assert_eq!(refused.reason, Reason::TooLate);
}

#[test]
fn waiting_request_is_refused_once_it_cannot_be_in_time() {
    let now = TimeMs(1_000);
    let (mut scheduler, arrival) = short_with_backlog(now);
    assert!(matches!(scheduler.enter(arrival, now), Entry::Wait(_)));
    scheduler.refresh(&view(450.0), now.after(735));
    let ended = scheduler.poll(now.after(735));
    assert_eq!(ended[0].result, Err(Reason::TooLate));
}

#[test]
fn request_whose_caller_has_left_is_not_started() {
    let now = TimeMs(1_000);
    let (mut scheduler, arrival) = short_with_backlog(now);
    let Entry::Wait(ticket) = scheduler.enter(arrival, now) else {
        panic!("the request waits");
    };
    scheduler.leave(ticket);
    scheduler.refresh(&view(0.0), now.after(50));
    assert_eq!(scheduler.poll(now.after(50)), Vec::new());
}

#[test]
fn request_that_misses_its_target_anyway_starts_after_those_that_meet_it() {
    let now = TimeMs(1_000);
    let (mut scheduler, arrival) = short_with_backlog(now);
    let long = Arrival {
        idle_ms: 1_000.0,
        expected_ms: 1_500.0,
        ..arrival
    };
    let Entry::Wait(first) = scheduler.enter(long, now) else {
        panic!("the long request waits");
    };
    let other_team = Arrival {
        kind: kind(2, 5),
        ..arrival
    };
    let Entry::Wait(second) = scheduler.enter(other_team, now) else {
        panic!("the other request waits");
    };
    scheduler.refresh(&view(0.0), now.after(50));
    let started: Vec<_> = scheduler
        .poll(now.after(50))
        .iter()
        .map(|end| end.ticket)
        .collect();
    assert_eq!(started, [second, first]);
}

#[test]
fn urgent_requests_of_a_team_start_first() {
    let now = TimeMs(1_000);
    let (mut scheduler, arrival) = short_with_backlog(now);
    let enter = |scheduler: &mut PoolScheduler, urgency| {
        let arrival = Arrival {
            kind: kind(1, urgency),
            ..arrival
        };
        match scheduler.enter(arrival, now) {
            Entry::Wait(ticket) => ticket,
            other => panic!("the request waits: {other:?}"),
        }
    };
    let last = enter(&mut scheduler, 5);
    let first = enter(&mut scheduler, 1);
    scheduler.refresh(&view(0.0), now.after(50));
    let started: Vec<_> = scheduler
        .poll(now.after(50))
        .iter()
        .map(|end| end.ticket)
        .collect();
    assert_eq!(started, [first, last]);
}

#[test]
fn share_goes_to_the_urgent_kinds_and_a_quarter_to_each() {
    let demand = [
        demand(1, 1, 400.0),
        demand(1, 3, 400.0),
        demand(1, 5, 400.0),
    ];
    let mut allocation = Allocation::default();
    allocation.divide(600.0, &demand, &Weights::default(), TimeMs(1));
    let fractions = [1, 3, 5].map(|urgency| allocation.fraction(kind(1, urgency)));
    assert!(fractions[0] > 0.99, "{fractions:?}");
    assert!(
        fractions.is_sorted_by(|left, right| left >= right),
        "{fractions:?}"
    );
    assert!(fractions[2] >= 0.5 / 4.0, "{fractions:?}");
}

#[test]
fn missing_reports_are_extrapolated() {
    let own = [demand(1, 1, 100.0)];
    let mut peers = PeerDemand::default();
    let report = DemandReport {
        source: Source::Node(2),
        pool: 0,
        nodes: 1,
        kinds: vec![demand(1, 1, 300.0)],
    };
    peers.record(report, TimeMs(0));
    let fleet = fleet_demand(&own, &peers, 4);
    assert_eq!(fleet, [demand(1, 1, 800.0)]);
    peers.remove_expired(TimeMs(10_000));
    assert_eq!(fleet_demand(&own, &peers, 4), [demand(1, 1, 400.0)]);
}

/// Guards against a malformed report that makes each fraction of the division not a number.
#[test]
fn report_with_demand_that_is_no_rate_leaves_the_others() {
    let mut peers = PeerDemand::default();
    let report = DemandReport {
        source: Source::Node(2),
        pool: 0,
        nodes: u32::MAX,
        kinds: vec![
            demand(1, 1, f32::NAN),
            demand(1, 3, -1.0),
            demand(2, 1, 5.0),
        ],
    };
    peers.record(report, TimeMs(0));
    assert_eq!(fleet_demand(&[], &peers, 1), [demand(2, 1, 5.0)]);
}

/// Guards against a surge of starts when engines come back after none took requests.
#[test]
fn speed_is_not_corrected_without_engines() {
    let mut pacer = Pacer::default();
    let none = Room::of(std::iter::empty());
    for step in 0..100 {
        pacer.update(&none, TARGET_MS, TimeMs(1_000 + step * 50));
    }
    let room = view(0.0).room;
    let before = Pacer::default().startable_tokens_per_s(&room, TARGET_MS);
    let after = pacer.startable_tokens_per_s(&room, TARGET_MS);
    assert!((after - before).abs() < 1e-6, "{before} {after}");
}

#[test]
fn retry_after_grows_with_the_overload_and_is_spread() {
    let least = retry_after_ms(2.0, 0, 60_000);
    let most = retry_after_ms(2.0, u64::MAX, 60_000);
    assert!(most >= 2 * least, "{least} to {most}");
    assert!(retry_after_ms(4.0, 0, 60_000) > least);
    assert!(retry_after_ms(8.0, u64::MAX, 900) <= 300);
}

/// Guards against requests that wait although their callers have given up.
#[test]
fn request_with_a_deadline_before_its_target_waits_until_the_deadline_at_most() {
    let now = TimeMs(1_000);
    let (mut scheduler, arrival) = short_with_backlog(now);
    let impatient = Arrival {
        deadline: now.after(300),
        ..arrival
    };
    assert!(matches!(scheduler.enter(impatient, now), Entry::Wait(_)));
    scheduler.refresh(&view(450.0), now.after(250));
    let ended = scheduler.poll(now.after(250));
    assert_eq!(ended.len(), 1);
    assert_eq!(ended[0].result, Err(Reason::TooLate));
}
