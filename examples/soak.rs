//! Runs the soak of the gateway for a number of seeds; exits with 1 if a promise was broken.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, Command, value_parser};
use teaselline_stand_ins::operators::soak::{self, Beside, SoakSettings};

fn command() -> Command {
    Command::new("soak")
        .about("Runs real nodes under random faults from outside and checks what they promise.")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("The first seed."),
        )
        .arg(
            Arg::new("runs")
                .long("runs")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("How many seeds, one after the other."),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64))
                .default_value("12")
                .help("How long faults come in each run."),
        )
        .arg(
            Arg::new("nodes")
                .long("nodes")
                .value_parser(value_parser!(usize))
                .default_value("4")
                .help("How many nodes."),
        )
        .arg(
            Arg::new("drills")
                .long("drills")
                .action(ArgAction::SetTrue)
                .help("Has the store come back from copies meanwhile."),
        )
        .arg(
            Arg::new("releases")
                .long("releases")
                .action(ArgAction::SetTrue)
                .help("Has upstreams of several versions serve and callers take up streams."),
        )
        .arg(
            Arg::new("bad-parts")
                .long("bad-parts")
                .action(ArgAction::SetTrue)
                .help("Has parts of prompts crash upstreams and some callers keep their channels."),
        )
        .arg(
            Arg::new("teams-at-limits")
                .long("teams-at-limits")
                .action(ArgAction::SetTrue)
                .help("Has teams run at and above their limits while nodes are killed and frozen."),
        )
        .arg(
            Arg::new("binary")
                .long("binary")
                .value_parser(value_parser!(PathBuf))
                .default_value("target/release/teaselline")
                .help("The program whose nodes are run."),
        )
}

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let binary = matches
        .get_one::<PathBuf>("binary")
        .cloned()
        .unwrap_or_default();
    let nodes = matches.get_one::<usize>("nodes").copied().unwrap_or(4);
    let flags = [
        ("drills", Beside::Drills),
        ("releases", Beside::Releases),
        ("bad-parts", Beside::BadParts),
        ("teams-at-limits", Beside::TeamsAtLimits),
    ];
    let set = (flags.into_iter()).filter(|(flag, _beside)| matches.get_flag(flag));
    let beside: Vec<Beside> = set.map(|(_flag, beside)| beside).collect();
    let mut is_broken = false;
    for seed in number("seed")..number("seed") + number("runs") {
        let settings = SoakSettings {
            binary: &binary,
            seed,
            span: Duration::from_secs(number("seconds")),
            nodes,
            beside: &beside,
        };
        match soak::run(settings).await {
            Ok(outcome) => {
                println!(
                    "seed {seed}: {} broken, {:?}",
                    outcome.broken.len(),
                    outcome.ended
                );
                for team in &outcome.teams {
                    println!("  {team}");
                }
                if !outcome.broken.is_empty() {
                    is_broken = true;
                    println!("  faults:\n    {}", outcome.faults.join("\n    "));
                    println!("  broken:\n    {}", outcome.broken.join("\n    "));
                }
            }
            Err(error) => {
                is_broken = true;
                println!("seed {seed}: not run: {error}");
            }
        }
    }
    if is_broken {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
