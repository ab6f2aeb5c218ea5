//! Sends a new configuration to the nodes of this failure domain, which do not poll the store.

use std::sync::Arc;
use std::time::Duration;

use crate::gateway::active_configuration::Confirmation;
use crate::gateway::clock;
use crate::gateway::messages::Message;
use crate::gateway::state::{Gateway, Recipients};

/// Interval between two checks whether the budget allows the next document.
const PACE_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which the remaining nodes are left to ask; they do so within a second.
const PUSH_TIMEOUT_MS: u64 = 3_000;

/// Sends a confirmation with its document to one node of the failure domain after another, as the
/// budget for documents allows.
///
/// A push to all of them at once would fill the link of a small node for seconds, and none would
/// have received the whole document by then.
pub(crate) async fn send_to_domain(node: Arc<Gateway>, confirmation: Confirmation) {
    let started_at = clock::now();
    let bytes = confirmation.document.as_ref().map_or(0, Vec::len);
    let addresses = node.peers.lock().same_domain_addresses(started_at);
    for address in addresses {
        while !node.document_bandwidth.lock().try_take(bytes, clock::now()) {
            let is_superseded = node.catalog().version > confirmation.version;
            if is_superseded || clock::now().since(started_at) >= PUSH_TIMEOUT_MS {
                log::debug!(version = confirmation.version; "a configuration is not sent to the remaining nodes of the failure domain; they ask for it");
                return;
            }
            tokio::time::sleep(PACE_INTERVAL).await;
        }
        let message = Message::Confirmation(confirmation.clone());
        node.send_message(Recipients::Address(address), message);
    }
}
