use super::*;
use crate::gateway::upstreams::tests::announced;
use crate::gateway::upstreams::{Change, UpstreamTable};

fn keys(count: usize) -> Vec<UpstreamKey> {
    let mut table = UpstreamTable::default();
    (0..count)
        .filter_map(|place| {
            let announced = announced(&format!("e{place}"), "engines", "d");
            table.apply(Change::Present(announced), false, TimeMs(1))
        })
        .collect()
}

#[test]
fn holders_are_the_upstreams_that_were_sent_a_part_lately() {
    let keys = keys(6);
    let mut prefixes = Prefixes::default();
    for key in &keys {
        prefixes.note(9, *key, TimeMs(1_000));
    }
    assert!(prefixes.holds(9, keys[5], TimeMs(2_000)));
    assert!(
        !prefixes.holds(9, keys[0], TimeMs(2_000)),
        "only the newest are kept"
    );
    assert!(!prefixes.holds(9, keys[5], TimeMs(1_000 + KEPT_MS)));
    assert!(!prefixes.holds(8, keys[5], TimeMs(2_000)));
}

#[test]
fn memory_stays_bounded() {
    let keys = keys(1);
    let mut prefixes = Prefixes::default();
    for part in 0..50_000 {
        prefixes.note(part, keys[0], TimeMs(part));
    }
    assert!(prefixes.holders.len() <= MOST_PARTS);
    assert!(prefixes.holds(49_999, keys[0], TimeMs(50_000)));
}
