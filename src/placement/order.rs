//! Orders of the placement controller.

use super::purchase::PurchaseId;
use super::view::ModelVersion;
use crate::keys::{HostKey, ModelKey};

/// The kind of requests that an engine host serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Latency-sensitive requests of interactive users.
    Interactive,
    /// Requests without a tight latency target.
    Batch,
}

/// One order; it describes a target state, so executing it twice is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Buy the host that the id describes; a repeated id buys no second host.
    Buy {
        /// The id of the purchase, which serves as its idempotency key.
        purchase: PurchaseId,
    },
    /// Release a host to the provider.
    GiveBack {
        /// The host.
        host: HostKey,
    },
    /// Stop sending new work to a host.
    Drain {
        /// The host.
        host: HostKey,
    },
    /// Load the version of a model that the document specifies on a host.
    Load {
        /// The host.
        host: HostKey,
        /// The model.
        model: ModelKey,
    },
    /// Unload a version of a model from a host.
    Unload {
        /// The host.
        host: HostKey,
        /// The model and version, as reported by the host.
        version: ModelVersion,
    },
    /// Set the role of a host.
    SetRole {
        /// The host.
        host: HostKey,
        /// The new role.
        role: Role,
    },
}
