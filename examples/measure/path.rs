//! What a node adds to a request and to a streamed token, against the stand-in engine alone.

mod latency;
mod memory;
mod throughput;

use tokio::runtime::Runtime;

use super::{Arguments, Experiment, Failure};

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "path",
    about: "A node's overhead per request, per streamed token and per open stream.",
    run,
};

fn run(arguments: &Arguments) -> Result<(), Failure> {
    let runtime = Runtime::new()?;
    runtime.block_on(latency::measure(arguments))?;
    runtime.block_on(throughput::measure(arguments))?;
    runtime.block_on(memory::measure(arguments))
}
