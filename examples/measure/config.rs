//! Time until a change of the document is in force on every node.
//!
//! Nodes run in this process over real sockets. A change counts from the moment at which a node is
//! given it to the moment at which the last node works by it. Nodes are looked at once a
//! millisecond. In the middle of each run the log is out for a while; a revision that a node goes
//! back from at any time counts as a reversion.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use teaselline::document::Document;
use teaselline::node::RunningNode;
use teaselline::node::change::Proposal;
use teaselline_stand_ins::log::{LogSettings, Outage};
use teaselline_stand_ins::site::{Site, SiteSettings};

use super::deployment::{site_settings, start_nodes, wait_until_ready};
use super::report::{Line, median};
use super::{Arguments, Experiment, Failure, trial};

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "config",
    about: "Time until every node applies a change of the document, with 3, 6 and 9 nodes.",
    run,
};

const NODES: [usize; 3] = [3, 6, 9];
/// Changes before and again after the outage.
const CHANGES: u64 = 15;
/// How long the log is out.
const OUTAGE: Duration = Duration::from_secs(3);
/// Pause between two looks at the nodes.
const LOOK: Duration = Duration::from_millis(1);
/// How long a change may take.
const PATIENCE: Duration = Duration::from_secs(30);

/// What one run gave.
#[derive(Debug)]
struct Seen {
    applied_ms: Vec<f64>,
    /// The first change after the outage, which is not among the others.
    after_outage_ms: f64,
    reversions: u64,
}

fn run(arguments: &Arguments) -> Result<(), Failure> {
    let runtime = tokio::runtime::Runtime::new()?;
    for nodes in NODES {
        let runs = arguments
            .seeds()
            .map(|seed| runtime.block_on(one(nodes, seed)));
        let mut runs = runs.collect::<Result<Vec<_>, _>>()?;
        for run in &mut runs {
            run.applied_ms.sort_by(f64::total_cmp);
        }
        let of = |pick: fn(&[f64]) -> Option<f64>| -> Vec<f64> {
            runs.iter()
                .filter_map(|run| pick(&run.applied_ms))
                .collect()
        };
        let after_outage: Vec<_> = runs.iter().map(|run| run.after_outage_ms).collect();
        let reversions: u64 = runs.iter().map(|run| run.reversions).sum();
        Line::new("config", &format!("{nodes} nodes"))
            .with("seed", arguments.seed)
            .with("changes_a_run", 2 * CHANGES)
            .with_spread("all_applied_median_ms", &of(median))
            .with_spread(
                "all_applied_longest_ms",
                &of(|sorted| sorted.last().copied()),
            )
            .with_spread("first_after_outage_ms", &after_outage)
            .with("reversions", reversions)
            .print()?;
    }
    Ok(())
}

async fn one(count: usize, seed: u64) -> Result<Seen, Failure> {
    let text = trial::document(10_000);
    let document = Document::parse(&text).map_err(|_faults| Failure::NotReady)?;
    let log = LogSettings {
        seed,
        ..LogSettings::default()
    };
    let settings = SiteSettings {
        log,
        ..site_settings(&document)
    };
    let site = Site::start(settings).await?;
    let nodes = start_nodes(&document, &site, count).await;
    let nodes = Arc::new(nodes.map_err(|_error| Failure::NotReady)?);
    let mut run = Run {
        nodes: Arc::clone(&nodes),
        revision: 0,
        deadline_ms: 10_000,
    };
    run.change(0).await?;
    if !wait_until_ready(&nodes, run.revision, site.upstreams().len()).await {
        return Err(Failure::NotReady);
    }
    let reversions = Arc::new(AtomicU64::new(0));
    let watching = tokio::spawn(watch(Arc::clone(&nodes), Arc::clone(&reversions)));
    let (mut applied_ms, mut after_outage_ms) = (Vec::new(), 0.0);
    for number in 0..2 * CHANGES {
        if number == CHANGES {
            site.log.change(|knobs| knobs.outage = Outage::Refuse);
            tokio::time::sleep(OUTAGE).await;
            site.log.change(|knobs| knobs.outage = Outage::None);
        }
        let node = usize::try_from(number).unwrap_or_default() % count;
        let took_ms = run.change(node).await?;
        match number {
            CHANGES => after_outage_ms = took_ms,
            _ => applied_ms.push(took_ms),
        }
    }
    watching.abort();
    for node in nodes.iter() {
        node.abort();
    }
    Ok(Seen {
        applied_ms,
        after_outage_ms,
        reversions: reversions.load(Ordering::Relaxed),
    })
}

struct Run {
    nodes: Arc<Vec<RunningNode>>,
    revision: u64,
    deadline_ms: u64,
}

impl Run {
    /// Makes a change at a node; gives how long it took until all worked by it.
    async fn change(&mut self, node: usize) -> Result<f64, Failure> {
        self.deadline_ms += 1;
        let proposal = Proposal {
            base_revision: self.revision,
            operator: "novakova".to_owned(),
            document: trial::document(self.deadline_ms),
        };
        let start = Instant::now();
        let proposed = self.nodes[node].node.propose(proposal).await;
        self.revision = proposed.map_err(|_refused| Failure::NotReady)?;
        while self
            .nodes
            .iter()
            .any(|node| node.node.revision() < self.revision)
        {
            if start.elapsed() > PATIENCE {
                return Err(Failure::NotReady);
            }
            tokio::time::sleep(LOOK).await;
        }
        Ok(start.elapsed().as_secs_f64() * 1_000.0)
    }
}

/// Counts how often a node goes back to an older revision.
async fn watch(nodes: Arc<Vec<RunningNode>>, reversions: Arc<AtomicU64>) {
    let mut newest = vec![0; nodes.len()];
    loop {
        for (node, newest) in nodes.iter().zip(&mut newest) {
            let revision = node.node.revision();
            if revision < *newest {
                reversions.fetch_add(1, Ordering::Relaxed);
            }
            *newest = revision;
        }
        tokio::time::sleep(LOOK).await;
    }
}
