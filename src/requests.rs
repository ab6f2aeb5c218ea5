//! Request lifecycle: admission, dispatch, recovery, handover and the recorded outcome.

pub mod admission;
pub mod assembler;
pub mod call;
pub mod chunk;
pub mod completion;
pub mod core;
pub mod dependencies;
pub mod dispatch;
pub mod follower;
pub mod handover;
pub mod id;
pub mod idempotency_keys;
pub mod outcome;
pub mod peer_requests;
pub mod record;
pub mod records;
pub mod service_call;
pub mod settlement;
mod standby_progress;
pub mod substitute;
pub mod suspects;
pub mod witness;
pub mod witness_queues;

pub use self::core::Core;
pub use assembler::{Assembler, Verdict};
pub use call::{Call, Work};
pub use chunk::Chunk;
pub use dependencies::Dependencies;
pub use follower::{RequestFollower, Step};
pub use id::{RequestId, TeamTag};
pub use outcome::{NotRun, Outcome};
pub use record::Record;
pub use records::Records;
