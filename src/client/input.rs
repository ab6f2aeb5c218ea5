//! Reads an input from its source: a file, standard input or the argument itself.

use std::fs;
use std::io::{self, Read};

use miette::Diagnostic;
use thiserror::Error;

use crate::options::settings::Input;

/// An input that could not be read.
#[derive(Debug, Error, Diagnostic)]
#[error("cannot read {from}")]
#[diagnostic(code(teaselline::input))]
pub struct InputError {
    from: String,
    #[source]
    cause: InputCause,
}

#[derive(Debug, Error)]
enum InputCause {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("invalid UTF-8 at byte {valid_up_to}")]
    NotUtf8 { valid_up_to: usize },
}

/// Reads the whole input as UTF-8 text.
///
/// # Errors
///
/// If the input cannot be read or is not UTF-8.
pub fn read_text(input: &Input) -> Result<String, InputError> {
    let bytes = read_bytes(input)?;
    String::from_utf8(bytes).map_err(|error| {
        let valid_up_to = error.utf8_error().valid_up_to();
        input_error(input, InputCause::NotUtf8 { valid_up_to })
    })
}

/// Reads the whole input as bytes.
///
/// # Errors
///
/// If the input cannot be read.
pub fn read_bytes(input: &Input) -> Result<Vec<u8>, InputError> {
    let read = match input {
        Input::Text(text) => return Ok(text.clone().into_bytes()),
        Input::File(path) => fs::read(path),
        Input::Standard => {
            let mut bytes = Vec::new();
            io::stdin().read_to_end(&mut bytes).map(|_| bytes)
        }
    };
    read.map_err(|error| input_error(input, error.into()))
}

fn input_error(input: &Input, cause: InputCause) -> InputError {
    let from = match input {
        Input::Text(_) => String::from("the argument"),
        Input::File(path) => path.display().to_string(),
        Input::Standard => String::from("standard input"),
    };
    InputError { from, cause }
}
