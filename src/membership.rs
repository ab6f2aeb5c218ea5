//! Which nodes there are and which of them are suspected.
