//! Tests of the lease across restores of the store from backups.

use proptest::prelude::*;

use super::*;

fn place(era: u64, offset: u64) -> LogPosition {
    LogPosition { era, offset }
}

fn of_era(node: &str, era: u64) -> Holder {
    Holder {
        era,
        ..holder(node)
    }
}

fn hold_in(node: &str, era: u64) -> DutyRecord {
    DutyRecord::Hold {
        holder: of_era(node, era),
    }
}

fn settle_in(node: &str, era: u64, window: u64, count: u64) -> DutyRecord {
    DutyRecord::Settle {
        holder: of_era(node, era),
        report: UsageReport {
            window,
            counts: vec![("team".to_owned(), count)],
        },
    }
}

/// Guards against a takeover while the newest holder still acts: the backup lacks its record, so
/// that the log shows a released lease.
#[test]
fn lease_with_lost_records_is_not_acquired_before_it_has_expired() {
    let mut holder = acquired_lease("a", 10_000);
    let mut other = lease("b");
    let release = DutyRecord::Release {
        holder: of_era("c", 0),
    };
    for (offset, entry) in [hold_in("c", 0), release].into_iter().enumerate() {
        other.read(at(offset as u64), entry, TimeMs(9_000));
    }
    other.read_to(at(2), TimeMs(9_000));
    other.enter_era(1, TimeMs(10_050), false);
    other.read(place(1, 0), hold_in("c", 0), TimeMs(10_060));
    let release = DutyRecord::Release {
        holder: of_era("c", 0),
    };
    other.read(place(1, 1), release, TimeMs(10_060));
    other.read_to(place(1, 2), TimeMs(10_060));
    for now in (10_060..20_000).map(TimeMs) {
        let both = other.may_acquire(now) && holder.token(now).is_some();
        assert!(!both, "both may act at {now:?}");
    }
    assert!(other.may_acquire(TimeMs(13_200)));
    // The previous holder need not wait, since no other node can have acquired the lease.
    holder.enter_era(1, TimeMs(10_050), false);
    assert_eq!(holder.token(TimeMs(10_060)), None);
    holder.read_to(place(1, 0), TimeMs(10_060));
    assert!(holder.may_acquire(TimeMs(10_060)));
    assert!(!holder.may_acquire(TimeMs(12_700)), "the lease has expired");
}

/// Guards against a previous holder that acquires the lease again at once although another node has
/// acquired it in the meantime.
#[test]
fn lease_acquired_by_another_node_in_the_new_era_is_not_reacquired_at_once() {
    let mut lease = acquired_lease("a", 10_000);
    lease.enter_era(1, TimeMs(10_050), false);
    lease.read(place(1, 0), hold_in("b", 1), TimeMs(10_060));
    lease.read_to(place(1, 1), TimeMs(10_060));
    assert!(!lease.may_acquire(TimeMs(10_070)));
    let mut fenced = acquired_lease("a", 10_000);
    fenced.enter_era(1, TimeMs(10_050), false);
    fenced.invalidate();
    fenced.read_to(place(1, 0), TimeMs(10_060));
    assert!(!fenced.may_acquire(TimeMs(10_070)));
}

/// Guards against a fencing token that is reused, or lower than an earlier one.
#[test]
fn fencing_tokens_of_a_later_era_are_higher() {
    let mut lease = acquired_lease("a", 10_000);
    lease.record_append(at(1), hold("a"), TimeMs(11_000), TimeMs(11_005));
    let before = lease
        .token(TimeMs(11_010))
        .expect("the lease is held")
        .number();
    lease.enter_era(1, TimeMs(11_020), false);
    lease.read_to(place(1, 0), TimeMs(11_030));
    lease.record_append(place(1, 0), hold_in("a", 1), TimeMs(11_040), TimeMs(11_050));
    let after = lease
        .token(TimeMs(11_060))
        .expect("the lease is held")
        .number();
    assert!(after > before, "{after} after {before}");
}

/// Guards against a delayed append of the previous era that is executed seconds later, when its
/// condition happens to hold again, and makes its writer the holder.
#[test]
fn append_of_an_earlier_era_gives_no_lease() {
    let mut other = lease("b");
    other.enter_era(1, TimeMs(10_000), false);
    other.read_to(place(1, 0), TimeMs(10_000));
    other.record_append(place(1, 0), hold_in("b", 1), TimeMs(13_200), TimeMs(13_210));
    other.read(place(1, 1), hold_in("a", 0), TimeMs(13_500));
    assert!(other.token(TimeMs(13_510)).is_some());
    let mut late = lease("a");
    late.enter_era(1, TimeMs(13_500), false);
    late.read(place(1, 0), hold_in("b", 1), TimeMs(13_600));
    late.read(place(1, 1), hold_in("a", 0), TimeMs(13_600));
    late.read_to(place(1, 2), TimeMs(13_600));
    assert!(!late.is_own() && late.token(TimeMs(13_600)).is_none());
    assert_eq!(late.holder(), Some(&of_era("b", 1)));
    // A late answer to that append changes nothing either.
    late.record_append(at(7), hold("a"), TimeMs(9_000), TimeMs(13_700));
    assert_eq!(late.end(), place(1, 2));
}

/// Guards against settling a window again with counts that differ from those sent before the store
/// lost them.
#[test]
fn lost_settled_report_is_written_again() {
    let mut lease = acquired_lease("a", 10_000);
    lease.record_append(
        at(1),
        settle_in("a", 0, 7, 40),
        TimeMs(10_100),
        TimeMs(10_110),
    );
    lease.record_append(
        at(2),
        settle_in("a", 0, 8, 41),
        TimeMs(10_200),
        TimeMs(10_210),
    );
    lease.enter_era(1, TimeMs(10_300), false);
    assert_eq!(
        lease.unseen_era_since(),
        None,
        "the node held the lease throughout"
    );
    // The backup contains the first report.
    lease.read(place(1, 0), settle_in("a", 0, 7, 40), TimeMs(10_310));
    lease.read_to(place(1, 1), TimeMs(10_310));
    assert_eq!(lease.missing_report().map(|report| report.window), Some(8));
    lease.record_append(
        place(1, 1),
        settle_in("a", 1, 8, 41),
        TimeMs(10_320),
        TimeMs(10_330),
    );
    assert_eq!(lease.missing_report(), None);
    assert_eq!(lease.settled().len(), 2);
}

/// Guards against a successor that settles windows for which the previous holder may have sent
/// reports that it cannot read.
#[test]
fn successor_knows_from_when_on_it_has_seen_all_settled_reports() {
    let mut other = lease("b");
    other.read_to(at(0), TimeMs(9_000));
    assert_eq!(other.unseen_era_since(), None);
    other.enter_era(1, TimeMs(10_300), false);
    assert_eq!(other.unseen_era_since(), Some(TimeMs(10_300)));
    other.enter_era(1, TimeMs(10_100), false);
    assert_eq!(
        other.unseen_era_since(),
        Some(TimeMs(10_100)),
        "a peer learned of the era earlier"
    );
    let mut first = lease("c");
    first.enter_era(1, TimeMs(10), true);
    assert_eq!(first.unseen_era_since(), None, "there was no previous era");
}

/// One fault in a schedule.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// A node is frozen for so many milliseconds.
    Freeze(usize, u64),
    /// The next append of a node is executed so many milliseconds later, if its condition holds
    /// then.
    DelayAppend(usize, u64),
    /// The store is restored from a backup that lacks so many records.
    Restore(usize),
    /// A node learns the era from another node.
    LearnEra(usize, usize),
}

fn faults() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let node = || 0..3_usize;
    let fault = prop_oneof![
        (node(), 100..6_000_u64).prop_map(|(node, ms)| Fault::Freeze(node, ms)),
        (node(), 50..8_000_u64).prop_map(|(node, ms)| Fault::DelayAppend(node, ms)),
        (0..12_usize).prop_map(Fault::Restore),
        (node(), node()).prop_map(|(node, other)| Fault::LearnEra(node, other)),
    ];
    proptest::collection::vec((1_000..40_000_u64, fault), 0..30)
}

/// The store's log of duties, with delayed appends.
#[derive(Debug, Default)]
struct Log {
    era: u64,
    entries: Vec<DutyRecord>,
    delayed: Vec<(u64, u64, DutyRecord)>,
}

impl Log {
    fn end(&self) -> LogPosition {
        place(self.era, self.entries.len() as u64)
    }

    fn execute_due(&mut self, now_ms: u64) {
        let (due, rest): (Vec<_>, Vec<_>) =
            (self.delayed.drain(..)).partition(|(at_ms, _offset, _entry)| *at_ms <= now_ms);
        self.delayed = rest;
        for (_at_ms, offset, entry) in due {
            // The store compares offsets only, and does not know the era in which the append was
            // sent.
            if offset == self.end().offset {
                self.entries.push(entry);
            }
        }
    }
}

fn read_log(node: &mut Lease, log: &Log, now: TimeMs) {
    node.enter_era(log.era, now, false);
    let from = usize::try_from(node.next_read().offset).expect("small");
    for (offset, entry) in log.entries.iter().enumerate().skip(from) {
        node.read(place(log.era, offset as u64), entry.clone(), now);
    }
    node.read_to(log.end(), now);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against two nodes that act at once, or a node that acts with a lower fencing token
    /// than one used before, around restores of the store.
    #[test]
    fn no_two_nodes_act_at_once_while_the_store_is_restored(mut plan in faults()) {
        plan.sort_by_key(|(at_ms, _fault)| *at_ms);
        let mut plan = plan.into_iter().peekable();
        let mut log = Log::default();
        let mut nodes = [lease("a"), lease("b"), lease("c")];
        let mut frozen_until = [0_u64; 3];
        let mut delays = [0_u64; 3];
        let mut era_known_at = vec![0_u64];
        let mut highest = 0;
        for now_ms in (1_000..50_000).step_by(50) {
            let now = TimeMs(now_ms);
            while let Some((_at_ms, fault)) = plan.next_if(|(at_ms, _fault)| *at_ms <= now_ms) {
                match fault {
                    Fault::Freeze(node, ms) => frozen_until[node] = now_ms + ms,
                    Fault::DelayAppend(node, ms) => delays[node] = ms,
                    Fault::Restore(lost) => {
                        log.entries.truncate(log.entries.len().saturating_sub(lost));
                        log.era += 1;
                        era_known_at.push(now_ms);
                    }
                    Fault::LearnEra(node, other) => {
                        let era = nodes[other].end().era;
                        let since = era_known_at[usize::try_from(era).expect("small")];
                        nodes[node].enter_era(era, TimeMs(since), false);
                    }
                }
            }
            log.execute_due(now_ms);
            for index in 0..nodes.len() {
                if now_ms < frozen_until[index] {
                    continue;
                }
                let node = &mut nodes[index];
                if now_ms % 200 == 50 * index as u64 {
                    read_log(node, &log, now);
                }
                if node.may_acquire(now) || node.is_renewal_due(now) {
                    let entry = DutyRecord::Hold { holder: node.own().clone() };
                    let at = node.end();
                    match std::mem::take(&mut delays[index]) {
                        0 if at == log.end() => {
                            log.entries.push(entry.clone());
                            node.record_append(at, entry, now, now);
                        }
                        0 => {}
                        delay_ms => log.delayed.push((now_ms + delay_ms, at.offset, entry)),
                    }
                }
            }
            let acting: Vec<u64> = (nodes.iter().zip(frozen_until))
                .filter(|(_node, frozen_until)| now_ms >= *frozen_until)
                .filter_map(|(node, _awake_at)| node.token(now).map(LogPosition::number))
                .collect();
            prop_assert!(acting.len() <= 1, "{acting:?} at {now_ms}");
            for token in acting {
                prop_assert!(token >= highest, "{token} after {highest} at {now_ms}");
                highest = token;
            }
        }
        prop_assert!(highest > 0 || log.end().offset > 0, "the lease was acquired");
    }
}
