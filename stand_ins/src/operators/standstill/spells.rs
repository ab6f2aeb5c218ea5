//! The spells in which upstreams stand still, and the changes of the configuration beside them.

use std::io;

use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};
use tokio::time::{Duration, Instant};

use super::upstream_process::UpstreamProcess;
use crate::operators::deployment::{Deployment, document};

/// How likely one upstream is stopped, all of a service are, or the configuration is changed at a step.
const STOPS_ONE: f64 = 0.2;
const STOPS_SERVICE: f64 = 0.012;
const CHANGES: f64 = 0.04;

/// For how long an upstream stands still, in milliseconds.
const STANDS_MS: std::ops::Range<u64> = 300..1_700;

/// Idle timeouts of callers' channels and timeouts of routes, in milliseconds.
const IDLE_MS: [u64; 4] = [600, 1_500, 4_000, 15_000];
const ROUTE_MS: [u64; 3] = [700, 1_200, 2_500];

/// Stops and continues upstreams, and changes the configuration.
#[derive(Debug)]
pub(super) struct Spells {
    rng: SmallRng,
    /// Upstreams that stand still by their places, and until when.
    standing: Vec<(usize, Instant)>,
    version: u64,
}

impl Spells {
    pub fn new(rng: SmallRng) -> Self {
        Self {
            rng,
            standing: Vec::new(),
            version: 1,
        }
    }

    /// Does what is due at one step; tells what it did.
    ///
    /// # Errors
    ///
    /// If an upstream has ended.
    pub fn step(
        &mut self,
        deployment: &Deployment,
        upstreams: &[UpstreamProcess],
    ) -> io::Result<Vec<String>> {
        self.continue_due(upstreams)?;
        let mut told = Vec::new();
        if self.rng.random_bool(STOPS_ONE) {
            let place = self.rng.random_range(0..upstreams.len());
            told.extend(self.stop(upstreams, place)?);
        }
        if self.rng.random_bool(STOPS_SERVICE) {
            let service = ["desk", "pool"][self.rng.random_range(0..2)];
            for (place, upstream) in upstreams.iter().enumerate() {
                if upstream.id().starts_with(service) {
                    told.extend(self.stop(upstreams, place)?);
                }
            }
        }
        if self.rng.random_bool(CHANGES) {
            told.push(self.change(deployment));
        }
        Ok(told)
    }

    fn continue_due(&mut self, upstreams: &[UpstreamProcess]) -> io::Result<()> {
        let now = Instant::now();
        let due = self
            .standing
            .extract_if(.., |(_place, until)| *until <= now);
        due.into_iter()
            .try_for_each(|(place, _until)| upstreams[place].go_on())
    }

    /// Stops an upstream that does not stand still yet.
    fn stop(&mut self, upstreams: &[UpstreamProcess], place: usize) -> io::Result<Option<String>> {
        let upstream = &upstreams[place];
        if upstream.is_standing() {
            return Ok(None);
        }
        let stands_ms = self.rng.random_range(STANDS_MS);
        upstream.stand_still()?;
        let until = Instant::now() + Duration::from_millis(stands_ms);
        self.standing.push((place, until));
        let id = upstream.id();
        Ok(Some(format!("{id} stands still for {stands_ms} ms")))
    }

    /// Writes a version of the configuration that differs in its times, or moves a route to the other service.
    fn change(&mut self, deployment: &Deployment) -> String {
        self.version += 1;
        let mut document = document(self.version);
        let idle_ms = IDLE_MS[self.rng.random_range(0..IDLE_MS.len())];
        let route_ms = ROUTE_MS[self.rng.random_range(0..ROUTE_MS.len())];
        document["limits"]["idleTimeoutMs"] = idle_ms.into();
        let routes = document["routes"].as_array_mut().into_iter().flatten();
        for route in routes {
            route["timeoutMs"] = route_ms.into();
            if self.rng.random_bool(0.3) {
                move_to_other_service(route);
            }
        }
        deployment.configure(&document);
        format!("configuration: idle timeout {idle_ms} ms, routes' timeout {route_ms} ms")
    }
}

fn move_to_other_service(route: &mut Value) {
    let is_desk = route["service"] == json!("desk");
    let other = if is_desk { "pool" } else { "desk" };
    route["service"] = other.into();
}
