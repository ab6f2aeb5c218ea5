//! What to do with the streams of a host that is going away.
