//! Proposes a change of the document and tells what became of it.

use super::Node;
use crate::coordination::configuration::{NewChange, SubmitError};
use crate::document::{Document, DocumentFaults};

/// How long an operator waits for the log's verdict.
const VERDICT_MS: u64 = 10_000;

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
    /// Nothing was changed: the log did not take it, or cannot be read here.
    #[error("the log did not take the change")]
    NotTaken(#[source] SubmitError),
    /// The log may or may not have taken it; its verdict has not been seen.
    #[error("the log did not say what became of the change; look at the revision in force")]
    Unknown(#[source] SubmitError),
}

impl From<SubmitError> for ChangeError {
    fn from(error: SubmitError) -> Self {
        match error {
            SubmitError::Stale { current } => Self::Stale { in_force: current },
            // The document was checked here before: the log's order found the fault in a program of
            // the same version, so there is none, or this is a bug.
            SubmitError::Invalid | SubmitError::Unresolved { .. } => Self::Unknown(error),
            SubmitError::RevisionUnknown | SubmitError::NotWritten(_) => Self::NotTaken(error),
        }
    }
}

impl Node {
    /// Puts a document in force, if it is valid and its base is still the revision in force.
    ///
    /// # Errors
    ///
    /// See [`ChangeError`]; nothing is half applied.
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
        let deadline_ms = self.core.clock.now().after(VERDICT_MS);
        let submitted = self.configuration.submit(change, deadline_ms).await;
        Ok(submitted?)
    }
}
