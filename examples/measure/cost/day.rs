//! One day's load, prices, waves and refusals, drawn from a seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use teaselline::document::Document;
use teaselline::keys::{ClassKey, DomainKey};
use teaselline::placement::Price;
use teaselline::time::TimeMs;

/// Length of one step.
pub const STEP_MS: u64 = 15_000;
/// Length of one step.
pub const STEP_SECONDS: f64 = 15.0;

const DAY_MS: u64 = 86_400_000;
const MINUTE_MS: u64 = 60_000;
const MINUTES: u64 = 2 * 1_440;

/// Waves on the day that counts, each of one failure domain's reclaimable hosts.
const WAVES: u32 = 2;

/// How long a class stays short in a failure domain after a wave.
const SHORT_MS: u64 = 45 * MINUTE_MS;

/// Part of the reclaimable hosts that are reclaimed one by one in a day, besides waves.
const RECLAIMED_SINGLY: f64 = 0.05;

/// Part of all hosts that fail in a day: 45 of 5,100.
const FAILED: f64 = 45.0 / 5_100.0;

/// How far a spot price goes from its list price in a minute, and comes back.
const PRICE_STEP: f64 = 0.012;
const PRICE_RETURN: f64 = 0.003;

/// A wave: a failure domain's reclaimable hosts get notice together.
#[derive(Clone, Copy, Debug)]
pub struct Wave {
    pub at_ms: TimeMs,
    pub domain: DomainKey,
}

/// Two days; the second counts.
#[derive(Debug)]
pub struct Day {
    /// Streams by minute.
    streams: Vec<f64>,
    /// Prices by minute, in the order of class and failure domain.
    prices: Vec<Vec<Price>>,
    pub waves: Vec<Wave>,
    /// For the choice of single hosts that are reclaimed or fail.
    pub seed: u64,
}

impl Day {
    pub fn new(seed: u64, streams_max: f64, document: &Document) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            streams: streams(&mut rng, streams_max),
            prices: prices(&mut rng, document),
            waves: waves(&mut rng, document),
            seed,
        }
    }

    pub fn streams(&self, at: TimeMs) -> f64 {
        self.streams[minute(at)]
    }

    pub fn prices(&self, at: TimeMs) -> &[Price] {
        &self.prices[minute(at)]
    }

    /// Whether reclaimable starts are refused in a failure domain.
    pub fn is_short(&self, domain: DomainKey, at: TimeMs) -> bool {
        let mut waves = self.waves.iter();
        waves.any(|wave| {
            wave.domain == domain && wave.at_ms <= at && at.since(wave.at_ms) < SHORT_MS
        })
    }

    /// The chance that one host is taken away in one step, besides waves.
    pub fn loss_per_step(reclaimable: bool) -> f64 {
        let a_day = FAILED + if reclaimable { RECLAIMED_SINGLY } else { 0.0 };
        a_day * STEP_SECONDS / 86_400.0
    }
}

/// Steps of the day that counts.
pub fn steps() -> impl Iterator<Item = TimeMs> {
    all_steps().filter(|at| counts(*at))
}

/// Minutes of the day that counts; load and prices change with them.
pub fn minutes() -> impl Iterator<Item = TimeMs> {
    steps().filter(|at| at.0.is_multiple_of(MINUTE_MS))
}

/// Steps of both days.
pub fn all_steps() -> impl Iterator<Item = TimeMs> {
    (0..2 * DAY_MS / STEP_MS).map(|step| TimeMs(step * STEP_MS))
}

/// Whether a step counts.
pub fn counts(at: TimeMs) -> bool {
    at.0 >= DAY_MS
}

fn minute(at: TimeMs) -> usize {
    usize::try_from(at.0 / MINUTE_MS).expect("two days of minutes")
}

/// A day that is quiet at night and has a rise at ten, noise, and one burst of twenty minutes.
fn streams(rng: &mut SmallRng, streams_max: f64) -> Vec<f64> {
    let burst = 1_440 + rng.random_range(480..1_200);
    let mut noise = 0.0;
    let by_minute = (0..MINUTES).map(|minute| {
        let of_day = f64::from(u32::try_from(minute % 1_440).expect("minutes of a day")) / 1_440.0;
        let wave = 0.5 - 0.5 * ((of_day - 0.12) * std::f64::consts::TAU).cos();
        let noon = (-((of_day - 0.45) / 0.08).powi(2)).exp();
        noise = noise * 0.95 + rng.random_range(-0.01..0.01);
        let burst = if (burst..burst + 20).contains(&minute) {
            1.25
        } else {
            1.0
        };
        streams_max * (0.25 + 0.55 * wave + 0.15 * noon) * (1.0 + noise) * burst
    });
    by_minute.collect()
}

fn prices(rng: &mut SmallRng, document: &Document) -> Vec<Vec<Price>> {
    let domains = 0..document.failure_domains.len();
    let classes = 0..document.host_classes.len();
    let offers = classes.flat_map(|class| domains.clone().map(move |domain| (class, domain)));
    let mut factors: Vec<(ClassKey, DomainKey, f64)> = offers
        .map(|(class, domain)| {
            let factor = rng.random_range(0.85..1.15);
            (ClassKey::from(class), DomainKey::from(domain), factor)
        })
        .collect();
    let by_minute = (0..MINUTES).map(|_| {
        for (class, _, factor) in &mut factors {
            if document.host_class(*class).reclaimable {
                let step = rng.random_range(-PRICE_STEP..PRICE_STEP);
                *factor = (*factor + step + (1.0 - *factor) * PRICE_RETURN).clamp(0.5, 2.0);
            }
        }
        let prices = factors.iter().map(|(class, domain, factor)| Price {
            class: *class,
            domain: *domain,
            price_per_hour: document.host_class(*class).price_per_hour * factor,
        });
        prices.collect()
    });
    by_minute.collect()
}

fn waves(rng: &mut SmallRng, document: &Document) -> Vec<Wave> {
    let domains = document.failure_domains.len();
    let waves = (0..WAVES).map(|_| Wave {
        at_ms: TimeMs(DAY_MS + rng.random_range(0..DAY_MS / STEP_MS) * STEP_MS),
        domain: DomainKey::from(rng.random_range(0..domains)),
    });
    waves.collect()
}
