use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use super::*;
use crate::gateway::messages::Member;
use crate::gateway::num;
use crate::gateway::peers::tests::{heartbeat, member};

const STARTED: TimeMs = TimeMs(1_000_000);

/// Long enough after the loss of nodes that the others know of it.
const NOTICED_MS: u64 = 10_000;

fn member_of(number: usize, domains: usize) -> Member {
    let number_u8 = |part: usize| u8::try_from(part % 250).expect("it is below 250");
    let ip = [10, 0, number_u8(number / 250), number_u8(number)];
    Member {
        incarnation: number as u64 + 1,
        gossip_address: SocketAddr::from((ip, 7_600)),
        failure_domain: format!("domain-{}", number % domains),
        ..member(&format!("node-{number}"), 0)
    }
}

fn hear(peers: &mut Peers, member: Member, now: TimeMs) {
    let mut heard = heartbeat("", 0);
    heard.status.incarnation = member.incarnation;
    heard.member = member;
    peers.record_heartbeat(&heard, now);
}

/// Returns the peers as the node `own` of a fleet hears them: all at the start, and those in `alive` later.
fn peers_of(own: usize, nodes: usize, domains: usize, alive: &[usize], later: TimeMs) -> Peers {
    let mut peers = Peers::new(member_of(own, domains));
    for number in (0..nodes).filter(|number| *number != own) {
        hear(&mut peers, member_of(number, domains), STARTED);
    }
    for number in alive.iter().filter(|number| **number != own) {
        hear(&mut peers, member_of(*number, domains), later);
    }
    peers
}

/// Guards against a node that does not ask the peers at which another node records a stream.
#[test]
fn every_node_asks_the_peers_that_hold_a_start() {
    for (nodes, domains) in [
        (2, 1),
        (9, 1),
        (9, 4),
        (60, 2),
        (60, 4),
        (195, 6),
        (195, 65),
    ] {
        let [origin, taker] = [0, nodes - 1].map(|own| peers_of(own, nodes, domains, &[], STARTED));
        let own_address = taker.own().gossip_address;
        for number in 0..50 {
            let key = StreamKey::of(&number.to_string());
            let asked = asked(&taker, key, STARTED);
            let holders = holders(&origin, key, STARTED);
            assert_eq!(holders.len(), HOLDERS.min(nodes - 1));
            let mut unasked = (holders.iter())
                .filter(|holder| **holder != own_address && !asked.contains(holder));
            assert_eq!(unasked.next(), None, "{nodes} nodes, {domains} domains");
        }
    }
}

#[test]
fn starts_are_held_in_other_failure_domains() {
    let peers = peers_of(0, 12, 4, &[], STARTED);
    let neighbours: Vec<SocketAddr> = peers.same_domain_addresses(STARTED);
    for number in 0..50 {
        let holders = holders(&peers, StreamKey::of(&number.to_string()), STARTED);
        assert!(holders.iter().all(|holder| !neighbours.contains(holder)));
    }
}

/// Returns the share of the streams of a lost node that a surviving one finds, after half of all nodes were lost.
fn share_found(nodes: usize, domains: usize, seed: u64) -> f64 {
    const LOSSES: usize = 12;
    const STREAMS: usize = 50;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut found = 0_u32;
    for _loss in 0..LOSSES {
        let mut numbers: Vec<usize> = (0..nodes).collect();
        numbers.shuffle(&mut rng);
        let (lost, alive) = numbers.split_at(nodes / 2);
        let origin = peers_of(lost[0], nodes, domains, &[], STARTED);
        let now = STARTED.after(NOTICED_MS);
        let taker = peers_of(alive[0], nodes, domains, alive, now);
        let is_alive = |address: &SocketAddr| {
            let mut members = alive.iter().map(|number| member_of(*number, domains));
            members.any(|member| member.gossip_address == *address)
        };
        for _stream in 0..STREAMS {
            let key = StreamKey::of(&rng.random::<u64>().to_string());
            let holders = holders(&origin, key, STARTED);
            let asked = asked(&taker, key, now);
            let mut knowing = holders.iter().filter(|holder| is_alive(holder));
            let own_address = taker.own().gossip_address;
            found += u32::from(knowing.any(|one| asked.contains(one) || *one == own_address));
        }
    }
    f64::from(found) / num::to_f64((LOSSES * STREAMS) as u64)
}

/// Guards against streams that nobody knows any more after half of the nodes were lost; callers take up at least half of
/// those that go on, so far fewer may be unknown.
#[test]
fn most_streams_of_lost_nodes_are_found_after_the_loss_of_half_of_the_nodes() {
    for (nodes, domains) in [(9, 4), (60, 4), (195, 6), (985, 8)] {
        let share = share_found(nodes, domains, 51);
        println!("{nodes} nodes: {share}");
        assert!(share > 0.75, "{nodes} nodes: {share}");
    }
}

#[test]
fn node_that_has_heard_nobody_asks_those_that_it_knows() {
    let mut peers = Peers::new(member_of(0, 2));
    for number in 1..4 {
        peers.add_member(member_of(number, 2), STARTED);
    }
    let key = StreamKey::of("1");
    assert_eq!(asked(&peers, key, STARTED).len(), 3);
    assert_eq!(holders(&peers, key, STARTED), Vec::new());
}

/// Guards against one call to the store a node when many nodes have streams taken up at once.
#[test]
fn few_nodes_read_the_announcements_for_all() {
    for (nodes, domains) in [(1, 1), (2, 1), (9, 4), (60, 4), (985, 8)] {
        let mut readers: Vec<SocketAddr> = (0..nodes.min(60))
            .flat_map(|own| confirmers(&peers_of(own, nodes, domains, &[], STARTED), STARTED))
            .collect();
        readers.sort_unstable();
        readers.dedup();
        assert!(
            readers.len() <= 2 * domains,
            "{nodes} nodes: {}",
            readers.len()
        );
        assert_eq!(readers.is_empty(), nodes == 1);
    }
}
