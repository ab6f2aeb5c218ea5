//! Seeded schedules of faults, and what carries them out on a fleet.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use teaselline_stand_ins::log::Outage;
use teaselline_stand_ins::service::ServiceFault;
use teaselline_stand_ins::site::Upstream;
use tokio::time::Instant;

use super::fleet::Fleet;
use super::process::{Cut, Process};

/// How long faults begin and calls are made.
pub const WINDOW_MS: u64 = 5_000;

/// The deadline of calls; some pauses are longer.
pub const DEADLINE_MS: u64 = 2_500;

/// The longest pause of an ordinary schedule.
const LONGEST_PAUSE_MS: u64 = 4_000;

/// The pause of a long schedule, after which the others have given the node up.
const VERY_LONG_PAUSE_MS: u64 = 34_000;

/// One schedule in so many has a very long pause in it.
const LONG_SCHEDULES: u64 = 25;

/// Part of the calls to plain services that go wrong while services cut.
const CUT_PART: f64 = 0.4;

/// Part of the log's answers that are lost while it loses them.
const LOST_ANSWERS_PART: f64 = 0.5;

/// One thing that goes wrong, and how long.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When it begins.
    pub at_ms: u64,
    /// How long it lasts.
    pub for_ms: u64,
    /// What it is.
    pub kind: FaultKind,
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// A node dies; another process takes its place afterwards.
    Kill(usize),
    /// A node stands still.
    Pause(usize),
    /// The connections to some nodes are silent in one or both directions.
    Cut(Vec<usize>, Cut),
    /// Connections of peers to a node are reset.
    Reset(usize),
    /// The log is out.
    LogOut(Outage),
    /// The log loses answers to appends that took effect.
    LogLosesAnswers,
    /// Plain services go wrong with some calls.
    Services(ServiceFault),
}

/// A schedule of faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// What it was made from.
    pub seed: u64,
    /// The faults, by beginning.
    pub faults: Vec<Fault>,
}

impl Schedule {
    /// The schedule of a seed, for so many nodes.
    pub fn new(seed: u64, nodes: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = rng.random_range(3..=6);
        let mut faults: Vec<_> = (0..count).map(|_| fault(&mut rng, nodes)).collect();
        if seed % LONG_SCHEDULES == LONG_SCHEDULES - 1 {
            faults.push(Fault {
                at_ms: rng.random_range(0..WINDOW_MS / 2),
                for_ms: VERY_LONG_PAUSE_MS,
                kind: FaultKind::Pause(rng.random_range(0..nodes)),
            });
        }
        faults.sort_by_key(|fault| fault.at_ms);
        Self { seed, faults }
    }

    /// Lets the faults happen, and puts everything right at the end.
    ///
    /// # Errors
    ///
    /// If a node cannot be started again.
    pub async fn carry_out(&self, fleet: &Arc<Fleet>, start: Instant) -> io::Result<()> {
        let mut running = tokio::task::JoinSet::new();
        for fault in self.faults.clone() {
            let fleet = Arc::clone(fleet);
            running.spawn(async move {
                tokio::time::sleep_until(start + Duration::from_millis(fault.at_ms)).await;
                fault.happen(&fleet).await
            });
        }
        while let Some(happened) = running.join_next().await {
            happened.map_err(io::Error::other)??;
        }
        for node in fleet.nodes() {
            node.cut_off(Cut::default());
        }
        fleet.wait_until_ready().await
    }
}

impl Fault {
    async fn happen(self, fleet: &Fleet) -> io::Result<()> {
        let lasts = Duration::from_millis(self.for_ms);
        let wait = || tokio::time::sleep(lasts);
        match self.kind {
            FaultKind::Kill(index) => {
                fleet.node(index).kill();
                wait().await;
                fleet.start_node(index).await?;
            }
            FaultKind::Pause(index) => {
                let node = fleet.node(index);
                node.pause();
                wait().await;
                node.resume();
            }
            FaultKind::Cut(indices, cut) => {
                let nodes: Vec<Arc<Process>> = indices.iter().map(|i| fleet.node(*i)).collect();
                for node in &nodes {
                    node.cut_off(cut);
                }
                wait().await;
                for node in &nodes {
                    node.cut_off(Cut::default());
                }
            }
            FaultKind::Reset(index) => fleet.node(index).reset_connections(),
            FaultKind::LogOut(outage) => {
                fleet.site.log.change(|knobs| knobs.outage = outage);
                wait().await;
                fleet.site.log.change(|knobs| knobs.outage = Outage::None);
            }
            FaultKind::LogLosesAnswers => {
                let lose = |part| {
                    let change = |knobs: &mut teaselline_stand_ins::log::LogKnobs| {
                        knobs.lose_answer_probability = part;
                    };
                    fleet.site.log.change(change);
                };
                lose(LOST_ANSWERS_PART);
                wait().await;
                lose(0.0);
            }
            FaultKind::Services(fault) => {
                set_services(fleet, fault, CUT_PART);
                wait().await;
                set_services(fleet, ServiceFault::None, 0.0);
            }
        }
        Ok(())
    }
}

fn set_services(fleet: &Fleet, fault: ServiceFault, part: f64) {
    for (_host, upstream) in fleet.site.upstreams() {
        if let Upstream::Service(service) = &*upstream {
            service.change(|knobs| {
                knobs.fault = fault;
                knobs.fault_probability = part;
            });
        }
    }
}

fn fault(rng: &mut SmallRng, nodes: usize) -> Fault {
    let node = rng.random_range(0..nodes);
    let kind = match rng.random_range(0..100) {
        0..25 => FaultKind::Kill(node),
        25..50 => FaultKind::Pause(node),
        50..75 => FaultKind::Cut(some_nodes(rng, nodes), some_cut(rng)),
        75..80 => FaultKind::Reset(node),
        80..84 => FaultKind::LogOut(Outage::Refuse),
        84..88 => FaultKind::LogOut(Outage::Hang),
        88..90 => FaultKind::LogLosesAnswers,
        90..95 => FaultKind::Services(ServiceFault::CutAfterEffect),
        95..98 => FaultKind::Services(ServiceFault::CutBeforeEffect),
        _ => FaultKind::Services(ServiceFault::NotRun),
    };
    let longest_ms = match kind {
        FaultKind::Pause(_) => LONGEST_PAUSE_MS,
        _ => LONGEST_PAUSE_MS / 2,
    };
    Fault {
        at_ms: rng.random_range(0..WINDOW_MS),
        for_ms: rng.random_range(200..=longest_ms),
        kind,
    }
}

fn some_nodes(rng: &mut SmallRng, nodes: usize) -> Vec<usize> {
    let all: Vec<_> = (0..nodes).collect();
    let count = rng.random_range(1..=nodes);
    let mut chosen: Vec<_> = all.choose_multiple(rng, count).copied().collect();
    chosen.sort_unstable();
    chosen
}

fn some_cut(rng: &mut SmallRng) -> Cut {
    match rng.random_range(0..3) {
        0 => Cut {
            hears_nothing: true,
            is_not_heard: false,
        },
        1 => Cut {
            hears_nothing: false,
            is_not_heard: true,
        },
        _ => Cut {
            hears_nothing: true,
            is_not_heard: true,
        },
    }
}
