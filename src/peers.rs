//! Streams between nodes.
