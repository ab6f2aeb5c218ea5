//! Generates shell completions and manual pages from the definition of the command line.

use std::io::{self, Write};

use clap_complete::Shell;

use super::arguments;

/// Writes the completion script for `shell` to `out`.
pub fn completions(shell: Shell, out: &mut impl Write) {
    let mut command = arguments::command();
    clap_complete::generate(shell, &mut command, "teaselline", out);
}

/// Writes the manual page of a subcommand, or of the whole program if `path` is empty.
///
/// # Errors
///
/// The error of `out`, or [`io::ErrorKind::NotFound`] if there is no such subcommand.
pub fn manual_page(path: &[String], out: &mut impl Write) -> io::Result<()> {
    let mut command = arguments::command();
    command.build();
    for name in path {
        let found = command.find_subcommand(name).cloned();
        command = found.ok_or(io::ErrorKind::NotFound)?;
    }
    clap_mangen::Man::new(command).render(out)
}
