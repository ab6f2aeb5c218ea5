//! Checks the protocol between a home, its witness, an heir and callers that resend, exhaustively.
//!
//! One request in a small system: every order in which messages arrive, are lost or come late, in
//! which the home stands still, dies or leaves, and in which other nodes ask the witness. Decisions
//! are made by the real [`Witness`]; the rest follows `dispatch.rs`, `core.rs` and `settle.rs`.

use std::collections::HashSet;

use super::*;

/// A message that is under way, or a step that a party can take next.
///
/// A home that is paused is one that takes none of its steps for a while, so that every order with
/// pauses is among the orders without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The home asks its witness before it starts, or before it refuses an idempotent request.
    Ask(Question),
    /// The question arrives.
    Arrive(Question),
    /// The answer arrives.
    Answer(Question, bool),
    /// The answer is lost, or the home no longer waits for it.
    Lose(Question, bool),
    /// The home starts the request.
    HomeRuns,
    /// The home refuses it, without the witness's word.
    HomeRefuses,
    /// The home tells its witness that the request ended as not run.
    TellRefusal,
    /// The home dies.
    HomeDies,
    /// The home leaves as planned and names the witness its heir, without having seen the request.
    HomeLeaves,
    /// The home leaves and hands over the request, which it has not started.
    HomeHandsOver,
    /// A caller asks another node, which asks the witness.
    OthersAsk,
    /// The witness runs what it has taken over.
    WitnessRuns,
    /// The witness gives up on what it has taken over.
    WitnessRefuses,
}

/// What the home asks its witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Question {
    MayStart,
    IsRuledOut,
}

/// All of the small system's state.
#[expect(
    clippy::struct_excessive_bools,
    reason = "facts that each may hold without the others"
)]
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct World {
    idempotent: bool,
    // What the witness's table holds.
    consented: bool,
    settled: bool,
    taken_over: bool,
    refusal_told: bool,
    // What is under way between home and witness.
    questions: Vec<Question>,
    answers: Vec<(Question, bool)>,
    // The home.
    asked: u8,
    has_consent: bool,
    home: Home,
    // The witness as one that runs requests.
    witness_runs: Running,
    // What has happened, and what callers were told.
    runs: u8,
    told_not_run: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Home {
    #[default]
    Holds,
    /// It has decided not to run the request, and waits for its witness's word.
    Refusing,
    Refused,
    Ran,
    Dead,
    Left,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Running {
    #[default]
    No,
    AsHeir,
    InPlaceOfHome,
    Ended,
}

impl World {
    fn new(idempotent: bool) -> Self {
        Self {
            idempotent,
            ..Self::default()
        }
    }

    fn steps(&self) -> Vec<Step> {
        let holds = self.home == Home::Holds;
        let may_ask = holds && self.asked < 2;
        let may_run = self.idempotent || self.has_consent;
        let mut steps = Vec::new();
        let mut add = |possible: bool, step: Step| steps.extend(possible.then_some(step));
        add(may_ask && !self.idempotent, Step::Ask(Question::MayStart));
        add(may_ask && self.idempotent, Step::Ask(Question::IsRuledOut));
        add(holds && may_run, Step::HomeRuns);
        add(
            holds && !self.idempotent && !self.has_consent,
            Step::HomeRefuses,
        );
        let untold = self.home == Home::Refused && !self.refusal_told;
        add(untold && !self.idempotent, Step::TellRefusal);
        add(
            !matches!(self.home, Home::Dead | Home::Left),
            Step::HomeDies,
        );
        add(holds && self.asked == 0, Step::HomeLeaves);
        add(holds && !self.has_consent, Step::HomeHandsOver);
        add(self.witness_runs == Running::No, Step::OthersAsk);
        let witness_runs = matches!(self.witness_runs, Running::AsHeir | Running::InPlaceOfHome);
        add(witness_runs, Step::WitnessRuns);
        add(witness_runs, Step::WitnessRefuses);
        for question in &self.questions {
            add(true, Step::Arrive(*question));
        }
        for (question, agreed) in &self.answers {
            let waits = holds || self.home == Home::Refusing;
            add(waits, Step::Answer(*question, *agreed));
            add(true, Step::Lose(*question, *agreed));
        }
        steps
    }

    fn take(&self, step: Step) -> Self {
        let mut next = self.clone();
        let witness = self.witness();
        match step {
            Step::Ask(question) => {
                next.asked += 1;
                if question == Question::IsRuledOut {
                    next.home = Home::Refusing;
                }
                next.questions.push(question);
                next.questions.sort_unstable();
            }
            Step::Arrive(question) => {
                let at = next.questions.iter().position(|asked| *asked == question);
                next.questions.remove(at.unwrap());
                let agreed = match question {
                    Question::MayStart => witness.consent(intent(), TimeMs(1)),
                    Question::IsRuledOut => witness.rule_out(id(), TimeMs(1)),
                };
                next.consented |= agreed && question == Question::MayStart;
                next.settled |= agreed && question == Question::IsRuledOut;
                next.answers.push((question, agreed));
                next.answers.sort_unstable();
            }
            Step::Answer(question, agreed) => {
                next.drop_answer(question, agreed);
                match (question, agreed) {
                    (Question::MayStart, true) => next.has_consent = true,
                    (Question::MayStart, false) | (Question::IsRuledOut, true) => next.refuse(),
                    // It ends as unknown: another node may have taken it over.
                    (Question::IsRuledOut, false) => next.home = Home::Refused,
                }
            }
            Step::Lose(question, agreed) => next.drop_answer(question, agreed),
            Step::HomeRuns => {
                next.runs += 1;
                next.home = Home::Ran;
            }
            Step::HomeRefuses => next.refuse(),
            Step::TellRefusal => next.refusal_told = true,
            Step::HomeDies => next.home = Home::Dead,
            Step::HomeLeaves => next.home = Home::Left,
            Step::HomeHandsOver => {
                next.home = Home::Left;
                // A witness that works on it already goes on.
                if next.witness_runs == Running::No {
                    next.others_ask(&witness);
                }
            }
            Step::OthersAsk => next.others_ask(&witness),
            Step::WitnessRuns => {
                next.runs += 1;
                next.witness_runs = Running::Ended;
            }
            Step::WitnessRefuses => {
                next.told_not_run |= self.witness_runs == Running::AsHeir;
                next.witness_runs = Running::Ended;
            }
        }
        next
    }

    fn refuse(&mut self) {
        self.home = Home::Refused;
        self.told_not_run = true;
    }

    fn drop_answer(&mut self, question: Question, agreed: bool) {
        let answer = (question, agreed);
        let at = self.answers.iter().position(|held| *held == answer);
        self.answers.remove(at.unwrap());
    }

    fn others_ask(&mut self, witness: &Witness) {
        let inherited = self.home == Home::Left;
        let settlement = if self.idempotent || inherited {
            witness.take_over(id(), TimeMs(1))
        } else {
            witness.settle(id(), TimeMs(1))
        };
        match settlement {
            Settlement::NotRun => {
                self.settled = true;
                self.told_not_run = true;
            }
            Settlement::Ended(_) => self.told_not_run = true,
            Settlement::MayRun(None) if inherited => {
                self.taken_over = true;
                self.witness_runs = Running::AsHeir;
            }
            Settlement::MayRun(_) if self.idempotent => {
                self.taken_over = true;
                self.witness_runs = Running::InPlaceOfHome;
            }
            // The caller is told `unknown`.
            Settlement::MayRun(_) => self.taken_over |= inherited,
            Settlement::Forgotten => unreachable!("the id is new"),
        }
    }

    /// A witness that has come to what this state holds.
    fn witness(&self) -> Witness {
        let witness = Witness::default();
        if self.consented {
            assert!(witness.consent(intent(), TimeMs(1)));
        }
        if self.taken_over {
            assert_ne!(witness.take_over(id(), TimeMs(1)), Settlement::NotRun);
        }
        if self.settled {
            assert!(witness.rule_out(id(), TimeMs(1)));
        }
        if self.refusal_told {
            let mut told = intent();
            told.dispatched = false;
            told.outcome = Some(Outcome::not_run(Reason::WitnessUnreachable, 0));
            witness.keep(told, TimeMs(1));
        }
        witness
    }
}

/// Every state that can be reached.
fn reachable(idempotent: bool) -> HashSet<World> {
    let start = World::new(idempotent);
    let mut seen = HashSet::from([start.clone()]);
    let mut open = vec![start];
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
fn in_no_order_of_events_does_a_claim_run_twice_or_after_not_run() {
    // Symptom: a doubled run, or a run of what was refused as not run.
    // Sequence: every order of asking, answering, losing, pausing, dying, leaving and settling.
    // Cause: any gap between what the witness says and what the home or its heir does.
    let states = reachable(false);
    for world in &states {
        assert!(world.runs <= 1, "{world:?}");
        assert!(!(world.told_not_run && world.runs > 0), "{world:?}");
    }
    let some = |wanted: fn(&World) -> bool| assert!(states.iter().any(wanted));
    some(|world| world.home == Home::Ran);
    some(|world| world.home == Home::Dead && world.settled);
    some(|world| world.home == Home::Left && world.runs == 1);
    some(|world| world.refusal_told && world.consented && world.home == Home::Dead);
}

#[test]
fn in_no_order_of_events_does_an_idempotent_call_run_after_not_run() {
    // Symptom: a caller is told `not_run` by one node and gets an answer from another.
    // Sequence: as above; the home starts such a call without consent, and the witness takes it over.
    // Cause: a home that refuses what it cannot know that nobody runs.
    let states = reachable(true);
    for world in &states {
        assert!(!(world.told_not_run && world.runs > 0), "{world:?}");
    }
    let some = |wanted: fn(&World) -> bool| assert!(states.iter().any(wanted));
    some(|world| world.told_not_run);
    some(|world| world.witness_runs == Running::Ended && world.runs == 1);
    some(|world| world.runs == 2);
}
