//! Drives the real binary: settings, documents and exit codes.

use std::io::ErrorKind;
use std::net::TcpListener;
use std::process::{Command, Output};

const KEY: &str = "a fleet key that nobody may see";

fn teaselline(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_teaselline"));
    command.args(arguments).env_clear();
    command
}

fn run(command: &mut Command) -> (Option<i32>, String, String) {
    let Output {
        status,
        stdout,
        stderr,
    } = command.output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (status.code(), text(stdout), text(stderr))
}

#[test]
fn bad_settings_are_all_listed_and_end_with_2() {
    let mut command = teaselline(&["serve", "--listen", "somewhere"]);
    command
        .env("TEASELLINE_THREADS", "many")
        .env("TEASELLINE_FLEET_KEY", KEY);
    let (code, _, told) = run(&mut command);
    assert_eq!(code, Some(2));
    for flag in [
        "--listen",
        "--threads",
        "--name",
        "--log-url",
        "TEASELLINE_THREADS",
    ] {
        assert!(told.contains(flag), "{flag} is not in: {told}");
    }
    assert!(!told.contains(KEY), "the key is in: {told}");
}

#[test]
fn help_does_not_show_the_key() {
    let mut command = teaselline(&["serve", "--help"]);
    let (code, told, _) = run(command.env("TEASELLINE_FLEET_KEY", KEY));
    assert_eq!(code, Some(0));
    assert!(told.contains("TEASELLINE_FLEET_KEY") && !told.contains(KEY));
}

#[test]
fn a_valid_document_passes_and_an_invalid_one_is_told_with_paths() {
    let valid = ["config", "check", "sample_configs/valid/keg.json"];
    assert_eq!(run(&mut teaselline(&valid)).0, Some(0));
    let invalid = [
        "config",
        "check",
        "sample_configs/invalid/unknown_references.json",
    ];
    let (code, _, told) = run(&mut teaselline(&invalid));
    assert_eq!(code, Some(2));
    for path in [
        "pools[0].kind.engine.models[0]",
        "teams[1].default_latency_class",
    ] {
        assert!(told.contains(path), "{path} is not in: {told}");
    }
}

/// Symptom: half of a bad document is in force. Sequence: an operator applies a document with one
/// bad part. Cause: sending it before it is checked as a whole.
#[test]
fn an_invalid_document_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let file = "sample_configs/invalid/weights_sum.json";
    let arguments = ["config", "apply", file, "--base", "3", "--node-url", &url];
    let (code, _, told) = run(&mut teaselline(&arguments));
    assert_eq!(code, Some(2));
    assert!(told.contains("measure"), "{told}");
    assert_eq!(listener.accept().unwrap_err().kind(), ErrorKind::WouldBlock);
}

#[test]
fn a_document_that_is_not_utf_8_is_told_from_which_byte() {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), b"{\"deployment\": \"\xff\"}").unwrap();
    let (code, _, told) = run(&mut teaselline(&[
        "config",
        "check",
        file.path().to_str().unwrap(),
    ]));
    assert_eq!(code, Some(2));
    assert!(told.contains("byte 16"), "{told}");
}

#[test]
fn completions_and_manual_pages_name_every_subcommand() {
    let (_, completions, _) = run(&mut teaselline(&["generate", "completions", "bash"]));
    let (_, manual, _) = run(&mut teaselline(&["generate", "man"]));
    for name in ["serve", "config", "status", "audit", "request"] {
        assert!(completions.contains(name), "{name}");
        assert!(manual.contains(name), "{name}");
    }
    let (code, page, _) = run(&mut teaselline(&["generate", "man", "config", "apply"]));
    assert_eq!(code, Some(0));
    assert!(page.contains("base"));
    let (code, ..) = run(&mut teaselline(&["generate", "man", "nothing"]));
    assert_eq!(code, Some(1));
}
