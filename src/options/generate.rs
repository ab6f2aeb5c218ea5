//! Shell completions and the manual page, made from the command line's own definition.

use std::io::{self, Write};

use clap_complete::Shell;

use super::arguments;

/// Writes completions for `shell`.
pub fn completions(shell: Shell, out: &mut impl Write) {
    let mut command = arguments::command();
    clap_complete::generate(shell, &mut command, "teaselline", out);
}

/// Writes the manual page of a subcommand, or of the whole program if `path` is empty.
///
/// # Errors
///
/// If the page cannot be written, or no subcommand has this name.
pub fn manual_page(path: &[String], out: &mut impl Write) -> io::Result<()> {
    let mut command = arguments::command();
    command.build();
    for name in path {
        let found = command.find_subcommand(name).cloned();
        command = found.ok_or(io::ErrorKind::NotFound)?;
    }
    clap_mangen::Man::new(command).render(out)
}
