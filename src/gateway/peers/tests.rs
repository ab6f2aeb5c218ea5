use super::*;

pub(in crate::gateway) fn member(name: &str, incarnation: u64) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
    Member {
        name: name.to_owned(),
        incarnation,
        gossip: address,
        callers: address,
        failure_domain: "d".to_owned(),
        capacity_per_s: 80.0,
    }
}

pub(in crate::gateway) fn pulse(name: &str, time_of_day_ms: u64) -> Pulse {
    Pulse {
        member: member(name, 5),
        also: None,
        is_ready: true,
        is_stopping: false,
        store: StoreReach::Answering,
        era: 0,
        era_age_ms: 0,
        configuration_version: 1,
        time_of_day_ms,
        interval_ms: 200,
        loads: Vec::new(),
        usage: Vec::new(),
        admitted: Vec::new(),
        paces: Vec::new(),
        demand: Vec::new(),
        lease: None,
        observed: Vec::new(),
        decided: Vec::new(),
        strikes: Vec::new(),
        limits: Vec::new(),
        leaving: Vec::new(),
    }
}

#[test]
fn a_peer_is_heard_until_it_has_been_silent() {
    let mut peers = Peers::new(member("b", 1));
    peers.introduce(member("c", 5), TimeMs(900));
    assert_eq!(
        peers.heard(TimeMs(1_000)).count(),
        0,
        "it has only been told of"
    );
    peers.note_pulse(&pulse("c", 0), TimeMs(1_000));
    assert_eq!(peers.heard(TimeMs(1_999)).count(), 1);
    assert_eq!(peers.heard(TimeMs(2_000)).count(), 0);
    peers.forget(TimeMs(1_000 + FORGET_MS));
    assert_eq!(peers.iter().count(), 0);
}

/// Symptom: teams are refused far below their limits, and all nodes read what one should read.
/// Sequence: 87 nodes send pulses a second apart; each takes the others for away just before the
/// next pulse comes.
/// Cause: the time after which a peer is away did not follow the time between pulses.
#[test]
fn a_peer_whose_pulses_are_rare_is_heard_between_them() {
    let mut peers = Peers::new(member("b", 1));
    let mut rare = pulse("a", 0);
    rare.interval_ms = 1_030;
    peers.note_pulse(&rare, TimeMs(1_000));
    assert_eq!(peers.heard(TimeMs(2_100)).count(), 1);
    assert_eq!(peers.heard(TimeMs(4_200)).count(), 0);
}

/// Symptom: nodes that are cut off from each other admit the whole of a limit each.
/// Sequence: a peer falls silent; it is forgotten at once.
/// Cause: a silent peer was taken to admit nothing.
#[test]
fn a_silent_peer_still_counts_for_a_while() {
    let mut peers = Peers::new(member("b", 1));
    peers.note_pulse(&pulse("a", 0), TimeMs(1_000));
    peers.note_pulse(&pulse("c", 0), TimeMs(5_000));
    let audience = peers.audience(TimeMs(5_100));
    assert_eq!((audience.known, audience.heard), (3, 2));
}

#[test]
fn the_first_node_by_name_that_reaches_the_store_reads_for_all() {
    let mut peers = Peers::new(member("b", 1));
    assert!(peers.is_first(true, TimeMs(1_000)));
    assert!(!peers.is_first(false, TimeMs(1_000)));
    peers.note_pulse(&pulse("a", 0), TimeMs(1_000));
    assert!(!peers.is_first(true, TimeMs(1_100)));
    let mut cut = pulse("a", 0);
    cut.store = StoreReach::Failing;
    peers.note_pulse(&cut, TimeMs(1_200));
    assert!(peers.is_first(true, TimeMs(1_300)));
}

/// Symptom: usage is reported for the wrong window.
/// Sequence: the time of day of the reporting host jumps ahead by 2.4 s, and back after 6 s.
/// Cause: a host's own time of day was taken for the true time.
#[test]
fn a_jump_of_few_hosts_does_not_move_the_agreed_time() {
    let mut peers = Peers::new(member("b", 1));
    for name in ["a", "c", "d"] {
        peers.note_pulse(&pulse(name, 1_000_000), TimeMs(1_000));
    }
    let agreed = peers.agreed_time_of_day(TimeMs(1_002_500), TimeMs(1_100));
    assert_eq!(agreed, TimeMs(1_000_100));
}

#[test]
fn a_node_that_is_alone_goes_by_its_own_time_of_day() {
    let peers = Peers::new(member("b", 1));
    assert_eq!(
        peers.agreed_time_of_day(TimeMs(77_000), TimeMs(5)),
        TimeMs(77_000)
    );
}

#[test]
fn a_restarted_peer_replaces_its_former_run() {
    let mut peers = Peers::new(member("b", 1));
    peers.note_pulse(&pulse("a", 0), TimeMs(1_000));
    let mut again = pulse("a", 0);
    again.member.incarnation = 6;
    peers.note_pulse(&again, TimeMs(1_500));
    let holder = |incarnation| Holder {
        era: 0,
        node: "a".to_owned(),
        incarnation,
    };
    assert!(!peers.is_alive(&holder(5), TimeMs(1_600)));
    assert!(peers.is_alive(&holder(6), TimeMs(1_600)));
    assert_eq!(peers.iter().count(), 1);
}

proptest::proptest! {
    /// No datagram, however made, does more than fail to decode.
    #[test]
    fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(proptest::num::u8::ANY, 0..400)) {
        let config = bincode::config::standard().with_limit::<65_000>();
        let _read = bincode::decode_from_slice::<Message, _>(&bytes, config);
    }
}

/// Each node that has just started takes the whole of the budget for repeats that all share.
#[test]
fn peers_that_have_only_been_told_of_share_what_all_share() {
    let mut peers = Peers::new(member("a", 1));
    for name in ["b", "c", "d"] {
        peers.introduce(member(name, 5), TimeMs(900));
    }
    assert_eq!(peers.audience(TimeMs(1_000)).known, 1);
    assert_eq!(peers.told_of(), 4);
    let mut ending = pulse("b", 0);
    ending.is_stopping = true;
    peers.note_pulse(&ending, TimeMs(1_000));
    assert_eq!(peers.told_of(), 3);
}
