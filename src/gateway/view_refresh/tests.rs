use super::*;

const START: ViewState = ViewState {
    age_ms: None,
    is_reader: false,
    rank: 0,
    rank_among_known: None,
    failed_ms: None,
    running_ms: 0,
    is_behind: false,
    last_page_ms: None,
};

fn at_start(rank: usize, running_ms: u64) -> Step {
    next_step(&ViewState {
        rank,
        rank_among_known: Some(rank),
        running_ms,
        ..START
    })
}

fn with_age(rank: usize, age_ms: u64) -> Step {
    next_step(&ViewState {
        age_ms: Some(age_ms),
        rank,
        running_ms: 60_000,
        ..START
    })
}

/// Guards against nothing being served for thirty seconds after 300 nodes were killed at once. If
/// each starting node reads the announcements of 3,000 upstreams itself, and the store's readers
/// share 80 MB a second, each call exceeds its timeout and starts over.
#[test]
fn simultaneous_start_is_read_by_a_few_nodes_of_each_domain() {
    let reads = |running_ms| {
        let places = 0..75;
        places
            .filter(|place| at_start(*place, running_ms) == Step::ReadStore)
            .count()
    };
    assert_eq!(reads(100), START_READERS);
    assert_eq!(reads(2_400), START_READERS);
}

#[test]
fn start_without_help_ends_in_a_read() {
    assert_eq!(at_start(10, 2_400), Step::AskPeer);
    assert_eq!(at_start(10, 4_000), Step::ReadStore);
    let alone = |running_ms| {
        next_step(&ViewState {
            running_ms,
            ..START
        })
    };
    assert_eq!(alone(200), Step::AskPeer, "peers may exist");
    assert_eq!(alone(NO_PEERS_UPTIME_MS), Step::ReadStore);
}

#[test]
fn node_receiving_pages_does_not_read_the_store() {
    let receiving_pages = ViewState {
        rank_among_known: Some(10),
        running_ms: 9_000,
        last_page_ms: Some(300),
        ..START
    };
    assert_eq!(next_step(&receiving_pages), Step::AskPeer);
    let stalled = ViewState {
        last_page_ms: Some(PAGE_TIMEOUT_MS),
        ..receiving_pages
    };
    assert_eq!(next_step(&stalled), Step::ReadStore);
}

#[test]
fn only_the_reader_reads_at_its_interval() {
    let reader = ViewState {
        age_ms: Some(READER_INTERVAL_MS),
        is_reader: true,
        running_ms: 60_000,
        ..START
    };
    assert_eq!(next_step(&reader), Step::ReadStore);
    assert_eq!(with_age(1, READER_INTERVAL_MS), Step::Nothing);
    assert_eq!(with_age(1, ASK_PEER_AGE_MS), Step::AskPeer);
}

/// Guards against overload of the store after each of its outages. No view is refreshed during the
/// outage; if the delay of all nodes ends at the same moment, all of them read at once and no read
/// completes in time.
#[test]
fn few_nodes_read_when_the_reader_fails() {
    let due = |age_ms: u64| {
        let places = 0..75;
        places
            .filter(|place| with_age(*place, age_ms) == Step::ReadStore)
            .count()
    };
    assert_eq!(due(SELF_READ_AGE_MS), 1);
    assert_eq!(due(1_500), STANDBY_READERS);
    assert!(due(2_300) <= 30);
}

/// Guards against a node routing to a drained upstream: the announcement must be known within 2 s
/// on few nodes and within 3 s on many, also on a node that is partitioned from all others.
#[test]
fn view_age_stays_within_the_shortest_bound() {
    assert!((0..3).all(|place| max_view_age_ms(place) <= 1_500));
    assert!((0..250).all(|place| max_view_age_ms(place) <= 2_800));
}

#[test]
fn node_that_is_behind_asks_peers_and_spares_a_failing_store() {
    let behind = ViewState {
        age_ms: Some(100),
        rank: 3,
        running_ms: 60_000,
        is_behind: true,
        ..START
    };
    assert_eq!(next_step(&behind), Step::AskPeer);
    let failing = ViewState {
        age_ms: Some(5_000),
        failed_ms: Some(100),
        ..behind
    };
    assert_eq!(next_step(&failing), Step::AskPeer);
}
