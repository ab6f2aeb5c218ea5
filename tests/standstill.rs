//! Nodes beside upstreams that stand still and go on, as processes of their own that are stopped and continued.

use std::env;
use std::path::Path;
use std::time::Duration;

use teaselline_stand_ins::operators::standstill::upstream_process::{
    UpstreamCommand, serve_if_told,
};
use teaselline_stand_ins::operators::standstill::{self, StandstillSettings};

/// Calls that have to be answered in a run, spells that come in it, and late copies that nodes meet if there are any, so that
/// its checks see something.
const ANSWERED: usize = 200;
const SPELLS: usize = 10;
const COPIES: usize = 10;

/// Runs one seed; the upstreams are processes of this test program that run `upstream_process` only.
async fn assert_promises_are_kept(seed: u64, nodes: usize, late_copies: f64) {
    let upstream = UpstreamCommand {
        program: env::current_exe().expect("this program is known"),
        arguments: ["upstream_process", "--exact", "--nocapture"]
            .map(str::to_owned)
            .to_vec(),
    };
    let settings = StandstillSettings {
        binary: Path::new(env!("CARGO_BIN_EXE_teaselline")),
        upstream,
        seed,
        span: Duration::from_secs(10),
        nodes,
        late_copies,
    };
    let outcome = standstill::run(&settings)
        .await
        .expect("the installation starts");
    assert!(
        outcome.broken.is_empty(),
        "seed {seed}\nspells:\n{}\nbroken:\n{}",
        outcome.faults.join("\n"),
        outcome.broken.join("\n")
    );
    let answered = outcome.ended.get("200").copied().unwrap_or(0);
    assert!(answered > ANSWERED, "{:?}", outcome.ended);
    assert!(outcome.faults.len() > SPELLS, "{:?}", outcome.faults);
    let attempts = outcome.failed_attempts.iter();
    let copies = attempts.filter(|line| line.contains("\"other_answer\""));
    let copies = copies.count();
    assert!(copies > COPIES || late_copies == 0.0, "{copies} copies");
}

/// Is an upstream when this program is started as one, and passes at once otherwise.
#[test]
fn upstream_process() {
    serve_if_told().expect("an upstream starts");
}

/// Guards against calls and streams that run twice, or run and are refused, while their upstreams stand still and go on.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_while_upstreams_stand_still() {
    assert_promises_are_kept(1, 3, 0.0).await;
}

/// Guards against the same with late copies of refusals and answers, at a single node.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_while_upstreams_stand_still_and_repeat_answers() {
    assert_promises_are_kept(2, 1, 0.1).await;
}
