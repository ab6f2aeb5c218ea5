use super::*;
use crate::gateway::place::tests::at;

mod eras;

const LEASE_MS: u64 = 3_000;

fn holder(node: &str) -> Holder {
    Holder {
        node: node.to_owned(),
        incarnation: tag_of(node),
        era: 0,
    }
}

fn tag_of(node: &str) -> u64 {
    node.bytes().map(u64::from).sum()
}

fn lease(node: &str) -> Lease {
    Lease::new(holder(node), LEASE_MS)
}

fn hold(node: &str) -> Entry {
    Entry::Hold {
        holder: holder(node),
    }
}

/// Takes the lease of an empty log.
fn held(node: &str, at_ms: u64) -> Lease {
    let mut lease = lease(node);
    lease.read_to(at(0), TimeMs(at_ms));
    lease.appended(at(0), hold(node), TimeMs(at_ms), TimeMs(at_ms + 5));
    lease
}

#[test]
fn the_token_is_the_offset_at_which_the_lease_was_taken() {
    let mut lease = held("a", 10_000);
    assert_eq!(lease.token(TimeMs(10_100)), Some(at(0)));
    lease.appended(at(1), hold("a"), TimeMs(11_000), TimeMs(11_005));
    assert_eq!(lease.token(TimeMs(11_100)), Some(at(0)));
}

/// Symptom: two nodes act on a duty at the same time.
/// Sequence: the holder is frozen; another node takes over; the holder wakes up and acts.
/// Cause: the holder did not look at a clock that counts the freeze before it acted.
#[test]
fn a_holder_that_slept_through_its_lease_does_not_act() {
    let lease = held("a", 10_000);
    assert_eq!(lease.token(TimeMs(12_500)), Some(at(0)));
    assert_eq!(lease.token(TimeMs(12_600)), None);
    assert_eq!(lease.token(TimeMs(60_000)), None);
}

#[test]
fn another_node_takes_over_only_after_the_holder_has_stopped() {
    let mut other = lease("b");
    other.read(at(0), hold("a"), TimeMs(10_005));
    other.read_to(at(1), TimeMs(10_005));
    let holder = held("a", 10_000);
    for now in (10_005..20_000).map(TimeMs) {
        assert!(
            !(other.may_take(now) && holder.token(now).is_some()),
            "both may act at {now:?}"
        );
    }
    assert!(other.may_take(TimeMs(13_200)));
}

#[test]
fn a_renewal_starts_the_wait_again() {
    let mut other = lease("b");
    other.read(at(0), hold("a"), TimeMs(10_000));
    other.read_to(at(1), TimeMs(10_000));
    other.read(at(1), hold("a"), TimeMs(12_000));
    other.read_to(at(2), TimeMs(12_000));
    assert!(!other.may_take(TimeMs(13_500)));
    assert!(other.may_take(TimeMs(15_100)));
    assert_eq!(other.end(), at(2));
}

/// Symptom: nothing is reported or ordered for as long as the store turns the holder away.
/// Sequence: the store answers all but the holder; the peers hear the holder all the while.
/// Cause: a holder was taken to have the lease for as long as it lives.
#[test]
fn a_holder_that_does_not_renew_is_overdue_although_it_is_heard() {
    let mut other = lease("b");
    other.read(at(0), hold("a"), TimeMs(10_000));
    other.read_to(at(1), TimeMs(10_000));
    for now in (10_000..13_000).step_by(200) {
        other.heard_end(at(1), &holder("a"), at(0), TimeMs(now));
        assert!(!other.is_overdue(TimeMs(now)));
    }
    assert!(other.is_overdue(TimeMs(13_100)));
    other.heard_end(at(2), &holder("a"), at(0), TimeMs(13_200));
    assert!(
        !other.is_overdue(TimeMs(13_300)),
        "it has renewed it after all"
    );
}

/// Symptom: a deployment that starts for the first time pays for its first upstreams 4 s longer.
/// Sequence: all nodes start; none has ever held the lease.
/// Cause: the first holder waited for the lease of a holder that there cannot be.
#[test]
fn a_lease_that_nobody_ever_held_can_be_taken_at_once() {
    let mut first = lease("a");
    assert!(!first.may_take(TimeMs(10_000)), "the log has not been read");
    first.read_to(at(0), TimeMs(10_000));
    assert!(first.may_take(TimeMs(10_000)));
    let mut second = lease("b");
    second.read(at(0), hold("a"), TimeMs(10_000));
    second.read_to(at(1), TimeMs(10_000));
    assert!(!second.may_take(TimeMs(10_010)));
}

/// Symptom: nothing is reported for seconds after each planned stop.
/// Sequence: the holder stops as planned; the others wait for its lease to end.
/// Cause: a holder that goes did not say so.
#[test]
fn a_released_lease_can_be_taken_at_once() {
    let mut other = lease("b");
    other.read(at(0), hold("a"), TimeMs(10_000));
    let release = Entry::Release {
        holder: holder("a"),
    };
    other.read(at(1), release, TimeMs(10_500));
    other.read_to(at(2), TimeMs(10_500));
    assert!(other.may_take(TimeMs(10_501)));
    assert_eq!(other.holder(), None);
    other.appended(at(2), hold("b"), TimeMs(10_510), TimeMs(10_520));
    assert_eq!(other.token(TimeMs(10_530)), Some(at(2)));
}

#[test]
fn a_node_that_has_only_heard_of_records_reads_them_before_it_takes_over() {
    let mut other = lease("b");
    other.read_to(at(0), TimeMs(9_000));
    other.heard_end(at(5), &holder("a"), at(0), TimeMs(10_000));
    assert!(!other.may_take(TimeMs(20_000)));
    assert_eq!(other.read_end(), at(0));
    let report = Report {
        window: 4,
        counts: vec![("team".to_owned(), 3)],
    };
    let settle = Entry::Settle {
        holder: holder("a"),
        report: report.clone(),
    };
    other.read(at(4), settle, TimeMs(20_000));
    other.read_to(at(5), TimeMs(20_000));
    assert!(
        other.may_take(TimeMs(20_000)),
        "the end was known since 10 s"
    );
    assert_eq!(other.settled(), [report]);
}

#[test]
fn a_node_that_has_not_read_the_log_does_not_take_the_lease() {
    assert!(!lease("b").may_take(TimeMs(100_000)));
}

/// Symptom: two reports of one window with different counts.
/// Sequence: the platform refuses a holder's token; it takes the lease again and goes on with it.
/// Cause: a fencing token that has been refused was used again.
#[test]
fn a_node_that_was_fenced_gets_a_new_token() {
    let mut lease = held("a", 10_000);
    let release = Entry::Release {
        holder: holder("a"),
    };
    lease.appended(at(1), release, TimeMs(10_100), TimeMs(10_110));
    lease.lose();
    assert_eq!(lease.token(TimeMs(10_120)), None);
    lease.read_to(at(2), TimeMs(10_200));
    assert!(lease.may_take(TimeMs(10_200)));
    lease.appended(at(2), hold("a"), TimeMs(10_210), TimeMs(10_220));
    assert_eq!(lease.token(TimeMs(10_230)), Some(at(2)));
}

/// Plays three nodes with frozen, delayed and lost steps against one log; at no time may two act,
/// and tokens only grow.
#[test]
fn no_two_nodes_act_at_once_in_any_of_many_schedules() {
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut log: Vec<Entry> = Vec::new();
        let mut nodes = [lease("a"), lease("b"), lease("c")];
        let mut awake_at = [0_u64; 3];
        let mut highest = at(0);
        for now_ms in (1_000..60_000).step_by(50) {
            let now = TimeMs(now_ms);
            for place in 0..nodes.len() {
                if now_ms < awake_at[place] {
                    continue;
                }
                if rng.random_bool(0.01) {
                    awake_at[place] = now_ms + rng.random_range(100..6_000);
                    continue;
                }
                let node = &mut nodes[place];
                if rng.random_bool(0.5) {
                    let from = usize::try_from(node.read_end().offset).expect("small");
                    for (offset, entry) in log.iter().enumerate().skip(from) {
                        node.read(at(offset as u64), entry.clone(), now);
                    }
                    node.read_to(at(log.len() as u64), now);
                }
                if node.may_take(now) || node.is_renewal_due(now) {
                    let entry = Entry::Hold {
                        holder: node.own().clone(),
                    };
                    if node.end() == at(log.len() as u64) {
                        log.push(entry.clone());
                        let is_answer_lost = rng.random_bool(0.2);
                        if !is_answer_lost {
                            let offset = log.len() as u64 - 1;
                            node.appended(at(offset), entry, now, now);
                        }
                    }
                }
            }
            let acting: Vec<Place> = nodes.iter().filter_map(|node| node.token(now)).collect();
            assert!(acting.len() <= 1, "seed {seed}: {acting:?} at {now_ms}");
            for token in acting {
                assert!(token >= highest, "seed {seed}: {token} after {highest}");
                highest = token;
            }
        }
        assert!(log.len() > 10, "seed {seed}: the lease was renewed");
    }
}
