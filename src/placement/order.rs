//! What the controller orders.

use super::purchase::PurchaseId;
use super::view::ModelVersion;
use crate::keys::{HostKey, ModelKey};

/// What an engine's host is there for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Requests with a person waiting.
    Interactive,
    /// Requests that may take their time.
    Batch,
}

/// One order; each is a level to reach, so that carrying it out twice is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Buy the host that the id describes; a known id buys nothing new.
    Buy {
        /// The client's id of the purchase.
        purchase: PurchaseId,
    },
    /// Give a host back to the provider.
    GiveBack {
        /// The host.
        host: HostKey,
    },
    /// Let a host get no new work.
    Drain {
        /// The host.
        host: HostKey,
    },
    /// Have a host load the version of a model that the document names.
    Load {
        /// The host.
        host: HostKey,
        /// The model.
        model: ModelKey,
    },
    /// Have a host unload a version of a model.
    Unload {
        /// The host.
        host: HostKey,
        /// The model and version, as the host reports it.
        version: ModelVersion,
    },
    /// Set what a host is there for.
    SetRole {
        /// The host.
        host: HostKey,
        /// Its role.
        role: Role,
    },
}
