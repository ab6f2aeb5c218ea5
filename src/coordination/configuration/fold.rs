//! Which change is in force, decided by the log's order.

use std::collections::VecDeque;
use std::sync::Arc;

use super::{Change, Entry, Snapshot};
use crate::coordination::follower::{Fold, Gap};
use crate::coordination::log::Record;
use crate::time::TimeMs;

/// Outcomes that are kept for operators who ask for them.
const OUTCOMES_KEPT: usize = 256;
/// Changes that are kept until a snapshot tells what they were made on top of.
const UNDECIDED_KEPT: usize = 64;

/// Turns a document's text into its checked form.
pub trait Checker: Send + 'static {
    /// The checked form.
    type Checked: std::fmt::Debug + Send + Sync + 'static;

    /// Checks a document; `None` if it has a fault.
    fn check(&self, document: &str) -> Option<Self::Checked>;
}

impl<F, T> Checker for F
where
    F: Fn(&str) -> Option<T> + Send + 'static,
    T: std::fmt::Debug + Send + Sync + 'static,
{
    type Checked = T;

    fn check(&self, document: &str) -> Option<T> {
        self(document)
    }
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It is, or was, in force.
    Accepted {
        /// The revision that it became.
        revision: u64,
    },
    /// Another change came first.
    Stale {
        /// The revision that was in force.
        current: u64,
    },
    /// Its document has a fault.
    Invalid,
}

/// The newest revision that could be read here.
#[derive(Debug)]
pub struct Held<T> {
    /// The snapshot, as of the last record read.
    pub snapshot: Snapshot,
    /// Its document, checked.
    pub checked: Arc<T>,
}

/// What the coming changes are judged against.
#[derive(Debug)]
enum Basis {
    /// This revision is in force as of the last record read.
    Known { revision: u64 },
    /// Records are missing, among which there may have been accepted changes.
    Unknown {
        /// All changes from this offset on are in `undecided`.
        covered_from: u64,
        undecided: VecDeque<Undecided>,
    },
}

/// A change that cannot be judged yet.
#[derive(Debug)]
struct Undecided {
    offset: u64,
    at_ms: TimeMs,
    change: Change,
}

/// The configuration in force.
#[derive(Debug)]
pub struct Configuration<C: Checker> {
    checker: C,
    basis: Basis,
    held: Option<Held<C::Checked>>,
    applied: u64,
    /// The newest record from which a node without knowledge can start.
    renewed_at_ms: Option<TimeMs>,
    outcomes: VecDeque<(String, ChangeOutcome)>,
}

impl<C: Checker> Configuration<C> {
    /// The configuration before the first record.
    #[must_use]
    pub fn new(checker: C) -> Self {
        Self {
            checker,
            basis: Basis::Known { revision: 0 },
            held: None,
            applied: 0,
            renewed_at_ms: None,
            outcomes: VecDeque::new(),
        }
    }

    /// Whether a document has no fault.
    #[must_use]
    pub fn is_valid(&self, document: &str) -> bool {
        self.checker.check(document).is_some()
    }

    /// The newest revision that could be read here.
    #[must_use]
    pub fn held(&self) -> Option<&Held<C::Checked>> {
        self.held.as_ref()
    }

    /// The revision in force as of the last record read; `None` while that cannot be told.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        match &self.basis {
            Basis::Known { revision } => Some(*revision),
            Basis::Unknown { .. } => None,
        }
    }

    /// The snapshot to hand to peers.
    #[must_use]
    pub fn snapshot(&self) -> Option<Snapshot> {
        let held = self.held.as_ref().map(|held| &held.snapshot);
        self.renewal().or_else(|| held.cloned())
    }

    /// The snapshot to append as a renewal.
    ///
    /// There is none while records are missing here, and none if this node cannot read the
    /// document in force (a newer version of the program may have accepted it).
    #[must_use]
    pub fn renewal(&self) -> Option<Snapshot> {
        let held = self.held.as_ref()?;
        let current = self.revision() == Some(held.snapshot.revision);
        current.then(|| Snapshot {
            as_of: self.applied,
            ..held.snapshot.clone()
        })
    }

    /// The log's time of the newest record from which a node without knowledge can start.
    #[must_use]
    pub fn renewed_at_ms(&self) -> Option<TimeMs> {
        self.renewed_at_ms
    }

    /// What became of a change, if it is known and recent.
    #[must_use]
    pub fn outcome(&self, change_id: &str) -> Option<ChangeOutcome> {
        let known = self.outcomes.iter().find(|(id, _)| id == change_id);
        known.map(|(_, outcome)| *outcome)
    }

    /// Takes over a snapshot that a peer hands over; tells whether it brought a newer revision.
    ///
    /// It never takes an older revision, so nothing reverts however late a peer is.
    pub fn adopt(&mut self, snapshot: &Snapshot) -> bool {
        let before = self.held_revision();
        match self.basis {
            Basis::Known { revision } if snapshot.revision <= revision => {}
            // The log's records up to the snapshot still come and are judged then, so that
            // operators who wait here for the outcome of a change learn it.
            Basis::Known { .. } if 0 < self.applied && self.applied < snapshot.as_of => {
                self.hold(snapshot);
            }
            Basis::Known { .. } | Basis::Unknown { .. } => self.take_over(snapshot),
        }
        self.held_revision() > before
    }

    /// Makes a snapshot the basis and judges what came after it.
    ///
    /// If records between the snapshot and those read here are missing, changes among them may
    /// have been accepted. Judging on would make this node accept what all others refuse; one
    /// would notice two nodes with different documents under the same revision. The basis stays
    /// unknown then, until the next renewal.
    fn take_over(&mut self, snapshot: &Snapshot) {
        self.hold(snapshot);
        // Its record may be skipped from now on, and its operator may be waiting here.
        let revision = snapshot.revision;
        let accepted = ChangeOutcome::Accepted { revision };
        self.note_outcome(snapshot.change_id.clone(), accepted);
        let next = self.applied + 1;
        let (covered_from, undecided) = match &mut self.basis {
            Basis::Known { .. } => (next, VecDeque::new()),
            Basis::Unknown {
                covered_from,
                undecided,
            } => (*covered_from, std::mem::take(undecided)),
        };
        if snapshot.as_of + 1 < covered_from {
            self.basis = Basis::Unknown {
                covered_from,
                undecided,
            };
            return;
        }
        self.applied = self.applied.max(snapshot.as_of);
        self.basis = Basis::Known {
            revision: snapshot.revision,
        };
        for later in undecided {
            if later.offset > snapshot.as_of {
                self.judge(later.offset, later.at_ms, later.change);
            }
        }
    }

    fn held_revision(&self) -> u64 {
        self.held.as_ref().map_or(0, |held| held.snapshot.revision)
    }

    fn hold(&mut self, snapshot: &Snapshot) {
        if snapshot.revision <= self.held_revision() {
            return;
        }
        let checked = self.checker.check(&snapshot.document);
        if let Some(checked) = checked {
            self.held = Some(Held {
                snapshot: snapshot.clone(),
                checked: Arc::new(checked),
            });
        }
    }

    fn judge(&mut self, offset: u64, at_ms: TimeMs, change: Change) {
        let Basis::Known { revision: current } = self.basis else {
            return;
        };
        let outcome = match self.checker.check(&change.document) {
            _ if change.base_revision != current => ChangeOutcome::Stale { current },
            None => ChangeOutcome::Invalid,
            Some(checked) => {
                self.accept(offset, at_ms, &change, checked);
                ChangeOutcome::Accepted { revision: offset }
            }
        };
        self.note_outcome(change.change_id, outcome);
    }

    fn accept(&mut self, offset: u64, at_ms: TimeMs, change: &Change, checked: C::Checked) {
        self.basis = Basis::Known { revision: offset };
        if offset <= self.held_revision() {
            return;
        }
        self.held = Some(Held {
            snapshot: Snapshot {
                revision: offset,
                as_of: offset,
                base_revision: change.base_revision,
                operator: change.operator.clone(),
                change_id: change.change_id.clone(),
                accepted_at_ms: at_ms,
                document: change.document.clone(),
            },
            checked: Arc::new(checked),
        });
    }

    /// Keeps the first outcome of a change: a repeated append of an accepted change is stale, and
    /// its operator must not be told so.
    fn note_outcome(&mut self, change_id: String, outcome: ChangeOutcome) {
        if self.outcome(&change_id).is_some() {
            return;
        }
        if self.outcomes.len() == OUTCOMES_KEPT {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((change_id, outcome));
    }

    fn change(&mut self, offset: u64, at_ms: TimeMs, change: Change) {
        let Basis::Unknown {
            covered_from,
            undecided,
        } = &mut self.basis
        else {
            self.judge(offset, at_ms, change);
            return;
        };
        if undecided.len() == UNDECIDED_KEPT {
            let dropped = undecided.pop_front();
            *covered_from = dropped.map_or(offset, |dropped| dropped.offset + 1);
        }
        undecided.push_back(Undecided {
            offset,
            at_ms,
            change,
        });
    }

    fn take_renewal(&mut self, at_ms: TimeMs, snapshot: &Snapshot) {
        match self.revision() {
            Some(current) if snapshot.revision < current => return,
            Some(current) if snapshot.revision == current => {}
            _ => self.take_over(snapshot),
        }
        if self.revision().is_some() {
            self.renewed_at_ms = Some(at_ms);
        }
    }
}

impl<C: Checker> Fold for Configuration<C> {
    fn apply(&mut self, record: &Record) {
        if record.offset <= self.applied {
            return;
        }
        // An entry that cannot be read is no change; all nodes of this version agree on that.
        match serde_json::from_str(&record.payload) {
            Ok(Entry::Change(change)) => self.change(record.offset, record.at_ms, change),
            Ok(Entry::Renewal(snapshot)) => self.take_renewal(record.at_ms, &snapshot),
            Err(_) => log::warn!(offset = record.offset; "a configuration record is unreadable"),
        }
        if record.offset == 1 {
            self.renewed_at_ms = Some(record.at_ms);
        }
        self.applied = record.offset;
    }

    fn skip(&mut self, gap: &Gap) {
        if gap.first <= self.applied + 1 {
            return;
        }
        self.applied = gap.first - 1;
        self.renewed_at_ms = None;
        // A log that kept nothing can teach nobody a newer revision. Waiting for one would leave
        // operators without a way to put a document in force.
        let kept_nothing = gap.first_at_ms.is_none();
        self.basis = if kept_nothing {
            Basis::Known {
                revision: self.held_revision(),
            }
        } else {
            Basis::Unknown {
                covered_from: gap.first,
                undecided: VecDeque::new(),
            }
        };
        if let Some(held) = self.held.as_ref().filter(|_| !kept_nothing) {
            let snapshot = held.snapshot.clone();
            self.take_over(&snapshot);
        }
    }

    fn resume_from(&self) -> u64 {
        self.applied + 1
    }
}
