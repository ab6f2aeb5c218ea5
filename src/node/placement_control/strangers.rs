//! Looks at hosts that were bought for something that the document no longer names.

use super::memory::Memory;
use crate::coordination::cloud::{Cloud, PurchaseState};
use crate::document::Document;
use crate::keys::HostKey;
use crate::node::Node;
use crate::placement::PurchaseId;
use crate::upstreams::Engines;

/// Asks each such host for its load; routing has forgotten it, but streams may be left on it.
pub(super) async fn look(node: &Node, memory: &mut Memory, document: &Document) {
    let purchases = memory.purchases.iter();
    let held = purchases.filter(|purchase| purchase.state != PurchaseState::Ended);
    let strangers = held.filter(|purchase| {
        PurchaseId::parse(&purchase.purchase, document).is_err_and(|error| error.is_orphaned())
    });
    let names: Vec<_> = strangers.map(|purchase| purchase.host.clone()).collect();
    if names.is_empty() {
        return;
    }
    let Ok(list) = node.cloud.hosts().await else {
        return;
    };
    for name in names {
        let listed = list.hosts.iter().find(|host| host.host == name);
        let load = match listed {
            Some(host) => node.core.engines.load(host.address).await.ok(),
            None => None,
        };
        let now = node.core.clock.now();
        // One that is not listed yet has no streams; one that does not answer has lost them.
        let (running, as_of_ms) = load.map_or((0, now), |load| {
            (load.running.saturating_add(load.queued), load.as_of_ms)
        });
        memory.note_stranger(HostKey::from_name(&name), running, as_of_ms);
    }
}
