//! Retry storms, failing upstreams and requests that crash engines, on running nodes.
//!
//! Nodes and stand-ins run in this process over real sockets.

#[path = "support/deployment.rs"]
mod deployment;
#[path = "storms/killing.rs"]
#[expect(dead_code, reason = "the measurements in examples use the other items")]
mod killing;
#[path = "storms/sender.rs"]
#[expect(dead_code, reason = "the measurements in examples use the other items")]
mod sender;
#[path = "storms/site.rs"]
#[expect(dead_code, reason = "the measurements in examples use the other items")]
mod site;

#[path = "storms/failures.rs"]
mod failures;
