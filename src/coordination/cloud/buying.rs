//! Buys hosts so that no host is bought twice, and none is paid for without being used.
//!
//! Each intent has a unique id ([`PurchaseId`]), by which the cloud recognises a repeated order. An
//! order that was abandoned without a response may still take effect, so the buyer's own state is
//! not authoritative: the buyer regularly lists the cloud's purchases ([`active_purchases`]), whose
//! ids identify its own, including those of earlier holders of its lease.

use std::fmt;
use std::time::Duration;

use rand::rngs::SmallRng;

use super::{Cloud, CloudError, NewPurchase, Purchase, PurchaseState};
use crate::coordination::call_retry::{CallRetry, Event, Failure, Step};
use crate::coordination::leases::FencingToken;
use crate::time::{Clock, TimeMs};

#[cfg(test)]
mod tests;

const SEPARATOR: char = '#';

/// The id of a purchase.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PurchaseId {
    /// The name of the lease under which the purchase is made.
    pub buyer: String,
    /// The fencing token under which the purchase is made.
    pub fencing: FencingToken,
    /// The holder's sequence number of the purchase.
    pub number: u64,
}

impl fmt::Display for PurchaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            buyer,
            fencing: FencingToken(fencing),
            number,
        } = self;
        write!(f, "{buyer}{SEPARATOR}{fencing}{SEPARATOR}{number}")
    }
}

/// The text is not a [`PurchaseId`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected a purchase id of the form BUYER#FENCING#NUMBER")]
pub struct InvalidPurchaseId;

impl TryFrom<&str> for PurchaseId {
    type Error = InvalidPurchaseId;

    fn try_from(text: &str) -> Result<Self, InvalidPurchaseId> {
        let (rest, number) = text.rsplit_once(SEPARATOR).ok_or(InvalidPurchaseId)?;
        let (buyer, fencing) = rest.rsplit_once(SEPARATOR).ok_or(InvalidPurchaseId)?;
        let parse = |digits: &str| digits.parse().map_err(|_not_a_number| InvalidPurchaseId);
        Ok(Self {
            buyer: buyer.to_owned(),
            fencing: FencingToken(parse(fencing)?),
            number: parse(number)?,
        })
    }
}

/// The reason why no host was bought.
#[derive(Debug, thiserror::Error)]
pub enum BuyError {
    /// The cloud has no capacity for this class in this failure domain; a retry needs a new id.
    #[error("the cloud has no capacity for this class in this failure domain")]
    NoCapacity,
    /// No host was bought, and none will be by this order.
    #[error("the cloud did not accept the order before the deadline")]
    NotBought(#[source] Option<CloudError>),
    /// A host may have been bought, or may still be; the list of purchases will show it.
    #[error("the outcome of the order was not determined before the deadline")]
    Unresolved(#[source] Option<CloudError>),
}

impl BuyError {
    /// Whether a host may have been bought.
    #[must_use]
    pub fn is_unresolved(&self) -> bool {
        matches!(self, Self::Unresolved(_))
    }

    /// Whether the buyer should try another class or failure domain.
    #[must_use]
    pub fn is_no_capacity(&self) -> bool {
        matches!(self, Self::NoCapacity)
    }
}

/// Buys a host and returns its name; all tries carry the same id.
///
/// # Errors
///
/// A [`BuyError`]; [`BuyError::is_unresolved`] indicates whether a host may have been bought.
pub async fn buy<C: Cloud>(
    cloud: &C,
    order: &NewPurchase,
    deadline_ms: TimeMs,
    clock: Clock,
    rng: &mut SmallRng,
) -> Result<String, BuyError> {
    let mut call_retry = CallRetry::new(0, deadline_ms);
    let mut event = Event::Started;
    let mut cause = None;
    loop {
        let found = match call_retry.next_step(event, clock.now(), rng) {
            Step::Call => try_buy(cloud, order, &mut cause).await?,
            Step::ReadBack { .. } => read_back(cloud, order).await,
            Step::Wait { wait_ms } => {
                tokio::time::sleep(Duration::from_millis(wait_ms)).await;
                Err(Event::Waited)
            }
            Step::GiveUp(Failure::NotApplied) => return Err(BuyError::NotBought(cause)),
            Step::GiveUp(Failure::Unresolved) => return Err(BuyError::Unresolved(cause)),
        };
        match found {
            Ok(host) => return Ok(host),
            Err(next) => event = next,
        }
    }
}

async fn try_buy<C: Cloud>(
    cloud: &C,
    order: &NewPurchase,
    cause: &mut Option<CloudError>,
) -> Result<Result<String, Event>, BuyError> {
    let error = match cloud.buy(order).await {
        Ok(host) => return Ok(Ok(host)),
        Err(error) => error,
    };
    let event = match &error {
        CloudError::NoCapacity => return Err(BuyError::NoCapacity),
        CloudError::Call(call) if call.may_have_taken_effect() => Event::ResponseLost,
        CloudError::Call(call) => Event::Rejected {
            retry_after_ms: call.retry_after_ms(),
        },
    };
    *cause = Some(error);
    Ok(Err(event))
}

async fn read_back<C: Cloud>(cloud: &C, order: &NewPurchase) -> Result<String, Event> {
    let listed = cloud.purchases().await;
    let listed = listed.map_err(|_outage| Event::ReadFailed)?;
    let same = listed
        .into_iter()
        .find(|held| held.purchase == order.purchase);
    same.map(|held| held.host).ok_or(Event::NotFound)
}

/// Returns the starting and running purchases of a buyer, by all holders of its lease.
pub fn active_purchases<'a>(
    listed: &'a [Purchase],
    buyer: &'a str,
) -> impl Iterator<Item = (PurchaseId, &'a Purchase)> {
    listed
        .iter()
        .filter(|purchase| purchase.state != PurchaseState::Ended)
        .filter_map(|purchase| {
            let id = PurchaseId::try_from(purchase.purchase.as_str()).ok()?;
            Some((id, purchase))
        })
        .filter(move |(id, _)| id.buyer == buyer)
}
