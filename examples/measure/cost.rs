//! What a day of load and prices costs: `placement` against simple policies and a bound.
//!
//! Time is passed in, so a day takes seconds. Each run goes through two days and counts the second,
//! since the forecast learns the day's shape on the first. All sides see the same load, prices,
//! waves and refused starts.

mod baselines;
mod bound;
mod cloud;
mod day;

use serde_json::json;
use teaselline::document::Document;
use teaselline::document::checked::HostClass;

use super::report::Line;
use super::{Arguments, Experiment, Failure, one_pool};
use cloud::{Outcome, Site};
use day::Day;

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "cost",
    about: "A day of load and prices: cost and time within the latency target.",
    run,
};

/// A deployment to go through a day with.
#[derive(Clone, Copy, Debug)]
struct Scale {
    name: &'static str,
    domains: u16,
    /// Streams at the peak.
    streams_max: f64,
}

/// Kitagawa's 18 servers of today, and the 5,100 of `docs/CAPACITY.md`.
const SCALES: [Scale; 2] = [
    Scale {
        name: "18 servers",
        domains: 4,
        streams_max: 160.0,
    },
    Scale {
        name: "5100 servers",
        domains: 18,
        streams_max: 58_000.0,
    },
];

/// Seconds that a stream takes, for the price of a thousand answers.
const STREAM_SECONDS: f64 = 20.0;

/// Who decides which hosts to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    OnDemandOnly,
    CheapestFirst,
    Teaselline,
}

const SIDES: [(Side, &str); 3] = [
    (Side::OnDemandOnly, "on_demand_only"),
    (Side::CheapestFirst, "cheapest_first"),
    (Side::Teaselline, "teaselline"),
];

fn run(arguments: &Arguments) -> Result<(), Failure> {
    for scale in SCALES {
        let document = document(scale.domains);
        let days: Vec<Day> = arguments
            .seeds()
            .map(|seed| Day::new(seed, scale.streams_max, &document))
            .collect();
        let bounds: Vec<f64> = days.iter().map(|day| bound::cost(&document, day)).collect();
        let answered: Vec<f64> = days.iter().map(answered_thousands).collect();
        line(&scale, "hindsight_bound", arguments)
            .with_spread("cost_per_1k_answered", &quotients(&bounds, &answered))
            .print()?;
        let whole: Vec<f64> = days
            .iter()
            .map(|day| bound::cost_of_whole_hosts(&document, day))
            .collect();
        line(&scale, "hindsight_whole_hosts", arguments)
            .with_spread("cost_per_1k_answered", &quotients(&whole, &answered))
            .with_spread("cost_to_bound", &quotients(&whole, &bounds))
            .print()?;
        for (side, name) in SIDES {
            let outcomes: Vec<Outcome> = days
                .iter()
                .map(|day| Site::new(&document, day, side).run())
                .collect();
            let costs: Vec<f64> = outcomes.iter().map(|outcome| outcome.cost).collect();
            let of = |field: fn(&Outcome) -> f64| outcomes.iter().map(field).collect::<Vec<_>>();
            line(&scale, name, arguments)
                .with_spread("cost_per_1k_answered", &quotients(&costs, &answered))
                .with_spread("cost_to_bound", &quotients(&costs, &bounds))
                .with_spread("within_target_part", &of(|o| o.within_target_part))
                .with_spread("after_any_loss_part", &of(|o| o.after_any_loss_part))
                .with_spread("hosts_bought", &of(|o| o.hosts_bought))
                .with_spread("starts_refused", &of(|o| o.starts_refused))
                .print()?;
        }
    }
    Ok(())
}

fn line(scale: &Scale, side: &str, arguments: &Arguments) -> Line {
    Line::new("cost", side)
        .with("scale", scale.name)
        .with("seed", json!(arguments.seed))
}

fn answered_thousands(day: &Day) -> f64 {
    let stream_seconds: f64 = day::steps()
        .map(|at| day.streams(at) * day::STEP_SECONDS)
        .sum();
    stream_seconds / STREAM_SECONDS / 1_000.0
}

fn quotients(parts: &[f64], wholes: &[f64]) -> Vec<f64> {
    let pairs = parts.iter().zip(wholes);
    pairs.map(|(part, whole)| part / whole).collect()
}

fn document(domains: u16) -> Document {
    let class = |name: &str, reclaimable, price_per_hour, slots| HostClass {
        name: name.to_owned(),
        provider: "provider".to_owned(),
        reclaimable,
        price_per_hour,
        slots,
        tokens_per_second: f64::from(slots) * 40.0,
        prefill_tokens_per_second: f64::from(slots) * 1_000.0,
        kv_tokens_capacity: 200_000,
        kv_bytes_per_second: 1e9,
    };
    let classes = vec![
        class("on-demand-large", false, 4.0, 16),
        class("on-demand-small", false, 2.2, 8),
        class("spot-large", true, 1.6, 16),
        class("spot-small", true, 0.8, 8),
    ];
    one_pool::document(domains, classes)
}
