use super::*;

/// Hosts that operators name, and far smaller and larger ones.
const HOSTS_MB_AND_DESCRIPTORS: [(usize, usize); 6] = [
    (16, 100),
    (64, 500),
    (120, 3_075),
    (260, 4_100),
    (1_024, 16_384),
    (65_536, 1_000_000),
];

fn host(memory_mb: usize, max_descriptors: usize) -> HostLimits {
    HostLimits {
        memory_bytes: memory_mb * 1024 * 1024,
        max_descriptors,
    }
}

/// Guards against callers that leave the node too few descriptors for its own connections.
#[test]
fn served_callers_and_endpoints_leave_a_socket_for_each_request() {
    for (memory_mb, max_descriptors) in HOSTS_MB_AND_DESCRIPTORS.into_iter().skip(1) {
        let host = host(memory_mb, max_descriptors);
        let callers = host.callers().max_connections;
        let closing = callers / 4;
        let endpoints = 3 * host.endpoint().max_connections;
        let sockets = max_descriptors - FILE_DESCRIPTORS;
        assert!(2 * callers + closing + endpoints <= sockets, "{host:?}");
    }
}

/// Guards against shares that together exceed a small part of the memory.
#[test]
fn callers_hold_less_than_a_third_of_the_memory() {
    for (memory_mb, max_descriptors) in HOSTS_MB_AND_DESCRIPTORS.into_iter().skip(1) {
        let host = host(memory_mb, max_descriptors);
        let callers = host.callers();
        let connections_bytes = callers.max_connections * CONNECTION_BYTES;
        assert!(
            3 * (callers.max_bytes + connections_bytes) <= host.memory_bytes,
            "{host:?}: {callers:?}"
        );
    }
}

#[test]
fn host_without_limits_worth_the_name_still_accepts_connections() {
    let callers = host(0, 0).callers();
    assert_eq!(callers.max_connections, MIN_CONNECTIONS);
    assert_eq!(host(0, 0).endpoint().max_connections, MIN_CONNECTIONS);
}
