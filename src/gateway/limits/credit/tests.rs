mod course;
mod extremes;
mod failures;
mod fleet;
mod grants;
mod load;
mod nodes;
mod pair;

use super::*;
use crate::gateway::catalog::Unit;
use crate::gateway::limits::quota::FleetVisibility;
use crate::gateway::settings::LimitWindow;
use crate::gateway::upstreams::tag;

/// A window of eight seconds with a tolerance of 10% and another 190,000 units.
const WINDOW: LimitWindow = LimitWindow {
    window_ms: 8_000,
    overshoot: 0.1,
    slack: 190_000.0,
};

/// A time long after the nodes' start.
fn at(ms: u64) -> TimeMs {
    TimeMs(100_000 + ms)
}

fn team(rate_per_s: f64) -> Team {
    Team {
        name: "archive".to_owned(),
        tag: tag("archive"),
        priority: None,
        unit: Unit::Tokens {
            default_tokens: 200,
        },
        rate_per_s: Some(rate_per_s),
        burst: rate_per_s,
    }
}

fn visibility(nodes: usize) -> FleetVisibility {
    let nodes = u32::try_from(nodes).expect("few nodes");
    FleetVisibility {
        known: nodes,
        heard: nodes,
    }
}
