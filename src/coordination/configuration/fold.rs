//! Computes the configuration in force from the log.

use std::collections::VecDeque;
use std::sync::Arc;

use super::{Change, Entry, Snapshot};
use crate::coordination::follower::{Fold, Gap};
use crate::coordination::log::Record;
use crate::time::TimeMs;

/// The maximum number of outcomes that are kept for the operators who submitted the changes.
const MAX_OUTCOMES: usize = 256;
/// The maximum number of changes that are kept until a snapshot shows their base revision.
const MAX_PENDING: usize = 64;

/// Parses and validates a document.
pub trait Checker: Send + 'static {
    /// The validated form.
    type Checked: std::fmt::Debug + Send + Sync + 'static;

    /// Returns the validated form of a document; `None` if the document is invalid.
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

/// The outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change is or was in force.
    Accepted {
        /// The revision of the change.
        revision: u64,
    },
    /// Another change was accepted first.
    Stale {
        /// The revision in force.
        current: u64,
    },
    /// The document is invalid.
    Invalid,
}

/// The newest revision whose document this node could validate.
#[derive(Debug)]
pub struct HeldRevision<T> {
    /// The snapshot, as of the last record read.
    pub snapshot: Snapshot,
    /// The validated document.
    pub checked: Arc<T>,
}

/// The state against which the next changes are decided.
#[derive(Debug)]
enum Basis {
    /// This revision is in force as of the last record read.
    Known { revision: u64 },
    /// Records are missing, which may include accepted changes.
    Unknown {
        /// All changes from this offset on are in `pending`.
        covered_from: u64,
        pending: VecDeque<PendingChange>,
    },
}

/// A change that cannot be decided yet.
#[derive(Debug)]
struct PendingChange {
    offset: u64,
    at_ms: TimeMs,
    change: Change,
}

/// The configuration in force.
#[derive(Debug)]
pub struct Configuration<C: Checker> {
    checker: C,
    basis: Basis,
    held: Option<HeldRevision<C::Checked>>,
    applied: u64,
    /// The log's time of the newest record from which a new node can start.
    renewed_at_ms: Option<TimeMs>,
    outcomes: VecDeque<(String, ChangeOutcome)>,
}

impl<C: Checker> Configuration<C> {
    /// Creates the state before the first record.
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

    /// Whether a document is valid.
    #[must_use]
    pub fn is_valid(&self, document: &str) -> bool {
        self.checker.check(document).is_some()
    }

    /// Returns the newest revision whose document this node could validate.
    #[must_use]
    pub fn held(&self) -> Option<&HeldRevision<C::Checked>> {
        self.held.as_ref()
    }

    /// Returns the revision in force as of the last record read; `None` while it is unknown.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        match &self.basis {
            Basis::Known { revision } => Some(*revision),
            Basis::Unknown { .. } => None,
        }
    }

    /// Returns the snapshot to send to peers.
    #[must_use]
    pub fn snapshot(&self) -> Option<Snapshot> {
        let held = self.held.as_ref().map(|held| &held.snapshot);
        self.renewal().or_else(|| held.cloned())
    }

    /// Returns the snapshot to append as a renewal.
    ///
    /// `None` while records are missing here, and if this node cannot validate the document in
    /// force (a newer version of the program may have accepted it).
    #[must_use]
    pub fn renewal(&self) -> Option<Snapshot> {
        let held = self.held.as_ref()?;
        let current = self.revision() == Some(held.snapshot.revision);
        current.then(|| Snapshot {
            as_of: self.applied,
            ..held.snapshot.clone()
        })
    }

    /// Returns the log's time of the newest record from which a new node can start.
    #[must_use]
    pub fn renewed_at_ms(&self) -> Option<TimeMs> {
        self.renewed_at_ms
    }

    /// Returns the outcome of a change, if it is known and recent.
    #[must_use]
    pub fn outcome(&self, change_id: &str) -> Option<ChangeOutcome> {
        let known = self.outcomes.iter().find(|(id, _)| id == change_id);
        known.map(|(_, outcome)| *outcome)
    }

    /// Adopts a snapshot sent by a peer; returns whether it brought a newer revision.
    ///
    /// An older revision is never adopted, so a late snapshot reverts nothing.
    pub fn adopt(&mut self, snapshot: &Snapshot) -> bool {
        let before = self.held_revision();
        match self.basis {
            Basis::Known { revision } if snapshot.revision <= revision => {}
            // The log's records up to the snapshot are still read and decided, so that operators
            // who wait at this node for the outcome of a change get it.
            Basis::Known { .. } if 0 < self.applied && self.applied < snapshot.as_of => {
                self.update_held(snapshot);
            }
            Basis::Known { .. } | Basis::Unknown { .. } => self.rebase(snapshot),
        }
        self.held_revision() > before
    }

    /// Makes a snapshot the basis and decides the changes that came after it.
    ///
    /// If records between the snapshot and the first one read here are missing, they may include
    /// accepted changes. Deciding without them would make this node accept a change that all other
    /// nodes reject, and two nodes would hold different documents under the same revision. In that
    /// case the basis stays unknown until the next renewal.
    fn rebase(&mut self, snapshot: &Snapshot) {
        self.update_held(snapshot);
        // The record of the change may now be skipped, and its operator may wait at this node.
        let revision = snapshot.revision;
        let accepted = ChangeOutcome::Accepted { revision };
        self.record_outcome(snapshot.change_id.clone(), accepted);
        let next = self.applied + 1;
        let (covered_from, pending) = match &mut self.basis {
            Basis::Known { .. } => (next, VecDeque::new()),
            Basis::Unknown {
                covered_from,
                pending,
            } => (*covered_from, std::mem::take(pending)),
        };
        if snapshot.as_of + 1 < covered_from {
            self.basis = Basis::Unknown {
                covered_from,
                pending,
            };
            return;
        }
        self.applied = self.applied.max(snapshot.as_of);
        self.basis = Basis::Known {
            revision: snapshot.revision,
        };
        for later in pending {
            if later.offset > snapshot.as_of {
                self.decide(later.offset, later.at_ms, later.change);
            }
        }
    }

    fn held_revision(&self) -> u64 {
        self.held.as_ref().map_or(0, |held| held.snapshot.revision)
    }

    fn update_held(&mut self, snapshot: &Snapshot) {
        if snapshot.revision <= self.held_revision() {
            return;
        }
        let checked = self.checker.check(&snapshot.document);
        if let Some(checked) = checked {
            self.held = Some(HeldRevision {
                snapshot: snapshot.clone(),
                checked: Arc::new(checked),
            });
        }
    }

    fn decide(&mut self, offset: u64, at_ms: TimeMs, change: Change) {
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
        self.record_outcome(change.change_id, outcome);
    }

    fn accept(&mut self, offset: u64, at_ms: TimeMs, change: &Change, checked: C::Checked) {
        self.basis = Basis::Known { revision: offset };
        if offset <= self.held_revision() {
            return;
        }
        self.held = Some(HeldRevision {
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

    /// Records the first outcome of a change: a repeated append of an accepted change is stale, and
    /// the operator must not get that outcome.
    fn record_outcome(&mut self, change_id: String, outcome: ChangeOutcome) {
        if self.outcome(&change_id).is_some() {
            return;
        }
        if self.outcomes.len() == MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((change_id, outcome));
    }

    fn apply_change(&mut self, offset: u64, at_ms: TimeMs, change: Change) {
        let Basis::Unknown {
            covered_from,
            pending,
        } = &mut self.basis
        else {
            self.decide(offset, at_ms, change);
            return;
        };
        if pending.len() == MAX_PENDING {
            let dropped = pending.pop_front();
            *covered_from = dropped.map_or(offset, |dropped| dropped.offset + 1);
        }
        pending.push_back(PendingChange {
            offset,
            at_ms,
            change,
        });
    }

    fn apply_renewal(&mut self, at_ms: TimeMs, snapshot: &Snapshot) {
        match self.revision() {
            Some(current) if snapshot.revision < current => return,
            Some(current) if snapshot.revision == current => {}
            _ => self.rebase(snapshot),
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
        // An unreadable entry changes nothing; all nodes of this version ignore it alike.
        match serde_json::from_str(&record.payload) {
            Ok(Entry::Change(change)) => self.apply_change(record.offset, record.at_ms, change),
            Ok(Entry::Renewal(snapshot)) => self.apply_renewal(record.at_ms, &snapshot),
            Err(_) => {
                log::warn!(offset = record.offset; "ignoring an unreadable configuration record");
            }
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
        // If the log retained no record, no node can learn a newer revision from it. Waiting for
        // one would leave operators unable to submit any document.
        let kept_nothing = gap.first_at_ms.is_none();
        self.basis = if kept_nothing {
            Basis::Known {
                revision: self.held_revision(),
            }
        } else {
            Basis::Unknown {
                covered_from: gap.first,
                pending: VecDeque::new(),
            }
        };
        if let Some(held) = self.held.as_ref().filter(|_| !kept_nothing) {
            let snapshot = held.snapshot.clone();
            self.rebase(&snapshot);
        }
    }

    fn resume_from(&self) -> u64 {
        self.applied + 1
    }
}
