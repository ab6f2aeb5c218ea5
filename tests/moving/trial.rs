//! A test deployment with a limit on concurrent tests, and the check of its calls.

use std::ops::{Deref, DerefMut};

use tokio::sync::{Semaphore, SemaphorePermit};

use crate::load::{self, Seen, Tally};
use crate::stage::Stage;

/// Timeout of a planned stop, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 4_000;

/// Limits concurrent tests to three; with more, a busy machine would miss the deadlines of notices.
static CONCURRENT_TESTS: Semaphore = Semaphore::const_new(3);

/// A deployment that holds one of the permits for concurrent tests.
#[derive(Debug)]
pub struct Trial {
    stage: Stage,
    _permit: SemaphorePermit<'static>,
}

impl Trial {
    /// Starts the stand-ins of the sample document and `count` nodes in front of them.
    pub async fn start(count: usize) -> Self {
        let permit = CONCURRENT_TESTS
            .acquire()
            .await
            .expect("the semaphore is never closed");
        let stage = Stage::start(count, DRAIN_TIMEOUT_MS).await;
        Self {
            stage: stage.expect("the deployment becomes ready"),
            _permit: permit,
        }
    }

    /// Compares what callers received with what ran; returns the counts.
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
