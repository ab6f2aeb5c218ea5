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
fn holders_are_the_upstreams_recently_sent_the_prefix() {
    let keys = keys(6);
    let mut prefixes = Prefixes::default();
    for key in &keys {
        prefixes.record(9, *key, TimeMs(1_000));
    }
    assert!(prefixes.holds(9, keys[5], TimeMs(2_000)));
    assert!(
        !prefixes.holds(9, keys[0], TimeMs(2_000)),
        "only the most recent holders are kept"
    );
    assert!(!prefixes.holds(9, keys[5], TimeMs(1_000 + RETENTION_MS)));
    assert!(!prefixes.holds(8, keys[5], TimeMs(2_000)));
}

#[test]
fn number_of_prefixes_is_bounded() {
    let keys = keys(1);
    let mut prefixes = Prefixes::default();
    for prefix in 0..50_000 {
        prefixes.record(prefix, keys[0], TimeMs(prefix));
    }
    assert!(prefixes.holders.len() <= MAX_PREFIXES);
    assert!(prefixes.holds(49_999, keys[0], TimeMs(50_000)));
}
