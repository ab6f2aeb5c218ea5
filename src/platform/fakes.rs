//! Platform systems in memory, with the faults that the real ones have.

mod log;

pub use log::{AppendFault, FakeLog};
