//! Nodes that start at different times see the same winners.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{CLAIM_TTL_MS, Claim, KEY, claim, record};
use crate::coordination::claims::{CLOCK_SKEW_MS, ClaimTable, Holder};
use crate::coordination::follower::{Fold, Gap};
use crate::coordination::log::Record;
use crate::time::TimeMs;

/// Claims of one key at random distances, some of which supersede some earlier one.
fn history(rng: &mut SmallRng) -> Vec<Record> {
    let mut at_ms = TimeMs(CLAIM_TTL_MS);
    let records = (1..=40).map(|offset| {
        at_ms = at_ms.after(rng.random_range(0..CLAIM_TTL_MS * 3 / 2));
        let earlier = rng.random_range(0..offset).to_string();
        let supersedes = rng.random_bool(0.5).then_some(earlier.as_str());
        record(offset, at_ms, &[claim(&offset.to_string(), supersedes)])
    });
    records.collect()
}

fn late(records: &[Record], first: &Record, retention_ms: u64, met_ms: TimeMs) -> ClaimTable {
    let mut table = ClaimTable::new(retention_ms);
    table.skip(&Gap {
        wanted: 1,
        first: first.offset,
        first_at_ms: Some(first.at_ms),
        met_ms,
    });
    for record in records
        .iter()
        .filter(|record| record.offset >= first.offset)
    {
        table.apply(record);
    }
    table
}

/// Symptom: a call runs twice, on two nodes that both saw their claim win. One of them started when
/// the log had forgotten an older claim. Cause: it judged a claim without the one that it lost to.
#[test]
fn what_a_late_starter_is_certain_of_is_true() {
    let mut certain = 0;
    for seed in 0..100 {
        let records = history(&mut SmallRng::seed_from_u64(seed));
        let met_ms = records[records.len() - 1].at_ms;
        for first in 1..records.len() {
            let mut whole = ClaimTable::new(0);
            let mut part = late(&[], &records[first], 0, met_ms);
            for record in &records {
                whole.apply(record);
                if record.offset <= first as u64 {
                    continue;
                }
                part.apply(record);
                if record.at_ms >= part.settled_from_ms() && part.holder(KEY) != Holder::Uncertain {
                    assert_eq!(
                        part.holder(KEY),
                        whole.holder(KEY),
                        "seed {seed}, first {first}"
                    );
                    certain += 1;
                }
            }
        }
    }
    assert!(certain > 1_000, "the histories are to the point: {certain}");
}

/// Symptom: claims are refused for a quarter of an hour each time a quiet site's claimer changes.
/// Cause: the oldest record kept is young, though all forgotten ones have long expired.
#[test]
fn a_quiet_stream_is_settled_at_once_if_retention_is_known() {
    let met_ms = TimeMs(100 * CLAIM_TTL_MS);
    let first = record(9, met_ms, &[] as &[Claim]);
    let unknown = late(&[], &first, 0, met_ms);
    assert!(unknown.settled_from_ms() > met_ms.after(CLOCK_SKEW_MS));
    let known = late(&[], &first, 4 * CLAIM_TTL_MS, met_ms);
    assert!(known.settled_from_ms().after(CLOCK_SKEW_MS) < met_ms);
}
