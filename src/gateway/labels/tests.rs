use super::*;

/// Symptom: a node's memory grows with each version of the configuration.
/// Sequence: versions bring hundreds of routes with new names.
/// Cause: every route got histograms of its own for good.
#[test]
fn routes_beyond_the_first_share_a_label() {
    let mut labels = RouteLabels::default();
    for route in 0..500 {
        labels.of(&format!("r-{route:03}"));
    }
    assert_eq!(labels.names.len(), MOST_ROUTE_LABELS);
    assert_eq!(labels.of("r-000"), "r-000", "a label stays what it was");
    assert_eq!(labels.of("r-499"), OTHER_ROUTES);
}
