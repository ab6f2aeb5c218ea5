use super::*;

/// Guards against memory that grows with each version of the configuration: every version brings
/// hundreds of new route names, and histograms of each of them would be kept until the node exits.
#[test]
fn routes_beyond_the_limit_share_one_label() {
    let mut labels = RouteLabels::default();
    for route in 0..500 {
        labels.label_for(&format!("r-{route:03}"));
    }
    assert_eq!(labels.names.len(), MAX_ROUTE_LABELS);
    assert_eq!(
        labels.label_for("r-000"),
        "r-000",
        "an assigned label does not change"
    );
    assert_eq!(labels.label_for("r-499"), OTHER_ROUTES);
}
