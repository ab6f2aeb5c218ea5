use super::*;

fn candidate(port: u16, is_in_caller_domain: bool, capacity_per_s: f64) -> Candidate {
    Candidate {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        is_in_caller_domain,
        reaches_all_pools: true,
        capacity_per_s,
    }
}

/// Returns evenly spread numbers from 0 to 1.
fn draws() -> impl FnMut() -> f64 {
    let mut at = 0.0;
    move || {
        at = (at + 0.618_033_988_75_f64) % 1.0;
        at
    }
}

/// Guards against requests that are late, or that continue after their callers have left, because
/// hosts with a fortieth of the others' capacity get as many requests as the others.
#[test]
fn weak_node_is_returned_less_often() {
    let mut candidates: Vec<Candidate> = (0..8).map(|port| candidate(port, true, 160.0)).collect();
    candidates.push(candidate(8, true, 40.0));
    let mut draw = draws();
    let mut weak = 0;
    let mut strong = 0;
    for _ in 0..1_000 {
        let returned = addresses(&candidates, 64, &mut draw);
        weak += returned
            .iter()
            .filter(|address| address.port() == 8)
            .count();
        strong += returned
            .iter()
            .filter(|address| address.port() == 1)
            .count();
    }
    assert_eq!(strong, 1_000);
    assert!((200..=300).contains(&weak), "{weak} of 1,000");
}

#[test]
fn equal_nodes_are_all_returned() {
    let candidates: Vec<Candidate> = (0..9).map(|port| candidate(port, true, 83.3)).collect();
    assert_eq!(addresses(&candidates, 64, draws()).len(), 9);
    assert_eq!(addresses(&candidates, 4, draws()).len(), 4);
}

#[test]
fn other_domains_are_used_if_the_own_domain_has_few_nodes() {
    let near = [candidate(1, true, 83.3), candidate(2, true, 83.3)];
    let far = [candidate(3, false, 83.3), candidate(4, false, 83.3)];
    let all = [near, far].concat();
    assert_eq!(addresses(&all, 64, draws()).len(), 4);
    let mut with_third = all.clone();
    with_third.push(candidate(5, true, 83.3));
    let returned = addresses(&with_third, 64, draws());
    assert!(
        returned
            .iter()
            .all(|address| [1, 2, 5].contains(&address.port())),
        "{returned:?}"
    );
}

#[test]
fn minimum_number_of_nodes_is_always_returned() {
    let candidates = [candidate(1, true, 1.0), candidate(2, true, 1_000.0)];
    assert_eq!(addresses(&candidates, 64, || 0.99).len(), 2);
    assert_eq!(addresses(&[], 64, || 0.5), []);
}

/// Guards against callers that go on connecting to nodes that reach no upstream, and against a
/// directory that is empty when the upstreams themselves are gone.
#[test]
fn nodes_that_do_not_reach_a_pool_are_left_out_unless_no_node_reaches_all() {
    let mut candidates: Vec<Candidate> = (0..6).map(|port| candidate(port, true, 160.0)).collect();
    for candidate in &mut candidates[..4] {
        candidate.reaches_all_pools = false;
    }
    let ports = |candidates: &[Candidate]| {
        let mut ports: Vec<u16> = (addresses(candidates, 64, draws()).iter())
            .map(SocketAddr::port)
            .collect();
        ports.sort_unstable();
        ports
    };
    assert_eq!(ports(&candidates), [4, 5]);
    for candidate in &mut candidates {
        candidate.reaches_all_pools = false;
    }
    assert_eq!(ports(&candidates), [0, 1, 2, 3, 4, 5]);
}

/// Guards against a failure domain whose nodes all lost their links and are still its callers' only
/// addresses.
#[test]
fn callers_of_a_domain_without_reach_get_nodes_of_other_domains() {
    let mut candidates: Vec<Candidate> = (0..8)
        .map(|port| candidate(port, port < 4, 160.0))
        .collect();
    for candidate in &mut candidates[..4] {
        candidate.reaches_all_pools = false;
    }
    let returned = addresses(&candidates, 64, draws());
    assert_eq!(returned.len(), 4);
    assert!(returned.iter().all(|address| address.port() >= 4));
}
