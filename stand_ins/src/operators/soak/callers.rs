//! Callers that ask one call after the other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::Rng;
use rand::rngs::SmallRng;

use super::Called;
use super::bad_parts::sound_lines;
use crate::operators::caller::{Asked, Channel};
use crate::operators::deployment::{KEYS, asked};
use crate::server::now_ms;

/// Pause of a caller between two calls.
const PAUSE: Duration = Duration::from_millis(25);

/// How often a caller takes a stream up that was cut.
const MOST_TAKE_UPS: usize = 2;

/// What callers do beside asking calls.
#[derive(Clone, Copy, Debug)]
pub(super) struct Habits {
    /// They take up streams that were cut.
    pub takes_up: bool,
    /// Their requests have prompts, and some callers keep their channels until a node ends them.
    pub has_prompts: bool,
}

/// Asks calls of random routes at random nodes, without end.
pub(super) async fn call_on(
    caller: usize,
    mut rng: SmallRng,
    nodes: Vec<SocketAddr>,
    history: Arc<Mutex<Vec<Called>>>,
    habits: Habits,
) {
    let keeps_channels = habits.has_prompts && caller.is_multiple_of(2);
    let mut channels: Vec<Channel> = nodes.iter().map(|_node| Channel::default()).collect();
    for number in 0.. {
        let route = ["once", "again", "stream", "stream-on"][rng.random_range(0..4)];
        let mut asked = asked(&format!("c{caller}-{number}"), route);
        if habits.has_prompts {
            asked.extra = sound_lines(caller, number);
            asked.body = format!("body of {}", asked.id);
        }
        // The second team is limited and its key is taken away some time.
        if rng.random_bool(0.3) {
            KEYS[1].clone_into(&mut asked.key);
        }
        let node = rng.random_range(0..nodes.len());
        if !keeps_channels {
            channels[node] = Channel::default();
        }
        let channel = &mut channels[node];
        let mut last_event = call(asked.clone(), node, nodes[node], channel, &history).await;
        let is_resumable = asked.path.starts_with("/stream-on");
        let begun = asked;
        for attempt in 0..MOST_TAKE_UPS {
            let Some(after) = last_event.filter(|_after| habits.takes_up && is_resumable) else {
                break;
            };
            let next = begun.take_up(&format!("{}-up{attempt}", begun.id), after);
            let node = rng.random_range(0..nodes.len());
            let mut channel = Channel::default();
            last_event = call(next, node, nodes[node], &mut channel, &history)
                .await
                .or(last_event);
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Sends a call, keeps how it ended, and gives the last event of a stream that was cut.
pub(super) async fn call(
    asked: Asked,
    node: usize,
    address: SocketAddr,
    channel: &mut Channel,
    history: &Mutex<Vec<Called>>,
) -> Option<u64> {
    let sent_at_ms = now_ms();
    let ended = asked.send_on(channel, address).await;
    let last_event = ended.last_event();
    history.lock().push(Called {
        asked,
        node,
        sent_at_ms,
        ended,
    });
    last_event
}
