//! Keeps the operators' table of settings true to the command line.

use std::fmt::Write;

use clap::Command;
use teaselline::options::arguments;

const PAGE: &str = include_str!("../docs/operators/settings.md");

/// A row for each flag of a command and of those below it.
fn rows(command: &Command, path: &str, table: &mut String) {
    for argument in command
        .get_arguments()
        .filter(|argument| argument.get_long().is_some())
    {
        let environment = argument
            .get_env()
            .and_then(|name| name.to_str())
            .unwrap_or("");
        let defaults = argument
            .get_default_values()
            .iter()
            .filter_map(|value| value.to_str());
        let help = argument
            .get_help()
            .map(ToString::to_string)
            .unwrap_or_default();
        let flag = argument.get_long().unwrap_or_default();
        writeln!(
            table,
            "| `{path}` | `--{flag}` | {} | {} | {} |",
            quoted(environment),
            quoted(&defaults.collect::<Vec<_>>().join(", ")),
            help.replace('\n', " ").replace('|', "\\|"),
        )
        .expect("a text grows as needed");
    }
    for below in command
        .get_subcommands()
        .filter(|below| !below.is_hide_set())
    {
        rows(below, &format!("{path} {}", below.get_name()), table);
    }
}

fn quoted(text: &str) -> String {
    if text.is_empty() {
        String::new()
    } else {
        format!("`{text}`")
    }
}

#[test]
fn the_page_names_every_setting() {
    let mut table = String::new();
    rows(&arguments::command(), "teaselline", &mut table);
    let missing: Vec<_> = table.lines().filter(|row| !PAGE.contains(row)).collect();
    assert!(
        missing.is_empty(),
        "docs/operators/settings.md lacks:\n{}",
        missing.join("\n")
    );
    let known = PAGE
        .lines()
        .filter(|row| row.starts_with("| `teaselline"))
        .count();
    assert_eq!(
        known,
        table.lines().count(),
        "the page names settings that there are not"
    );
}
