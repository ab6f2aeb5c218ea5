//! Compares what nodes charged to the teams' limits with what the operators allow in a window.
//!
//! The charges are read from the `request_ended` records of any number of nodes. A limit binds all nodes
//! together, so that only the sum over their logs shows how near a team came to it.

use std::collections::BTreeMap;

use serde::Deserialize;

/// The window in which a team used the largest fraction of its allowance.
#[derive(Clone, Debug, PartialEq)]
pub struct WorstWindow {
    /// Name of the team.
    pub team: String,
    /// Start of the window in Unix milliseconds.
    pub start_ms: u64,
    /// Units charged in the window.
    pub used: f64,
    /// Units allowed in the window, tolerance included, at the highest limit in it.
    pub allowed: f64,
}

impl WorstWindow {
    /// Returns the used fraction of the allowance; above 1.0 the limit was exceeded.
    #[must_use]
    pub fn used_fraction(&self) -> f64 {
        self.used / self.allowed.max(f64::MIN_POSITIVE)
    }
}

/// The worst window of each team.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Charges {
    /// Sorted by used fraction, highest first.
    pub windows: Vec<WorstWindow>,
    /// Number of records that the nodes left out to bound the volume of their logs.
    pub left_out: u64,
    /// Number of lines with a `{` whose rest does not parse as a record.
    pub malformed_lines: usize,
}

/// One charge of a request that may have run.
#[derive(Clone, Copy, Debug)]
struct Charge {
    at_ms: u64,
    cost: f64,
    allowance: f64,
}

/// The fields of a log record that are aggregated.
#[derive(Debug, Deserialize)]
struct Record {
    at_ms: u64,
    #[serde(default)]
    event: String,
    #[serde(default)]
    team: String,
    #[serde(default)]
    took_ms: u64,
    #[serde(default)]
    count: u64,
    charged: Option<f64>,
    charge_refunded: Option<bool>,
    window_allowance: Option<f64>,
}

impl Record {
    /// Returns the charge of a request that may have run, at the time of the request.
    fn charge(&self) -> Option<Charge> {
        let is_refunded = self.charge_refunded.unwrap_or(false);
        let charged = self.charged.filter(|_cost| !is_refunded);
        let (cost, allowance) = charged.zip(self.window_allowance)?;
        Some(Charge {
            at_ms: self.at_ms.saturating_sub(self.took_ms),
            cost,
            allowance,
        })
    }
}

/// Finds each team's worst window of `window_ms` in the logs; 0 counts as 1 ms.
#[must_use]
pub fn aggregate(logs: &str, window_ms: u64) -> Charges {
    let mut charges = Charges::default();
    let mut by_team: BTreeMap<String, Vec<Charge>> = BTreeMap::new();
    for (_source, record) in super::records(logs) {
        match serde_json::from_str::<Record>(record) {
            Ok(line) if line.event == "log_lines_left_out" => charges.left_out += line.count,
            Ok(line) => {
                if let Some(charge) = line.charge() {
                    by_team.entry(line.team).or_default().push(charge);
                }
            }
            Err(_malformed) => charges.malformed_lines += 1,
        }
    }
    let windows = by_team.into_iter();
    charges.windows = windows
        .filter_map(|(team, charges)| worst_window(&team, charges, window_ms.max(1)))
        .collect();
    (charges.windows).sort_by(|a, b| b.used_fraction().total_cmp(&a.used_fraction()));
    charges
}

/// Returns the window with the highest used fraction among those that start at a charge.
fn worst_window(team: &str, mut charges: Vec<Charge>, window_ms: u64) -> Option<WorstWindow> {
    charges.sort_by_key(|charge| charge.at_ms);
    let windows = charges.iter().enumerate().map(|(first, charge)| {
        let end_ms = charge.at_ms + window_ms;
        let last = charges.partition_point(|charge| charge.at_ms < end_ms);
        let inside = &charges[first..last];
        WorstWindow {
            team: team.to_owned(),
            start_ms: charge.at_ms,
            used: inside.iter().map(|charge| charge.cost).sum(),
            allowed: inside
                .iter()
                .map(|charge| charge.allowance)
                .fold(0.0, f64::max),
        }
    });
    windows.max_by(|a, b| a.used_fraction().total_cmp(&b.used_fraction()))
}

impl std::fmt::Display for Charges {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "used / allowed        used     allowed  window from (ms)  team"
        )?;
        for window in &self.windows {
            writeln!(
                f,
                "{:>14.3}  {:>10.0}  {:>10.0}  {:>16}  {}",
                window.used_fraction(),
                window.used,
                window.allowed,
                window.start_ms,
                window.team
            )?;
        }
        if self.left_out > 0 {
            writeln!(f, "{} lines were left out by the nodes", self.left_out)?;
        }
        if self.malformed_lines > 0 {
            writeln!(f, "{} lines could not be read", self.malformed_lines)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
