//! Tests of the command line's definition and of the validated settings.

use std::net::SocketAddr;

use clap::Command;
use clap::builder::Resettable;

use super::settings::{Input, RequestContent, SettingsFaultKind, variable};
use super::{Action, Settings, SettingsFaults, arguments};

/// Parses settings from arguments only; environment variables of the test run are ignored.
fn settings(arguments: &[&str]) -> Result<Settings, SettingsFaults> {
    let matches = without_variables(arguments::command())
        .try_get_matches_from(arguments)
        .unwrap();
    Settings::try_from(&matches)
}

fn without_variables(command: Command) -> Command {
    command
        .mut_args(|argument| argument.env(Resettable::Reset))
        .mut_subcommands(without_variables)
}

#[test]
fn command_definition_passes_clap_checks() {
    arguments::command().debug_assert();
}

#[test]
fn every_flag_has_variable_heading_and_help() {
    let mut commands = vec![arguments::command()];
    while let Some(command) = commands.pop() {
        for flag in command
            .get_arguments()
            .filter(|flag| flag.get_long().is_some())
        {
            let name = flag.get_long().unwrap();
            let help = flag.get_help().map(ToString::to_string).unwrap_or_default();
            let heading = flag.get_help_heading();
            let environment = flag
                .get_env()
                .map(|name| name.to_string_lossy().into_owned());
            assert_eq!(environment, Some(variable(name)), "{name}");
            assert!(heading.is_some(), "{name} has no help heading");
            assert!(help.ends_with('.'), "{name}: {help}");
        }
        commands.extend(command.get_subcommands().cloned());
    }
}

#[test]
fn all_faults_are_reported_together() {
    let given = [
        "teaselline",
        "serve",
        "--listen",
        "8080",
        "--peer-listen",
        "0.0.0.0:81",
        "--threads",
        "0",
        "--seed",
        "10.0.0.1:1,elsewhere",
        "--log-url",
        "ftp://log",
        "--fleet-key",
        "seen by all",
        "--log-level",
        "loud",
    ];
    let faults = settings(&given).unwrap_err().faults;
    let flags: Vec<&str> = faults.iter().map(|fault| fault.flag).collect();
    let expected = [
        "log-level",
        "listen",
        "peer-advertise",
        "name",
        "failure-domain",
        "region",
        "seed",
        "log-url",
        "cloud-url",
        "weights-url",
        "fleet-key",
        "threads",
    ];
    assert_eq!(flags, expected);
    let key = faults.iter().find(|fault| fault.flag == "fleet-key");
    let variable = "TEASELLINE_FLEET_KEY";
    let kind = SettingsFaultKind::SecretArgument { variable };
    assert_eq!(key.unwrap().kind, kind);
}

#[test]
fn dash_reads_prompt_from_standard_input() {
    let given = [
        "teaselline",
        "request",
        "--model",
        "ledger",
        "--prompt",
        "-",
    ];
    let Action::Request { request, client } = settings(&given).unwrap().action else {
        panic!("expected the action `Request`");
    };
    assert!(matches!(
        request.content,
        RequestContent::Completion {
            prompt: Input::Standard,
            ..
        }
    ));
    assert_eq!(client.node_urls.len(), 1);
}

#[test]
fn model_and_service_conflict() {
    let given = [
        "teaselline",
        "request",
        "--model",
        "ledger",
        "--service",
        "keg-tracking",
    ];
    let faults = settings(&given).unwrap_err().faults;
    assert_eq!(
        faults[0].kind,
        SettingsFaultKind::Conflict { other: "model" }
    );
}

#[test]
fn bound_port_replaces_port_zero_in_advertised_addresses() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let bound = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let elsewhere = SocketAddr::from(([10, 0, 0, 7], 443));
    let settings = super::ServeSettings::new(any, any, any)
        .with_advertised(elsewhere, any, any)
        .with_bound(bound(1), bound(2), bound(3));
    assert_eq!(settings.advertise, elsewhere);
    assert_eq!(settings.peer_advertise, bound(2));
    assert_eq!(settings.heartbeat_advertise, bound(3));
}

#[test]
fn secret_is_redacted_in_debug_output() {
    let secret = super::Secret::new("team-archive-sample");
    assert!(!format!("{secret:?}").contains("archive"));
}

#[test]
fn requests_are_ordered_when_short_only_if_the_gateway_is_told_to() {
    let is_ordered = |given: &[&str]| match settings(given).unwrap().action {
        Action::Gateway {
            order_when_short, ..
        } => order_when_short,
        other => panic!("the action is gateway, not {other:?}"),
    };
    let bare = ["teaselline", "gateway", "--settings", "node.json"];
    assert!(!is_ordered(&bare));
    let with_switch = [&bare[..], &["--order-when-short"]].concat();
    assert!(is_ordered(&with_switch));
}
