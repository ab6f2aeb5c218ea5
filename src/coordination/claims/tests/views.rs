//! Nodes that start at different times see the same winners.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{CLAIM_TTL_MS, Claim, KEY, claim, record};
use crate::coordination::claims::{CLOCK_SKEW_MS, ClaimTable, Holder};
use crate::coordination::follower::{Fold, Gap};
use crate::coordination::log::Record;
use crate::time::TimeMs;

/// Returns claims of one key at random intervals, some of which supersede an earlier one.
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

fn table_after_gap(
    records: &[Record],
    first: &Record,
    retention_ms: u64,
    detected_at_ms: TimeMs,
) -> ClaimTable {
    let mut table = ClaimTable::new(retention_ms);
    table.skip(&Gap {
        wanted: 1,
        first: first.offset,
        first_at_ms: Some(first.at_ms),
        detected_at_ms,
    });
    for record in records
        .iter()
        .filter(|record| record.offset >= first.offset)
    {
        table.apply(record);
    }
    table
}

/// Guards against a call that runs on two nodes which both saw their claim win: one of them started
/// after the log dropped an older claim, and decided without the claim that it lost to.
#[test]
fn certain_rows_of_a_late_starter_match_the_whole_log() {
    let mut certain = 0;
    for seed in 0..100 {
        let records = history(&mut SmallRng::seed_from_u64(seed));
        let detected_at_ms = records[records.len() - 1].at_ms;
        for first in 1..records.len() {
            let mut whole = ClaimTable::new(0);
            let mut part = table_after_gap(&[], &records[first], 0, detected_at_ms);
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
    assert!(
        certain > 1_000,
        "too few certain rows were compared: {certain}"
    );
}

/// Guards against claims rejected for a quarter of an hour after each change of claimer on a site
/// with little traffic: the oldest record kept is recent, though all dropped ones have expired.
#[test]
fn quiet_stream_is_settled_at_once_if_retention_is_known() {
    let detected_at_ms = TimeMs(100 * CLAIM_TTL_MS);
    let first = record(9, detected_at_ms, &[] as &[Claim]);
    let unknown = table_after_gap(&[], &first, 0, detected_at_ms);
    assert!(unknown.settled_from_ms() > detected_at_ms.after(CLOCK_SKEW_MS));
    let known = table_after_gap(&[], &first, 4 * CLAIM_TTL_MS, detected_at_ms);
    assert!(known.settled_from_ms().after(CLOCK_SKEW_MS) < detected_at_ms);
}
