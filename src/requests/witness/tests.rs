//! Checks the protocol between a home, its witness and a caller that resends, exhaustively.

use std::collections::HashSet;

use super::*;
use crate::keys::{HostKey, Incarnation};
use crate::requests::id::{Draft, IdKey};
use crate::requests::{Call, Record, TeamTag, Work};

fn id() -> RequestId {
    let draft = Draft {
        issued_at_ms: TimeMs(0),
        home: Incarnation(1),
        witness: Incarnation(2),
        minter: Incarnation(1),
        sequence: 1,
    };
    IdKey::derive(b"k").mint(draft, TeamTag(1))
}

fn intent() -> Copy {
    let work = Work::Service {
        service: "claims".to_owned(),
        path: "deposits".to_owned(),
        body: b"keg 7".to_vec(),
    };
    let call = Call {
        team: "haulers".to_owned(),
        idempotent: false,
        latency_class: "interactive".to_owned(),
        deadline_ms: TimeMs(9_000),
        work,
    };
    let record = Record::new(id(), call);
    record.begin_attempt(HostKey(1), ([127, 0, 0, 1], 9).into());
    record.copy(0)
}

#[test]
fn a_settled_id_is_never_consented_to() {
    // Symptom: a clerk was told `not_run`, sent the claim again under a new id, and it was paid twice.
    // Sequence: the home is paused; a node asks the witness and tells `not_run`; the home resumes.
    // Cause: a home that dispatches by its own view alone.
    let witness = Witness::default();
    assert_eq!(witness.settle(id()), Settlement::NotRun);
    assert!(!witness.consent(intent(), TimeMs(1)));
    assert_eq!(witness.expire(TimeMs(ID_VALIDITY_MS)), 0);
    assert!(!witness.consent(intent(), TimeMs(ID_VALIDITY_MS)));
}

#[test]
fn a_settled_id_stays_settled_after_it_is_forgotten() {
    // Symptom: as above, after a pause of half an hour.
    // Sequence: the witness forgets the settled id by its age; the home resumes and asks consent.
    // Cause: an absent entry taken for one never settled.
    let witness = Witness::default();
    assert_eq!(witness.settle(id()), Settlement::NotRun);
    assert_eq!(witness.expire(TimeMs(KEEP_MS)), 1);
    assert!(!witness.consent(intent(), TimeMs(KEEP_MS)));
}

#[test]
fn consent_rules_out_not_run() {
    let witness = Witness::default();
    assert!(witness.consent(intent(), TimeMs(1)));
    assert!(matches!(witness.settle(id()), Settlement::MayRun(Some(_))));
}

/// A message that is under way, or a step that a party can take next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Step {
    AskConsent,
    ConsentArrives,
    AnswerArrives,
    AnswerLost,
    HomeRuns,
    HomeRefuses,
    HomeDies,
    OtherNodeSettles,
}

/// All of the small system's state.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is one independent fact of the model"
)]
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct World {
    consented: bool,
    settled: bool,
    asked: u8,
    requests_under_way: u8,
    answers_under_way: Vec<bool>,
    home_may_run: bool,
    home_ended: bool,
    home_dead: bool,
    runs: u8,
    told_not_run: bool,
}

impl World {
    fn steps(&self) -> Vec<Step> {
        let home_acts = !self.home_dead && !self.home_ended;
        let steps = [
            (
                home_acts && !self.home_may_run && self.asked < 2,
                Step::AskConsent,
            ),
            (self.requests_under_way > 0, Step::ConsentArrives),
            (
                home_acts && !self.answers_under_way.is_empty(),
                Step::AnswerArrives,
            ),
            (!self.answers_under_way.is_empty(), Step::AnswerLost),
            (home_acts && self.home_may_run, Step::HomeRuns),
            (home_acts && !self.home_may_run, Step::HomeRefuses),
            (home_acts, Step::HomeDies),
            (!self.told_not_run, Step::OtherNodeSettles),
        ];
        steps
            .into_iter()
            .filter_map(|(possible, step)| possible.then_some(step))
            .collect()
    }

    /// Takes a step, with the decisions made by the real [`Witness`].
    fn take(&self, step: Step) -> Self {
        let mut next = self.clone();
        let witness = self.witness();
        match step {
            Step::AskConsent => {
                next.asked += 1;
                next.requests_under_way += 1;
            }
            Step::ConsentArrives => {
                next.requests_under_way -= 1;
                let granted = witness.consent(intent(), TimeMs(1));
                next.consented |= granted;
                next.answers_under_way.push(granted);
                next.answers_under_way.sort_unstable();
            }
            Step::AnswerArrives => {
                if let Some(true) = next.answers_under_way.pop() {
                    next.home_may_run = true;
                } else {
                    next.home_ended = true;
                    next.told_not_run = true;
                }
            }
            Step::AnswerLost => {
                next.answers_under_way.pop();
            }
            Step::HomeRuns => {
                next.runs += 1;
                next.home_ended = true;
            }
            // The home gives up on its witness: nothing was dispatched, and nobody else may.
            Step::HomeRefuses => {
                next.home_ended = true;
                next.told_not_run = true;
            }
            Step::HomeDies => next.home_dead = true,
            Step::OtherNodeSettles => {
                let settlement = witness.settle(id());
                next.settled |= settlement == Settlement::NotRun;
                next.told_not_run |= settlement == Settlement::NotRun;
            }
        }
        next
    }

    fn witness(&self) -> Witness {
        let witness = Witness::default();
        if self.consented {
            assert!(witness.consent(intent(), TimeMs(1)));
        }
        if self.settled {
            assert_eq!(witness.settle(id()), Settlement::NotRun);
        }
        witness
    }
}

/// Every state that can be reached.
fn reachable() -> HashSet<World> {
    let mut seen = HashSet::from([World::default()]);
    let mut open = vec![World::default()];
    while let Some(world) = open.pop() {
        for next in world.steps().into_iter().map(|step| world.take(step)) {
            if seen.insert(next.clone()) {
                open.push(next);
            }
        }
    }
    seen
}

#[test]
fn in_no_order_of_events_does_a_request_run_twice_or_after_not_run() {
    // Symptom: a doubled run, or a run of what was refused as not run.
    // Sequence: every order of asking, answering, losing, pausing, dying and settling.
    // Cause: any gap between what the witness says and what the home does.
    let states = reachable();
    assert!(states.len() > 50, "{} states", states.len());
    for world in &states {
        assert!(world.runs <= 1, "{world:?}");
        assert!(!(world.told_not_run && world.runs > 0), "{world:?}");
    }
    assert!(states.iter().any(|world| world.runs == 1));
    assert!(states.iter().any(|world| world.settled && world.home_ended));
}

#[test]
fn a_report_that_takes_hours_keeps_its_standby() {
    // Symptom: a long report is lost with its home, twenty minutes after it began.
    // Sequence: the report runs on; the witness forgets it by the age of its id; the home dies.
    // Cause: an entry's age counted from its minting although the request still runs.
    let witness = Witness::default();
    let mut told = intent();
    told.call.deadline_ms = TimeMs(10 * KEEP_MS);
    witness.keep(told, TimeMs(1));
    assert_eq!(witness.expire(TimeMs(2 * KEEP_MS)), 0);
    assert_eq!(witness.expire(TimeMs(10 * KEEP_MS)), 1);
}
