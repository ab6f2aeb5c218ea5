//! Calls that run beside what happens to nodes and hosts.

use std::sync::Arc;

use teaselline::client::call::Call;
use teaselline::client::caller::Caller;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::load::{self, Load, Seen};

/// Begins the calls all at once.
pub fn begin(caller: &Arc<Caller>, calls: Vec<Call>) -> JoinHandle<Vec<Seen>> {
    let at_once = calls.len();
    tokio::spawn(load::run_calls(Arc::clone(caller), calls, at_once))
}

/// Makes such calls without a break until told to stop.
pub fn keep_calling(caller: &Arc<Caller>, load: &Load) -> KeepCalling {
    let (caller, stop) = (Arc::clone(caller), CancellationToken::new());
    let (load, stopped) = (load.clone(), stop.clone());
    let task = tokio::spawn(async move {
        let mut seen = Vec::new();
        for seed in 0.. {
            if stopped.is_cancelled() {
                break;
            }
            let load = Load {
                seed,
                ..load.clone()
            };
            seen.extend(load::run(Arc::clone(&caller), &load).await);
        }
        seen
    });
    KeepCalling { task, stop }
}

/// Short calls that go on.
#[derive(Debug)]
pub struct KeepCalling {
    task: JoinHandle<Vec<Seen>>,
    stop: CancellationToken,
}

impl KeepCalling {
    /// Stops after the calls of the moment and gives what was seen.
    pub async fn stop(self) -> Vec<Seen> {
        self.stop.cancel();
        self.task.await.expect("callers do not panic")
    }
}

/// Short calls of all kinds.
pub fn mixed_calls() -> Load {
    Load {
        calls: 20,
        at_once: 10,
        service_part: 0.3,
        non_idempotent_part: 0.5,
        model: "splice-lookup".to_owned(),
        service: "catalogue".to_owned(),
        tokens: (8, 40),
        seed: 0,
    }
}

/// Short calls that need no other node.
pub fn idempotent_calls() -> Load {
    Load {
        service_part: 0.0,
        non_idempotent_part: 0.0,
        ..mixed_calls()
    }
}
