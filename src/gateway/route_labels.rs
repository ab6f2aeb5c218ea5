//! Bounds the number of route labels in metrics.

/// Names of the routes that have metric labels of their own, up to a fixed number.
///
/// Each label of a histogram occupies memory until the node exits, and a configuration may contain
/// hundreds of routes.
#[derive(Debug, Default)]
pub(crate) struct RouteLabels {
    /// Sorted by name.
    names: Vec<String>,
}

/// Upper bound of the routes with labels of their own; each has four histograms of 13 buckets.
const MAX_ROUTE_LABELS: usize = 32;

/// The label that all further routes share.
const OTHER_ROUTES: &str = "other";

impl RouteLabels {
    /// Returns the metric label of a route, which stays the same until the node exits.
    pub fn label_for(&mut self, route: &str) -> String {
        match self.names.binary_search_by(|name| name.as_str().cmp(route)) {
            Ok(_place) => route.to_owned(),
            Err(place) if self.names.len() < MAX_ROUTE_LABELS => {
                self.names.insert(place, route.to_owned());
                route.to_owned()
            }
            Err(_place) => OTHER_ROUTES.to_owned(),
        }
    }
}

#[cfg(test)]
mod tests;
