//! Hosts and models are held as the document says, whatever fails meanwhile.
//!
//! Nodes and stand-ins run in this process over real sockets.

#[path = "support/deployment.rs"]
#[expect(dead_code, reason = "these trials start their nodes one by one")]
mod deployment;
#[path = "support/trial.rs"]
mod trial;

#[path = "placement/failures.rs"]
mod failures;
#[path = "placement/leases.rs"]
mod leases;
#[path = "placement/levels.rs"]
mod levels;
#[path = "placement/site.rs"]
mod site;
