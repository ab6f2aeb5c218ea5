//! Request lifecycle: admission, dispatch, recovery, handover and the recorded outcome.

pub mod admission;
pub mod answer;
pub mod assembler;
pub mod call;
pub mod chunk;
pub mod completion;
pub mod core;
pub mod dispatch;
pub mod follow;
pub mod handover;
pub mod id;
pub mod keyed;
pub mod links;
pub mod outcome;
pub mod record;
pub mod records;
pub mod service_call;
pub mod settle;
pub mod suspicion;
pub mod witness;
pub mod witness_queues;

pub use self::core::Core;
pub use assembler::{Assembler, Verdict};
pub use call::{Call, Work};
pub use chunk::Chunk;
pub use follow::{RequestFollower, Step};
pub use id::{RequestId, TeamTag};
pub use links::Dependencies;
pub use outcome::{NotRun, Outcome};
pub use record::Record;
pub use records::Records;
