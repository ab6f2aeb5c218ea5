//! The callers' HTTP interface.
