//! Proposes a change of the document to the log and waits for what became of it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::Node;
use crate::document::{Document, DocumentFaults};
use crate::platform::configuration::{Change, ChangeOutcome, Entry, STREAM};
use crate::platform::log::{AppendError, Log, NewRecord};

/// How long an operator waits for the log's verdict.
const VERDICT_MS: u64 = 10_000;

/// Numbers the proposals of this process.
static PROPOSALS: AtomicU64 = AtomicU64::new(1);

/// A document that an operator proposes.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The revision that it was made from.
    pub base_revision: u64,
    /// Who proposes it.
    pub operator: String,
    /// The document.
    pub document: String,
}

/// Why a proposal is not in force.
#[derive(Debug, thiserror::Error)]
pub enum ChangeError {
    /// The document has faults.
    #[error("the document has faults")]
    Faults(#[source] DocumentFaults),
    /// Another change came first.
    #[error("revision {in_force} is in force; make the change on top of that")]
    Stale {
        /// The revision in force.
        in_force: u64,
    },
    /// The log did not take it.
    #[error("the log did not take the change")]
    NotTaken(#[source] AppendError),
    /// The log may or may not have taken it; its verdict has not been seen.
    #[error("the log did not say what became of the change; look at the revision in force")]
    Unknown,
}

impl Node {
    /// Puts a document in force, if it is valid and its base is still the revision in force.
    ///
    /// # Errors
    ///
    /// See [`ChangeError`]; nothing is half applied.
    pub async fn propose(&self, proposal: Proposal) -> Result<u64, ChangeError> {
        Document::parse(&proposal.document).map_err(ChangeError::Faults)?;
        let number = PROPOSALS.fetch_add(1, Ordering::Relaxed);
        let change_id = format!("{}-{number}", self.core.own);
        let change = Change {
            change_id: change_id.clone(),
            base_revision: proposal.base_revision,
            operator: proposal.operator,
            document: proposal.document,
        };
        let payload = serde_json::to_string(&Entry::Change(change)).unwrap_or_default();
        let writer = format!("{}-configuration", self.core.own);
        let record = NewRecord {
            writer,
            sequence: number,
            payload,
        };
        match self.log.append(STREAM, &record).await {
            Ok(_) => {}
            // It may be in the log all the same: the verdict is waited for as if it were.
            Err(error) if error.is_unknown() => {}
            Err(error) => return Err(ChangeError::NotTaken(error)),
        }
        self.verdict(&change_id).await
    }

    async fn verdict(&self, change_id: &str) -> Result<u64, ChangeError> {
        let mut applied = self.configuration.watch();
        let patience = tokio::time::sleep(Duration::from_millis(VERDICT_MS));
        tokio::pin!(patience);
        loop {
            match self.configuration.with(|fold| fold.outcome(change_id)) {
                Some(ChangeOutcome::Accepted { revision }) => return Ok(revision),
                Some(ChangeOutcome::Stale { current }) => {
                    return Err(ChangeError::Stale { in_force: current });
                }
                Some(ChangeOutcome::Invalid) => return Err(ChangeError::Unknown),
                None => {}
            }
            tokio::select! {
                () = &mut patience => return Err(ChangeError::Unknown),
                changed = applied.changed() => {
                    if changed.is_err() {
                        return Err(ChangeError::Unknown);
                    }
                }
            }
        }
    }
}
