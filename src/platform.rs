//! The adapter to the operators' platform: it decodes what the platform says into the product's
//! types and encodes what the product says back, and decides nothing.
//!
//! Names of fields, headers and paths on the wire appear here and nowhere else; a check in CI
//! looks for them in the other folders.

pub(crate) mod cloud;
pub(crate) mod directory;
pub(crate) mod documents;
pub(crate) mod headers;
pub(crate) mod http;
pub(crate) mod rollouts;
pub(crate) mod settings;
pub(crate) mod store;
pub(crate) mod upstreams;
