//! Failure domains that leave on notice under long streams: what is lost, recomputed and silent.
//!
//! Teaselline against simple clients that talk to the engines themselves, know their own load on
//! each at once and are told of a notice without delay. All sides run the same streams.

mod baseline;

use std::collections::BTreeSet;
use std::time::Duration;

use futures::future::join_all;
use serde_json::json;
use teaselline::client::call::Call;
use teaselline_stand_ins::cloud::Reclaim;
use teaselline_stand_ins::history::History;
use tokio::runtime::Runtime;

use super::report::Line;
use super::{Arguments, Experiment, Failure};
use crate::calling::begin;
use crate::load::{self, Seen};
use crate::stage::Stage;
use crate::streams::Streams;
use baseline::{Client, Policy};

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "reclaim-wave",
    about: "Failure domains leave on 2 to 30 s of notice under long streams.",
    run: |arguments| Runtime::new()?.block_on(measure(arguments)),
};

/// Nodes on our side.
const NODES: usize = 3;

/// Streams at once; without two of the four domains there is room for 112.
const STREAMS: usize = 96;

/// How long streams run before the notice.
const BEFORE: Duration = Duration::from_secs(1);

/// How long a planned stop may take; there is none here.
const DRAIN_TIMEOUT_MS: u64 = 4_000;

/// What leaves, and on what notice.
#[derive(Clone, Copy, Debug)]
struct Case {
    domains: &'static [&'static str],
    notice_ms: u64,
    /// Whether a node of ours dies while it moves its streams.
    crash: bool,
}

const ONE: &[&str] = &["otaru-vault"];
const TWO: &[&str] = &["otaru-vault", "sapporo-lab"];

const CASES: [Case; 7] = [
    case(ONE, 2_000),
    case(ONE, 10_000),
    case(ONE, 30_000),
    case(TWO, 2_000),
    case(TWO, 10_000),
    case(TWO, 30_000),
    Case {
        crash: true,
        ..case(ONE, 10_000)
    },
];

const fn case(domains: &'static [&'static str], notice_ms: u64) -> Case {
    Case {
        domains,
        notice_ms,
        crash: false,
    }
}

/// Who moves the streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Teaselline,
    Baseline(Policy),
}

const SIDES: [(Side, &str); 4] = [
    (Side::Teaselline, "teaselline"),
    (
        Side::Baseline(Policy::RestartAtNotice),
        "baseline_restart_at_notice",
    ),
    (
        Side::Baseline(Policy::RestartAtLoss),
        "baseline_restart_at_loss",
    ),
    (
        Side::Baseline(Policy::RecomputeAtNotice),
        "baseline_recompute_at_notice",
    ),
];

/// What one run of one side came to.
#[derive(Debug, Default)]
struct Figures {
    fields: Vec<(&'static str, f64)>,
}

async fn measure(arguments: &Arguments) -> Result<(), Failure> {
    for case in CASES {
        let sides = SIDES.into_iter();
        let sides = sides.filter(|(side, _)| !case.crash || *side == Side::Teaselline);
        let mut runs: Vec<_> = sides.map(|(side, name)| (side, name, Vec::new())).collect();
        for seed in arguments.seeds() {
            let at_once = runs.iter().map(|(side, _, _)| run(*side, case, seed));
            let figures = join_all(at_once.collect::<Vec<_>>()).await;
            for ((_, _, of_side), figures) in runs.iter_mut().zip(figures) {
                of_side.push(figures?);
            }
        }
        for (_, name, figures) in &runs {
            print(name, case, arguments, figures)?;
        }
    }
    Ok(())
}

async fn run(side: Side, case: Case, seed: u64) -> Result<Figures, Failure> {
    let streams = Streams {
        count: STREAMS,
        prompt_tokens: (500, 6_000),
        answer_tokens: (600, 3_000),
        non_idempotent_part: 0.2,
        latency_class: "interactive",
        seed,
    };
    match side {
        Side::Teaselline => run_nodes(case, streams.calls()).await,
        Side::Baseline(policy) => run_baseline(policy, case, streams.calls()).await,
    }
}

async fn run_nodes(case: Case, calls: Vec<Call>) -> Result<Figures, Failure> {
    let mut stage = Stage::start(NODES, DRAIN_TIMEOUT_MS).await?;
    let running = begin(&stage.caller(), calls);
    stage.until_streaming(STREAMS).await;
    tokio::time::sleep(BEFORE).await;
    let notice = announce(&stage, case);
    if case.crash {
        stage.until_moving().await;
        stage.nodes[0].crash();
    }
    let seen = running.await.map_err(|_panic| Failure::Broken)?;
    Ok(figures(&stage, &seen, &notice))
}

async fn run_baseline(policy: Policy, case: Case, calls: Vec<Call>) -> Result<Figures, Failure> {
    let stage = Stage::without_nodes(DRAIN_TIMEOUT_MS).await?;
    let client = Client::new(&stage.site, policy);
    let running = client.begin(calls);
    stage.until_streaming(STREAMS).await;
    tokio::time::sleep(BEFORE).await;
    let notice = announce(&stage, case);
    client.note_leaving(&notice.hosts);
    let seen = running.await.map_err(|_panic| Failure::Broken)?;
    Ok(figures(&stage, &seen, &notice))
}

/// A wave, and what it found on its hosts.
#[derive(Debug)]
struct Notice {
    hosts: Vec<String>,
    /// The streams on them.
    requests: BTreeSet<String>,
    /// Tokens of their prompts and of what they had generated.
    context_tokens: u64,
}

fn announce(stage: &Stage, case: Case) -> Notice {
    let history = stage.site.history();
    let reclaims = case.domains.iter();
    let reclaims = reclaims.map(|domain| Reclaim::Domain((*domain).to_owned()));
    let announce = |reclaim| stage.site.cloud.announce_reclaim(&reclaim, case.notice_ms);
    let hosts: Vec<String> = reclaims.flat_map(announce).collect();
    let mut notice = Notice {
        hosts,
        requests: BTreeSet::new(),
        context_tokens: 0,
    };
    for ran in &history.ran {
        match &ran.stream {
            Some(stream) if stream.finish.is_none() && notice.hosts.contains(&ran.host) => {
                notice.requests.insert(ran.request.clone());
                notice.context_tokens += stream.prompt_tokens + stream.generated_tokens;
            }
            _ => {}
        }
    }
    notice
}

fn figures(stage: &Stage, seen: &[Seen], notice: &Notice) -> Figures {
    let history = stage.site.history();
    let tally = load::check(seen, &history);
    let on_wave = |seen: &&Seen| seen.ids.iter().any(|id| notice.requests.contains(id));
    let silences: Vec<_> = seen
        .iter()
        .filter(on_wave)
        .map(Seen::longest_silence)
        .collect();
    let longest = silences.iter().max().copied().unwrap_or_default();
    let answered = float(tally.answered);
    let recomputed = float(tally.tokens_recomputed);
    let at_risk = float(notice.context_tokens);
    let fields = vec![
        (
            "cost_per_1k_answered",
            stage.site.cloud.cost() / answered.max(1.0) * 1e3,
        ),
        ("tokens_recomputed", recomputed),
        ("tokens_at_notice", at_risk),
        (
            "recomputed_to_tokens_at_notice",
            recomputed / at_risk.max(1.0),
        ),
        ("streams_at_notice", count(notice.requests.len())),
        ("exported", count(exported(&history))),
        ("first_token_p95_ms", tally.first_token_p95_ms),
        ("between_tokens_p95_ms", tally.between_tokens_p95_ms),
        ("longest_silence_p95_ms", tally.silence_p95_ms),
        ("wave_silence_p95_ms", load::p95(silences.into_iter())),
        ("wave_silence_max_ms", longest.as_secs_f64() * 1e3),
        ("answered", answered),
        ("not_run", float(tally.not_run)),
        ("unknown", float(tally.unknown)),
        ("failed", float(tally.failed)),
        ("doubled", float(tally.doubled)),
        ("lost", float(tally.lost)),
        ("wrong", float(tally.wrong)),
    ];
    Figures { fields }
}

fn exported(history: &History) -> usize {
    use teaselline_stand_ins::engine::Finish;
    let streams = history.ran.iter().filter_map(|ran| ran.stream.as_ref());
    streams
        .filter(|stream| stream.finish == Some(Finish::Exported))
        .count()
}

fn print(side: &str, case: Case, arguments: &Arguments, runs: &[Figures]) -> Result<(), Failure> {
    let mut line = Line::new("reclaim-wave", side)
        .with("seed", json!(arguments.seed))
        .with("notice_ms", json!(case.notice_ms))
        .with("domains", json!(case.domains.len()))
        .with("node_crash", json!(case.crash));
    for (index, (name, _)) in runs
        .first()
        .map_or(&[][..], |run| &run.fields)
        .iter()
        .enumerate()
    {
        let values: Vec<f64> = runs.iter().map(|run| run.fields[index].1).collect();
        line = line.with_spread(name, &values);
    }
    Ok(line.print()?)
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn float(count: u64) -> f64 {
    count as f64
}

fn count(count: usize) -> f64 {
    float(count as u64)
}
