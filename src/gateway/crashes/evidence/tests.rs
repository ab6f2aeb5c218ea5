use super::*;
use crate::gateway::crashes::{Crash, Subjects};

/// Returns a crash of the upstream at its own address in a domain, under a request of its own.
fn crash(upstream: u64, domain: u64, sent_ms: u64, at_ms: u64) -> Recorded {
    let crash = Crash {
        subjects: Subjects::new(upstream, 1, [2]),
        upstream,
        address: upstream,
        domain,
        ran_ms: at_ms - sent_ms,
    };
    Recorded::new(crash, TimeMs(at_ms))
}

fn pieces_of(crashes: &[Recorded]) -> usize {
    pieces(&crashes.iter().collect::<Vec<_>>())
}

#[test]
fn crashes_one_after_the_other_count_each() {
    let crashes = [
        crash(1, 1, 0, 100),
        crash(2, 1, 350, 400),
        crash(3, 1, 650, 700),
    ];
    assert_eq!(pieces_of(&crashes), 3);
}

/// Guards against a lost failure domain that counts as often as it has upstreams.
#[test]
fn crashes_in_one_domain_at_once_count_once() {
    let mut crashes: Vec<Recorded> = (0..9).map(|id| crash(id, 1, id, 100 + id)).collect();
    crashes.push(crash(20, 1, 400, 500));
    assert_eq!(pieces_of(&crashes), 2);
}

#[test]
fn crashes_in_all_domains_at_once_count_for_nothing() {
    let crashes: Vec<Recorded> = (0..9).map(|id| crash(id, id % 4, id, 100 + id)).collect();
    assert_eq!(pieces_of(&crashes), 0);
}

#[test]
fn crashes_under_one_request_do_not_blame_its_parts() {
    let mut crashes: Vec<Recorded> = (0..5)
        .map(|id| crash(id, id, id * 500, id * 500 + 50))
        .collect();
    for recorded in &mut crashes {
        recorded.crash.subjects.content = 7;
    }
    assert_eq!(pieces_of(&crashes), 0);
}

#[test]
fn crashes_at_one_address_do_not_blame_a_part() {
    let mut crashes: Vec<Recorded> = (0..5)
        .map(|id| crash(id, 1, id * 500, id * 500 + 50))
        .collect();
    for recorded in &mut crashes {
        recorded.crash.address = 7;
    }
    assert_eq!(pieces_of(&crashes), 0);
}

/// Guards against reports that come late and seem to tell of crashes one after the other.
#[test]
fn crashes_that_are_reported_late_count_as_one_loss() {
    let crashes: Vec<Recorded> = (0..9)
        .map(|id| crash(id, id % 4, 90 + id * 20, 100 + id * 20))
        .collect();
    assert_eq!(pieces_of(&crashes), 0);
}
