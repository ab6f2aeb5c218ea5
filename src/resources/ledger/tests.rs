use proptest::prelude::*;

use super::*;

const KB: usize = 1024;

const SHARES: CallerShares = CallerShares {
    max_connections: 8,
    max_bytes: 1_024 * KB,
};

const LARGE_BYTES: usize = 100 * KB;

const DEADLINE: TimeMs = TimeMs(8_000);

fn open(ledger: &mut Ledger, now_ms: u64) -> EntryKey {
    let opened = ledger.open(SHARES, TimeMs(now_ms));
    opened.expect("there is room").0
}

/// A request that has been arriving since then.
fn arriving(ledger: &mut Ledger, since_ms: u64, bytes: usize) -> EntryKey {
    let key = ledger.begin(TimeMs(since_ms));
    let grown = ledger.grow(key, bytes, SHARES);
    assert_eq!(
        grown,
        Growth::Granted {
            leaving: Vec::new()
        }
    );
    key
}

/// Fills the part that large requests may take.
fn fill(ledger: &mut Ledger) -> Vec<EntryKey> {
    (0..8)
        .map(|place| arriving(ledger, place, LARGE_BYTES))
        .collect()
}

/// Guards against a crowd that stands still and shuts out ordinary callers.
#[test]
fn request_that_arrives_the_longest_goes_for_another() {
    let mut ledger = Ledger::default();
    let crowd = fill(&mut ledger);
    let late = ledger.begin(TimeMs(5_000));
    let grown = ledger.grow(late, LARGE_BYTES, SHARES);
    let leaving = vec![crowd[0]];
    assert_eq!(grown, Growth::Granted { leaving });
    assert!(ledger.is_leaving(crowd[0]));
    assert!(ledger.is_over(SHARES) || ledger.held().1 <= SHARES.max_bytes);
}

/// Guards against a request that keeps its place by sending a byte now and then.
#[test]
fn oldest_request_goes_when_it_grows_itself() {
    let mut ledger = Ledger::default();
    let crowd = fill(&mut ledger);
    let grown = ledger.grow(crowd[0], LARGE_BYTES, SHARES);
    assert_eq!(grown, Growth::Refused);
    assert!(ledger.is_leaving(crowd[0]));
}

/// Guards against an upstream's work being thrown away for a request that comes later.
#[test]
fn served_requests_stay_and_newcomers_are_refused() {
    let mut ledger = Ledger::default();
    for key in fill(&mut ledger) {
        ledger.serve(key, DEADLINE);
    }
    let late = ledger.begin(TimeMs(5_000));
    assert_eq!(ledger.grow(late, LARGE_BYTES, SHARES), Growth::Refused);
}

/// Guards against large requests that are served and leave no room for small ones.
#[test]
fn small_request_has_room_beside_large_ones_that_are_served() {
    let mut ledger = Ledger::default();
    for key in fill(&mut ledger) {
        ledger.serve(key, DEADLINE);
    }
    arriving(&mut ledger, 5_000, 16 * KB);
}

/// Guards against a bound that refuses the longest legal body in calm.
#[test]
fn single_large_request_may_exceed_the_shares() {
    let mut ledger = Ledger::default();
    arriving(&mut ledger, 0, 8 * KB);
    arriving(&mut ledger, 1, 3 * SHARES.max_bytes);
}

/// Guards against callers that connect and send nothing, and shut out others.
#[test]
fn slow_connection_goes_before_kept_ones() {
    let mut ledger = Ledger::default();
    let kept = open(&mut ledger, 0);
    ledger.keep(kept, TimeMs(1));
    let silent = open(&mut ledger, 2);
    for _place in 2..8 {
        let served = open(&mut ledger, 3);
        ledger.serve(served, DEADLINE);
    }
    let opened = ledger.open(SHARES, TimeMs(5_000));
    assert_eq!(opened.and_then(|(_key, victim)| victim), Some(silent));
}

/// Guards against new callers that go for connections that are merely kept.
#[test]
fn kept_connection_goes_before_one_whose_request_has_just_begun() {
    let mut ledger = Ledger::default();
    let begun = open(&mut ledger, 4_990);
    let kept = open(&mut ledger, 0);
    ledger.keep(kept, TimeMs(1));
    for _place in 2..8 {
        let served = open(&mut ledger, 3);
        ledger.serve(served, DEADLINE);
    }
    let opened = ledger.open(SHARES, TimeMs(5_000));
    assert_eq!(opened.and_then(|(_key, victim)| victim), Some(kept));
    assert!(!ledger.is_leaving(begun));
}

#[test]
fn connection_is_refused_while_all_others_are_served() {
    let mut ledger = Ledger::default();
    for _place in 0..8 {
        let served = open(&mut ledger, 0);
        ledger.serve(served, DEADLINE);
    }
    assert_eq!(ledger.open(SHARES, TimeMs(5_000)), None);
}

/// Guards against answers that callers do not read, which keep their connections for good.
#[test]
fn overdue_connection_goes_when_all_others_are_served() {
    let mut ledger = Ledger::default();
    let first = open(&mut ledger, 0);
    ledger.serve(first, TimeMs(4_000));
    for _place in 1..8 {
        let served = open(&mut ledger, 0);
        ledger.serve(served, DEADLINE);
    }
    let opened = ledger.open(SHARES, TimeMs(5_000));
    assert_eq!(opened.and_then(|(_key, victim)| victim), Some(first));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Open,
    Begin,
    Grow(usize, usize),
    Serve(usize),
    Keep(usize),
    Release(usize, usize),
    Close(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let place = 0..32_usize;
    prop_oneof![
        Just(Step::Open),
        Just(Step::Begin),
        (place.clone(), 1..LARGE_BYTES).prop_map(|(place, bytes)| Step::Grow(place, bytes)),
        place.clone().prop_map(Step::Serve),
        place.clone().prop_map(Step::Keep),
        (place.clone(), 1..LARGE_BYTES).prop_map(|(place, bytes)| Step::Release(place, bytes)),
        place.prop_map(Step::Close),
    ]
}

proptest! {
    /// Guards against sums that drift, and against shares that any order of events exceeds.
    #[test]
    fn any_order_of_events_stays_within_the_shares(steps in prop::collection::vec(step(), 1..400)) {
        let mut ledger = Ledger::default();
        let mut keys: Vec<EntryKey> = Vec::new();
        for (now_ms, step) in (0..).step_by(100).zip(steps) {
            let now = TimeMs(now_ms);
            let at = |place: usize| keys.get(place).copied();
            match step {
                Step::Open => keys.extend(ledger.open(SHARES, now).map(|(key, _victim)| key)),
                Step::Begin => keys.push(ledger.begin(now)),
                Step::Grow(place, bytes) => {
                    if let Some(key) = at(place) {
                        ledger.grow(key, bytes, SHARES);
                    }
                }
                Step::Serve(place) => if let Some(key) = at(place) { ledger.serve(key, DEADLINE) },
                Step::Keep(place) => if let Some(key) = at(place) { ledger.keep(key, now) },
                Step::Release(place, bytes) => if let Some(key) = at(place) { ledger.release(key, bytes) },
                Step::Close(place) => if place < keys.len() { ledger.close(keys.remove(place)) },
            }
            let stays = |entry: &&Entry| entry.standing != Standing::Leaving;
            let held: usize = ledger.entries.iter().filter(stays).map(|entry| entry.bytes).sum();
            let leaving: usize = ledger.entries.iter().map(|entry| entry.bytes).sum::<usize>() - held;
            prop_assert_eq!(held, ledger.held_bytes);
            prop_assert_eq!(leaving, ledger.leaving_bytes);
            let largest = ledger.entries.iter().map(|entry| entry.bytes).max().unwrap_or(0);
            prop_assert!(held <= SHARES.max_bytes + largest);
            let connections = ledger.entries.iter().filter(stays).filter(|entry| entry.is_connection);
            prop_assert!(connections.count() <= SHARES.max_connections);
            prop_assert!(ledger.held().0 <= SHARES.max_connections + SHARES.max_connections / CLOSING_DIVISOR);
        }
    }
}
