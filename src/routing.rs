//! Which upstream a request goes to.
