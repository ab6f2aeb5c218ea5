//! What a node adds to a request and to a streamed token, against the stand-in engine alone.

mod latency;
mod memory;
mod throughput;

use tokio::runtime::Runtime;

use super::{Arguments, Experiment, Failure};

/// All parts.
pub const EXPERIMENT: Experiment = Experiment {
    name: "path",
    about: "A node's overhead per request, per streamed token and per open stream.",
    run,
};

/// The first part alone.
pub const LATENCY: Experiment = Experiment {
    name: "path-latency",
    about: "Time to the first token through a node and straight from the engine.",
    run: |arguments| Runtime::new()?.block_on(latency::measure(arguments)),
};

/// The second part alone.
pub const THROUGHPUT: Experiment = Experiment {
    name: "path-throughput",
    about: "Streamed tokens a second through a node, and its processor time for each.",
    run: |arguments| Runtime::new()?.block_on(throughput::measure(arguments)),
};

/// The third part alone.
pub const MEMORY: Experiment = Experiment {
    name: "path-memory",
    about: "Resident memory of a node by the number of open streams.",
    run: |arguments| Runtime::new()?.block_on(memory::measure(arguments)),
};

fn run(arguments: &Arguments) -> Result<(), Failure> {
    for part in [LATENCY, THROUGHPUT, MEMORY] {
        (part.run)(arguments)?;
    }
    Ok(())
}
