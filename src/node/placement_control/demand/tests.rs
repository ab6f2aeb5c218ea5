use super::demand_of;
use crate::document::Document;
use crate::keys::PoolKey;
use crate::placement::{Demand, Refusal, Settings};
use crate::time::TimeMs;

const NOW: TimeMs = TimeMs(1_000_000);

fn document() -> Document {
    let text = include_str!("../../../../sample_configs/valid/keg.json");
    Document::parse(text).expect("the sample document has no faults")
}

fn pool(document: &Document) -> PoolKey {
    document
        .find_pool("ledger-models")
        .expect("the sample has it")
}

fn streams(streams: f64) -> Demand {
    Demand {
        streams,
        ..Demand::default()
    }
}

/// Eight hosts of 14 slots in four failure domains: six are left, to be used to 85 in 100.
const FLOOR_STREAMS: f64 = 6.0 * 14.0 * 0.85;

#[test]
fn the_documents_counts_hold_while_they_serve_the_demand() {
    let document = document();
    let seen = Some((streams(1.0), streams(FLOOR_STREAMS - 0.1)));
    let settings = Settings::default();
    let demand = demand_of(&document, pool(&document), seen, &[], &settings, NOW);
    assert_eq!((demand.lead_time_peak, demand.retention_peak), (None, None));
}

#[test]
fn a_higher_demand_is_bought_for_and_never_less_than_the_counts() {
    let document = document();
    let seen = Some((streams(1.0), streams(FLOOR_STREAMS + 1.0)));
    let settings = Settings::default();
    let demand = demand_of(&document, pool(&document), seen, &[], &settings, NOW);
    let (lead, keep) = demand
        .lead_time_peak
        .zip(demand.retention_peak)
        .expect("it goes by demand");
    assert!((lead.streams - FLOOR_STREAMS).abs() < 1e-6);
    assert!((keep.streams - FLOOR_STREAMS - 1.0).abs() < 1e-6);
}

// Symptom: a pool stays short for as long as one failure domain sells nothing.
// Cause: each failure domain's count looked at by itself.
#[test]
fn counts_that_cannot_be_bought_are_made_up_for_elsewhere() {
    let document = document();
    let key = pool(&document);
    let domain = document.pool(key).hosts[0].0;
    let classes = document.pool(key).host_classes.iter();
    let refused = classes.map(|class| Refusal {
        class: *class,
        domain,
        consecutive_refusals: 1,
        last_at_ms: NOW,
    });
    let refusals: Vec<_> = refused.collect();
    let settings = Settings::default();
    let all = demand_of(&document, key, None, &refusals, &settings, NOW);
    assert!(all.lead_time_peak.is_some());
    let some = demand_of(&document, key, None, &refusals[..1], &settings, NOW);
    assert_eq!(some.lead_time_peak, None);
}
