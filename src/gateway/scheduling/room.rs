//! What the engines of a pool can take now, and whether that is too little.

use crate::gateway::num;
use crate::time::TimeMs;

/// Backlog of the least loaded engine above which a pool is short of room, as a share of the
/// shortest target for the first token.
const SHORT_SHARE: f64 = 0.5;

/// Backlog that the engines are kept at while the pool is short, as a share of that target: engines
/// stay busy, and requests are answered in time.
const WANTED_SHARE: f64 = 0.45;

/// Backlog above which no request is started while the pool is short, as a share of that target.
const MAX_STARTED_SHARE: f64 = 0.5;

/// Time for which the backlog exceeds its bound before the pool counts as short; a burst is shorter.
const ENTER_MS: u64 = 250;

/// Time for which the room exceeds the demand before the pool no longer counts as short.
const LEAVE_MS: u64 = 1_500;

/// Demand as a share of the room below which the shortage is over.
const MET_SHARE: f64 = 0.95;

/// Gain by which the present backlog changes what may start.
const BACKLOG_GAIN: f64 = 0.5;

/// Time in which a lasting deviation of the backlog corrects the learned speed by as much.
const CORRECTION_MS: f64 = 2_000.0;

/// Bounds of the correction of the learned speed.
const CORRECTION: (f64, f64) = (0.25, 2.0);

/// Least part of the corrected speed that may start, whatever the backlog.
const MIN_STARTABLE: f64 = 0.1;

/// Longest time between two updates that counts into the correction.
const MAX_UPDATE_MS: u64 = 200;

const MS_PER_S: f64 = 1_000.0;

/// The load of one engine that accepts requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EngineLoad {
    pub read_tokens_per_ms: f64,
    /// Prompt tokens of all nodes' requests that have not returned a first token.
    pub unread_tokens: u64,
    pub running: u32,
    pub slots: u32,
}

/// What the engines of one pool can take.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Room {
    /// Prefill speed of the engines with a free slot, together.
    pub read_tokens_per_s: f64,
    /// Time to read what waits at the engine that is done first.
    pub least_backlog_ms: f64,
    /// Time to read what waits at all engines, together.
    pub mean_backlog_ms: f64,
}

impl Room {
    /// Returns the room at these engines.
    #[must_use]
    pub fn of(engines: impl Iterator<Item = EngineLoad>) -> Self {
        let open = engines.filter(|engine| engine.running < engine.slots.max(1));
        let mut unread_tokens = 0.0;
        let mut room = Self {
            least_backlog_ms: f64::INFINITY,
            ..Self::default()
        };
        for engine in open {
            let unread = num::to_f64(engine.unread_tokens);
            let backlog_ms = unread / engine.read_tokens_per_ms;
            unread_tokens += unread;
            room.read_tokens_per_s += engine.read_tokens_per_ms * MS_PER_S;
            room.least_backlog_ms = room.least_backlog_ms.min(backlog_ms);
        }
        room.mean_backlog_ms = room.reading_ms(unread_tokens);
        room
    }

    /// Returns the time in which all engines together read these tokens.
    fn reading_ms(&self, tokens: f64) -> f64 {
        tokens * MS_PER_S / self.read_tokens_per_s.max(f64::MIN_POSITIVE)
    }

    /// Whether an engine has so little to read that it may get a request.
    pub fn admits_start(&self, target_ms: f64) -> bool {
        self.least_backlog_ms <= target_ms * MAX_STARTED_SHARE
    }

    /// Returns the time until an engine has so little to read that it may get a request.
    pub fn until_start_ms(&self, target_ms: f64) -> f64 {
        (self.least_backlog_ms - target_ms * MAX_STARTED_SHARE).max(0.0)
    }

    /// Returns the room after a request with these tokens has been started.
    #[must_use]
    pub fn after_start(mut self, tokens: f64) -> Self {
        let added_ms = self.reading_ms(tokens);
        self.least_backlog_ms += added_ms;
        self.mean_backlog_ms += added_ms;
        self
    }
}

/// Sets how much may start on all nodes together, by the backlog of the engines.
///
/// Engines that are faster than was learned run empty, and the backlog of slower ones grows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pacer {
    /// True speed of the engines over the learned one, as the backlog shows.
    correction: f64,
    updated_at: TimeMs,
}

impl Default for Pacer {
    fn default() -> Self {
        Self {
            correction: 1.0,
            updated_at: TimeMs::default(),
        }
    }
}

impl Pacer {
    /// Follows the backlog while requests are held back.
    ///
    /// Without an engine that takes requests there is no backlog to follow.
    pub fn update(&mut self, room: &Room, target_ms: f64, now: TimeMs) {
        if room.read_tokens_per_s <= 0.0 {
            return;
        }
        let passed_ms = num::to_f64(now.since(self.updated_at).min(MAX_UPDATE_MS));
        self.updated_at = now;
        let change = Self::slack(room, target_ms).max(-1.0) * passed_ms / CORRECTION_MS;
        self.correction = (self.correction + change).clamp(CORRECTION.0, CORRECTION.1);
    }

    /// Returns the tokens a second that may be started on all nodes together.
    pub fn startable_tokens_per_s(&self, room: &Room, target_ms: f64) -> f64 {
        let factor = self.correction + BACKLOG_GAIN * Self::slack(room, target_ms);
        room.read_tokens_per_s * factor.max(self.correction * MIN_STARTABLE)
    }

    /// Returns how far the backlog is below the wanted one, as a part of that; negative above it.
    fn slack(room: &Room, target_ms: f64) -> f64 {
        1.0 - room.mean_backlog_ms / (target_ms * WANTED_SHARE)
    }
}

/// A change of whether a pool is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    Began,
    Ended {
        /// Time for which the pool was short.
        after_ms: u64,
    },
}

/// What the nodes report of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct FleetLoad {
    /// What callers ask of all nodes.
    pub demand_tokens_per_s: f64,
    /// What may be started on all nodes.
    pub startable_tokens_per_s: f64,
    /// Whether another node reports that the pool is short.
    pub is_reported_short: bool,
}

/// Whether a pool is short of room, with hysteresis.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Shortage {
    short_since: Option<TimeMs>,
    /// Since when the pool shows the opposite of its state.
    changing_since: Option<TimeMs>,
}

impl Shortage {
    /// Whether the pool is short.
    pub fn is_short(&self) -> bool {
        self.short_since.is_some()
    }

    /// Updates the state; returns whether it has changed.
    pub fn update(
        &mut self,
        room: &Room,
        target_ms: f64,
        load: &FleetLoad,
        now: TimeMs,
    ) -> Option<Change> {
        let is_overdue =
            room.least_backlog_ms.is_finite() && room.least_backlog_ms > target_ms * SHORT_SHARE;
        let is_met = load.demand_tokens_per_s <= load.startable_tokens_per_s * MET_SHARE;
        let (is_changing, after_ms) = match self.short_since {
            // Where peers hold back, the backlog stays below the bound.
            None if load.is_reported_short => (!is_met, 0),
            None => (is_overdue, ENTER_MS),
            Some(_since) => (is_met && !is_overdue, LEAVE_MS),
        };
        if !is_changing {
            self.changing_since = None;
            return None;
        }
        let changing_since = *self.changing_since.get_or_insert(now);
        if now.since(changing_since) < after_ms {
            return None;
        }
        let change = match self.short_since {
            None => Change::Began,
            Some(since) => Change::Ended {
                after_ms: now.since(since),
            },
        };
        *self = Self {
            short_since: (change == Change::Began).then_some(now),
            changing_since: None,
        };
        Some(change)
    }
}
