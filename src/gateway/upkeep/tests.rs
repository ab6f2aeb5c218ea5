use super::*;

const START: Standing = Standing {
    age_ms: None,
    is_reader: false,
    place: 0,
    place_among_known: None,
    failed_ms: None,
    running_ms: 0,
    is_behind: false,
    page_ms: None,
};

fn at_start(place: usize, running_ms: u64) -> Step {
    next_step(&Standing {
        place,
        place_among_known: Some(place),
        running_ms,
        ..START
    })
}

fn with_age(place: usize, age_ms: u64) -> Step {
    next_step(&Standing {
        age_ms: Some(age_ms),
        place,
        running_ms: 60_000,
        ..START
    })
}

/// Symptom: nothing is served for thirty seconds after 300 nodes were killed at once.
/// Sequence: all start and read the announcements of 3,000 upstreams from a store whose readers share
/// 80 MB a second; each call takes longer than a node waits, and begins anew.
/// Cause: each node read everything by itself.
#[test]
fn at_a_start_of_all_a_few_nodes_of_each_domain_read_everything() {
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
fn a_start_without_help_ends_all_the_same() {
    assert_eq!(at_start(10, 2_400), Step::AskPeer);
    assert_eq!(at_start(10, 4_000), Step::ReadStore);
    let alone = |running_ms| {
        next_step(&Standing {
            running_ms,
            ..START
        })
    };
    assert_eq!(alone(200), Step::AskPeer, "others may be there");
    assert_eq!(alone(ALONE_MS), Step::ReadStore);
}

#[test]
fn a_node_that_is_being_helped_leaves_the_store_alone() {
    let helped = Standing {
        place_among_known: Some(10),
        running_ms: 9_000,
        page_ms: Some(300),
        ..START
    };
    assert_eq!(next_step(&helped), Step::AskPeer);
    let left = Standing {
        page_ms: Some(PAGE_PATIENCE_MS),
        ..helped
    };
    assert_eq!(next_step(&left), Step::ReadStore);
}

#[test]
fn one_node_reads_for_all_and_the_others_wait_for_it() {
    let reader = Standing {
        age_ms: Some(READER_INTERVAL_MS),
        is_reader: true,
        running_ms: 60_000,
        ..START
    };
    assert_eq!(next_step(&reader), Step::ReadStore);
    assert_eq!(with_age(1, READER_INTERVAL_MS), Step::Nothing);
    assert_eq!(with_age(1, ASK_AGE_MS), Step::AskPeer);
}

/// Symptom: after each outage of the store all nodes read for themselves, and it answers none in time.
/// Sequence: no view gets younger while the store is away; all nodes are due when it is back.
/// Cause: the wait of nodes ended at the same moment, however many there were.
#[test]
fn few_nodes_read_when_the_reader_falls_silent() {
    let due = |age_ms: u64| {
        let places = 0..75;
        places
            .filter(|place| with_age(*place, age_ms) == Step::ReadStore)
            .count()
    };
    assert_eq!(due(SILENT_READER_MS), 1);
    assert_eq!(due(1_500), NEXT_READERS);
    assert!(due(2_300) <= 30);
}

/// News of an upstream that leaves must be known within 2 s by few nodes, within 3 s by many, also
/// where a node is cut off from all others.
#[test]
fn no_view_becomes_older_than_the_shortest_bound() {
    assert!((0..3).all(|place| patience_ms(place) <= 1_500));
    assert!((0..250).all(|place| patience_ms(place) <= 2_800));
}

#[test]
fn a_node_that_missed_news_asks_at_once_and_leaves_a_failing_store_alone() {
    let behind = Standing {
        age_ms: Some(100),
        place: 3,
        running_ms: 60_000,
        is_behind: true,
        ..START
    };
    assert_eq!(next_step(&behind), Step::AskPeer);
    let failing = Standing {
        age_ms: Some(5_000),
        failed_ms: Some(100),
        ..behind
    };
    assert_eq!(next_step(&failing), Step::AskPeer);
}
