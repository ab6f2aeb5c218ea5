//! Follows the configuration, submits changes and renews the document in force.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;

use super::renewal::{RenewalInputs, renewal_due_ms};
use super::{Change, ChangeOutcome, Checker, Configuration, Entry, STREAM, Snapshot};
use crate::coordination::budget::{AppendBudget, Urgency};
use crate::coordination::follower::{Follower, SharedFold};
use crate::coordination::log::Log;
use crate::coordination::writer::{Appender, WriteError};
use crate::keys::Incarnation;
use crate::time::{Clock, TimeMs};

/// The retention that is assumed if the settings specify none.
const DEFAULT_RETENTION_MS: u64 = 60 * 60 * 1_000;
const POLL_MS: u64 = 10_000;
/// The page size; small because documents are large.
const PAGE_RECORDS: u32 = 32;
/// The age of the last successful read from which the stream counts as unreadable.
const MAX_STALENESS_MS: u64 = 3 * POLL_MS;
const CHECK_INTERVAL_MS: u64 = 1_000;
const RENEW_TIMEOUT_MS: u64 = 30_000;

/// A change to submit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewChange {
    /// The revision on which the change is based; 0 if there was none.
    pub base_revision: u64,
    /// The operator who made the change.
    pub operator: String,
    /// The new document.
    pub document: String,
}

/// The reason why a change is not in force.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum SubmitError {
    /// Another change was accepted first.
    #[error("revision {current} is in force, and the change was made from another one")]
    #[diagnostic(
        code(configuration::stale),
        help("look at what revision {current} changed, and make the change again from there")
    )]
    Stale {
        /// The revision in force.
        current: u64,
    },
    /// The document is invalid.
    #[error("the document has a fault")]
    #[diagnostic(
        code(configuration::invalid),
        help("`teaselline config check` lists the faults")
    )]
    Invalid,
    /// This node does not know the revision in force.
    #[error("this node does not know yet which revision is in force")]
    #[diagnostic(
        code(configuration::unsettled),
        help("try again, here or at another node")
    )]
    RevisionUnknown,
    /// The log did not append the change.
    #[error("the log did not take the change")]
    #[diagnostic(
        code(configuration::not_written),
        help("nothing has changed; try again when the log is back")
    )]
    NotWritten(#[source] WriteError),
    /// The change may be in force, or may still be accepted.
    #[error("it could not be found out in time whether the change is in force")]
    #[diagnostic(
        code(configuration::unresolved),
        help("look for change {change_id} in the audit trail before you try again")
    )]
    Unresolved {
        /// The id of the change.
        change_id: String,
        /// The cause, if it is known.
        #[source]
        source: Option<WriteError>,
    },
}

impl SubmitError {
    /// Whether another change was accepted first.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        matches!(self, Self::Stale { .. })
    }

    /// Whether the change may still be accepted.
    #[must_use]
    pub fn is_unresolved(&self) -> bool {
        matches!(self, Self::Unresolved { .. })
    }
}

/// The source of the random generator and the number of each appender.
#[derive(Debug)]
struct AppenderSeed {
    rng: SmallRng,
    number: u64,
}

/// This node's view of the configuration.
#[derive(Debug)]
pub struct ConfigurationClient<L, C: Checker> {
    followed: Arc<SharedFold<Configuration<C>>>,
    log: Arc<L>,
    seed: Mutex<AppenderSeed>,
    budget: Arc<AppendBudget>,
    me: Incarnation,
    clock: Clock,
    retention_ms: u64,
    revision: watch::Sender<u64>,
}

impl<L: Log, C: Checker> ConfigurationClient<L, C> {
    /// Creates the view of the node `me` and the task that maintains it.
    ///
    /// The log retains records for `retention_ms`; an hour is assumed if that is `None`.
    #[must_use]
    pub fn new(
        log: Arc<L>,
        me: Incarnation,
        clock: Clock,
        budget: Arc<AppendBudget>,
        retention_ms: Option<u64>,
        checker: C,
        mut rng: SmallRng,
    ) -> (Arc<Self>, ConfigurationTask<L, C>) {
        let followed = SharedFold::new(Configuration::new(checker));
        let [read_rng, write_rng] = [(); 2].map(|()| SmallRng::from_rng(&mut rng));
        let reader = Follower::new(
            Arc::clone(&log),
            STREAM,
            Arc::clone(&followed),
            clock,
            read_rng,
        );
        let keeper = Arc::new(Self {
            followed,
            log,
            seed: Mutex::new(AppenderSeed {
                rng: write_rng,
                number: 0,
            }),
            budget,
            me,
            clock,
            retention_ms: retention_ms.unwrap_or(DEFAULT_RETENTION_MS),
            revision: watch::Sender::new(0),
        });
        let task = ConfigurationTask {
            keeper: Arc::clone(&keeper),
            reader: reader.wait_ms(POLL_MS).page_limit(PAGE_RECORDS),
            rng,
        };
        (keeper, task)
    }

    /// Returns the fold and the progress of its follower.
    #[must_use]
    pub fn fold(&self) -> &Arc<SharedFold<Configuration<C>>> {
        &self.followed
    }

    /// Subscribes to the newest revision held by this node; 0 before there is one.
    #[must_use]
    pub fn watch_revision(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Adopts a snapshot sent by a peer; returns whether it brought a newer revision.
    pub fn adopt(&self, snapshot: &Snapshot) -> bool {
        let newer = self.followed.with(|fold| fold.adopt(snapshot));
        self.publish();
        newer
    }

    /// Submits a change, waits until the log's order has decided on it, and returns its revision.
    ///
    /// # Errors
    ///
    /// A [`SubmitError`]; only after [`SubmitError::Unresolved`] may the change be in force.
    pub async fn submit(&self, new: NewChange, deadline_ms: TimeMs) -> Result<u64, SubmitError> {
        self.check(&new)?;
        let mut appender = self.appender();
        let change_id = appender.writer().to_owned();
        let entry = Entry::Change(Change {
            change_id: change_id.clone(),
            base_revision: new.base_revision,
            operator: new.operator,
            document: new.document,
        });
        let source = match append(&mut appender, &entry, deadline_ms).await {
            Ok(offset) => {
                self.wait_applied(offset, deadline_ms).await;
                None
            }
            Err(error) if error.is_not_written() => return Err(SubmitError::NotWritten(error)),
            Err(error) => Some(error),
        };
        match self.followed.with(|fold| fold.outcome(&change_id)) {
            Some(ChangeOutcome::Accepted { revision }) => Ok(revision),
            Some(ChangeOutcome::Stale { current }) => Err(SubmitError::Stale { current }),
            Some(ChangeOutcome::Invalid) => Err(SubmitError::Invalid),
            None => Err(SubmitError::Unresolved { change_id, source }),
        }
    }

    /// Rejects a change that cannot be accepted before anything is written.
    fn check(&self, new: &NewChange) -> Result<(), SubmitError> {
        self.followed.with(|fold| match fold.revision() {
            None => Err(SubmitError::RevisionUnknown),
            Some(current) if current > new.base_revision => Err(SubmitError::Stale { current }),
            Some(_) if !fold.is_valid(&new.document) => Err(SubmitError::Invalid),
            Some(_) => Ok(()),
        })
    }

    /// Creates an appender with a unique name, so that no append waits for the response to another.
    fn appender(&self) -> Appender<L> {
        let (number, rng) = {
            let mut seed = self.seed.lock();
            seed.number += 1;
            (seed.number, SmallRng::from_rng(&mut seed.rng))
        };
        let name = format!("{}/configuration/{number}", self.me);
        let mut appender = Appender::new(Arc::clone(&self.log), STREAM, name, self.clock, rng);
        appender.advance_tail(self.followed.progress().applied + 1);
        appender
    }

    async fn wait_applied(&self, offset: u64, deadline_ms: TimeMs) {
        let left = Duration::from_millis(self.clock.now().until(deadline_ms));
        let applied = self.followed.wait_applied(offset);
        // After a timeout there is no outcome yet, which the caller detects.
        drop(tokio::time::timeout(left, applied).await);
    }

    fn publish(&self) {
        let revision = self
            .followed
            .with(|fold| fold.held().map_or(0, |held| held.snapshot.revision));
        self.revision.send_if_modified(|held| {
            let newer = *held < revision;
            *held = revision.max(*held);
            newer
        });
    }

    /// Appends a renewal if one is due; returns whether it tried.
    async fn renew(&self, known_since_ms: TimeMs, jitter: f64) -> bool {
        let now = self.clock.now();
        let renewal = self.followed.with(|fold| {
            let due_ms = renewal_due_ms(RenewalInputs {
                retention_ms: self.retention_ms,
                renewed_at_ms: fold.renewed_at_ms(),
                known_since_ms,
                jitter,
            });
            (due_ms <= now).then(|| fold.renewal()).flatten()
        });
        let Some(renewal) = renewal else {
            return false;
        };
        if self.budget.try_take(Urgency::Deferrable, now).is_err() {
            return false;
        }
        let revision = renewal.revision;
        let deadline_ms = now.after(RENEW_TIMEOUT_MS);
        let entry = Entry::Renewal(renewal);
        match append(&mut self.appender(), &entry, deadline_ms).await {
            Ok(offset) => {
                log::info!(revision, offset; "renewed the configuration in the log");
                self.wait_applied(offset, deadline_ms).await;
            }
            Err(error) => {
                log::warn!(revision, error:% = error; "failed to renew the configuration");
            }
        }
        true
    }
}

async fn append<L: Log>(
    appender: &mut Appender<L>,
    entry: &Entry,
    deadline_ms: TimeMs,
) -> Result<u64, WriteError> {
    let payload = serde_json::to_string(entry).expect("entries have a JSON form");
    appender.append(payload, deadline_ms).await
}

/// Maintains the configuration of a [`ConfigurationClient`].
#[derive(Debug)]
pub struct ConfigurationTask<L, C: Checker> {
    keeper: Arc<ConfigurationClient<L, C>>,
    reader: Follower<L, Configuration<C>>,
    rng: SmallRng,
}

impl<L: Log, C: Checker> ConfigurationTask<L, C> {
    /// Runs until the future is dropped.
    pub async fn run(self) {
        let Self {
            keeper,
            reader,
            rng,
        } = self;
        let publish = async {
            let mut progress = keeper.followed.watch();
            loop {
                keeper.publish();
                // The sender lives as long as the keeper.
                drop(progress.changed().await);
            }
        };
        tokio::join!(reader.run(), publish, renew(&keeper, rng));
    }
}

async fn renew<L: Log, C: Checker>(keeper: &ConfigurationClient<L, C>, mut rng: SmallRng) {
    let mut jitter = rng.random();
    let mut known_since_ms = None;
    loop {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let stale_ms = keeper.followed.staleness_ms(keeper.clock.now());
        let readable = stale_ms.is_some_and(|stale_ms| stale_ms < MAX_STALENESS_MS);
        let known = readable && keeper.followed.with(|fold| fold.revision().is_some());
        known_since_ms = known.then(|| known_since_ms.unwrap_or_else(|| keeper.clock.now()));
        if let Some(since_ms) = known_since_ms
            && keeper.renew(since_ms, jitter).await
        {
            jitter = rng.random();
        }
    }
}
