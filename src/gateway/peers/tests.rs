use super::*;
use crate::gateway::lease::Holder;
use crate::gateway::messages::Message;

pub(in crate::gateway) fn member(name: &str, incarnation: u64) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
    Member {
        name: name.to_owned(),
        incarnation,
        gossip_address: address,
        caller_address: address,
        failure_domain: "d".to_owned(),
        capacity_per_s: 80.0,
    }
}

pub(in crate::gateway) fn heartbeat(name: &str, time_of_day_ms: u64) -> Heartbeat {
    Heartbeat {
        member: member(name, 5),
        introduced: None,
        status: Status {
            incarnation: 5,
            sequence: 1,
            is_ready: true,
            store: StoreAvailability::Answering,
            configuration_version: 1,
            ..Status::default()
        },
        era: 0,
        era_age_ms: 0,
        time_of_day_ms,
        interval_ms: 200,
        usage: Vec::new(),
        paces: Vec::new(),
        demand: Vec::new(),
        speeds: Vec::new(),
    }
}

#[test]
fn peer_is_live_until_its_silence_timeout() {
    let mut peers = Peers::new(member("b", 1));
    peers.add_member(member("c", 5), TimeMs(900));
    assert_eq!(
        peers.live(TimeMs(1_000)).count(),
        0,
        "the peer is known but has sent no heartbeat"
    );
    peers.record_heartbeat(&heartbeat("c", 0), TimeMs(1_000));
    assert_eq!(peers.live(TimeMs(1_999)).count(), 1);
    assert_eq!(peers.live(TimeMs(2_000)).count(), 0);
    peers.remove_expired(TimeMs(1_000 + PEER_EXPIRY_MS));
    assert_eq!(peers.iter().count(), 0);
}

/// Guards against teams that are refused far below their limits and against all nodes reading the
/// store where one should: 87 nodes send heartbeats a second apart, and a silence timeout that does
/// not follow the heartbeat interval suspects each peer just before its next heartbeat arrives.
#[test]
fn peer_with_a_long_heartbeat_interval_stays_live_between_heartbeats() {
    let mut peers = Peers::new(member("b", 1));
    let mut rare = heartbeat("a", 0);
    rare.interval_ms = 1_030;
    peers.record_heartbeat(&rare, TimeMs(1_000));
    assert_eq!(peers.live(TimeMs(2_100)).count(), 1);
    assert_eq!(peers.live(TimeMs(4_200)).count(), 0);
}

/// Guards against partitioned nodes that each admit the whole of a limit: a peer that falls silent
/// and is removed at once would be assumed to admit nothing.
#[test]
fn silent_peer_counts_as_known_until_it_expires() {
    let mut peers = Peers::new(member("b", 1));
    peers.record_heartbeat(&heartbeat("a", 0), TimeMs(1_000));
    peers.record_heartbeat(&heartbeat("c", 0), TimeMs(5_000));
    let audience = peers.visibility(TimeMs(5_100));
    assert_eq!((audience.known, audience.heard), (3, 2));
}

#[test]
fn first_node_by_name_that_reaches_the_store_is_elected() {
    let mut peers = Peers::new(member("b", 1));
    assert!(peers.is_elected(true, TimeMs(1_000)));
    assert!(!peers.is_elected(false, TimeMs(1_000)));
    peers.record_heartbeat(&heartbeat("a", 0), TimeMs(1_000));
    assert!(!peers.is_elected(true, TimeMs(1_100)));
    let mut partitioned = heartbeat("a", 0);
    partitioned.status.store = StoreAvailability::Failing;
    peers.record_heartbeat(&partitioned, TimeMs(1_200));
    assert!(peers.is_elected(true, TimeMs(1_300)));
}

/// Guards against usage that is reported for the wrong window: the time of day of the reporting host
/// jumps ahead by 2.4 s and back after 6 s, and must not be taken for the true time.
#[test]
fn clock_jump_of_one_host_does_not_move_the_agreed_time() {
    let mut peers = Peers::new(member("b", 1));
    for name in ["a", "c", "d"] {
        peers.record_heartbeat(&heartbeat(name, 1_000_000), TimeMs(1_000));
    }
    let agreed = peers.agreed_time_of_day(TimeMs(1_002_500), TimeMs(1_100));
    assert_eq!(agreed, TimeMs(1_000_100));
}

#[test]
fn single_node_uses_its_own_time_of_day() {
    let peers = Peers::new(member("b", 1));
    assert_eq!(
        peers.agreed_time_of_day(TimeMs(77_000), TimeMs(5)),
        TimeMs(77_000)
    );
}

#[test]
fn restarted_peer_replaces_its_former_incarnation() {
    let mut peers = Peers::new(member("b", 1));
    peers.record_heartbeat(&heartbeat("a", 0), TimeMs(1_000));
    let mut restarted = heartbeat("a", 0);
    restarted.member.incarnation = 6;
    peers.record_heartbeat(&restarted, TimeMs(1_500));
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
    /// Decoding an arbitrary datagram never panics.
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in proptest::collection::vec(proptest::num::u8::ANY, 0..400)) {
        let config = bincode::config::standard().with_limit::<65_000>();
        let _decoded = bincode::decode_from_slice::<Message, _>(&bytes, config);
    }
}

/// Guards against a node that claims the whole shared repeat budget just after its start, when it
/// knows its peers but has received no heartbeat of them, or the share of a stopping peer, which
/// still spends it.
#[test]
fn known_peers_without_heartbeats_count_in_shared_budgets() {
    let mut peers = Peers::new(member("a", 1));
    for name in ["b", "c", "d"] {
        peers.add_member(member(name, 5), TimeMs(900));
    }
    assert_eq!(peers.visibility(TimeMs(1_000)).known, 1);
    assert_eq!(peers.known_nodes(), 4);
    let mut stopping = heartbeat("b", 0);
    stopping.status.is_stopping = true;
    peers.record_heartbeat(&stopping, TimeMs(1_000));
    assert_eq!(peers.known_nodes(), 4);
}

fn reaching_heartbeat(name: &str, incarnation: u64, unreached: &[u64]) -> Heartbeat {
    let mut heartbeat = heartbeat(name, 0);
    heartbeat.member.incarnation = incarnation;
    heartbeat.status.incarnation = incarnation;
    heartbeat.status.unreached = unreached.to_vec();
    heartbeat
}

/// Guards against a request that is handed to a node which does not reach its pool either, is not
/// ready, or was asked before.
#[test]
fn request_is_forwarded_only_to_ready_peers_that_reach_its_pool() {
    const POOL: u64 = 7;
    let mut peers = Peers::new(member("a", 1));
    let now = TimeMs(1_000);
    let target = |peers: &Peers, tried: &[u64]| {
        let target = peers.forward_target(POOL, tried, 0.5, now);
        target.map(|target| target.name)
    };
    assert_eq!(target(&peers, &[]), None);
    let mut unready = reaching_heartbeat("b", 2, &[]);
    unready.status.is_ready = false;
    peers.record_heartbeat(&unready, now);
    peers.record_heartbeat(&reaching_heartbeat("c", 3, &[POOL]), now);
    assert_eq!(target(&peers, &[]), None);
    peers.record_heartbeat(&reaching_heartbeat("d", 4, &[POOL + 1]), now);
    assert_eq!(target(&peers, &[]).as_deref(), Some("d"));
    assert_eq!(target(&peers, &[4]), None);
}

/// Guards against a late report that a peer reaches a pool again, or does not.
#[test]
fn older_report_of_unreached_pools_is_ignored() {
    const POOL: u64 = 7;
    let mut peers = Peers::new(member("a", 1));
    let now = TimeMs(1_000);
    let mut heartbeat = reaching_heartbeat("b", 2, &[]);
    heartbeat.status.sequence = 9;
    peers.record_heartbeat(&heartbeat, now);
    let report = |sequence| UnreachedPools {
        incarnation: heartbeat.status.incarnation,
        sequence,
        pools: vec![POOL],
    };
    peers.record_unreached(&report(8));
    assert!(peers.forward_target(POOL, &[], 0.5, now).is_some());
    peers.record_unreached(&report(10));
    assert!(peers.forward_target(POOL, &[], 0.5, now).is_none());
}

/// Guards against a restarted speaker of a group that the other groups do not get to know, since only it reports on
/// its group.
#[test]
fn node_that_is_asked_for_its_own_record_names_it() {
    let own = member("a", 7);
    let mut peers = Peers::new(own.clone());
    peers.add_member(member("b", 8), TimeMs(0));
    assert_eq!(peers.members(&[7, 8, 9]), [member("b", 8), own]);
}

#[test]
fn group_of_a_node_holds_its_mates_and_itself() {
    let mut peers = Peers::new(member("own", 100));
    for incarnation in 0..40 {
        let mut peer = member(&format!("n{incarnation}"), incarnation);
        if incarnation >= 20 {
            "e".clone_into(&mut peer.failure_domain);
        }
        peers.add_member(peer, TimeMs(1));
    }
    let own: Vec<u64> = (0..20).chain([100]).collect();
    let other: Vec<u64> = (20..40).collect();
    assert_eq!(peers.group_of(100), Some(own.clone()));
    assert_eq!(peers.group_of(3), Some(own));
    assert_eq!(peers.group_of(33), Some(other));
    assert_eq!(peers.group_of(77), None);
}
