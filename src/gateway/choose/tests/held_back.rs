use super::*;
use crate::gateway::throttle::StatedLimit;

/// Has the plain upstream at a place ask for rest.
fn ask_for_rest(table: &mut UpstreamTable, id: &str, rest_ms: u64) -> UpstreamKey {
    let key = table.find(id).expect("known");
    let upstream = table.get_mut(key).expect("there");
    upstream.intake.rest.note(rest_ms, NOW);
    key
}

/// Nothing else is there, and an upstream gets requests while it rests.
#[test]
fn a_pool_whose_upstreams_all_rest_gets_nothing_until_the_first_has_rested() {
    let mut table = table(2);
    ask_for_rest(&mut table, "p0", 3_000);
    let soonest = ask_for_rest(&mut table, "p1", 2_000);
    let prefixes = Prefixes::default();
    // What has been sent to one of them is no reason to wait for the other.
    for excluded in [&[][..], &[soonest]] {
        let ask = ask("plain", None, excluded);
        assert_eq!(choose(&table, &prefixes, &ask, NOW), None);
        let expected = Some(HeldBack::Resting { left_ms: 2_000 });
        assert_eq!(held_back(&table, &ask, NOW), expected);
    }
    let ask = ask("plain", None, &[]);
    let choice = choose(&table, &prefixes, &ask, NOW.after(2_000));
    assert_eq!(choice.map(|choice| choice.upstream), Some(soonest));
}

#[test]
fn a_pool_with_an_upstream_that_does_not_rest_is_held_back_by_limits_only() {
    let mut table = table(3);
    ask_for_rest(&mut table, "p0", 3_000);
    let ask = ask("plain", None, &[]);
    assert_eq!(held_back(&table, &ask, NOW), None);
    for id in ["p1", "p2"] {
        let key = table.find(id).expect("known");
        let upstream = table.get_mut(key).expect("there");
        let stated = StatedLimit::PerS(1.5);
        (upstream.intake.throttle).note_answer(stated, TimeMs(0), NOW);
    }
    let expected = HeldBack::Limited { limited_per_s: 3.0 };
    assert_eq!(held_back(&table, &ask, NOW), Some(expected));
}
