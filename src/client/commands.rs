//! Carries out each subcommand but `serve`.

use std::io;

use miette::Diagnostic;
use thiserror::Error;

use super::input::{self, InputError};
use crate::document::{Document, DocumentFaults};
use crate::options::arguments::EXIT_CODE_USAGE;
use crate::options::{Action, generate};

/// Exit code for everything that is no fault of the settings or the document.
const EXIT_CODE_FAILURE: u8 = 1;

/// Why a subcommand failed.
#[derive(Debug, Error, Diagnostic)]
pub enum CommandError {
    /// An input could not be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Input(#[from] InputError),
    /// The document is not valid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Document(#[from] DocumentFaults),
    /// Standard output could not be written, or no subcommand has this manual page.
    #[error("cannot write to standard output")]
    Output(#[from] io::Error),
    /// The subcommand cannot run here.
    #[error("this subcommand is not built yet")]
    NotBuilt,
}

impl CommandError {
    /// The process's exit code.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Input(_) | Self::Document(_) => EXIT_CODE_USAGE,
            Self::Output(_) | Self::NotBuilt => EXIT_CODE_FAILURE,
        }
    }
}

/// Carries out a subcommand.
///
/// # Errors
///
/// If an input is at fault or the node does not do what it was asked.
pub fn run(action: Action) -> Result<(), CommandError> {
    match action {
        Action::ConfigCheck { file } => {
            Document::parse(&input::read_text(&file)?)?;
            println!("The document is valid.");
        }
        Action::Completions { shell } => generate::completions(shell, &mut io::stdout()),
        Action::ManualPage { subcommand } => {
            generate::manual_page(&subcommand, &mut io::stdout())?;
        }
        _ => return Err(CommandError::NotBuilt),
    }
    Ok(())
}
