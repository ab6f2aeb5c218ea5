//! Names of purchases, chosen by the buyer.

use thiserror::Error;

use crate::document::Document;
use crate::keys::{ClassKey, DomainKey, PoolKey};

/// The first part of every name, by which purchases of this system are known.
const PREFIX: &str = "teaselline";

/// The name of one purchase, chosen before it is asked for.
///
/// The cloud's answer may be lost after the purchase took effect. Asking again under another name
/// would buy a second host, and not asking would leave one that is paid for and forgotten; one
/// would see it on the bill. The name therefore says what was bought, under which lease and as
/// which purchase of that lease: the same name is asked for again, and a later holder reads from
/// the cloud's list what each purchase is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PurchaseId {
    /// The pool that the host is for.
    pub pool: PoolKey,
    /// The host's class.
    pub class: ClassKey,
    /// The host's failure domain.
    pub domain: DomainKey,
    /// The fencing number of the lease.
    pub fencing: u64,
    /// Purchases under this lease before this one.
    pub counter: u32,
}

/// Why a text is no purchase of this document.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PurchaseIdError {
    /// It was not named by this system.
    #[error("the purchase `{text}` was not named by teaselline")]
    Foreign {
        /// The text.
        text: String,
    },
    /// It names a pool, class or failure domain that the document no longer has.
    #[error("the purchase `{text}` names `{name}`, which the document does not have")]
    NotInDocument {
        /// The text.
        text: String,
        /// The missing name.
        name: String,
    },
}

impl PurchaseIdError {
    /// Whether this system bought it, for something that the document no longer has.
    #[must_use]
    pub fn is_ours(&self) -> bool {
        matches!(self, Self::NotInDocument { .. })
    }
}

impl PurchaseId {
    /// The text that the cloud API is given.
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

    /// Reads a text that [`Self::text`] made, perhaps under an earlier document.
    ///
    /// # Errors
    ///
    /// If this system did not make it, or the document no longer has what it names.
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
