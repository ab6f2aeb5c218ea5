//! The audit trail of changes and orders.
