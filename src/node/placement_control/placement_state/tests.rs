use super::{PlacementState, REPORT_TTL_MS};
use crate::keys::HostKey;
use crate::node::messages::PlacementReport;
use crate::time::TimeMs;

const HOST: HostKey = HostKey(7);
const START: TimeMs = TimeMs(1_000);

fn report(fencing: u64, is_draining: bool) -> PlacementReport {
    PlacementReport {
        domain: "hala-a".to_owned(),
        fencing,
        draining: if is_draining {
            vec![(HOST, START)]
        } else {
            Vec::new()
        },
        refusals: Vec::new(),
    }
}

// A holder that was paused sends its outdated report after its successor has drained the host.
// Applied in order of arrival, it would give the host requests while it is given back.
#[test]
fn report_of_an_earlier_holder_is_ignored() {
    let mut state = PlacementState::default();
    assert_eq!(state.apply(&report(9, true), START), Some(Vec::new()));
    assert_eq!(state.apply(&report(4, false), START), None);
    assert_eq!(state.draining_since(HOST, START), Some(START));
    assert_eq!(state.apply(&report(9, false), START), Some(vec![HOST]));
    assert_eq!(state.draining_since(HOST, START), None);
}

// A holder drains a host and crashes. A drain without expiry would leave the host paid for and
// idle.
#[test]
fn drain_expires_unless_it_is_repeated() {
    let mut state = PlacementState::default();
    assert!(state.apply(&report(9, true), START).is_some());
    let last = START.after(REPORT_TTL_MS - 1);
    assert_eq!(state.draining_since(HOST, last), Some(START));
    assert_eq!(state.draining_since(HOST, last.after(1)), None);
}
