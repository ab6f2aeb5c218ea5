//! Submits a change of the document to the log and returns its result.

use super::Node;
use crate::coordination::configuration::{NewChange, SubmitError};
use crate::document::{Document, DocumentFaults};

/// How long an operator's change waits for the log's decision.
const DECISION_TIMEOUT_MS: u64 = 10_000;

/// A document submitted by an operator.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The revision that the document is based on.
    pub base_revision: u64,
    /// The operator who submits it.
    pub operator: String,
    /// The document.
    pub document: String,
}

/// Why a proposal did not take effect.
#[derive(Debug, thiserror::Error)]
pub enum ChangeError {
    /// The document has faults.
    #[error("the document has faults")]
    Faults(#[source] DocumentFaults),
    /// Another change took effect after the base revision.
    #[error("revision {in_force} is in force; make the change on top of that")]
    Stale {
        /// The revision in force.
        in_force: u64,
    },
    /// Nothing was changed: the log did not accept the write, or this node cannot read the log.
    #[error("the log did not take the change")]
    NotWritten(#[source] SubmitError),
    /// The log may or may not contain the change; its decision was not received.
    #[error("the log did not say what became of the change; look at the revision in force")]
    Unknown(#[source] SubmitError),
}

impl From<SubmitError> for ChangeError {
    fn from(error: SubmitError) -> Self {
        match error {
            SubmitError::Stale { current } => Self::Stale { in_force: current },
            // The document was validated above. The reader of the log validates it with the same
            // code, so `Invalid` is not a fault of the document but a bug.
            SubmitError::Invalid | SubmitError::Unresolved { .. } => Self::Unknown(error),
            SubmitError::RevisionUnknown | SubmitError::NotWritten(_) => Self::NotWritten(error),
        }
    }
}

impl Node {
    /// Applies a document if it is valid and its base is still the revision in force.
    ///
    /// Returns the new revision.
    ///
    /// # Errors
    ///
    /// See [`ChangeError`]; a change is never applied in part.
    pub async fn propose(&self, proposal: Proposal) -> Result<u64, ChangeError> {
        let (operator, base) = (proposal.operator.clone(), proposal.base_revision);
        let changed = self.submit(proposal).await;
        self.record_change(operator, base, &changed);
        changed
    }

    async fn submit(&self, proposal: Proposal) -> Result<u64, ChangeError> {
        Document::parse(&proposal.document).map_err(ChangeError::Faults)?;
        let change = NewChange {
            base_revision: proposal.base_revision,
            operator: proposal.operator,
            document: proposal.document,
        };
        let deadline_ms = self.core.clock.now().after(DECISION_TIMEOUT_MS);
        let submitted = self.configuration.submit(change, deadline_ms).await;
        Ok(submitted?)
    }
}
