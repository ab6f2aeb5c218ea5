use super::*;
use crate::gateway::health::Outcome;
use crate::gateway::upstreams::tests::announced;
use crate::gateway::upstreams::{Change, UpstreamTable};

const NOW: TimeMs = TimeMs(10_000);

#[test]
fn each_upstream_has_one_state() {
    let mut table = UpstreamTable::default();
    for id in ["ready", "paused", "leaving", "removed"] {
        table.apply(Change::Present(announced(id, "pool", "d")), false, NOW);
    }
    let key =
        |table: &UpstreamTable, id: &str| table.find(id).expect("the upstream is in the table");
    let paused = key(&table, "paused");
    for _failure in 0..3 {
        let health = &mut table
            .get_mut(paused)
            .expect("the upstream is in the table")
            .health;
        health.record(Outcome::Broken, NOW);
    }
    let leaving = key(&table, "leaving");
    table
        .get_mut(leaving)
        .expect("the upstream is in the table")
        .announcement
        .phase = Phase::Leaving;
    let id = "removed".to_owned();
    table.apply(Change::Removed { id }, false, NOW);
    for id in ["ready", "paused", "leaving", "removed"] {
        let upstream = table
            .get(key(&table, id))
            .expect("the upstream is in the table");
        assert_eq!(State::of(upstream, NOW).label(), id);
    }
}

#[test]
fn speed_quantiles_are_those_of_the_upstreams() {
    let time_factors = [0.4, 0.5, 0.9, 1.1, 2.0];
    let quantiles = SPEED_QUANTILES.map(|(_label, percent)| quantile_of(&time_factors, percent));
    for (quantile, expected) in quantiles.into_iter().zip([0.4, 0.9, 1.1]) {
        assert!((quantile - expected).abs() < f64::EPSILON, "{quantiles:?}");
    }
    assert!((quantile_of(&[], 50) - 1.0).abs() < f64::EPSILON);
}
