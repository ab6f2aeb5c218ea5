use super::*;
use crate::keys::HostKey;
use crate::node::messages::Item;
use crate::requests::id::{Draft, IdKey};
use crate::requests::links::ItemStream;
use crate::requests::{Call, Outcome, Record, RequestId, TeamTag, Work};
use crate::time::TimeMs;
use crate::upstreams::{EngineClient, ServiceClient};

const WITNESS: Incarnation = Incarnation(2);

/// A witness of whose answers the first few are lost.
#[derive(Debug, Default)]
struct Witness {
    lost_answers: Mutex<u32>,
    heard: Mutex<Vec<Vec<Told>>>,
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
        let Request::Witness { told, .. } = request else {
            return Ok(Reply::WrongNode);
        };
        let consents = vec![true; told.len()];
        self.heard.lock().push(told);
        let mut lost = self.lost_answers.lock();
        if *lost > 0 {
            *lost -= 1;
            return Err(Unreachable::Silent);
        }
        Ok(Reply::Consents(consents))
    }

    async fn open(&self, _: Incarnation, _: Request) -> Result<(Reply, NoItems), Unreachable> {
        Err(Unreachable::Gone)
    }

    fn live(&self) -> Vec<Incarnation> {
        vec![WITNESS]
    }

    fn is_silent(&self, _node: Incarnation) -> bool {
        false
    }
}

#[derive(Debug)]
struct TestLinks;

impl Links for TestLinks {
    type Engines = EngineClient;
    type Services = ServiceClient;
    type Peers = Witness;
}

fn id(sequence: u32) -> RequestId {
    let draft = Draft {
        issued_at_ms: TimeMs(0),
        home: Incarnation(1),
        witness: WITNESS,
        minter: Incarnation(1),
        sequence,
    };
    IdKey::derive(b"k").mint(draft, TeamTag(1))
}

fn ended(sequence: u32) -> Told {
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
    let body = b"paid".to_vec();
    record.end(Outcome::Answered { status: 200, body }, TimeMs(1));
    Told::Keep(record.copy(0))
}

/// Outcomes in each message that was heard.
fn outcomes(witness: &Witness) -> Vec<usize> {
    let heard = witness.heard.lock();
    let count = |told: &Vec<Told>| told.iter().filter(|told| told.is_outcome()).count();
    heard.iter().map(count).collect()
}

#[tokio::test]
async fn an_outcome_that_was_not_heard_is_told_again() {
    // Symptom: a claim that was paid is `unknown` after its home's death.
    // Sequence: the message with its outcome, or the answer to it, is lost; the home dies later.
    // Cause: outcomes told once only.
    let witness = Arc::new(Witness::default());
    *witness.lost_answers.lock() = 2;
    let lanes = Lanes::<TestLinks>::new(Arc::clone(&witness));
    lanes.tell(WITNESS, ended(1)).await.unwrap_err();
    while witness.heard.lock().len() < 3 {
        tokio::time::sleep(Duration::from_millis(AGAIN_MS / 10)).await;
    }
    assert_eq!(outcomes(&witness), [1, 1, 1]);
}

#[tokio::test]
async fn answers_go_to_those_who_asked_also_after_outcomes_told_again() {
    // Symptom: a claim runs although its witness has refused consent.
    // Sequence: an outcome is told again in the same message in which a home asks for consent.
    // Cause: answers given out by their place in the message, which the outcome has shifted.
    let witness = Arc::new(Witness::default());
    *witness.lost_answers.lock() = 1;
    let lanes = Lanes::<TestLinks>::new(Arc::clone(&witness));
    lanes.tell(WITNESS, ended(1)).await.unwrap_err();
    assert_eq!(lanes.tell(WITNESS, Told::RuleOut(id(2))).await, Ok(true));
    let heard = witness.heard.lock();
    let last = heard.last().unwrap();
    assert!(matches!(last.as_slice(), [Told::Keep(_), Told::RuleOut(_)]));
}
