//! Crashes of upstreams without any bad part, under requests that share parts: nothing is blocked.

use std::time::Duration;

use teaselline_stand_ins::operators::upstream::{ChannelEnd, Crash, CrashPoint};
use teaselline_stand_ins::operators::{Deployment, Fault, Upstream};

use super::play::{Callers, Kind, Seen, Share, kind};
use crate::support::{deployment, now_ms};

/// Status of requests that are refused because they crash upstreams.
const BLOCKED: u16 = 500;

const INTERVAL: Duration = Duration::from_millis(30);

/// Duration of the load before the first crash.
const WARM_UP: Duration = Duration::from_secs(1);

/// Duration of the load after the last upstream is back, and of the part of it that is not counted.
const AFTERWARDS: Duration = Duration::from_secs(3);
const SETTLE_MS: u64 = 1_000;

/// Fewest requests that are counted.
const MIN_COUNTED: usize = 40;

const CRASH: Crash = Crash {
    point: CrashPoint::BeforeHead,
    channels: ChannelEnd::Reset,
    down_ms: 800,
    keeps_id: false,
};

const KINDS: [Kind; 3] = [
    kind("stream", "stream", &[&["a0"], &["a0", "a1"]]),
    kind("resumable", "stream-on", &[&["a0", "a1"]]),
    kind("whole", "once", &[&["a0"], &["a0", "a1"]]),
];

/// Runs the crashes under load; returns what callers saw and when the upstreams were back, in Unix milliseconds.
async fn under_load(crashes: impl AsyncFnOnce(&Deployment)) -> (Vec<Seen>, u64) {
    let deployment = deployment(3, 6).await;
    let callers = Callers::start(&deployment, &KINDS, INTERVAL);
    tokio::time::sleep(WARM_UP).await;
    crashes(&deployment).await;
    while deployment.upstreams.iter().any(Upstream::is_down) {
        tokio::time::sleep(INTERVAL).await;
    }
    let back_at_ms = now_ms();
    tokio::time::sleep(AFTERWARDS).await;
    let times = deployment.upstreams.iter().map(Upstream::crashed_at_ms);
    println!("{} crashes", times.flatten().count());
    (callers.end().await, back_at_ms)
}

/// Asserts that no request was refused as one that crashes upstreams, and that nine in ten are answered afterwards.
fn assert_nothing_is_blocked((seen, back_at_ms): &(Vec<Seen>, u64)) {
    let all = Share::of(seen.iter());
    let afterwards = Share::of((seen.iter()).filter(|one| one.sent_at_ms > back_at_ms + SETTLE_MS));
    let is_blocked = |one: &&Seen| one.status == Some(BLOCKED);
    let blocked = seen.iter().filter(is_blocked).count();
    println!("{all:?}, afterwards {afterwards:?}, {blocked} blocked");
    assert_eq!(blocked, 0, "requests without a bad part were blocked");
    assert!(afterwards.sent >= MIN_COUNTED, "{afterwards:?}");
    assert!(
        10 * afterwards.answered >= 9 * afterwards.sent,
        "requests are not answered after the crashes: {afterwards:?}"
    );
}

/// Guards against blame on the parts of all that ran in a failure domain when the domain is lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_failure_domains_block_no_shared_part() {
    let seen = under_load(async |deployment| {
        for zone in ["zone-0", "zone-1", "zone-0"] {
            for upstream in &deployment.upstreams {
                if upstream.zone() == zone {
                    upstream.crash(CRASH);
                }
            }
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
    });
    assert_nothing_is_blocked(&seen.await);
}

/// Guards against blame on the parts of requests that run at an upstream that crashes again and again, each time under
/// a new id.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_crashes_repeatedly_blocks_no_shared_part() {
    let seen = under_load(async |deployment| {
        for _ in 0..6 {
            for id in ["pool-0", "desk-0"] {
                let upstream = deployment.upstream(id);
                upstream.expect("the upstream exists").crash(CRASH);
            }
            tokio::time::sleep(Duration::from_millis(1_300)).await;
        }
    });
    assert_nothing_is_blocked(&seen.await);
}

/// Guards against blame on a part that is in all requests while upstreams crash in turn.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_that_crash_in_turn_block_no_shared_part() {
    let seen = under_load(async |deployment| {
        for upstream in &deployment.upstreams {
            upstream.crash(CRASH);
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    });
    assert_nothing_is_blocked(&seen.await);
}

/// Guards against blame on the parts of requests whose connections upstreams reset although they run on.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_running_upstreams_break_off_block_no_shared_part() {
    let seen = under_load(async |deployment| {
        for fault in [Fault::BreaksOff, Fault::None] {
            for upstream in &deployment.upstreams {
                upstream.set(fault);
            }
            tokio::time::sleep(Duration::from_secs(3)).await;
        }
    });
    assert_nothing_is_blocked(&seen.await);
}
