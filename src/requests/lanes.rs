//! Lanes that carry records from a home to its witnesses, many to a message.
//!
//! While one message is under way, what is told meanwhile waits for the next, so that the number
//! of messages follows the round trip and not the number of requests.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use super::links::{Links, Peers};
use crate::keys::Incarnation;
use crate::node::messages::{Reply, Request, Told};

/// Records in one message at the most.
const BATCH_RECORDS: usize = 256;

/// Bytes of prompts and tokens in one message, beyond which it is closed.
const BATCH_BYTES: usize = 1024 * 1024;

/// How long records that ask for no consent wait for company.
const GATHER_MS: u64 = 20;

/// After this long with nothing to tell, a lane ends.
const IDLE_MS: u64 = 30_000;

/// Records that may wait in one lane; beyond that a home works without its standby.
const LANE_RECORDS: usize = 16 * 1024;

struct Letter {
    told: Told,
    answer: oneshot::Sender<bool>,
}

/// The lanes of one home, by witness.
#[derive(Debug)]
pub struct Lanes<L: Links> {
    peers: Arc<L::Peers>,
    lanes: Mutex<Vec<(Incarnation, mpsc::Sender<Letter>)>>,
}

impl<L: Links> Lanes<L> {
    /// Lanes over these peers.
    #[must_use]
    pub fn new(peers: Arc<L::Peers>) -> Self {
        Self {
            peers,
            lanes: Mutex::default(),
        }
    }

    /// Tells a witness; the answer comes through the receiver, which closes without one if the
    /// witness does not answer.
    pub fn tell(&self, witness: Incarnation, told: Told) -> oneshot::Receiver<bool> {
        let (answer, answered) = oneshot::channel();
        let mut letter = Letter { told, answer };
        let mut lanes = self.lanes.lock();
        loop {
            let index = match lanes.binary_search_by_key(&witness, |lane| lane.0) {
                Ok(index) => index,
                Err(index) => {
                    lanes.insert(index, (witness, self.start(witness)));
                    index
                }
            };
            match lanes[index].1.try_send(letter) {
                Ok(()) => break,
                Err(mpsc::error::TrySendError::Full(_)) => {
                    metrics::counter!("teaselline_standby_dropped_total").increment(1);
                    break;
                }
                // The lane ended for idleness just now; the next turn starts another.
                Err(mpsc::error::TrySendError::Closed(returned)) => {
                    lanes.remove(index);
                    letter = returned;
                }
            }
        }
        answered
    }

    fn start(&self, witness: Incarnation) -> mpsc::Sender<Letter> {
        let (sender, receiver) = mpsc::channel(LANE_RECORDS);
        tokio::spawn(run::<L>(Arc::clone(&self.peers), witness, receiver));
        sender
    }
}

async fn run<L: Links>(
    peers: Arc<L::Peers>,
    witness: Incarnation,
    mut letters: mpsc::Receiver<Letter>,
) {
    let idle = Duration::from_millis(IDLE_MS);
    while let Ok(Some(first)) = tokio::time::timeout(idle, letters.recv()).await {
        let batch = gather(first, &mut letters).await;
        let (told, answers): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .map(|letter| (letter.told, letter.answer))
            .unzip();
        let request = Request::Witness { witness, told };
        if let Ok(Reply::Consents(consents)) = peers.call(witness, request).await {
            for (answer, consent) in answers.into_iter().zip(consents) {
                if answer.send(consent).is_err() {
                    log::trace!("a request no longer waits for its witness");
                }
            }
        }
    }
}

async fn gather(first: Letter, letters: &mut mpsc::Receiver<Letter>) -> Vec<Letter> {
    let mut bytes = size_bytes(&first);
    let mut urgent = first.told.wants_consent;
    let mut batch = vec![first];
    let until = tokio::time::Instant::now() + Duration::from_millis(GATHER_MS);
    while batch.len() < BATCH_RECORDS && bytes < BATCH_BYTES {
        let next = if urgent {
            letters.try_recv().ok()
        } else {
            tokio::time::timeout_at(until, letters.recv())
                .await
                .ok()
                .flatten()
        };
        let Some(letter) = next else { break };
        bytes += size_bytes(&letter);
        urgent |= letter.told.wants_consent;
        batch.push(letter);
    }
    batch
}

fn size_bytes(letter: &Letter) -> usize {
    let copy = &letter.told.copy;
    let tokens: usize = copy.chunk.tokens.iter().map(String::len).sum();
    tokens + copy.call.size_bytes()
}
