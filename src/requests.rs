//! The life of a request, from its id to its recorded outcome.
