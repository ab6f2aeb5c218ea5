//! Lanes that carry records from a home to its witnesses, many to a message.
//!
//! While one message is under way, what is told meanwhile waits for the next, so that the number
//! of messages follows the round trip and not the number of requests.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use super::links::{Links, Peers, Unreachable};
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

/// Pause before outcomes are told again that the witness may not have heard.
const AGAIN_MS: u64 = 250;

/// Messages in a row that were not answered, before outcomes are given up.
const MOST_FAILURES: u32 = 10;

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
    let mut untold = Untold::default();
    loop {
        let first = tokio::time::timeout(untold.patience(), letters.recv()).await;
        let batch = match first {
            Ok(Some(first)) => gather(first, &mut letters).await,
            Err(_) if !untold.is_empty() => Vec::new(),
            Ok(None) | Err(_) => return,
        };
        let (new, answers): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .map(|letter| (letter.told, letter.answer))
            .unzip();
        let (known, told) = untold.join(new);
        match peers
            .call(witness, Request::Witness { witness, told })
            .await
        {
            Ok(Reply::Consents(consents)) => {
                untold.clear();
                let consents = consents.into_iter().skip(known);
                for (answer, consent) in answers.into_iter().zip(consents) {
                    if answer.send(consent).is_err() {
                        log::trace!("a request no longer waits for its witness");
                    }
                }
            }
            Err(Unreachable::Silent) => untold.note_failure(),
            Ok(_) | Err(Unreachable::Gone) => untold.clear(),
        }
    }
}

/// Outcomes that a witness may not have heard of yet.
///
/// Lost with one message, an outcome would be told by nobody once the home is gone, and the caller
/// would be told `unknown` of a request whose answer there was.
#[derive(Debug, Default)]
struct Untold {
    outcomes: Vec<Told>,
    failures: u32,
}

impl Untold {
    fn is_empty(&self) -> bool {
        self.outcomes.is_empty()
    }

    /// How long to wait for more to tell.
    fn patience(&self) -> Duration {
        Duration::from_millis(if self.is_empty() { IDLE_MS } else { AGAIN_MS })
    }

    /// Puts what was not heard before what is new; gives how much that is, and all of it.
    fn join(&mut self, new: Vec<Told>) -> (usize, Vec<Told>) {
        let known = self.outcomes.len();
        let mut all = self.outcomes.clone();
        let outcomes = new.iter().filter(|told| told.is_outcome());
        self.outcomes.extend(outcomes.cloned());
        all.extend(new);
        (known, all)
    }

    fn note_failure(&mut self) {
        self.failures += 1;
        if self.failures >= MOST_FAILURES || self.outcomes.len() > BATCH_RECORDS {
            let lost = self.outcomes.len() as u64;
            metrics::counter!("teaselline_standby_dropped_total").increment(lost);
            self.clear();
        }
    }

    fn clear(&mut self) {
        *self = Self::default();
    }
}

async fn gather(first: Letter, letters: &mut mpsc::Receiver<Letter>) -> Vec<Letter> {
    let mut bytes = first.told.size_bytes();
    let mut urgent = first.told.wants_answer();
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
        bytes += letter.told.size_bytes();
        urgent |= letter.told.wants_answer();
        batch.push(letter);
    }
    batch
}
