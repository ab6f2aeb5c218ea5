//! Load: 16 teams ask for twice what the engines can read, and one thing fails.

use super::fleet::{Fleet, Play};
use crate::gateway::scheduling::queue::Reason;
use crate::gateway::scheduling::room::Room;
use crate::gateway::scheduling::{Entry, PoolScheduler, PoolView};
use crate::time::TimeMs;

const WARM_UP_MS: u64 = 10_000;
const PLAY_MS: u64 = 20_000;

fn warm() -> Fleet {
    let mut fleet = Fleet::new(Play::half_the_room(9));
    fleet.warm_up(WARM_UP_MS);
    fleet
}

fn assert_served(fleet: &Fleet) {
    let part = fleet.part_of_room();
    assert!(part >= 0.9, "in time over room: {part:.3}");
    assert!(
        fleet.refusal_p95_ms() < 50,
        "p95 {} ms",
        fleet.refusal_p95_ms()
    );
}

/// Guards against a silent node's demand and load being forgotten, or counted twice.
#[test]
fn node_that_reports_nothing_for_3_s_costs_no_service() {
    let mut fleet = warm();
    fleet.silent[3] = true;
    fleet.run(3_000);
    fleet.silent[3] = false;
    fleet.run(PLAY_MS);
    assert_served(&fleet);
}

/// Guards against lost reports being taken for less demand.
#[test]
fn third_of_the_reports_lost_costs_no_service() {
    let mut fleet = warm();
    fleet.loss = 0.3;
    fleet.run(PLAY_MS);
    assert_served(&fleet);
}

/// Guards against requests being started for engines that are gone.
#[test]
fn half_of_the_engines_lost_at_once_leaves_the_rest_in_use() {
    let mut fleet = warm();
    fleet.lose_engines(20);
    fleet.warm_up(3_000);
    fleet.run(PLAY_MS);
    assert_served(&fleet);
}

/// Guards against shares that stay with the nodes that callers have left.
#[test]
fn callers_that_move_to_other_nodes_keep_their_share() {
    let mut fleet = warm();
    fleet.entry = 0..3;
    fleet.run(PLAY_MS / 2);
    fleet.entry = 3..9;
    fleet.run(PLAY_MS / 2);
    assert_served(&fleet);
    let parts = fleet.parts_of_fair_share();
    assert!(parts.iter().all(|part| *part <= 1.2), "{parts:.2?}");
}

/// Guards against requests that wait at a stopping node until their callers give up.
#[test]
fn stopping_node_refuses_what_waits_at_once() {
    let now = TimeMs(1_000);
    let (mut scheduler, arrival) = super::decisions::short_with_backlog(now);
    let Entry::Wait(ticket) = scheduler.enter(arrival, now) else {
        panic!("the request waits");
    };
    let ended = scheduler.stop(now.after(20));
    assert_eq!(ended.len(), 1);
    assert_eq!(
        (ended[0].ticket, ended[0].result),
        (ticket, Err(Reason::Stopping))
    );
    assert_eq!(scheduler.queue().len(), 0);
}

/// Guards against a pool without engines that counts as short: its requests have a refusal of
/// their own.
#[test]
fn pool_without_engines_is_not_short() {
    let mut scheduler = PoolScheduler::default();
    let view = PoolView {
        room: Room::of(std::iter::empty()),
        ..super::decisions::view(0.0)
    };
    for step in 0..100 {
        scheduler.refresh(&view, TimeMs(1_000 + step * 50));
    }
    assert!(!scheduler.is_short());
}
