//! The scheduler: one task that admits streams and hands out the tokens that have become due.

use std::{sync::Arc, time::Duration};

use super::{
    EngineKnobs, EngineSettings, Shared, cache,
    core::{Core, Job, State},
    load::Sample,
    stream::{Finish, Stream},
};
use crate::number::{float, whole};

/// The shortest time between two looks; tokens due within it are written together.
const MIN_TICK_MS: f64 = 1.0;
const MAX_TICK_MS: f64 = 100.0;
const PURGE_EVERY_MS: u64 = 1_000;
/// How long a result is kept after its end.
const KEEP_MS: u64 = 90_000;
/// What counts as no time between two tokens.
const SHORTEST_INTERVAL_MS: f64 = 1e-6;

/// What is to happen after a look.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Next {
    Wait { wait_ms: f64 },
    Idle,
    Crash,
}

/// Runs until the engine dies.
pub(super) async fn run(core: Arc<Core>, shared: Arc<Shared>) {
    loop {
        if *shared.paused.borrow() {
            shared.unpaused().await;
            // No work was done during the pause.
            core.state.lock().ticked_ms = core.elapsed_ms();
        }
        let knobs = shared.knobs.lock().clone();
        let mut admitted = Vec::new();
        let (elapsed_ms, now_ms) = (core.elapsed_ms(), crate::now_ms());
        let next =
            core.state
                .lock()
                .tick(&shared.settings, &knobs, elapsed_ms, now_ms, &mut admitted);
        shared.executed.lock().append(&mut admitted);
        match next {
            Next::Crash => return shared.kill(),
            Next::Idle => core.wake.notified().await,
            Next::Wait { wait_ms } => {
                // An arrival waits no longer than a tick, so that a burst of them costs one look.
                tokio::time::sleep(Duration::from_secs_f64(MIN_TICK_MS / 1000.0)).await;
                let rest = Duration::from_secs_f64((wait_ms - MIN_TICK_MS).max(0.0) / 1000.0);
                // Either way the next look comes.
                drop(tokio::time::timeout(rest, core.wake.notified()).await);
            }
        }
    }
}

impl Core {
    fn elapsed_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }
}

impl State {
    fn tick(
        &mut self,
        settings: &EngineSettings,
        knobs: &EngineKnobs,
        elapsed_ms: f64,
        now_ms: u64,
        admitted: &mut Vec<Arc<Stream>>,
    ) -> Next {
        let passed_ms = (elapsed_ms - self.ticked_ms).max(0.0) * knobs.speed;
        self.ticked_ms = elapsed_ms;
        self.prefill(settings, passed_ms, now_ms);
        if self
            .running
            .iter()
            .any(|job| job.crashes && job.is_decoding())
        {
            return Next::Crash;
        }
        self.decode(settings, passed_ms, now_ms);
        self.admit(settings, now_ms, admitted);
        self.purge(now_ms);
        self.load.sample(Sample {
            at_ms: now_ms,
            running: self.running.len(),
            queued: self.queue.len(),
            kv_tokens_used: self.kv_tokens_running() + self.cache.tokens(),
            generated_tokens: self.generated_tokens,
        });
        self.next(settings, knobs)
    }

    /// Shares the prefill rate among the streams whose prompt is being computed.
    fn prefill(&mut self, settings: &EngineSettings, passed_ms: f64, now_ms: u64) {
        let share = self.prefill_per_ms(settings) * passed_ms;
        for job in self.running.iter_mut().filter(|job| !job.is_decoding()) {
            job.prefill_left -= share;
            let left = whole(job.prefill_left.max(0.0).ceil());
            let stream = &job.stream;
            stream.advance(|ran| {
                ran.computed_tokens =
                    (stream.prompt_tokens - ran.cached_tokens).saturating_sub(left);
            });
            if job.is_decoding() {
                // The prefill's last step gives the first token.
                job.fraction = 1.0;
                self.cache.store(&job.blocks, now_ms);
            }
        }
    }

    /// Advances each decoding stream by the time passed, and ends those that are whole.
    fn decode(&mut self, settings: &EngineSettings, passed_ms: f64, now_ms: u64) {
        let steps = passed_ms / self.interval_ms(settings);
        let mut ended = Vec::new();
        for (index, job) in self
            .running
            .iter_mut()
            .enumerate()
            .filter(|(_, job)| job.is_decoding())
        {
            // The first token comes at the prefill's end, without a step.
            job.fraction = if job.fraction >= 1.0 {
                1.0
            } else {
                job.fraction + steps
            };
            let due = whole(job.fraction);
            job.fraction -= float(due);
            let limit = job.limit;
            let (fresh, is_whole) = if due == 0 {
                (0, job.stream.position() >= limit)
            } else {
                job.stream.advance(|ran| {
                    let fresh = due.min(limit.saturating_sub(ran.end()));
                    ran.generated_tokens += fresh;
                    (fresh, ran.end() >= limit)
                })
            };
            self.generated_tokens += fresh;
            match () {
                () if job.fails && fresh > 0 => ended.push((index, Finish::Error)),
                () if is_whole => ended.push((index, job.finish)),
                () => {}
            }
        }
        for (index, finish) in ended.into_iter().rev() {
            let job = self.running.swap_remove(index);
            self.cache.store(&cache::blocks(&job.whole_text()), now_ms);
            job.stream.end(finish, now_ms);
        }
    }

    fn admit(&mut self, settings: &EngineSettings, now_ms: u64, admitted: &mut Vec<Arc<Stream>>) {
        let mut kv_tokens = self.kv_tokens_running();
        while self.running.len() < settings.slots {
            let Some(entry) = self.queue.first_entry() else {
                return;
            };
            kv_tokens += entry.get().kv_tokens();
            if kv_tokens > settings.kv_tokens_capacity && !self.running.is_empty() {
                return;
            }
            let mut job = entry.remove();
            let total = job.stream.prompt_tokens;
            let cached = self
                .cache
                .cached_tokens(&job.blocks)
                .max(job.imported_tokens)
                .min(total);
            job.prefill_left = float(total - cached);
            job.fraction = if job.is_decoding() { 1.0 } else { 0.0 };
            job.stream.advance(|ran| {
                ran.started_ms = now_ms;
                ran.cached_tokens = cached;
            });
            admitted.push(Arc::clone(&job.stream));
            self.running.push(job);
        }
    }

    /// Forgets results that nobody may ask for any more.
    fn purge(&mut self, now_ms: u64) {
        if now_ms < self.purged_ms + PURGE_EVERY_MS {
            return;
        }
        self.purged_ms = now_ms;
        let is_kept = |ended_ms: Option<u64>| ended_ms.is_none_or(|at_ms| now_ms < at_ms + KEEP_MS);
        self.streams.retain(|_, stream| is_kept(stream.ended_ms()));
        self.kv.purge(now_ms.saturating_sub(KEEP_MS));
    }

    fn next(&self, settings: &EngineSettings, knobs: &EngineKnobs) -> Next {
        let prefill_per_ms = self.prefill_per_ms(settings);
        let interval_ms = self.interval_ms(settings);
        let due_ms = |job: &Job| match () {
            () if job.is_decoding() => (1.0 - job.fraction).max(0.0) * interval_ms,
            () => job.prefill_left / prefill_per_ms,
        };
        let soonest_ms = self.running.iter().map(due_ms).reduce(f64::min);
        soonest_ms.map_or(Next::Idle, |due_ms| Next::Wait {
            wait_ms: (due_ms / knobs.speed.max(f64::MIN_POSITIVE)).clamp(MIN_TICK_MS, MAX_TICK_MS),
        })
    }

    fn kv_tokens_running(&self) -> u64 {
        self.running.iter().map(Job::kv_tokens).sum()
    }

    /// The prefill rate of each stream that is in it.
    fn prefill_per_ms(&self, settings: &EngineSettings) -> f64 {
        let streams = self.running.iter().filter(|job| !job.is_decoding()).count();
        settings.prefill_tokens_per_second / 1000.0 / float(streams.max(1) as u64)
    }

    /// The time between two tokens of a stream: it grows with the number of streams.
    fn interval_ms(&self, settings: &EngineSettings) -> f64 {
        let streams = self.running.iter().filter(|job| job.is_decoding()).count();
        let shared_ms = float(streams as u64) * 1000.0 / settings.tokens_per_second;
        shared_ms
            .max(settings.min_token_interval_ms)
            .max(SHORTEST_INTERVAL_MS)
    }
}
