//! Exhaustive check of the protocol between a home, its witness, a successor and callers that
//! resend.
//!
//! It models one request in a small system and explores every order in which messages arrive, are
//! lost or are delayed, in which the home pauses, fails or leaves, and in which other nodes contact
//! the witness. Decisions are made by the real [`Witness`]; the rest of the model follows
//! `dispatch.rs`, `core.rs` and `settle.rs`.

use std::collections::HashSet;

use super::*;

/// A step of the model: the delivery or loss of a message, or an action of a node.
///
/// A paused home is one that takes no steps for a while, so the orders without pauses include every
/// order with pauses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The home asks its witness before it starts, or before it refuses an idempotent request.
    Ask(Question),
    /// The question arrives.
    Deliver(Question),
    /// The answer arrives.
    Answer(Question, bool),
    /// The answer is lost, or the home has stopped waiting for it.
    Drop(Question, bool),
    /// The home starts the request.
    HomeRuns,
    /// The home refuses the request without the witness's answer.
    HomeRefuses,
    /// The home sends its witness the outcome `not_run`.
    ReportRefusal,
    /// The home fails.
    HomeFails,
    /// The home leaves as planned, with the witness as its successor, and has not received the
    /// request.
    HomeLeaves,
    /// The home leaves and hands over the request, which it has not started.
    HomeHandsOver,
    /// A caller contacts another node, which asks the witness to settle the request.
    OtherNodeAsks,
    /// The witness runs the request that it has taken over.
    WitnessRuns,
    /// The witness refuses the request that it has taken over.
    WitnessRefuses,
}

/// A question of the home to its witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Question {
    MayStart,
    IsRuledOut,
}

/// State of the model.
#[expect(
    clippy::struct_excessive_bools,
    reason = "facts that each may hold without the others"
)]
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Model {
    idempotent: bool,
    // State of the witness table.
    consented: bool,
    settled: bool,
    taken_over: bool,
    is_refusal_reported: bool,
    // Messages in transit between home and witness.
    questions: Vec<Question>,
    answers: Vec<(Question, bool)>,
    // State of the home.
    asked: u8,
    has_consent: bool,
    home: Home,
    // Execution of the request by the witness.
    witness_runs: Running,
    // Number of runs, and the outcomes reported to callers.
    runs: u8,
    reported_not_run: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Home {
    #[default]
    Waiting,
    /// The home has decided not to run the request, and waits for its witness's answer.
    Refusing,
    Refused,
    Ran,
    Failed,
    Left,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Running {
    #[default]
    No,
    AsSuccessor,
    AsTakeover,
    Ended,
}

impl Model {
    fn new(idempotent: bool) -> Self {
        Self {
            idempotent,
            ..Self::default()
        }
    }

    fn steps(&self) -> Vec<Step> {
        let is_waiting = self.home == Home::Waiting;
        let may_ask = is_waiting && self.asked < 2;
        let may_run = self.idempotent || self.has_consent;
        let mut steps = Vec::new();
        let mut add = |possible: bool, step: Step| steps.extend(possible.then_some(step));
        add(may_ask && !self.idempotent, Step::Ask(Question::MayStart));
        add(may_ask && self.idempotent, Step::Ask(Question::IsRuledOut));
        add(is_waiting && may_run, Step::HomeRuns);
        add(
            is_waiting && !self.idempotent && !self.has_consent,
            Step::HomeRefuses,
        );
        let is_unreported = self.home == Home::Refused && !self.is_refusal_reported;
        add(is_unreported && !self.idempotent, Step::ReportRefusal);
        add(
            !matches!(self.home, Home::Failed | Home::Left),
            Step::HomeFails,
        );
        add(is_waiting && self.asked == 0, Step::HomeLeaves);
        add(is_waiting && !self.has_consent, Step::HomeHandsOver);
        add(self.witness_runs == Running::No, Step::OtherNodeAsks);
        let witness_runs = matches!(
            self.witness_runs,
            Running::AsSuccessor | Running::AsTakeover
        );
        add(witness_runs, Step::WitnessRuns);
        add(witness_runs, Step::WitnessRefuses);
        for question in &self.questions {
            add(true, Step::Deliver(*question));
        }
        for (question, agreed) in &self.answers {
            let accepts_answer = is_waiting || self.home == Home::Refusing;
            add(accepts_answer, Step::Answer(*question, *agreed));
            add(true, Step::Drop(*question, *agreed));
        }
        steps
    }

    fn apply(&self, step: Step) -> Self {
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
            Step::Deliver(question) => {
                let at = next.questions.iter().position(|asked| *asked == question);
                next.questions.remove(at.unwrap());
                let agreed = match question {
                    Question::MayStart => witness.consent(dispatch_copy(), TimeMs(1)),
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
                    // The request ends as unknown: another node may have taken it over.
                    (Question::IsRuledOut, false) => next.home = Home::Refused,
                }
            }
            Step::Drop(question, agreed) => next.drop_answer(question, agreed),
            Step::HomeRuns => {
                next.runs += 1;
                next.home = Home::Ran;
            }
            Step::HomeRefuses => next.refuse(),
            Step::ReportRefusal => next.is_refusal_reported = true,
            Step::HomeFails => next.home = Home::Failed,
            Step::HomeLeaves => next.home = Home::Left,
            Step::HomeHandsOver => {
                next.home = Home::Left;
                // A witness that already runs the request continues.
                if next.witness_runs == Running::No {
                    next.ask_witness(&witness);
                }
            }
            Step::OtherNodeAsks => next.ask_witness(&witness),
            Step::WitnessRuns => {
                next.runs += 1;
                next.witness_runs = Running::Ended;
            }
            Step::WitnessRefuses => {
                next.reported_not_run |= self.witness_runs == Running::AsSuccessor;
                next.witness_runs = Running::Ended;
            }
        }
        next
    }

    fn refuse(&mut self) {
        self.home = Home::Refused;
        self.reported_not_run = true;
    }

    fn drop_answer(&mut self, question: Question, agreed: bool) {
        let answer = (question, agreed);
        let at = self.answers.iter().position(|held| *held == answer);
        self.answers.remove(at.unwrap());
    }

    fn ask_witness(&mut self, witness: &Witness) {
        let has_taken_over = self.home == Home::Left;
        let settlement = if self.idempotent || has_taken_over {
            witness.take_over(id(), TimeMs(1))
        } else {
            witness.settle(id(), TimeMs(1))
        };
        match settlement {
            Settlement::NotRun => {
                self.settled = true;
                self.reported_not_run = true;
            }
            Settlement::Ended(_) => self.reported_not_run = true,
            Settlement::MayRun(None) if has_taken_over => {
                self.taken_over = true;
                self.witness_runs = Running::AsSuccessor;
            }
            Settlement::MayRun(_) if self.idempotent => {
                self.taken_over = true;
                self.witness_runs = Running::AsTakeover;
            }
            // The caller is told `unknown`.
            Settlement::MayRun(_) => self.taken_over |= has_taken_over,
            Settlement::Expired => unreachable!("the id is new"),
        }
    }

    /// Returns a witness table in this state.
    fn witness(&self) -> Witness {
        let witness = Witness::default();
        if self.consented {
            assert!(witness.consent(dispatch_copy(), TimeMs(1)));
        }
        if self.taken_over {
            assert_ne!(witness.take_over(id(), TimeMs(1)), Settlement::NotRun);
        }
        if self.settled {
            assert!(witness.rule_out(id(), TimeMs(1)));
        }
        if self.is_refusal_reported {
            let mut copy = dispatch_copy();
            copy.dispatched = false;
            copy.outcome = Some(Outcome::not_run(Reason::WitnessUnreachable, 0));
            witness.keep(copy, TimeMs(1));
        }
        witness
    }
}

/// Returns every reachable state.
fn reachable(idempotent: bool) -> HashSet<Model> {
    let start = Model::new(idempotent);
    let mut seen = HashSet::from([start.clone()]);
    let mut open = vec![start];
    while let Some(model) = open.pop() {
        for next in model.steps().into_iter().map(|step| model.apply(step)) {
            if seen.insert(next.clone()) {
                open.push(next);
            }
        }
    }
    seen
}

#[test]
fn non_idempotent_call_runs_at_most_once_and_never_after_not_run() {
    // Guards against any gap between the answers of the witness and the actions of the home or its
    // successor, which would lead to a second run or to a run after `not_run`. Covers every order
    // of consent, replies, losses, pauses, failures, leaves and settlements.
    let states = reachable(false);
    for model in &states {
        assert!(model.runs <= 1, "{model:?}");
        assert!(!(model.reported_not_run && model.runs > 0), "{model:?}");
    }
    let assert_some = |wanted: fn(&Model) -> bool| assert!(states.iter().any(wanted));
    assert_some(|model| model.home == Home::Ran);
    assert_some(|model| model.home == Home::Failed && model.settled);
    assert_some(|model| model.home == Home::Left && model.runs == 1);
    assert_some(|model| model.is_refusal_reported && model.consented && model.home == Home::Failed);
}

#[test]
fn idempotent_call_never_runs_after_not_run() {
    // Guards against a home that refuses a request although another node may run it: the home
    // starts an idempotent call without consent, the witness takes it over, and a caller would be
    // told `not_run` by one node and get an answer from another.
    let states = reachable(true);
    for model in &states {
        assert!(!(model.reported_not_run && model.runs > 0), "{model:?}");
    }
    let assert_some = |wanted: fn(&Model) -> bool| assert!(states.iter().any(wanted));
    assert_some(|model| model.reported_not_run);
    assert_some(|model| model.witness_runs == Running::Ended && model.runs == 1);
    assert_some(|model| model.runs == 2);
}
