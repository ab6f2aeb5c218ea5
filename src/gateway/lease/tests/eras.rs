//! Stores that come back from copies.

use proptest::prelude::*;

use super::*;

fn place(era: u64, offset: u64) -> Place {
    Place { era, offset }
}

fn of_era(node: &str, era: u64) -> Holder {
    Holder {
        era,
        ..holder(node)
    }
}

fn hold_in(node: &str, era: u64) -> Entry {
    Entry::Hold {
        holder: of_era(node, era),
    }
}

fn settle_in(node: &str, era: u64, window: u64, count: u64) -> Entry {
    Entry::Settle {
        holder: of_era(node, era),
        report: Report {
            window,
            counts: vec![("team".to_owned(), count)],
        },
    }
}

/// The copy lacks the newest holder's record, so that the log tells of a lease that was released, and another node
/// takes it while the newest holder still acts.
#[test]
fn a_lease_whose_records_were_lost_is_not_taken_before_it_has_ended() {
    let mut holder = held("a", 10_000);
    let mut other = lease("b");
    let release = Entry::Release {
        holder: of_era("c", 0),
    };
    for (offset, entry) in [hold_in("c", 0), release].into_iter().enumerate() {
        other.read(at(offset as u64), entry, TimeMs(9_000));
    }
    other.read_to(at(2), TimeMs(9_000));
    other.enter_era(1, TimeMs(10_050), false);
    other.read(place(1, 0), hold_in("c", 0), TimeMs(10_060));
    let release = Entry::Release {
        holder: of_era("c", 0),
    };
    other.read(place(1, 1), release, TimeMs(10_060));
    other.read_to(place(1, 2), TimeMs(10_060));
    for now in (10_060..20_000).map(TimeMs) {
        let both = other.may_take(now) && holder.token(now).is_some();
        assert!(!both, "both may act at {now:?}");
    }
    assert!(other.may_take(TimeMs(13_200)));
    // The one that held it need not wait: nobody else can have taken it.
    holder.enter_era(1, TimeMs(10_050), false);
    assert_eq!(holder.token(TimeMs(10_060)), None);
    holder.read_to(place(1, 0), TimeMs(10_060));
    assert!(holder.may_take(TimeMs(10_060)));
    assert!(
        !holder.may_take(TimeMs(12_700)),
        "its lease has ended meanwhile"
    );
}

/// A node that held the lease before takes it again at once although another has taken it meanwhile.
#[test]
fn a_lease_that_another_has_taken_in_the_new_era_is_not_taken_back_at_once() {
    let mut lease = held("a", 10_000);
    lease.enter_era(1, TimeMs(10_050), false);
    lease.read(place(1, 0), hold_in("b", 1), TimeMs(10_060));
    lease.read_to(place(1, 1), TimeMs(10_060));
    assert!(!lease.may_take(TimeMs(10_070)));
    let mut fenced = held("a", 10_000);
    fenced.enter_era(1, TimeMs(10_050), false);
    fenced.lose();
    fenced.read_to(place(1, 0), TimeMs(10_060));
    assert!(!fenced.may_take(TimeMs(10_070)));
}

/// A fencing token comes a second time, or lower than before.
#[test]
fn tokens_of_a_later_era_are_higher() {
    let mut lease = held("a", 10_000);
    lease.appended(at(1), hold("a"), TimeMs(11_000), TimeMs(11_005));
    let before = lease.token(TimeMs(11_010)).expect("it is held").number();
    lease.enter_era(1, TimeMs(11_020), false);
    lease.read_to(place(1, 0), TimeMs(11_030));
    lease.appended(place(1, 0), hold_in("a", 1), TimeMs(11_040), TimeMs(11_050));
    let after = lease.token(TimeMs(11_060)).expect("it is held").number();
    assert!(after > before, "{after} after {before}");
}

/// An append that set out in the era before is carried out seconds later, when its condition holds again by chance; its
/// writer or others take it for the holder.
#[test]
fn what_was_written_for_an_earlier_era_holds_nothing() {
    let mut other = lease("b");
    other.enter_era(1, TimeMs(10_000), false);
    other.read_to(place(1, 0), TimeMs(10_000));
    other.appended(place(1, 0), hold_in("b", 1), TimeMs(13_200), TimeMs(13_210));
    other.read(place(1, 1), hold_in("a", 0), TimeMs(13_500));
    assert!(other.token(TimeMs(13_510)).is_some());
    let mut late = lease("a");
    late.enter_era(1, TimeMs(13_500), false);
    late.read(place(1, 0), hold_in("b", 1), TimeMs(13_600));
    late.read(place(1, 1), hold_in("a", 0), TimeMs(13_600));
    late.read_to(place(1, 2), TimeMs(13_600));
    assert!(!late.is_own() && late.token(TimeMs(13_600)).is_none());
    assert_eq!(late.holder(), Some(&of_era("b", 1)));
    // An answer to it that comes after all changes nothing either.
    late.appended(at(7), hold("a"), TimeMs(9_000), TimeMs(13_700));
    assert_eq!(late.end(), place(1, 2));
}

/// A window is settled anew, with other counts than were told before the store lost them.
#[test]
fn what_was_settled_and_lost_is_known_and_written_again() {
    let mut lease = held("a", 10_000);
    lease.appended(
        at(1),
        settle_in("a", 0, 7, 40),
        TimeMs(10_100),
        TimeMs(10_110),
    );
    lease.appended(
        at(2),
        settle_in("a", 0, 8, 41),
        TimeMs(10_200),
        TimeMs(10_210),
    );
    lease.enter_era(1, TimeMs(10_300), false);
    assert_eq!(
        lease.unseen_before(),
        None,
        "it held the lease all the while"
    );
    // The copy has the first of them.
    lease.read(place(1, 0), settle_in("a", 0, 7, 40), TimeMs(10_310));
    lease.read_to(place(1, 1), TimeMs(10_310));
    assert_eq!(lease.lost().map(|report| report.window), Some(8));
    lease.appended(
        place(1, 1),
        settle_in("a", 1, 8, 41),
        TimeMs(10_320),
        TimeMs(10_330),
    );
    assert_eq!(lease.lost(), None);
    assert_eq!(lease.settled().len(), 2);
}

/// A successor settles windows of which the holder before may have told others, unseen.
#[test]
fn a_successor_knows_since_when_it_has_seen_all_that_was_settled() {
    let mut other = lease("b");
    other.read_to(at(0), TimeMs(9_000));
    assert_eq!(other.unseen_before(), None);
    other.enter_era(1, TimeMs(10_300), false);
    assert_eq!(other.unseen_before(), Some(TimeMs(10_300)));
    other.enter_era(1, TimeMs(10_100), false);
    assert_eq!(
        other.unseen_before(),
        Some(TimeMs(10_100)),
        "a peer knew of it before"
    );
    let mut first = lease("c");
    first.enter_era(1, TimeMs(10), true);
    assert_eq!(first.unseen_before(), None, "there was nothing before");
}

/// One thing that happens in a schedule.
#[derive(Clone, Copy, Debug)]
enum Happening {
    /// A node sleeps for so long.
    Sleeps(usize, u64),
    /// A node's append set out and is carried out so much later, if its condition holds then.
    Delays(usize, u64),
    /// The store comes back from a copy that lacks so many records.
    Returns(usize),
    /// A node hears from another which era there is.
    Hears(usize, usize),
}

fn happenings() -> impl Strategy<Value = Vec<(u64, Happening)>> {
    let node = || 0..3_usize;
    let happening = prop_oneof![
        (node(), 100..6_000_u64).prop_map(|(node, ms)| Happening::Sleeps(node, ms)),
        (node(), 50..8_000_u64).prop_map(|(node, ms)| Happening::Delays(node, ms)),
        (0..12_usize).prop_map(Happening::Returns),
        (node(), node()).prop_map(|(node, other)| Happening::Hears(node, other)),
    ];
    proptest::collection::vec((1_000..40_000_u64, happening), 0..30)
}

/// The store's log of duties, and appends on their way to it.
#[derive(Debug, Default)]
struct Log {
    era: u64,
    entries: Vec<Entry>,
    delayed: Vec<(u64, u64, Entry)>,
}

impl Log {
    fn end(&self) -> Place {
        place(self.era, self.entries.len() as u64)
    }

    fn carry_out(&mut self, now_ms: u64) {
        let (due, rest): (Vec<_>, Vec<_>) =
            (self.delayed.drain(..)).partition(|(at_ms, _offset, _entry)| *at_ms <= now_ms);
        self.delayed = rest;
        for (_at_ms, offset, entry) in due {
            // The store compares offsets, and knows nothing of the era in which the append set out.
            if offset == self.end().offset {
                self.entries.push(entry);
            }
        }
    }
}

fn read_log(node: &mut Lease, log: &Log, now: TimeMs) {
    node.enter_era(log.era, now, false);
    let from = usize::try_from(node.read_end().offset).expect("small");
    for (offset, entry) in log.entries.iter().enumerate().skip(from) {
        node.read(place(log.era, offset as u64), entry.clone(), now);
    }
    node.read_to(log.end(), now);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Two nodes act at once, or one with a lower token than was used before, around returns of the store.
    #[test]
    fn no_two_nodes_act_at_once_while_the_store_comes_back_from_copies(mut plan in happenings()) {
        plan.sort_by_key(|(at_ms, _happening)| *at_ms);
        let mut plan = plan.into_iter().peekable();
        let mut log = Log::default();
        let mut nodes = [lease("a"), lease("b"), lease("c")];
        let mut awake_at = [0_u64; 3];
        let mut delays = [0_u64; 3];
        let mut known_at = vec![0_u64];
        let mut highest = 0;
        for now_ms in (1_000..50_000).step_by(50) {
            let now = TimeMs(now_ms);
            while let Some((_at_ms, happening)) = plan.next_if(|(at_ms, _happening)| *at_ms <= now_ms) {
                match happening {
                    Happening::Sleeps(node, ms) => awake_at[node] = now_ms + ms,
                    Happening::Delays(node, ms) => delays[node] = ms,
                    Happening::Returns(lost) => {
                        log.entries.truncate(log.entries.len().saturating_sub(lost));
                        log.era += 1;
                        known_at.push(now_ms);
                    }
                    Happening::Hears(node, other) => {
                        let era = nodes[other].end().era;
                        let since = known_at[usize::try_from(era).expect("small")];
                        nodes[node].enter_era(era, TimeMs(since), false);
                    }
                }
            }
            log.carry_out(now_ms);
            for place in 0..nodes.len() {
                if now_ms < awake_at[place] {
                    continue;
                }
                let node = &mut nodes[place];
                if now_ms % 200 == 50 * place as u64 {
                    read_log(node, &log, now);
                }
                if node.may_take(now) || node.is_renewal_due(now) {
                    let entry = Entry::Hold { holder: node.own().clone() };
                    let at = node.end();
                    match std::mem::take(&mut delays[place]) {
                        0 if at == log.end() => {
                            log.entries.push(entry.clone());
                            node.appended(at, entry, now, now);
                        }
                        0 => {}
                        delay_ms => log.delayed.push((now_ms + delay_ms, at.offset, entry)),
                    }
                }
            }
            let acting: Vec<u64> = (nodes.iter().zip(awake_at))
                .filter(|(_node, awake_at)| now_ms >= *awake_at)
                .filter_map(|(node, _awake_at)| node.token(now).map(Place::number))
                .collect();
            prop_assert!(acting.len() <= 1, "{acting:?} at {now_ms}");
            for token in acting {
                prop_assert!(token >= highest, "{token} after {highest} at {now_ms}");
                highest = token;
            }
        }
        prop_assert!(highest > 0 || log.end().offset > 0, "the lease was taken");
    }
}
