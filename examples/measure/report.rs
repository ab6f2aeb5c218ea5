//! The lines that an experiment prints.

use std::io::{self, Write};

use serde_json::{Map, Value, json};

/// One side's line.
#[derive(Clone, Debug)]
pub struct Line(Map<String, Value>);

impl Line {
    /// A line of one side of an experiment.
    pub fn new(experiment: &str, side: &str) -> Self {
        let mut fields = Map::new();
        fields.insert("experiment".to_owned(), json!(experiment));
        fields.insert("side".to_owned(), json!(side));
        Self(fields)
    }

    /// Adds a field.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl Into<Value>) -> Self {
        self.0.insert(name.to_owned(), value.into());
        self
    }

    /// Adds minimum, median and maximum over the runs.
    #[must_use]
    pub fn with_spread(self, name: &str, values: &[f64]) -> Self {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        let spread = json!({
            "runs": sorted.len(),
            "minimum": sorted.first(),
            "median": median(&sorted),
            "maximum": sorted.last(),
        });
        self.with(name, spread)
    }

    /// Prints the line.
    pub fn print(self) -> io::Result<()> {
        writeln!(io::stdout().lock(), "{}", Value::Object(self.0))
    }
}

/// The middle of sorted values.
pub fn median(sorted: &[f64]) -> Option<f64> {
    sorted.get(sorted.len() / 2).copied()
}

/// A straight line through points, by least squares.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    /// Rise of the value with each unit of size.
    pub slope: f64,
    /// The value at size zero.
    pub intercept: f64,
}

impl Fit {
    /// The line that lies closest to the points of size and value.
    pub fn of(points: &[(f64, f64)]) -> Self {
        let count = points.iter().map(|_| 1.0).sum::<f64>().max(1.0);
        let mean_size = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread = points.iter().map(|point| (point.0 - mean_size).powi(2));
        let spread = spread.sum::<f64>();
        let rise = points.iter();
        let rise = rise.map(|point| (point.0 - mean_size) * (point.1 - mean_value));
        let slope = if spread > 0.0 {
            rise.sum::<f64>() / spread
        } else {
            0.0
        };
        Self {
            slope,
            intercept: mean_value - slope * mean_size,
        }
    }
}
