//! Buys hosts so that none is bought twice, and none is forgotten and paid for.
//!
//! Each intent has an id of its own ([`PurchaseId`]), by which the cloud knows a repeated order. An
//! order given up without an answer may still take effect, so the buyer's memory is not the truth:
//! it regularly lists the cloud's purchases ([`running`]), where the ids tell which are its own,
//! whoever held its lease when they were made.

use std::fmt;
use std::time::Duration;

use rand::rngs::SmallRng;

use super::{Cloud, CloudError, NewPurchase, Purchase, PurchaseState};
use crate::coordination::flight::{Event, Failure, Flight, Step};
use crate::coordination::leases::Fencing;
use crate::time::{Clock, TimeMs};

#[cfg(test)]
mod tests;

const SEPARATOR: char = '#';

/// The id of a purchase.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PurchaseId {
    /// The name of the lease under which it is made.
    pub buyer: String,
    /// The fencing number under which it is made.
    pub fencing: Fencing,
    /// The holder's count.
    pub number: u64,
}

impl fmt::Display for PurchaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            buyer,
            fencing: Fencing(fencing),
            number,
        } = self;
        write!(f, "{buyer}{SEPARATOR}{fencing}{SEPARATOR}{number}")
    }
}

/// The text is no id of ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the purchase has an id of somebody else")]
pub struct ForeignId;

impl TryFrom<&str> for PurchaseId {
    type Error = ForeignId;

    fn try_from(text: &str) -> Result<Self, ForeignId> {
        let (rest, number) = text.rsplit_once(SEPARATOR).ok_or(ForeignId)?;
        let (buyer, fencing) = rest.rsplit_once(SEPARATOR).ok_or(ForeignId)?;
        let parse = |digits: &str| digits.parse().map_err(|_not_a_number| ForeignId);
        Ok(Self {
            buyer: buyer.to_owned(),
            fencing: Fencing(parse(fencing)?),
            number: parse(number)?,
        })
    }
}

/// Why no host was bought.
#[derive(Debug, thiserror::Error)]
pub enum BuyError {
    /// There is none of this class in this failure domain; a later try needs a new id.
    #[error("the cloud has no capacity for this class in this failure domain")]
    NoCapacity,
    /// None was bought, and none will be.
    #[error("the cloud did not take the order")]
    NotBought(#[source] Option<CloudError>),
    /// One may have been bought, or may still be; the list of purchases will show it.
    #[error("it could not be found out in time whether the host was bought")]
    Unresolved(#[source] Option<CloudError>),
}

impl BuyError {
    /// Whether a host may have been bought.
    #[must_use]
    pub fn is_unresolved(&self) -> bool {
        matches!(self, Self::Unresolved(_))
    }

    /// Whether another class or failure domain is to be tried.
    #[must_use]
    pub fn is_no_capacity(&self) -> bool {
        matches!(self, Self::NoCapacity)
    }
}

/// Buys a host and tells its name; all tries carry the same id.
///
/// # Errors
///
/// A [`BuyError`] that says whether a host may have been bought.
pub async fn buy<C: Cloud>(
    cloud: &C,
    order: &NewPurchase,
    deadline_ms: TimeMs,
    clock: Clock,
    rng: &mut SmallRng,
) -> Result<String, BuyError> {
    let mut flight = Flight::new(0, deadline_ms);
    let mut event = Event::Started;
    let mut cause = None;
    loop {
        let found = match flight.next_step(event, clock.now(), rng) {
            Step::Call => try_buy(cloud, order, &mut cause).await?,
            Step::ReadBack { .. } => read_back(cloud, order).await,
            Step::Wait { wait_ms } => {
                tokio::time::sleep(Duration::from_millis(wait_ms)).await;
                Err(Event::Waited)
            }
            Step::GiveUp(Failure::NotTaken) => return Err(BuyError::NotBought(cause)),
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
        CloudError::Call(call) if call.is_unknown() => Event::AnswerLost,
        CloudError::Call(call) => Event::NotTaken {
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
    same.map(|held| held.host).ok_or(Event::NotThere)
}

/// The purchases of a buyer that start or run, whoever held its lease when they were made.
pub fn running<'a>(
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
