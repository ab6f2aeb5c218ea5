//! Adapter to the operators' platform: decodes its messages into domain types and encodes replies.
//!
//! The adapter holds no decision logic. Wire names of fields, headers and paths are confined to
//! this module; a CI check rejects them in the other folders.

pub(crate) mod cloud;
pub(crate) mod directory;
pub(crate) mod documents;
pub(crate) mod headers;
pub(crate) mod http;
mod malformed_records;
pub(crate) mod rollouts;
pub(crate) mod settings;
pub(crate) mod store;
pub(crate) mod upstreams;
