//! Which routes have metrics of their own.

/// Names of routes that stand in metrics, as many as there may be.
///
/// Each label of a histogram costs memory for as long as the node runs, and a configuration may
/// bring hundreds of routes.
#[derive(Debug, Default)]
pub(crate) struct RouteLabels {
    /// Sorted.
    names: Vec<String>,
}

/// Most routes with metrics of their own; each has four histograms of 13 buckets.
const MOST_ROUTE_LABELS: usize = 32;

/// The label of all routes beyond those.
const OTHER_ROUTES: &str = "other";

impl RouteLabels {
    /// The label of a route.
    pub fn of(&mut self, route: &str) -> String {
        match self.names.binary_search_by(|name| name.as_str().cmp(route)) {
            Ok(_place) => route.to_owned(),
            Err(place) if self.names.len() < MOST_ROUTE_LABELS => {
                self.names.insert(place, route.to_owned());
                route.to_owned()
            }
            Err(_place) => OTHER_ROUTES.to_owned(),
        }
    }
}

#[cfg(test)]
mod tests;
