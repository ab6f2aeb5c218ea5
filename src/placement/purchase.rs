//! Purchase ids, which are chosen by the buyer and serve as idempotency keys.

use thiserror::Error;

use crate::document::Document;
use crate::keys::{ClassKey, DomainKey, PoolKey};

/// The first part of every id, which identifies purchases of this system.
const PREFIX: &str = "teaselline";

/// The id of one purchase, chosen before the request is sent.
///
/// The cloud's response may be lost after the purchase took effect. A retry under another id would
/// buy a second host; without a retry the host would be paid for but unknown to the controller. The
/// id therefore encodes the host bought, the lease and the purchase's number under that lease: a
/// retry uses the same id, and a later lease holder reads from the cloud's list what each purchase
/// is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PurchaseId {
    /// The pool that the host is for.
    pub pool: PoolKey,
    /// The host's class.
    pub class: ClassKey,
    /// The host's failure domain.
    pub domain: DomainKey,
    /// The fencing token of the lease.
    pub fencing: u64,
    /// The number of earlier purchases under this lease.
    pub counter: u32,
}

/// The reason why a text is not a purchase id under the current document.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PurchaseIdError {
    /// The id was not created by this system.
    #[error("the purchase `{text}` was not named by teaselline")]
    Foreign {
        /// The text.
        text: String,
    },
    /// The id refers to a pool, class or failure domain that the document no longer contains.
    #[error("the purchase `{text}` names `{name}`, which the document does not have")]
    NotInDocument {
        /// The text.
        text: String,
        /// The missing name.
        name: String,
    },
}

impl PurchaseIdError {
    /// Whether this system made the purchase, for an entry that the document no longer contains.
    #[must_use]
    pub fn is_orphaned(&self) -> bool {
        matches!(self, Self::NotInDocument { .. })
    }
}

impl PurchaseId {
    /// Returns the text form that is sent to the cloud API.
    #[must_use]
    pub fn text(&self, document: &Document) -> String {
        [
            PREFIX,
            &escape(&document.pool(self.pool).name),
            &escape(&document.host_class(self.class).name),
            &escape(&document.failure_domain(self.domain).name),
            &self.fencing.to_string(),
            &self.counter.to_string(),
        ]
        .join("/")
    }

    /// Parses a text created by [`Self::text`], possibly under an earlier document.
    ///
    /// # Errors
    ///
    /// Fails if this system did not create the text, or if the document no longer contains its
    /// pool, class or failure domain.
    pub fn parse(text: &str, document: &Document) -> Result<Self, PurchaseIdError> {
        let foreign = || PurchaseIdError::Foreign {
            text: text.to_owned(),
        };
        let missing = |name: &str| PurchaseIdError::NotInDocument {
            text: text.to_owned(),
            name: name.to_owned(),
        };
        let parts: Vec<&str> = text.split('/').collect();
        let [PREFIX, pool, class, domain, fencing, counter] = parts[..] else {
            return Err(foreign());
        };
        let (pool, class, domain) = (unescape(pool), unescape(class), unescape(domain));
        Ok(Self {
            fencing: fencing.parse().ok().ok_or_else(foreign)?,
            counter: counter.parse().ok().ok_or_else(foreign)?,
            pool: document.find_pool(&pool).ok_or_else(|| missing(&pool))?,
            class: document
                .find_host_class(&class)
                .ok_or_else(|| missing(&class))?,
            domain: document
                .find_failure_domain(&domain)
                .ok_or_else(|| missing(&domain))?,
        })
    }
}

fn escape(name: &str) -> String {
    name.replace('%', "%25").replace('/', "%2F")
}

fn unescape(name: &str) -> String {
    name.replace("%2F", "/").replace("%25", "%")
}
