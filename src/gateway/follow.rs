//! Follows the operators' configuration in the store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::clock;
use super::confirm::{self, CONFIRM_WAIT_MS, Reading, Standing};
use super::in_force::{Confirmation, Question};
use super::peers::Message;
use super::place::Place;
use super::questions::PeerQueries;
use super::rank;
use super::rollout::Order;
use super::state::{Gateway, Recipients};
use crate::platform::store::{CONFIGURATION_KEY, Keyed, StoreError, Topic};
use crate::platform::{documents, rollouts};
use crate::time::TimeMs;

/// Between two looks whether to read the configuration or to ask a peer.
const CONFIRM_LOOK_INTERVAL_MS: u64 = 200;

/// Follows the configuration for as long as the node runs.
pub(crate) async fn configuration(node: Arc<Gateway>) {
    loop {
        let reading = confirm::reading(&standing(&node, clock::now()));
        let wait_ms = match reading {
            Reading::Nothing => {
                tokio::time::sleep(Duration::from_millis(CONFIRM_LOOK_INTERVAL_MS)).await;
                continue;
            }
            Reading::Now => 0,
            Reading::Waiting => CONFIRM_WAIT_MS,
        };
        let read_to = node.in_force.read().end;
        let read = if read_to.is_start() {
            newest_configuration(&node).await
        } else {
            next_configuration(&node, read_to, wait_ms).await
        };
        let read = match read {
            Err(StoreError::Deleted { first }) => {
                log::info!(event = "history_lost", topic = "configuration", from:% = read_to, first; "records were deleted before they were read");
                newest_configuration(&node).await
            }
            read => read,
        };
        node.note_store(&read, clock::now());
        if let Err(error) = read {
            log::debug!(error:err = error; "the configuration was not read");
        }
    }
}

/// Asks peers whether the configuration is current, for as long as the node runs.
pub(crate) async fn confirmations(node: Arc<Gateway>) {
    let mut queries = PeerQueries::default();
    loop {
        tokio::time::sleep(Duration::from_millis(CONFIRM_LOOK_INTERVAL_MS)).await;
        let now = clock::now();
        let standing = standing(&node, now);
        if !confirm::asks(&standing) {
            queries.reset();
            continue;
        }
        let asked = queries.next_peer(&node.peers.lock(), now);
        if let Some(address) = asked {
            let question = Message::AskConfirmation(node.in_force.read().question(now));
            node.tell(Recipients::One(address), question);
        }
    }
}

fn standing(node: &Gateway, now: TimeMs) -> Standing {
    let contact = *node.store_contact.lock();
    let place = rank::place_in_domain(&node.peers.lock(), contact.reach(now), now);
    let in_force = node.in_force.read();
    let was_confirmed = in_force.current_at > TimeMs(0);
    Standing {
        age_ms: was_confirmed.then(|| now.since(in_force.current_at)),
        place,
        failed_ms: contact.failed_ms(now),
        running_ms: node.running_ms(now),
        is_behind: in_force.is_behind(),
        is_outdated: in_force.is_outdated(),
    }
}

async fn newest_configuration(node: &Gateway) -> Result<(), StoreError> {
    let asked_at = clock::now();
    let newest = node.store.newest(Topic::Configuration).await?;
    let is_return = {
        let in_force = node.in_force.read();
        in_force.is_known() && in_force.end.is_start()
    };
    for item in newest.items {
        take_item(node, &item);
    }
    (node.in_force.write()).confirmed_by_store(newest.end, asked_at);
    if is_return {
        hand_over(node);
    }
    Ok(())
}

async fn next_configuration(node: &Gateway, from: Place, wait_ms: u64) -> Result<(), StoreError> {
    let asked_at = clock::now();
    let records = node.store.read(Topic::Configuration, from, wait_ms).await?;
    for (place, body) in records.from.following().zip(&records.bodies) {
        match Keyed::read(place, body.clone()) {
            Ok(item) => take_item(node, &item),
            Err(error) => Topic::Configuration.note_malformed("", &error),
        }
    }
    let next = records.next();
    if next < records.end {
        // More follows: what has been read is taken in, but it was not all.
        (node.in_force.write()).confirmed_by_store(next, TimeMs(0));
        return Ok(());
    }
    // Without a record the store has waited before it answered.
    let waited_ms = if records.bodies.is_empty() {
        wait_ms
    } else {
        0
    };
    let current_at = asked_at.after(waited_ms).min(clock::now());
    (node.in_force.write()).confirmed_by_store(next, current_at);
    if !records.bodies.is_empty() {
        hand_over(node);
    }
    Ok(())
}

/// Hands what has just been read to the peers of this failure domain, which do not wait for it at
/// the store; one that misses it finds out when it asks.
fn hand_over(node: &Gateway) {
    let confirmation = {
        let in_force = node.in_force.read();
        let confirmation = in_force.confirmation(&Question::default(), clock::now());
        confirmation.map(|confirmation| confirmation.with_orders(node.rollouts.lock().orders()))
    };
    if let Some(confirmation) = confirmation {
        node.tell(Recipients::Neighbours, Message::Confirmation(confirmation));
    }
}

/// Takes in what a peer says of the configuration.
pub(crate) fn take_confirmation(node: &Gateway, confirmation: &Confirmation, now: TimeMs) {
    if let Some(document) = &confirmation.document {
        take_document(node, document);
    }
    for order in &confirmation.orders {
        take_order(node, order.clone());
    }
    log::debug!(event = "configuration_confirmed", end:% = confirmation.end, version = confirmation.version, age_ms = confirmation.age_ms; "a peer says how far it has read the configuration");
    node.in_force.write().confirmed_by_peer(confirmation, now);
}

fn take_item(node: &Gateway, item: &Keyed) {
    let Some(text) = &item.value else {
        return;
    };
    match rollouts::pool_of(&item.key) {
        _ if item.key == CONFIGURATION_KEY => take_document(node, text),
        Some(pool) => match rollouts::parse(pool, item.place, text) {
            Ok(order) => take_order(node, order),
            Err(error) => Topic::Configuration.note_malformed(&item.key, &error),
        },
        None => {}
    }
}

fn take_order(node: &Gateway, order: Order) {
    let day_ms = node.time_of_day(clock::now()).0;
    let (pool, target) = (order.pool.clone(), order.target.clone());
    let (duration_ms, place) = (order.duration_ms, order.place);
    if node.rollouts.lock().order(order, day_ms) {
        log::info!(
            event = "rollout_ordered",
            pool = pool.as_str(),
            target = target.as_str(),
            duration_ms,
            order:% = place;
            "a pool's traffic is to move to another version"
        );
    }
}

/// Puts a configuration in force if it is newer; versions never go back.
fn take_document(node: &Gateway, text: &[u8]) {
    match documents::parse(text) {
        Ok(catalog) => {
            let mut in_force = node.in_force.write();
            let before = in_force.catalog.version;
            if catalog.version > before {
                log::info!(
                    event = "configuration_changed",
                    before,
                    version = catalog.version,
                    routes = catalog.routes.len(),
                    teams = catalog.teams.len();
                    "a configuration is in force"
                );
                in_force.catalog = Arc::new(catalog);
                in_force.document = Bytes::copy_from_slice(text);
            }
        }
        Err(error) => {
            Topic::Configuration.note_malformed(CONFIGURATION_KEY, &error);
            log::error!(event = "configuration_rejected", error:err = error; "a configuration cannot be read; the one before stays");
        }
    }
}
