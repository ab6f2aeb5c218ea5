//! The life of a request, from its id to its recorded outcome.

pub mod assembler;
pub mod call;
pub mod id;
pub mod outcome;
pub mod record;
pub mod records;
pub mod witness;

pub use assembler::{Assembler, Verdict};
pub use call::{Call, Work};
pub use id::{RequestId, TeamTag};
pub use outcome::{NotRun, Outcome};
pub use record::Record;
pub use records::Records;
