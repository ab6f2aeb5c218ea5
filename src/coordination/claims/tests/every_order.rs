//! Explores every order of events of a few requests that claim one key.
//!
//! Each request has a home, and only the home may run it. Claims are sent several times, appended
//! in any order, late or never, and decided by any prefix of the log. Homes may give up at any
//! time. The invariant: at most one of the requests runs.

use std::collections::HashMap;
use std::rc::Rc;

use rustc_hash::FxHashSet;

use super::{claim, record};
use crate::coordination::claims::claimer::{Preview, outcome, preview, unconfirmed_outcome};
use crate::coordination::claims::{Claim, ClaimOutcome, ClaimTable};
use crate::coordination::follower::Fold;
use crate::time::TimeMs;

const NOW: TimeMs = TimeMs(1_000_000);

type Id = usize;
type Sent = (Id, Option<Id>);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Phase {
    /// The request is about to claim.
    Idle,
    /// The request has claimed and waits; `repeated` is set if it held the key before.
    Waiting { repeated: bool },
    /// The request won and has not started.
    Won,
    /// Another request won.
    Lost { to: Id },
    /// The request has started.
    Ran,
    /// The home has ensured that the request never starts.
    Never,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Request {
    phase: Phase,
    sends: u8,
    supersedes: Option<Id>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    requests: Vec<Request>,
    log: Vec<Sent>,
    /// Claims in transit, sorted.
    in_transit: Vec<Sent>,
    /// The maximum number of claims that each request may send.
    max_sends: u8,
}

/// The behaviour of homes that are asked about their request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Homes {
    /// A home ensures that the request never runs before it reports so.
    Safe,
    /// A home reports that the request has not run, although it may run later.
    Unsafe,
}

#[derive(Debug, Default)]
struct Tables {
    by_log: HashMap<Vec<Sent>, Rc<ClaimTable>>,
}

impl Tables {
    fn of(&mut self, log: &[Sent]) -> Rc<ClaimTable> {
        let held = self.by_log.entry(log.to_vec()).or_insert_with(|| {
            let mut table = ClaimTable::new(0);
            for (offset, sent) in (1..).zip(log) {
                table.apply(&record(offset, NOW, &[claim_of(*sent)]));
            }
            Rc::new(table)
        });
        Rc::clone(held)
    }
}

fn claim_of((id, supersedes): Sent) -> Claim {
    let supersedes = supersedes.map(|id| id.to_string());
    claim(&id.to_string(), supersedes.as_deref())
}

fn id_of(text: &str) -> Id {
    text.parse().expect("ids are numbers here")
}

impl State {
    fn start(requests: usize, max_sends: u8) -> Self {
        let request = Request {
            phase: Phase::Idle,
            sends: 0,
            supersedes: None,
        };
        Self {
            requests: vec![request; requests],
            log: Vec::new(),
            in_transit: Vec::new(),
            max_sends,
        }
    }

    fn ran(&self) -> usize {
        let ran = |request: &&Request| request.phase == Phase::Ran;
        self.requests.iter().filter(ran).count()
    }

    fn with(&self, id: Id, phase: Phase) -> Self {
        let mut next = self.clone();
        next.requests[id].phase = phase;
        next
    }

    fn send(&self, id: Id, repeated: bool, next: &mut Vec<Self>) {
        if self.requests[id].sends == self.max_sends {
            return;
        }
        let mut sent = self.with(id, Phase::Waiting { repeated });
        sent.requests[id].sends += 1;
        sent.in_transit.push((id, self.requests[id].supersedes));
        sent.in_transit.sort_unstable();
        next.push(sent);
    }

    /// Returns all possible next states.
    fn successors(&self, homes: Homes, tables: &mut Tables) -> Vec<Self> {
        let mut next = Vec::new();
        for index in 0..self.in_transit.len() {
            let mut landed = self.clone();
            let sent = landed.in_transit.remove(index);
            landed.log.push(sent);
            next.push(landed);
        }
        for id in 0..self.requests.len() {
            self.request_steps(id, homes, tables, &mut next);
        }
        next
    }

    fn request_steps(&self, id: Id, homes: Homes, tables: &mut Tables, next: &mut Vec<Self>) {
        let request = &self.requests[id];
        let sent = (id, request.supersedes);
        match request.phase {
            Phase::Idle => self.previews(id, sent, tables, next),
            Phase::Waiting { repeated } => {
                next.push(self.with(id, Phase::Never));
                self.send(id, repeated, next);
                self.outcomes(id, sent, repeated, tables, next);
            }
            Phase::Won => {
                next.push(self.with(id, Phase::Ran));
                next.push(self.with(id, Phase::Never));
            }
            Phase::Lost { to } => self.ask_home(id, to, homes, next),
            Phase::Ran | Phase::Never => {}
        }
    }

    fn previews(&self, id: Id, sent: Sent, tables: &mut Tables, next: &mut Vec<Self>) {
        for seen in 0..=self.log.len() {
            let table = tables.of(&self.log[..seen]);
            match preview(&table, &claim_of(sent), NOW) {
                Preview::Lost { winner } => {
                    let to = id_of(&winner);
                    next.push(self.with(id, Phase::Lost { to }));
                }
                Preview::Write { repeated } => self.send(id, repeated, next),
                Preview::Unsettled { .. } | Preview::Full => unreachable!("the log is whole"),
            }
        }
    }

    fn outcomes(
        &self,
        id: Id,
        sent: Sent,
        repeated: bool,
        tables: &mut Tables,
        next: &mut Vec<Self>,
    ) {
        let claim = claim_of(sent);
        let written = self.log.iter().position(|landed| *landed == sent);
        for seen in 0..=self.log.len() {
            let table = tables.of(&self.log[..seen]);
            let read_back = written.is_some_and(|written| written < seen);
            let judged = if read_back {
                outcome(&table, &claim).ok()
            } else {
                unconfirmed_outcome(&table, &claim, repeated)
            };
            match judged {
                Some(ClaimOutcome::Won) => next.push(self.with(id, Phase::Won)),
                Some(ClaimOutcome::Lost { winner }) => {
                    let to = id_of(&winner);
                    next.push(self.with(id, Phase::Lost { to }));
                }
                None => {}
            }
        }
    }

    fn ask_home(&self, id: Id, winner: Id, homes: Homes, next: &mut Vec<Self>) {
        if self.requests[winner].phase == Phase::Ran {
            return;
        }
        let mut proven = self.with(id, Phase::Idle);
        proven.requests[id].supersedes = Some(winner);
        if homes == Homes::Safe {
            proven.requests[winner].phase = Phase::Never;
        }
        next.push(proven);
    }
}

/// Returns the maximum number of requests that ran in any state, and the number of states.
fn explore(requests: usize, max_sends: u8, homes: Homes) -> (usize, usize) {
    let mut tables = Tables::default();
    let mut known = FxHashSet::default();
    let mut open = vec![State::start(requests, max_sends)];
    let mut max_ran = 0;
    while let Some(state) = open.pop() {
        max_ran = max_ran.max(state.ran());
        for next in state.successors(homes, &mut tables) {
            if known.insert(next.clone()) {
                open.push(next);
            }
        }
    }
    (max_ran, known.len())
}

/// Guards against two homes that both see their own request win, so that the call runs twice:
/// claims are repeated after lost responses, appended late, and supersede one another.
#[test]
fn at_most_one_of_two_requests_runs() {
    let (max_ran, states) = explore(2, 4, Homes::Safe);
    assert_eq!(max_ran, 1, "of {states} states");
}

/// The same with a third request that may supersede either of the first two.
#[test]
fn at_most_one_of_three_requests_runs() {
    let (max_ran, states) = explore(3, 2, Homes::Safe);
    assert_eq!(max_ran, 1, "of {states} states");
}

#[test]
fn search_finds_a_double_run_if_homes_are_unsafe() {
    let (max_ran, _) = explore(2, 3, Homes::Unsafe);
    assert_eq!(max_ran, 2);
}
