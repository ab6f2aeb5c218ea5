//! One trial: a stage, and the check of what came of the calls.

use std::ops::{Deref, DerefMut};

use tokio::sync::{Semaphore, SemaphorePermit};

use crate::load::{self, Seen, Tally};
use crate::stage::Stage;

/// How long a planned stop may take.
const DRAIN_TIMEOUT_MS: u64 = 4_000;

/// Trials at once; a machine that is busy with more would be late for the notices.
static TURNS: Semaphore = Semaphore::const_new(3);

/// A stage that few trials have at once.
#[derive(Debug)]
pub struct Trial {
    stage: Stage,
    _turn: SemaphorePermit<'static>,
}

impl Trial {
    /// Starts the stand-ins of the sample document and `count` nodes before them.
    pub async fn start(count: usize) -> Self {
        let turn = TURNS.acquire().await.expect("it is never closed");
        let stage = Stage::start(count, DRAIN_TIMEOUT_MS).await;
        Self {
            stage: stage.expect("the stage gets ready"),
            _turn: turn,
        }
    }

    /// What the callers saw, checked against what ran.
    pub fn check(&self, seen: &[Seen]) -> Tally {
        load::check(seen, &self.site.history())
    }
}

impl Deref for Trial {
    type Target = Stage;

    fn deref(&self) -> &Stage {
        &self.stage
    }
}

impl DerefMut for Trial {
    fn deref_mut(&mut self) -> &mut Stage {
        &mut self.stage
    }
}
