//! Runs a whole site in one process: stand-ins, three nodes, a short load and a reclaim.
//!
//! Exits with 1 if anything was lost, doubled or wrong. With `--keep` it goes on running and prints
//! the addresses, for `teaselline request`, `teaselline status`, the console and curl. With
//! `--platform` it is an installation of the operators' platform, with nodes as processes.

#[path = "../tests/support/deployment.rs"]
mod deployment;
#[path = "../tests/support/load.rs"]
mod load;
#[path = "local_site/platform.rs"]
mod platform;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgAction, Command, value_parser};
use deployment::{site_settings, start_nodes, url, wait_until_ready};
use load::Load;
use teaselline::client::caller::Caller;
use teaselline::document::Document;
use teaselline::node::RunningNode;
use teaselline::node::change::Proposal;
use teaselline::options::Secret;
use teaselline_stand_ins::cloud::Reclaim;
use teaselline_stand_ins::site::Site;

const DOCUMENT: &str = include_str!("../sample_configs/valid/kitagawa.json");
const TOKEN: &str = "team-archive-sample";
const OPERATOR_TOKEN: &str = "operator-kobayashi-sample";
const NODES: usize = 3;
const RECLAIMED: &str = "otaru-vault";
const NOTICE_MS: u64 = 4_000;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn command() -> Command {
    Command::new("local_site")
        .about("Runs a whole site in one process, with a load and a reclaim.")
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Goes on running after the load and prints the addresses."),
        )
        .arg(
            Arg::new("platform")
                .long("platform")
                .action(ArgAction::SetTrue)
                .help("Runs nodes of the gateway against stand-ins of the operators' platform."),
        )
        .arg(
            Arg::new("binary")
                .long("binary")
                .value_parser(value_parser!(PathBuf))
                .default_value("target/release/teaselline")
                .help("The program whose nodes are run with --platform."),
        )
        .arg(
            Arg::new("calls")
                .long("calls")
                .value_parser(value_parser!(usize))
                .default_value("400")
                .help("How many calls the load makes."),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("Seeds the choice of calls."),
        )
}

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    teaselline::telemetry::init_logging(
        log::LevelFilter::Error,
        teaselline::telemetry::Output::Stderr,
    );
    let calls = matches.get_one("calls").copied().unwrap_or(400);
    let seed = matches.get_one("seed").copied().unwrap_or(1);
    if matches.get_flag("platform") {
        let binary: Option<&PathBuf> = matches.get_one("binary");
        return exercise_platform(binary, calls, seed, matches.get_flag("keep")).await;
    }
    let Ok(document) = Document::parse(DOCUMENT) else {
        eprintln!("the sample document has faults");
        return ExitCode::from(2);
    };
    let started = async {
        let site = Site::start(site_settings(&document)).await.ok()?;
        let nodes = start_nodes(&document, &site, NODES).await.ok()?;
        Some((site, nodes))
    };
    let Some((site, nodes)) = started.await else {
        eprintln!("the site cannot start");
        return ExitCode::FAILURE;
    };
    println!(
        "started {} stand-in hosts and {NODES} nodes",
        site.upstreams().len()
    );
    if !configure(&site, &nodes).await {
        eprintln!("the nodes do not become ready");
        return ExitCode::FAILURE;
    }
    let broken = exercise(&site, &nodes, calls, seed).await;
    if matches.get_flag("keep") {
        keep(&nodes).await;
    }
    for node in &nodes {
        node.abort();
    }
    if broken {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

async fn exercise_platform(
    binary: Option<&PathBuf>,
    calls: usize,
    seed: u64,
    keeps: bool,
) -> ExitCode {
    let Some(binary) = binary.filter(|binary| binary.exists()) else {
        eprintln!("build the program first: cargo build --release");
        return ExitCode::from(2);
    };
    let ask = platform::Ask {
        binary,
        calls,
        seed,
        keeps,
    };
    match platform::run(ask).await {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("the installation cannot start: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn configure(site: &Site, nodes: &[RunningNode]) -> bool {
    let proposal = Proposal {
        base_revision: 0,
        operator: "kobayashi".to_owned(),
        document: DOCUMENT.to_owned(),
    };
    match nodes[0].node.propose(proposal).await {
        Ok(revision) => {
            println!("the configuration is revision {revision}");
            wait_until_ready(nodes, revision, site.upstreams().len()).await
        }
        Err(error) => {
            eprintln!("the configuration is refused: {error}");
            false
        }
    }
}

/// Runs the load with a reclaim in it; tells whether a promise was broken.
async fn exercise(site: &Site, nodes: &[RunningNode], calls: usize, seed: u64) -> bool {
    let urls: Vec<_> = nodes.iter().map(|node| url(node.caller_address)).collect();
    let caller = Arc::new(Caller::new(&urls, Some(Secret::new(TOKEN))).with_seed(seed));
    let load = Load {
        calls,
        at_once: 100,
        service_part: 0.3,
        non_idempotent_part: 0.2,
        model: "newsreel-damage".to_owned(),
        service: "catalogue".to_owned(),
        tokens: (24, 400),
        seed,
    };
    println!("running {calls} calls; {RECLAIMED} is reclaimed meanwhile, on {NOTICE_MS} ms notice");
    let running = load::run(caller, &load);
    let reclaim = async {
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let reclaim = Reclaim::Domain(RECLAIMED.to_owned());
        let hosts = site.cloud.announce_reclaim(&reclaim, NOTICE_MS);
        println!("notice for {} hosts", hosts.len());
    };
    let (calls_seen, ()) = tokio::join!(running, reclaim);
    let tally = load::check(&calls_seen, &site.history());
    println!("answered            {}", tally.answered);
    println!("not run             {}", tally.not_run);
    println!("unknown             {}", tally.unknown);
    println!("failed              {}", tally.failed);
    println!("lost                {}", tally.lost);
    println!("doubled             {}", tally.doubled);
    println!("wrong               {}", tally.wrong);
    println!("not run, yet ran    {}", tally.not_run_but_ran);
    println!("tokens recomputed   {}", tally.tokens_recomputed);
    println!("longest pause p95   {:.0} ms", tally.silence_p95_ms);
    println!("first token p95     {:.0} ms", tally.first_token_p95_ms);
    println!("cost                {:.4}", site.cloud.cost());
    tally.is_broken()
}

async fn keep(nodes: &[RunningNode]) {
    println!("\nthe site goes on; end it with Ctrl-C");
    for node in nodes {
        println!("node    http://{}", node.caller_address);
    }
    println!("team    TEASELLINE_TOKEN={TOKEN}");
    println!("operator TEASELLINE_TOKEN={OPERATOR_TOKEN}");
    if tokio::signal::ctrl_c().await.is_err() {
        eprintln!("signals cannot be received");
    }
}
