//! The messages between the nodes that spend a team's limit and the team's owner.

use bincode::{Decode, Encode};
use thiserror::Error;

use crate::gateway::limits::quota::AdmittedTotal;

/// Asks the owner of a team for credit.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) struct CreditAsk {
    /// The team's tag.
    pub team: u64,
    /// Incarnation of the node that asks.
    pub incarnation: u64,
    /// Grows with each ask of the node for the team; a repeat of an ask has the same number.
    pub sequence: u64,
    /// What the node has admitted of the team; `None` without recent admissions.
    pub admitted: Option<AdmittedTotal>,
    /// Credit that the node holds.
    pub held: f64,
    /// Least cost of the waiting requests; zero if none waits.
    pub least_cost: f64,
    /// Sum of the costs of the waiting requests.
    pub waiting: f64,
    /// Credit wanted beyond that for requests to come.
    pub ahead: f64,
}

/// The owner's answer to a [`CreditAsk`].
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) struct CreditGrant {
    /// The team's tag.
    pub team: u64,
    /// Sequence number of the ask.
    pub sequence: u64,
    /// Credit in addition to what the ask states.
    pub granted: f64,
    /// Time for which nothing more is expected to be available; zero if all that waits is covered.
    pub quiet_ms: u64,
    /// Cost up to which requests may ask during that time.
    pub exempt_cost: f64,
    /// Credit left at the owner, negative if it was overdrawn.
    pub available: f64,
}

/// A message with an amount that is negative, infinite or not a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("expected finite amounts of zero or more in a message about credit")]
pub(crate) struct InvalidAmount;

/// An ask whose amounts are finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CheckedAsk(CreditAsk);

/// A grant whose amounts are finite, and not negative where they are spent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CheckedGrant(CreditGrant);

impl CheckedAsk {
    /// Returns the checked message.
    pub fn ask(&self) -> &CreditAsk {
        &self.0
    }
}

impl CheckedGrant {
    /// Returns the checked message.
    pub fn grant(&self) -> &CreditGrant {
        &self.0
    }
}

impl TryFrom<CreditAsk> for CheckedAsk {
    type Error = InvalidAmount;

    fn try_from(ask: CreditAsk) -> Result<Self, Self::Error> {
        let totals = ask.admitted.map_or([0.0; 2], |all| [all.base, all.total]);
        let amounts = [ask.held, ask.least_cost, ask.waiting, ask.ahead];
        if amounts.into_iter().chain(totals).all(is_amount) {
            Ok(Self(ask))
        } else {
            Err(InvalidAmount)
        }
    }
}

impl TryFrom<CreditGrant> for CheckedGrant {
    type Error = InvalidAmount;

    fn try_from(grant: CreditGrant) -> Result<Self, Self::Error> {
        let is_valid = is_amount(grant.granted) && is_amount(grant.exempt_cost);
        if is_valid && grant.available.is_finite() {
            Ok(Self(grant))
        } else {
            Err(InvalidAmount)
        }
    }
}

fn is_amount(amount: f64) -> bool {
    amount.is_finite() && amount >= 0.0
}
