//! Tests of a connection's use in the moment in which it is taken out of service.

use super::*;

/// Guards against a request on a connection that is closed as it is sent: the pool returned the connection before it was retired.
#[test]
fn retired_connection_takes_no_request_of_a_caller_that_found_it_in_service() {
    let liveness = Liveness::new();
    assert!(liveness.takes_requests());
    let open_stream = liveness.acquire_for_request().expect("it is in service");
    liveness.retire();
    assert!(liveness.acquire_for_request().is_none());
    assert_eq!(liveness.uses(), 1, "the open stream keeps the connection");
    drop(open_stream);
    assert_eq!(liveness.uses(), 0);
}
