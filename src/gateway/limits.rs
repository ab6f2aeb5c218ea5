//! What teams may spend and what upstreams accept from this node.

pub(crate) mod backoff;
pub(crate) mod quota;
pub(crate) mod refusal_allowance;
pub(crate) mod send_gate;
pub(crate) mod throttle;
