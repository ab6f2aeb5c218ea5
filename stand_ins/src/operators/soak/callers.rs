//! Callers that ask one call after the other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::Rng;
use rand::rngs::SmallRng;

use super::Called;
use crate::operators::caller::Asked;
use crate::operators::deployment::{KEYS, asked};
use crate::server::now_ms;

/// Pause of a caller between two calls.
const PAUSE: Duration = Duration::from_millis(25);

/// How often a caller takes a stream up that was cut.
const MOST_TAKE_UPS: usize = 2;

/// Asks calls of random routes at random nodes, without end.
pub(super) async fn call_on(
    caller: usize,
    mut rng: SmallRng,
    nodes: Vec<SocketAddr>,
    history: Arc<Mutex<Vec<Called>>>,
    takes_up: bool,
) {
    for number in 0.. {
        let route = ["once", "again", "stream", "stream-on"][rng.random_range(0..4)];
        let mut asked = asked(&format!("c{caller}-{number}"), route);
        // The second team is limited and its key is taken away some time.
        if rng.random_bool(0.3) {
            KEYS[1].clone_into(&mut asked.key);
        }
        let node = rng.random_range(0..nodes.len());
        let mut last_event = call(asked.clone(), node, nodes[node], &history).await;
        let is_resumable = asked.path.starts_with("/stream-on");
        let begun = asked;
        for attempt in 0..MOST_TAKE_UPS {
            let Some(after) = last_event.filter(|_after| takes_up && is_resumable) else {
                break;
            };
            let next = begun.take_up(&format!("{}-up{attempt}", begun.id), after);
            let node = rng.random_range(0..nodes.len());
            last_event = call(next, node, nodes[node], &history).await.or(last_event);
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Sends a call, keeps how it ended, and gives the last event of a stream that was cut.
async fn call(
    asked: Asked,
    node: usize,
    address: SocketAddr,
    history: &Mutex<Vec<Called>>,
) -> Option<u64> {
    let sent_at_ms = now_ms();
    let ended = asked.send(address).await;
    let last_event = ended.last_event();
    history.lock().push(Called {
        asked,
        node,
        sent_at_ms,
        ended,
    });
    last_event
}
