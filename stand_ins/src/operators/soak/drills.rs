//! Drills of the store beside all other faults: it is away for a moment and comes back from a copy.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use crate::operators::deployment::Deployment;
use crate::operators::store::{Door, StoreCopy};

/// What is being drilled, and when the next step is due.
pub(super) struct Drills {
    rng: SmallRng,
    due: Instant,
    next: Next,
}

/// The next step of a drill.
enum Next {
    /// A copy is made.
    Copy,
    /// The store goes away.
    Leave(StoreCopy),
    /// It comes back from the copy.
    Return(StoreCopy),
    /// Operators write their newest configuration again, and records of upstreams that are gone lapse again.
    Rewrite(String),
}

impl Drills {
    /// Drills of a seed, on random numbers of their own: the other faults of the seed stay as they are.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(!seed),
            due: Instant::now(),
            next: Next::Copy,
        }
    }

    /// Takes the next step, if it is due; says which.
    pub fn step(&mut self, deployment: &Deployment) -> Option<String> {
        if Instant::now() < self.due {
            return None;
        }
        let (next, told, pause_ms) = match std::mem::replace(&mut self.next, Next::Copy) {
            Next::Copy => (
                Next::Leave(deployment.store.copy()),
                "the store is copied",
                500..4_000,
            ),
            Next::Leave(copy) => {
                deployment.set_doors(Door::Resetting);
                (Next::Return(copy), "the store goes away", 300..1_500)
            }
            Next::Return(copy) => {
                let newest = deployment.store.newest("keyed.op", "config");
                let newest = newest.unwrap_or_default();
                deployment.store.come_back_from(copy);
                deployment.set_doors(Door::Open);
                let document = String::from_utf8_lossy(&newest).into_owned();
                let told = "the store comes back from the copy";
                (Next::Rewrite(document), told, 100..1_200)
            }
            Next::Rewrite(document) => {
                let newest = deployment.store.newest("keyed.op", "config");
                if version(&newest.unwrap_or_default()) < version(document.as_bytes()) {
                    deployment.store.put("keyed.op", "config", &document);
                }
                lapse_gone(deployment);
                (
                    Next::Copy,
                    "what the copy lacks is written again",
                    100..1_000,
                )
            }
        };
        self.next = next;
        self.due = Instant::now() + Duration::from_millis(self.rng.random_range(pause_ms));
        Some(told.to_owned())
    }

    /// Ends the drill that is under way.
    pub fn end(&mut self, deployment: &Deployment) {
        while !matches!(self.next, Next::Copy | Next::Leave(_)) {
            self.due = Instant::now();
            self.step(deployment);
        }
    }
}

fn lapse_gone(deployment: &Deployment) {
    for id in deployment.store.keys("keyed.servers") {
        if !(deployment.upstreams.iter()).any(|one| one.start_id() == id) {
            deployment.store.put("keyed.servers", &id, "");
        }
    }
}

fn version(document: &[u8]) -> u64 {
    let document: serde_json::Value = serde_json::from_slice(document).unwrap_or_default();
    document["version"].as_u64().unwrap_or_default()
}
