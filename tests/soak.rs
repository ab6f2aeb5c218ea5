//! A short seeded soak, and the seeds that ever showed a fault.

use std::path::Path;
use std::time::Duration;

use teaselline_stand_ins::operators::soak::{self, SoakSettings};

async fn soak(seed: u64, seconds: u64, nodes: usize, has_drills: bool) {
    let settings = SoakSettings {
        binary: Path::new(env!("CARGO_BIN_EXE_teaselline")),
        seed,
        span: Duration::from_secs(seconds),
        nodes,
        has_drills,
    };
    let outcome = soak::run(settings).await.expect("the installation starts");
    assert!(
        outcome.broken.is_empty(),
        "seed {seed}\nfaults:\n{}\nbroken:\n{}",
        outcome.faults.join("\n"),
        outcome.broken.join("\n")
    );
    assert!(
        outcome.ended.get("200").is_some_and(|count| *count > 20),
        "{outcome:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_short_soak_breaks_no_promise() {
    soak(1, 8, 3, false).await;
}

/// Promises are broken beside a store that comes back from copies.
#[tokio::test(flavor = "multi_thread")]
async fn a_short_soak_with_drills_of_the_store_breaks_no_promise() {
    soak(2, 10, 4, true).await;
}

/// A node does not serve again after the last fault.
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_serve_again_after_the_faults_of_seed_3303() {
    soak(3_303, 12, 4, false).await;
}
