use super::*;
use crate::keys::HostKey;
use crate::node::messages::Item;
use crate::requests::dependencies::ItemStream;
use crate::requests::id::{IdFields, IdKey};
use crate::requests::{Call, Outcome, Record, RequestId, TeamTag, Work};
use crate::time::TimeMs;
use crate::upstreams::{EngineClient, ServiceClient};

const WITNESS: Incarnation = Incarnation(2);

/// A witness whose first replies are lost.
#[derive(Debug, Default)]
struct Witness {
    lost_replies: Mutex<u32>,
    received: Mutex<Vec<Vec<WitnessUpdate>>>,
}

#[derive(Debug)]
struct NoItems;

impl ItemStream for NoItems {
    async fn next(&mut self) -> Option<Result<Item, Unreachable>> {
        None
    }
}

impl Peers for Witness {
    type Items = NoItems;

    async fn call(&self, _to: Incarnation, request: Request) -> Result<Reply, Unreachable> {
        let Request::Witness { updates, .. } = request else {
            return Ok(Reply::WrongNode);
        };
        let consents = vec![true; updates.len()];
        self.received.lock().push(updates);
        let mut lost_replies = self.lost_replies.lock();
        if *lost_replies == 0 {
            return Ok(Reply::Consents(consents));
        }
        *lost_replies -= 1;
        Err(Unreachable::Silent)
    }

    async fn open(&self, _: Incarnation, _: Request) -> Result<(Reply, NoItems), Unreachable> {
        Err(Unreachable::Gone)
    }

    fn live(&self) -> Vec<Incarnation> {
        vec![WITNESS]
    }

    fn is_unresponsive(&self, _node: Incarnation) -> bool {
        false
    }
}

#[derive(Debug)]
struct TestLinks;

impl Dependencies for TestLinks {
    type Engines = EngineClient;
    type Services = ServiceClient;
    type Peers = Witness;
}

fn id(sequence: u32) -> RequestId {
    let draft = IdFields {
        issued_at_ms: TimeMs(0),
        home: Incarnation(1),
        witness: WITNESS,
        minter: Incarnation(1),
        sequence,
    };
    IdKey::derive(b"k").mint(draft, TeamTag(1))
}

fn ended(sequence: u32) -> WitnessUpdate {
    let record = dispatched(sequence);
    let body = b"paid".to_vec();
    record.end(Outcome::Answered { status: 200, body }, TimeMs(1));
    WitnessUpdate::Store(record.copy(0))
}

fn report(sequence: u32) -> WitnessUpdate {
    WitnessUpdate::Store(dispatched(sequence).copy(0))
}

fn dispatched(sequence: u32) -> Record {
    let call = Call {
        team: "pubs".to_owned(),
        idempotent: false,
        latency_class: "clerk".to_owned(),
        deadline_ms: TimeMs(9_000),
        work: Work::Service {
            service: "claims".to_owned(),
            path: "deposits".to_owned(),
            body: b"keg 7".to_vec(),
        },
    };
    let record = Record::new(id(sequence), call);
    record.begin_attempt(HostKey(1), ([127, 0, 0, 1], 9).into());
    record
}

/// Returns the number of outcomes in each message received.
fn outcomes(witness: &Witness) -> Vec<usize> {
    let received = witness.received.lock();
    let count =
        |updates: &Vec<WitnessUpdate>| updates.iter().filter(|update| update.has_outcome()).count();
    received.iter().map(count).collect()
}

#[tokio::test]
async fn unacknowledged_outcome_is_sent_again() {
    // Guards against outcomes that are sent only once: the message with an outcome, or the reply to
    // it, is lost; the home fails later, and a claim that was paid is reported as `unknown`.
    let witness = Arc::new(Witness::default());
    *witness.lost_replies.lock() = 2;
    let queues = WitnessQueues::<TestLinks>::new(Arc::clone(&witness));
    queues.send(WITNESS, ended(1)).await.unwrap_err();
    while witness.received.lock().len() < 3 {
        tokio::time::sleep(Duration::from_millis(RESEND_DELAY_MS / 10)).await;
    }
    assert_eq!(outcomes(&witness), [1, 1, 1]);
}

#[tokio::test]
async fn reply_reaches_its_request_after_resent_outcomes() {
    // Guards against replies that are matched by their index in the message: an outcome that is
    // sent again precedes a consent request and shifts its index, and a claim would run although
    // its witness refused consent.
    let witness = Arc::new(Witness::default());
    *witness.lost_replies.lock() = 1;
    let queues = WitnessQueues::<TestLinks>::new(Arc::clone(&witness));
    queues.send(WITNESS, ended(1)).await.unwrap_err();
    assert_eq!(
        queues.send(WITNESS, WitnessUpdate::RuleOut(id(2))).await,
        Ok(true)
    );
    let received = witness.received.lock();
    let last = received.last().unwrap();
    assert!(matches!(
        last.as_slice(),
        [WitnessUpdate::Store(_), WitnessUpdate::RuleOut(_)]
    ));
}

// Guards against requests that learn of the end of their witness's outage only by their own next
// report.
#[tokio::test]
async fn lost_report_gets_its_reply_once_the_witness_is_reached_again() {
    let witness = Arc::new(Witness::default());
    *witness.lost_replies.lock() = 3;
    let queues = WitnessQueues::<TestLinks>::new(Arc::clone(&witness));
    let reply = queues.send(WITNESS, report(1));
    assert_eq!(reply.await, Ok(false));
    let received: Vec<_> = witness.received.lock().iter().map(Vec::len).collect();
    assert_eq!(received, [1, 0, 0, 0]);
}

// Guards against messages to a witness that cannot be reached, for requests that have ended.
#[tokio::test]
async fn witness_is_not_probed_once_no_request_waits_for_it() {
    let witness = Arc::new(Witness::default());
    *witness.lost_replies.lock() = u32::MAX;
    let queues = WitnessQueues::<TestLinks>::new(Arc::clone(&witness));
    let reply = queues.send(WITNESS, report(1));
    tokio::time::sleep(Duration::from_millis(3 * RESEND_DELAY_MS)).await;
    drop(reply);
    let probed = witness.received.lock().len();
    assert!(probed > 1, "{probed}");
    tokio::time::sleep(Duration::from_millis(3 * RESEND_DELAY_MS)).await;
    assert!(witness.received.lock().len() <= probed + 1);
}
