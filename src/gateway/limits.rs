//! What teams may spend, what upstreams accept from this node, and how many requests are repeated.

pub(crate) mod backoff;
pub(crate) mod credit;
pub(crate) mod quota;
pub(crate) mod refusal_allowance;
pub(crate) mod repeat_budget;
pub(crate) mod send_gate;
pub(crate) mod throttle;
