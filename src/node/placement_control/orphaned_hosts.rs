//! Polls the load of hosts bought for a pool, class or domain that left the document.

use super::controller_state::ControllerState;
use crate::coordination::cloud::{Cloud, PurchaseState};
use crate::document::Document;
use crate::keys::HostKey;
use crate::node::Node;
use crate::placement::PurchaseId;
use crate::upstreams::Engines;

/// Polls the load of each such host.
///
/// Routing no longer uses these hosts, but they may still have streams.
pub(super) async fn poll_loads(node: &Node, state: &mut ControllerState, document: &Document) {
    let purchases = state.purchases.iter();
    let held = purchases.filter(|purchase| purchase.state != PurchaseState::Ended);
    let orphaned = held.filter(|purchase| {
        PurchaseId::parse(&purchase.purchase, document).is_err_and(|error| error.is_orphaned())
    });
    let names: Vec<_> = orphaned.map(|purchase| purchase.host.clone()).collect();
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
        // A host that is not listed yet has no streams; one that does not answer has lost them.
        let (running, as_of_ms) = load.map_or((0, now), |load| {
            (load.running.saturating_add(load.queued), load.as_of_ms)
        });
        state.record_orphaned_host(HostKey::from_name(&name), running, as_of_ms);
    }
}
