use super::*;
use crate::gateway::log_position::tests::at;

mod eras;

const LEASE_MS: u64 = 3_000;

fn holder(node: &str) -> Holder {
    Holder {
        node: node.to_owned(),
        incarnation: incarnation_of(node),
        era: 0,
    }
}

fn incarnation_of(node: &str) -> u64 {
    node.bytes().map(u64::from).sum()
}

fn lease(node: &str) -> Lease {
    Lease::new(holder(node), LEASE_MS)
}

fn hold(node: &str) -> DutyRecord {
    DutyRecord::Hold {
        holder: holder(node),
    }
}

/// Acquires the lease of an empty log.
fn acquired_lease(node: &str, at_ms: u64) -> Lease {
    let mut lease = lease(node);
    lease.read_to(at(0), TimeMs(at_ms));
    lease.record_append(at(0), hold(node), TimeMs(at_ms), TimeMs(at_ms + 5));
    lease
}

#[test]
fn fencing_token_is_the_offset_of_the_acquiring_record() {
    let mut lease = acquired_lease("a", 10_000);
    assert_eq!(lease.token(TimeMs(10_100)), Some(at(0)));
    lease.record_append(at(1), hold("a"), TimeMs(11_000), TimeMs(11_005));
    assert_eq!(lease.token(TimeMs(11_100)), Some(at(0)));
}

/// Guards against two nodes that act on a duty at the same time: the holder is frozen, another node
/// takes over, and the holder resumes and acts without checking a clock that includes the time
/// frozen.
#[test]
fn holder_frozen_beyond_its_lease_does_not_act() {
    let lease = acquired_lease("a", 10_000);
    assert_eq!(lease.token(TimeMs(12_500)), Some(at(0)));
    assert_eq!(lease.token(TimeMs(12_600)), None);
    assert_eq!(lease.token(TimeMs(60_000)), None);
}

#[test]
fn takeover_happens_only_after_the_lease_has_expired() {
    let mut other = lease("b");
    other.read(at(0), hold("a"), TimeMs(10_005));
    other.read_to(at(1), TimeMs(10_005));
    let holder = acquired_lease("a", 10_000);
    for now in (10_005..20_000).map(TimeMs) {
        assert!(
            !(other.may_acquire(now) && holder.token(now).is_some()),
            "both may act at {now:?}"
        );
    }
    assert!(other.may_acquire(TimeMs(13_200)));
}

#[test]
fn renewal_restarts_the_takeover_wait() {
    let mut other = lease("b");
    other.read(at(0), hold("a"), TimeMs(10_000));
    other.read_to(at(1), TimeMs(10_000));
    other.read(at(1), hold("a"), TimeMs(12_000));
    other.read_to(at(2), TimeMs(12_000));
    assert!(!other.may_acquire(TimeMs(13_500)));
    assert!(other.may_acquire(TimeMs(15_100)));
    assert_eq!(other.end(), at(2));
}

/// Guards against reports and orders that stop while the store is unavailable to the holder alone.
/// Its peers keep receiving its heartbeats, which must not extend its lease.
#[test]
fn holder_that_sends_heartbeats_but_does_not_renew_is_overdue() {
    let mut other = lease("b");
    other.read(at(0), hold("a"), TimeMs(10_000));
    other.read_to(at(1), TimeMs(10_000));
    for now in (10_000..13_000).step_by(200) {
        other.record_peer_end(at(1), &holder("a"), at(0), TimeMs(now));
        assert!(!other.is_overdue(TimeMs(now)));
    }
    assert!(other.is_overdue(TimeMs(13_100)));
    other.record_peer_end(at(2), &holder("a"), at(0), TimeMs(13_200));
    assert!(
        !other.is_overdue(TimeMs(13_300)),
        "the holder has renewed the lease"
    );
}

/// Guards against a first start of a deployment that pays for its first upstreams 4 s longer,
/// because the first holder waits for the lease of a holder that cannot exist.
#[test]
fn lease_that_was_never_held_can_be_acquired_at_once() {
    let mut first = lease("a");
    assert!(
        !first.may_acquire(TimeMs(10_000)),
        "the log has not been read"
    );
    first.read_to(at(0), TimeMs(10_000));
    assert!(first.may_acquire(TimeMs(10_000)));
    let mut second = lease("b");
    second.read(at(0), hold("a"), TimeMs(10_000));
    second.read_to(at(1), TimeMs(10_000));
    assert!(!second.may_acquire(TimeMs(10_010)));
}

/// Guards against seconds without reports after each planned stop, as happen if the other nodes
/// must wait for the lease of the stopped holder to expire.
#[test]
fn released_lease_can_be_acquired_at_once() {
    let mut other = lease("b");
    other.read(at(0), hold("a"), TimeMs(10_000));
    let release = DutyRecord::Release {
        holder: holder("a"),
    };
    other.read(at(1), release, TimeMs(10_500));
    other.read_to(at(2), TimeMs(10_500));
    assert!(other.may_acquire(TimeMs(10_501)));
    assert_eq!(other.holder(), None);
    other.record_append(at(2), hold("b"), TimeMs(10_510), TimeMs(10_520));
    assert_eq!(other.token(TimeMs(10_530)), Some(at(2)));
}

#[test]
fn unread_records_are_read_before_a_takeover() {
    let mut other = lease("b");
    other.read_to(at(0), TimeMs(9_000));
    other.record_peer_end(at(5), &holder("a"), at(0), TimeMs(10_000));
    assert!(!other.may_acquire(TimeMs(20_000)));
    assert_eq!(other.next_read(), at(0));
    let report = UsageReport {
        window: 4,
        counts: vec![("team".to_owned(), 3)],
    };
    let settle = DutyRecord::Settle {
        holder: holder("a"),
        report: report.clone(),
    };
    other.read(at(4), settle, TimeMs(20_000));
    other.read_to(at(5), TimeMs(20_000));
    assert!(
        other.may_acquire(TimeMs(20_000)),
        "the end has been known since 10 s"
    );
    assert_eq!(other.settled(), [report]);
}

#[test]
fn node_that_has_not_read_the_log_does_not_acquire_the_lease() {
    assert!(!lease("b").may_acquire(TimeMs(100_000)));
}

/// Guards against two reports of one window with different counts: the platform rejects a holder's
/// fencing token, and the node acquires the lease again and must not reuse that token.
#[test]
fn fenced_node_gets_a_new_token() {
    let mut lease = acquired_lease("a", 10_000);
    let release = DutyRecord::Release {
        holder: holder("a"),
    };
    lease.record_append(at(1), release, TimeMs(10_100), TimeMs(10_110));
    lease.invalidate();
    assert_eq!(lease.token(TimeMs(10_120)), None);
    lease.read_to(at(2), TimeMs(10_200));
    assert!(lease.may_acquire(TimeMs(10_200)));
    lease.record_append(at(2), hold("a"), TimeMs(10_210), TimeMs(10_220));
    assert_eq!(lease.token(TimeMs(10_230)), Some(at(2)));
}

/// Simulates three nodes with frozen, delayed and lost steps against one log: no two nodes may act
/// at any time, and fencing tokens only grow.
#[test]
fn no_two_nodes_act_at_once_in_random_schedules() {
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut log: Vec<DutyRecord> = Vec::new();
        let mut nodes = [lease("a"), lease("b"), lease("c")];
        let mut frozen_until = [0_u64; 3];
        let mut highest = at(0);
        for now_ms in (1_000..60_000).step_by(50) {
            let now = TimeMs(now_ms);
            for index in 0..nodes.len() {
                if now_ms < frozen_until[index] {
                    continue;
                }
                if rng.random_bool(0.01) {
                    frozen_until[index] = now_ms + rng.random_range(100..6_000);
                    continue;
                }
                let node = &mut nodes[index];
                if rng.random_bool(0.5) {
                    let from = usize::try_from(node.next_read().offset).expect("small");
                    for (offset, entry) in log.iter().enumerate().skip(from) {
                        node.read(at(offset as u64), entry.clone(), now);
                    }
                    node.read_to(at(log.len() as u64), now);
                }
                if node.may_acquire(now) || node.is_renewal_due(now) {
                    let entry = DutyRecord::Hold {
                        holder: node.own().clone(),
                    };
                    if node.end() == at(log.len() as u64) {
                        log.push(entry.clone());
                        let is_answer_lost = rng.random_bool(0.2);
                        if !is_answer_lost {
                            let offset = log.len() as u64 - 1;
                            node.record_append(at(offset), entry, now, now);
                        }
                    }
                }
            }
            let acting: Vec<LogPosition> =
                nodes.iter().filter_map(|node| node.token(now)).collect();
            assert!(acting.len() <= 1, "seed {seed}: {acting:?} at {now_ms}");
            for token in acting {
                assert!(token >= highest, "seed {seed}: {token} after {highest}");
                highest = token;
            }
        }
        assert!(log.len() > 10, "seed {seed}: the lease was renewed");
    }
}
