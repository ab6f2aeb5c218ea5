//! How configuration documents travel between nodes.

pub(crate) mod packed;
pub(crate) mod push;
