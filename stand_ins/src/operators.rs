//! Stand-ins for the operators' platform: its store, its interface for duties, its upstreams and
//! its callers, and nodes run as processes against them.

pub mod caller;
pub mod cloud;
pub mod crowd;
pub mod deployment;
pub mod node;
pub mod soak;
pub mod standstill;
pub mod store;
pub mod upstream;

pub use caller::{Asked, Ended};
pub use cloud::Cloud;
pub use crowd::{Crowd, Member};
pub use deployment::Deployment;
pub use node::{HostLimits, Node};
pub use store::Store;
pub use upstream::{Endless, EndlessPart, Fault, Run, Upstream};
