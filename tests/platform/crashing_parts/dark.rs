//! A request whose crashes end no connection: the hosts of its upstreams go dark.

use std::time::Duration;

use teaselline_stand_ins::operators::deployment::asked;
use teaselline_stand_ins::operators::upstream::{BadPart, ChannelEnd, Crash, CrashPoint};
use teaselline_stand_ins::operators::{Asked, Deployment, Upstream};

use super::play::CONTACT_MS;
use crate::support::{deployment, eventually, send};

/// Time for which an upstream is dark.
const DARK_MS: u64 = 3_000;

/// Pause between the end of a retry and the next one; with its time limit longer than an upstream is dark.
const RETRY_INTERVAL: Duration = Duration::from_millis(2_700);

/// Time limit of a retry.
const DEADLINE_MS: u64 = 1_000;

/// Crashes from which retries are counted, and how many of them may reach upstreams.
const COUNTED_CRASHES: usize = 3;
const MAX_LATE: usize = 3;

/// Retries that are counted.
const RETRIES: usize = 6;

/// A retry of one request: the same path, caller and body.
fn retry(number: usize) -> Asked {
    Asked {
        extra: String::from("Model: m\r\nToken-Count: 200,80\r\nPrompt-Prefix: b0:100,c0:100\r\n"),
        body: String::from("the body"),
        deadline_ms: DEADLINE_MS,
        ..asked(&format!("dark-{number}"), "once")
    }
}

fn crashes(deployment: &Deployment) -> usize {
    let times = deployment.upstreams.iter().map(Upstream::crashed_at_ms);
    times.flatten().count()
}

/// Guards against a request that takes down one upstream after the other because their hosts go dark.
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_upstreams_went_dark_three_times_is_refused() {
    let deployment = deployment(3, 8).await;
    for upstream in &deployment.upstreams {
        let crash = Crash {
            point: CrashPoint::BeforeHead,
            channels: ChannelEnd::None,
            down_ms: DARK_MS,
            keeps_id: false,
        };
        upstream.crash_on(&[BadPart::new("b0")], crash);
    }
    let mut number = 0;
    let mut retry_next = async || {
        let node = number % deployment.nodes.len();
        let ended = send(&deployment, node, &retry(number)).await;
        number += 1;
        tokio::time::sleep(RETRY_INTERVAL).await;
        ended.status()
    };
    eventually("three upstreams crash", async || {
        retry_next().await;
        crashes(&deployment) >= COUNTED_CRASHES
    })
    .await;
    tokio::time::sleep(Duration::from_millis(CONTACT_MS)).await;
    let before = crashes(&deployment);
    let mut last = None;
    for _retry in 0..RETRIES {
        last = retry_next().await;
    }
    let late = crashes(&deployment) - before;
    assert!(
        late <= MAX_LATE,
        "{late} of {RETRIES} retries crashed upstreams"
    );
    assert_eq!(last, Some(500));
    let sound = Asked {
        body: String::from("another body"),
        extra: String::new(),
        ..retry(number)
    };
    assert_eq!(send(&deployment, 0, &sound).await.status(), Some(200));
}
