//! Every order of events of a few requests that claim one key.
//!
//! Each request has a home that alone may run it. Claims are sent several times, land in any
//! order, late or never, and are judged by any view of the log that could be had. Homes give up at any
//! time. What must hold: at most one of the requests runs.

use std::collections::HashMap;
use std::rc::Rc;

use rustc_hash::FxHashSet;

use super::{claim, record};
use crate::coordination::claims::claimer::{Preview, outcome, outcome_unwritten, preview};
use crate::coordination::claims::{Claim, ClaimOutcome, ClaimTable};
use crate::coordination::follower::Fold;
use crate::time::TimeMs;

const NOW: TimeMs = TimeMs(1_000_000);

type Id = usize;
type Sent = (Id, Option<Id>);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Phase {
    /// It is about to claim.
    Idle,
    /// It has claimed and waits; the flag is set if it held the key before.
    Waiting { repeated: bool },
    /// It has been told that it won, and has not started.
    Won,
    /// It has been told that another won.
    Lost { to: Id },
    /// It has started.
    Ran,
    /// Its home has made sure that it never starts.
    Never,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Request {
    phase: Phase,
    sends: u8,
    supersedes: Option<Id>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    requests: Vec<Request>,
    log: Vec<Sent>,
    /// Claims that may still land, sorted.
    flying: Vec<Sent>,
    /// How often each request may send a claim in all.
    most_sends: u8,
}

/// How homes answer when they are asked about their request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Homes {
    /// They make sure that it never runs before they say so.
    Sound,
    /// They say that it did not run, which may change.
    Careless,
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

impl World {
    fn start(requests: usize, most_sends: u8) -> Self {
        let request = Request {
            phase: Phase::Idle,
            sends: 0,
            supersedes: None,
        };
        Self {
            requests: vec![request; requests],
            log: Vec::new(),
            flying: Vec::new(),
            most_sends,
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
        if self.requests[id].sends == self.most_sends {
            return;
        }
        let mut sent = self.with(id, Phase::Waiting { repeated });
        sent.requests[id].sends += 1;
        sent.flying.push((id, self.requests[id].supersedes));
        sent.flying.sort_unstable();
        next.push(sent);
    }

    /// All that can happen next.
    fn successors(&self, homes: Homes, tables: &mut Tables) -> Vec<Self> {
        let mut next = Vec::new();
        for index in 0..self.flying.len() {
            let mut landed = self.clone();
            let sent = landed.flying.remove(index);
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
                outcome_unwritten(&table, &claim, repeated)
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
        if homes == Homes::Sound {
            proven.requests[winner].phase = Phase::Never;
        }
        next.push(proven);
    }
}

/// The most requests that ran in any world, and how many worlds there are.
fn explore(requests: usize, most_sends: u8, homes: Homes) -> (usize, usize) {
    let mut tables = Tables::default();
    let mut known = FxHashSet::default();
    let mut open = vec![World::start(requests, most_sends)];
    let mut most_ran = 0;
    while let Some(world) = open.pop() {
        most_ran = most_ran.max(world.ran());
        for next in world.successors(homes, &mut tables) {
            if known.insert(next.clone()) {
                open.push(next);
            }
        }
    }
    (most_ran, known.len())
}

/// Symptom: a call that must not run twice does. Claims are repeated after lost answers, land late,
/// and supersede one another. Cause: any order of these in which two homes both see their own win.
#[test]
fn at_most_one_of_two_requests_runs() {
    let (most_ran, worlds) = explore(2, 4, Homes::Sound);
    assert_eq!(most_ran, 1, "of {worlds} worlds");
}

/// As above, with a third request that may supersede either of the first two.
#[test]
fn at_most_one_of_three_requests_runs() {
    let (most_ran, worlds) = explore(3, 2, Homes::Sound);
    assert_eq!(most_ran, 1, "of {worlds} worlds");
}

#[test]
fn the_search_finds_a_double_run_if_homes_are_careless() {
    let (most_ran, _) = explore(2, 3, Homes::Careless);
    assert_eq!(most_ran, 2);
}
