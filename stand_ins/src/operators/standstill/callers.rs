//! Callers that keep their channels and give some calls up.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::operators::caller::{Channel, Ended};
use crate::operators::deployment::asked;
use crate::operators::soak::Called;
use crate::server::now_ms;

/// Routes; those that may run once come more often.
const ROUTES: [&str; 6] = ["once", "once", "stream", "stream", "again", "stream-on"];

/// What callers say that they wait, in milliseconds.
const DEADLINES_MS: [u64; 4] = [400, 800, 1_500, 3_000];

/// How likely a caller gives a call up, and after how many milliseconds.
const GIVES_UP: f64 = 0.15;
const GIVES_UP_AFTER_MS: std::ops::Range<u64> = 20..900;

/// Pause between two calls, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 0..60;

/// Asks calls of random routes at random nodes, without end.
pub(super) async fn call_on(
    caller: usize,
    mut rng: SmallRng,
    nodes: Vec<SocketAddr>,
    history: Arc<Mutex<Vec<Called>>>,
) {
    let keeps_channels = caller.is_multiple_of(2);
    let mut channels: Vec<Channel> = nodes.iter().map(|_node| Channel::default()).collect();
    for number in 0.. {
        let route = ROUTES[rng.random_range(0..ROUTES.len())];
        let mut asked = asked(&format!("s{caller}-{number}"), route);
        asked.deadline_ms = DEADLINES_MS[rng.random_range(0..DEADLINES_MS.len())];
        let patience_ms = if rng.random_bool(GIVES_UP) {
            rng.random_range(GIVES_UP_AFTER_MS)
        } else {
            u64::MAX
        };
        let node = rng.random_range(0..nodes.len());
        let mut channel = std::mem::take(&mut channels[node]);
        let sent_at_ms = now_ms();
        let call = asked.send_on(&mut channel, nodes[node]);
        let ended = tokio::time::timeout(Duration::from_millis(patience_ms), call).await;
        let received = String::new();
        let ended = ended.unwrap_or(Ended::Cut { received });
        if keeps_channels {
            channels[node] = channel;
        }
        history.lock().push(Called {
            asked,
            node,
            sent_at_ms,
            ended,
        });
        let pause_ms = rng.random_range(PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}
