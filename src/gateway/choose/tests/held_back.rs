use super::*;
use crate::gateway::limits::throttle::StatedLimit;

/// Makes a plain upstream request a backoff.
fn request_backoff(table: &mut UpstreamTable, id: &str, backoff_ms: u64) -> UpstreamKey {
    let key = table.find(id).expect("upstream is in the table");
    let upstream = table.get_mut(key).expect("upstream is in the table");
    upstream.send_gate.backoff.record(backoff_ms, NOW);
    key
}

/// Guards against sending requests to upstreams during their backoff because the pool has no
/// others.
#[test]
fn pool_in_backoff_gets_no_request_until_the_first_backoff_ends() {
    let mut table = table(2);
    request_backoff(&mut table, "p0", 3_000);
    let soonest = request_backoff(&mut table, "p1", 2_000);
    let prefixes = Prefixes::default();
    // An upstream excluded from the request still counts, so that the caller does not wait for the
    // longer backoff of the other one.
    for excluded in [&[][..], &[soonest]] {
        let ask = ask("plain", None, excluded);
        assert_eq!(choose(&table, &prefixes, &ask, NOW), None);
        let expected = Some(Backpressure::Resting {
            remaining_ms: 2_000,
        });
        assert_eq!(backpressure(&table, &ask, NOW), expected);
    }
    let ask = ask("plain", None, &[]);
    let choice = choose(&table, &prefixes, &ask, NOW.after(2_000));
    assert_eq!(choice.map(|choice| choice.upstream), Some(soonest));
}

#[test]
fn pool_with_an_upstream_not_in_backoff_is_held_back_by_limits_only() {
    let mut table = table(3);
    request_backoff(&mut table, "p0", 3_000);
    let ask = ask("plain", None, &[]);
    assert_eq!(backpressure(&table, &ask, NOW), None);
    for id in ["p1", "p2"] {
        let key = table.find(id).expect("upstream is in the table");
        let upstream = table.get_mut(key).expect("upstream is in the table");
        let stated = StatedLimit::PerS(1.5);
        (upstream.send_gate.throttle).record_answer(stated, TimeMs(0), NOW);
    }
    let expected = Backpressure::Limited { limited_per_s: 3.0 };
    assert_eq!(backpressure(&table, &ask, NOW), Some(expected));
}
