//! Keeps the operators' configuration current: reads it from the store and asks peers to confirm
//! it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::active_configuration::{Confirmation, ConfirmationRequest};
use super::clock;
use super::configuration::{packed, push};
use super::confirmation::{self, ConfirmationState, LONG_POLL_MS, StoreRead};
use super::log_position::LogPosition;
use super::messages::Message;
use super::peer_queries::PeerQueries;
use super::rank;
use super::rollout::Order;
use super::state::{Gateway, Recipients};
use crate::platform::store::{CONFIGURATION_KEY, KeyedRecord, StoreError, Topic};
use crate::platform::{documents, rollouts};
use crate::time::TimeMs;

/// Interval between checks whether to read the configuration or to ask a peer.
const CHECK_INTERVAL_MS: u64 = 200;

/// Reads the configuration from the store until the node stops.
pub(crate) async fn sync_configuration(node: Arc<Gateway>) {
    loop {
        let store_read = confirmation::next_read(&confirmation_state(&node, clock::now()));
        let wait_ms = match store_read {
            StoreRead::Skip => {
                tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
                continue;
            }
            StoreRead::Immediate => 0,
            StoreRead::LongPoll => LONG_POLL_MS,
        };
        let read_to = node.in_force.read().end;
        let read = if read_to.is_start() {
            read_newest(&node).await
        } else {
            read_next(&node, read_to, wait_ms).await
        };
        let read = match read {
            Err(StoreError::Deleted { first }) => {
                log::info!(event = "history_lost", topic = "configuration", from:% = read_to, first; "records were deleted from the store before this node read them; reading the newest ones");
                read_newest(&node).await
            }
            read => read,
        };
        node.record_store_call(&read, clock::now());
        if let Err(error) = read {
            log::debug!(error:err = error; "reading the configuration failed; retrying");
        }
    }
}

/// Asks peers to confirm the configuration until the node stops.
pub(crate) async fn request_confirmations(node: Arc<Gateway>) {
    let mut queries = PeerQueries::default();
    loop {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let now = clock::now();
        // Another answer would only share the link with the one that is on its way.
        if node.reassembly.lock().is_receiving(now) {
            continue;
        }
        let state = confirmation_state(&node, now);
        if !confirmation::should_ask_peer(&state) {
            queries.reset();
            continue;
        }
        let address = queries.next_peer(&node.peers.lock(), now);
        if let Some(address) = address {
            let request = Message::QueryConfirmation(node.in_force.read().request(now));
            node.send_message(Recipients::Address(address), request);
        }
    }
}

fn confirmation_state(node: &Gateway, now: TimeMs) -> ConfirmationState {
    let contact = *node.store_contact.lock();
    let (rank, rank_among_known) = {
        let peers = node.peers.lock();
        let reach = contact.availability(now);
        (
            rank::rank_in_domain(&peers, reach, now),
            rank::rank_among_known(&peers),
        )
    };
    let knows_nodes = node.upstreams_view.lock().knows_nodes;
    let in_force = node.in_force.read();
    let was_confirmed = in_force.confirmed_at > TimeMs(0);
    ConfirmationState {
        age_ms: was_confirmed.then(|| now.since(in_force.confirmed_at)),
        rank,
        rank_among_known: knows_nodes.then_some(rank_among_known),
        failed_ms: contact.failed_ms(now),
        running_ms: node.uptime_ms(now),
        is_behind: in_force.is_behind(),
        is_outdated: in_force.is_outdated(),
    }
}

async fn read_newest(node: &Arc<Gateway>) -> Result<(), StoreError> {
    let asked_at = clock::now();
    let newest = node.store.read_latest(Topic::Configuration).await?;
    let is_new_era = {
        let in_force = node.in_force.read();
        in_force.is_known() && in_force.end.is_start()
    };
    for item in newest.items {
        apply_item(node, &item);
    }
    (node.in_force.write()).confirmed_by_store(newest.end, asked_at);
    if is_new_era {
        send_to_domain(node);
    }
    Ok(())
}

async fn read_next(node: &Arc<Gateway>, from: LogPosition, wait_ms: u64) -> Result<(), StoreError> {
    let asked_at = clock::now();
    let records = node.store.read(Topic::Configuration, from, wait_ms).await?;
    for (place, body) in records.from.following().zip(&records.bodies) {
        match KeyedRecord::read(place, body.clone()) {
            Ok(item) => apply_item(node, &item),
            Err(error) => node
                .store
                .report_malformed(Topic::Configuration, "", &error),
        }
    }
    let next = records.next();
    if next < records.end {
        // More records follow: the records read are applied, but confirm nothing.
        (node.in_force.write()).confirmed_by_store(next, TimeMs(0));
        return Ok(());
    }
    // An answer without records was sent after the long-poll time.
    let waited_ms = if records.bodies.is_empty() {
        wait_ms
    } else {
        0
    };
    let current_at = asked_at.after(waited_ms).min(clock::now());
    (node.in_force.write()).confirmed_by_store(next, current_at);
    if !records.bodies.is_empty() {
        send_to_domain(node);
    }
    Ok(())
}

/// Sends the configuration just read to the peers of this failure domain, which do not poll the
/// store, if this node is the one that reads it for them. A peer that misses the message notices when
/// it asks.
fn send_to_domain(node: &Arc<Gateway>) {
    let now = clock::now();
    if confirmation_state(node, now).rank > 0 {
        return;
    }
    let confirmation = {
        let in_force = node.in_force.read();
        let confirmation = in_force.confirmation(&ConfirmationRequest::default(), now);
        confirmation.map(|confirmation| confirmation.with_orders(node.rollouts.lock().orders()))
    };
    if let Some(confirmation) = confirmation {
        tokio::spawn(push::send_to_domain(Arc::clone(node), confirmation));
    }
}

/// Answers a peer that asks whether the configuration is current.
///
/// An answer with the document is given as the budget for documents allows. A peer that gets none
/// asks again, another node at first.
pub(crate) fn answer_request(
    node: &Gateway,
    request: &ConfirmationRequest,
    from: SocketAddr,
    now: TimeMs,
) {
    let confirmation = node.in_force.read().confirmation(request, now);
    let Some(confirmation) = confirmation else {
        return;
    };
    let document_bytes = confirmation.document.as_ref().map_or(0, Vec::len);
    if document_bytes > 0 && !(node.document_bandwidth.lock()).try_take(document_bytes, now) {
        log::debug!(peer:% = from; "the budget for documents is used up; the request of the peer for the configuration is not answered");
        return;
    }
    let confirmation = confirmation.with_orders(node.rollouts.lock().orders());
    node.send_message(
        Recipients::Address(from),
        Message::Confirmation(confirmation),
    );
}

/// Applies a peer's confirmation, with its document and rollout orders.
pub(crate) fn apply_confirmation(node: &Gateway, confirmation: &Confirmation, now: TimeMs) {
    if let Some(packed) = &confirmation.document
        && confirmation.version > node.catalog().version
    {
        apply_packed(node, packed);
    }
    for order in &confirmation.orders {
        apply_order(node, order.clone());
    }
    log::debug!(event = "configuration_confirmed", end:% = confirmation.end, version = confirmation.version, age_ms = confirmation.age_ms; "received a confirmation of the configuration from a peer");
    node.in_force.write().confirmed_by_peer(confirmation, now);
}

fn apply_item(node: &Gateway, item: &KeyedRecord) {
    let Some(text) = &item.value else {
        return;
    };
    match rollouts::pool_from_key(&item.key) {
        _ if item.key == CONFIGURATION_KEY => apply_document(node, text),
        Some(pool) => match rollouts::parse(pool, item.position, text) {
            Ok(order) => apply_order(node, order),
            Err(error) => node
                .store
                .report_malformed(Topic::Configuration, &item.key, &error),
        },
        None => {}
    }
}

fn apply_order(node: &Gateway, order: Order) {
    let day_ms = node.agreed_time_of_day(clock::now()).0;
    let (pool, target) = (order.pool.clone(), order.target.clone());
    let (duration_ms, place) = (order.duration_ms, order.place);
    if node.rollouts.lock().add_order(order, day_ms) {
        log::info!(
            event = "rollout_ordered",
            pool = pool.as_str(),
            target = target.as_str(),
            duration_ms,
            order:% = place;
            "a rollout was ordered; traffic of the pool moves to the target version"
        );
    }
}

/// Activates a configuration that a peer sent.
fn apply_packed(node: &Gateway, packed: &[u8]) {
    match packed::unpack(packed) {
        Ok(text) => activate(node, &text, || Bytes::copy_from_slice(packed)),
        Err(error) => {
            log::error!(event = "configuration_rejected", error:err = error; "a peer's configuration cannot be unpacked; the previous one stays active");
        }
    }
}

/// Activates a configuration that the store returned.
fn apply_document(node: &Gateway, text: &[u8]) {
    activate(node, text, || packed::pack(text));
}

/// Activates a configuration if its version is higher; versions never decrease.
fn activate(node: &Gateway, text: &[u8], pack: impl FnOnce() -> Bytes) {
    match documents::parse(text) {
        Ok(catalog) if catalog.version <= node.catalog().version => {}
        Ok(catalog) => {
            let document = pack();
            let mut in_force = node.in_force.write();
            let before = in_force.catalog.version;
            if catalog.version > before {
                log::info!(
                    event = "configuration_changed",
                    before,
                    version = catalog.version,
                    routes = catalog.routes.len(),
                    teams = catalog.teams.len();
                    "activated a configuration"
                );
                in_force.catalog = Arc::new(catalog);
                in_force.document = document;
            }
        }
        Err(error) => {
            node.store
                .report_malformed(Topic::Configuration, CONFIGURATION_KEY, &error);
            log::error!(event = "configuration_rejected", error:err = error; "a configuration cannot be decoded; the previous one stays active");
        }
    }
}
