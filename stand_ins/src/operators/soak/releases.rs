//! Releases beside all other faults: upstreams of one service are replaced, one by one, by others of the next version.

use std::io;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use crate::operators::deployment::Deployment;

/// The service whose streams callers take up.
const SERVICE: &str = "pool";

/// Upstreams that one release replaces before the next version begins.
const REPLACED: usize = 3;

/// The releases, and when the next step is due.
pub(super) struct Releases {
    rng: SmallRng,
    due: Instant,
    started: usize,
}

impl Releases {
    /// Releases of a seed, on random numbers of their own: the other faults of the seed stay as they are.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed.rotate_left(32)),
            due: Instant::now(),
            started: 0,
        }
    }

    /// Starts an upstream of the version in turn and has the oldest one of another version leave, if that is due.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn step(&mut self, deployment: &mut Deployment) -> io::Result<Option<String>> {
        if Instant::now() < self.due {
            return Ok(None);
        }
        let version = format!("v{}", 2 + self.started / REPLACED);
        self.started += 1;
        let id = format!("{SERVICE}-release{}", self.started);
        deployment.add_upstream_of(SERVICE, &id, &version).await?;
        let old = (deployment.upstreams.iter()).find(|one| {
            one.id().starts_with(SERVICE) && one.version() != version && !one.is_draining()
        });
        let told = match old {
            Some(old) => {
                old.drain();
                format!("{id} of {version} is added, {} drains", old.id())
            }
            None => format!("{id} of {version} is added"),
        };
        self.due = Instant::now() + Duration::from_millis(self.rng.random_range(400..1_500));
        Ok(Some(told))
    }
}
