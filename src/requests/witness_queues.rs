//! Batches updates from a home to each of its witnesses.
//!
//! While one message is in transit, new updates wait for the next one, so the number of messages
//! depends on the round-trip time and not on the number of requests.
//!
//! During an outage of a witness one empty message at a time probes it for all requests whose
//! reports were lost. Requests that found out one by one would each learn of the end of the outage
//! late, and send their reports again and again until then.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use super::dependencies::{Dependencies, Peers, Unreachable};
use crate::keys::Incarnation;
use crate::node::messages::{Reply, Request, WitnessUpdate};

/// Maximum number of updates in one message.
const MAX_BATCH_UPDATES: usize = 256;

/// Size of prompts and tokens in one message beyond which no more updates are added.
const MAX_BATCH_BYTES: usize = 1024 * 1024;

/// Time that a batch without consent requests waits for more updates.
const BATCH_WINDOW_MS: u64 = 20;

/// Time without updates after which a witness's queue is closed.
const IDLE_TIMEOUT_MS: u64 = 30_000;

/// Delay before unacknowledged outcomes are sent again, and between two probes of a witness.
const RESEND_DELAY_MS: u64 = 250;

/// Consecutive unanswered messages after which unacknowledged outcomes are dropped.
const MAX_FAILURES: u32 = 10;

/// Maximum number of updates in one queue; further ones are dropped, and the home runs without a
/// standby copy.
const QUEUE_CAPACITY: usize = 16 * 1024;

struct QueuedUpdate {
    update: WitnessUpdate,
    reply: oneshot::Sender<bool>,
}

/// The update queues of one home, one for each witness.
#[derive(Debug)]
pub struct WitnessQueues<L: Dependencies> {
    peers: Arc<L::Peers>,
    queues: Mutex<Vec<(Incarnation, mpsc::Sender<QueuedUpdate>)>>,
}

impl<L: Dependencies> WitnessQueues<L> {
    /// Creates queues without entries over these peers.
    #[must_use]
    pub fn new(peers: Arc<L::Peers>) -> Self {
        Self {
            peers,
            queues: Mutex::default(),
        }
    }

    /// Queues an update for a witness; the receiver gets the reply, and closes without one if the
    /// witness does not reply.
    ///
    /// The receiver of a report of progress stays open while the witness does not reply. It gets
    /// `false` if the report was lost and the witness replies again, and closes once the witness
    /// is gone.
    pub fn send(&self, witness: Incarnation, update: WitnessUpdate) -> oneshot::Receiver<bool> {
        let (reply, receiver) = oneshot::channel();
        let mut entry = QueuedUpdate { update, reply };
        let mut queues = self.queues.lock();
        loop {
            let index = match queues.binary_search_by_key(&witness, |queue| queue.0) {
                Ok(index) => index,
                Err(index) => {
                    queues.insert(index, (witness, self.start(witness)));
                    index
                }
            };
            match queues[index].1.try_send(entry) {
                Ok(()) => break,
                Err(mpsc::error::TrySendError::Full(_)) => {
                    metrics::counter!("teaselline_standby_dropped_total").increment(1);
                    break;
                }
                // The queue was closed for idleness just now; the next iteration opens another.
                Err(mpsc::error::TrySendError::Closed(returned)) => {
                    queues.remove(index);
                    entry = returned;
                }
            }
        }
        receiver
    }

    fn start(&self, witness: Incarnation) -> mpsc::Sender<QueuedUpdate> {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(run::<L>(Arc::clone(&self.peers), witness, receiver));
        sender
    }
}

async fn run<L: Dependencies>(
    peers: Arc<L::Peers>,
    witness: Incarnation,
    mut queue: mpsc::Receiver<QueuedUpdate>,
) {
    let mut unacknowledged = UnacknowledgedOutcomes::default();
    let mut lost = LostReports::default();
    loop {
        lost.remove_abandoned();
        let has_more_to_send = !unacknowledged.is_empty() || !lost.is_empty();
        let timeout = receive_timeout(has_more_to_send);
        let batch = match tokio::time::timeout(timeout, queue.recv()).await {
            Ok(Some(first)) => collect_batch(first, &mut queue).await,
            Err(_) if has_more_to_send => Vec::new(),
            Ok(None) | Err(_) => return,
        };
        let reports: Vec<_> = batch
            .iter()
            .map(|queued| is_report(&queued.update))
            .collect();
        let (new, replies): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .map(|queued| (queued.update, queued.reply))
            .unzip();
        let (resent, updates) = unacknowledged.prepend_to(new);
        match peers
            .call(witness, Request::Witness { witness, updates })
            .await
        {
            Ok(Reply::Consents(consents)) => {
                unacknowledged.clear();
                lost.reply();
                let consents = consents.into_iter().skip(resent);
                for (reply, consent) in replies.into_iter().zip(consents) {
                    if reply.send(consent).is_err() {
                        log::trace!("request no longer waits for its witness");
                    }
                }
            }
            Err(Unreachable::Refusing | Unreachable::Silent) => {
                unacknowledged.record_failure();
                lost.add(replies.into_iter().zip(reports));
            }
            Ok(_) | Err(Unreachable::Gone) => {
                unacknowledged.clear();
                lost = LostReports::default();
            }
        }
    }
}

/// Returns whether an update reports the progress of a running request.
fn is_report(update: &WitnessUpdate) -> bool {
    !update.needs_reply() && !update.has_outcome()
}

/// Returns how long to wait for the next update.
fn receive_timeout(has_more_to_send: bool) -> Duration {
    Duration::from_millis(if has_more_to_send {
        RESEND_DELAY_MS
    } else {
        IDLE_TIMEOUT_MS
    })
}

/// Requests whose reports were lost, which wait until the witness is reached again.
#[derive(Debug, Default)]
struct LostReports {
    replies: Vec<oneshot::Sender<bool>>,
}

impl LostReports {
    fn is_empty(&self) -> bool {
        self.replies.is_empty()
    }

    /// Adds the replies of those updates that are reports, and drops the others.
    fn add(&mut self, replies: impl Iterator<Item = (oneshot::Sender<bool>, bool)>) {
        let reports = replies.filter(|(_reply, is_report)| *is_report);
        self.replies.extend(reports.map(|(reply, _)| reply));
    }

    /// Removes requests that have ended or have sent another report.
    fn remove_abandoned(&mut self) {
        self.replies.retain(|reply| !reply.is_closed());
    }

    /// Tells the requests that the witness is reached again.
    fn reply(&mut self) {
        for reply in self.replies.drain(..) {
            if reply.send(false).is_err() {
                log::trace!("request no longer waits for its witness");
            }
        }
    }
}

/// Outcomes that a witness has not acknowledged yet.
///
/// If the message with an outcome is lost and the outcome is not sent again, no node knows it once
/// the home is gone: the caller would be told `unknown` for a request that was answered.
#[derive(Debug, Default)]
struct UnacknowledgedOutcomes {
    outcomes: Vec<WitnessUpdate>,
    failures: u32,
}

impl UnacknowledgedOutcomes {
    fn is_empty(&self) -> bool {
        self.outcomes.is_empty()
    }

    /// Returns the number of unacknowledged outcomes, and a message of these followed by the new
    /// updates.
    fn prepend_to(&mut self, new: Vec<WitnessUpdate>) -> (usize, Vec<WitnessUpdate>) {
        let resent = self.outcomes.len();
        let mut all = self.outcomes.clone();
        let outcomes = new.iter().filter(|update| update.has_outcome());
        self.outcomes.extend(outcomes.cloned());
        all.extend(new);
        (resent, all)
    }

    fn record_failure(&mut self) {
        self.failures += 1;
        if self.failures >= MAX_FAILURES || self.outcomes.len() > MAX_BATCH_UPDATES {
            let lost = self.outcomes.len() as u64;
            metrics::counter!("teaselline_standby_dropped_total").increment(lost);
            self.clear();
        }
    }

    fn clear(&mut self) {
        *self = Self::default();
    }
}

async fn collect_batch(
    first: QueuedUpdate,
    queue: &mut mpsc::Receiver<QueuedUpdate>,
) -> Vec<QueuedUpdate> {
    let mut bytes = first.update.size_bytes();
    let mut is_urgent = first.update.needs_reply();
    let mut batch = vec![first];
    let until = tokio::time::Instant::now() + Duration::from_millis(BATCH_WINDOW_MS);
    while batch.len() < MAX_BATCH_UPDATES && bytes < MAX_BATCH_BYTES {
        let next = if is_urgent {
            queue.try_recv().ok()
        } else {
            tokio::time::timeout_at(until, queue.recv())
                .await
                .ok()
                .flatten()
        };
        let Some(queued) = next else { break };
        bytes += queued.update.size_bytes();
        is_urgent |= queued.update.needs_reply();
        batch.push(queued);
    }
    batch
}

#[cfg(test)]
mod tests;
