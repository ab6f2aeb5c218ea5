//! Asks each upstream for its state, which routing and placement go by.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tokio_util::sync::CancellationToken;

use super::book::Said;
use crate::document::checked::PoolKind;
use crate::keys::HostKey;
use crate::node::Node;
use crate::upstreams::{Engines, PlainServices};

/// Between two rounds.
const INTERVAL_MS: u64 = 1_000;

/// Upstreams asked at once.
const AT_ONCE: usize = 16;

/// What is asked.
#[derive(Clone, Copy, Debug)]
struct Question {
    host: HostKey,
    address: SocketAddr,
    is_engine: bool,
}

/// Asks all upstreams round after round, until `shutdown`.
pub(in crate::node) async fn collect_states(node: Arc<Node>, shutdown: CancellationToken) {
    loop {
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = round(&node) => {}
        }
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = tokio::time::sleep(Duration::from_millis(INTERVAL_MS)) => {}
        }
    }
}

async fn round(node: &Node) {
    let mut questions = questions(node);
    questions.sort_unstable_by_key(|question| question.host);
    let hosts: Vec<_> = questions.iter().map(|question| question.host).collect();
    node.placement.lock().keep(&hosts);
    let answers = futures::stream::iter(questions)
        .map(|question| async move { (question, ask(node, question).await) })
        .buffer_unordered(AT_ONCE);
    tokio::pin!(answers);
    while let Some((question, answer)) = answers.next().await {
        if let Some(said) = answer.as_ref().filter(|_| question.is_engine) {
            tell_routing(node, question.host, said);
        }
        let now = node.core.clock.now();
        node.placement.lock().note(question.host, answer, now);
    }
}

fn questions(node: &Node) -> Vec<Question> {
    let Some(in_force) = node.core.blackboard.active_configuration() else {
        return Vec::new();
    };
    let mut questions = Vec::new();
    node.core.blackboard.for_each_host(|row| {
        if let Some(pool) = in_force.document.pools.get(row.pool.index()) {
            questions.push(Question {
                host: row.key,
                address: row.address,
                is_engine: matches!(pool.kind, PoolKind::Engine { .. }),
            });
        }
    });
    questions
}

async fn ask(node: &Node, question: Question) -> Option<Said> {
    if !question.is_engine {
        // One that is alive but refuses new calls is not silent.
        let health = node.core.services.health(question.address).await;
        return health.ok().map(|_takes_calls| Said::default());
    }
    let state = node.core.engines.state(question.address).await.ok()?;
    Some(Said {
        models: state.models,
        loading: state.loading,
        role: state.role,
    })
}

fn tell_routing(node: &Node, host: HostKey, said: &Said) {
    let mut models: Vec<_> = said.models.iter().map(|held| held.model.clone()).collect();
    models.sort_unstable();
    models.dedup();
    node.core.blackboard.upstreams.with(host, |row| {
        row.models = Some(models);
        row.role = said.role;
    });
}
