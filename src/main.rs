//! The `teaselline` binary: parses the settings and runs the subcommand.

use std::io;
use std::path::Path;
use std::process::ExitCode;

use miette::Diagnostic;
use teaselline::client::commands;
use teaselline::options::arguments::{self, EXIT_CODE_USAGE};
use teaselline::options::{Action, ServeSettings, Settings};
use teaselline::telemetry::Output;
use teaselline::{gateway, node, telemetry};
use thiserror::Error;
use tokio::runtime;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Number of worker threads of client subcommands.
const CLIENT_THREADS: usize = 1;
/// Exit code of a node that failed to start or stopped with an error.
const EXIT_CODE_FAILURE: u8 = 1;

#[derive(Debug, Error, Diagnostic)]
enum ServeError {
    #[error("cannot start the worker threads")]
    Runtime(#[source] io::Error),
    #[error(transparent)]
    #[diagnostic(transparent)]
    Node(node::RunError),
    #[error(transparent)]
    #[diagnostic(transparent)]
    Gateway(gateway::GatewayError),
}

fn main() -> ExitCode {
    let matches = arguments::command().get_matches();
    let settings = match Settings::try_from(&matches) {
        Ok(settings) => settings,
        Err(faults) => return report(faults, EXIT_CODE_USAGE),
    };
    let output = match settings.action {
        Action::Gateway { .. } => Output::Stdout,
        _ => Output::Stderr,
    };
    telemetry::init_logging(settings.log_level, output);
    match settings.action {
        Action::Serve(settings) => serve(*settings),
        Action::Gateway {
            settings_file,
            order_when_short,
        } => run_gateway(&settings_file, order_when_short),
        action => run_command(action),
    }
}

fn serve(settings: ServeSettings) -> ExitCode {
    let result = match start_runtime(settings.threads) {
        Ok(runtime) => runtime
            .block_on(node::run(settings))
            .map_err(ServeError::Node),
        Err(error) => Err(ServeError::Runtime(error)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report(error, EXIT_CODE_FAILURE),
    }
}

/// Runs a gateway on a single thread.
///
/// Its host provides a fraction of one core, where a second thread would only add wake-ups.
fn run_gateway(settings_file: &Path, order_when_short: bool) -> ExitCode {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime
            .block_on(gateway::run(settings_file, order_when_short))
            .map_err(ServeError::Gateway),
        Err(error) => Err(ServeError::Runtime(error)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report(error, EXIT_CODE_FAILURE),
    }
}

fn run_command(action: Action) -> ExitCode {
    let runtime = match start_runtime(CLIENT_THREADS) {
        Ok(runtime) => runtime,
        Err(error) => return report(ServeError::Runtime(error), EXIT_CODE_FAILURE),
    };
    match runtime.block_on(commands::run(action)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let code = error.exit_code();
            report(error, code)
        }
    }
}

fn start_runtime(threads: usize) -> io::Result<runtime::Runtime> {
    runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
}

/// Prints an error to standard error and returns the exit code.
fn report(error: impl Diagnostic + Send + Sync + 'static, code: u8) -> ExitCode {
    eprintln!("{:?}", miette::Report::new(error));
    ExitCode::from(code)
}
