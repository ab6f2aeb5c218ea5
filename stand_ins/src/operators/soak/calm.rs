//! What must hold in the calm after the last fault, whatever came before: upstreams say something in their answers, and
//! the configuration changes.

use std::time::Duration;

use serde_json::json;

use super::Called;
use crate::operators::deployment::{Deployment, asked, document};
use crate::operators::upstream::{Fault, Upstream};
use crate::server::now_ms;

/// The rest that an upstream asks for in the calm, and requests of one node that it may get meanwhile.
const REST_S: &str = "1.5";
const MOST_IN_REST: usize = 2;

/// New requests may reach an upstream this long after it has said that it leaves, the way of a request included.
const DRAIN: Duration = Duration::from_millis(2_300);

/// A change is in force on all nodes within this time.
const APPLIED: Duration = Duration::from_secs(2);

/// Upstreams that say something in the calm.
#[derive(Debug, Default)]
pub(super) struct Saying {
    begun_ms: u64,
    resting: Vec<String>,
    leaving: Vec<(String, usize)>,
}

/// Has one upstream of each service, other than those that are limited, ask for rest, and one say that it leaves.
pub(super) fn begin(deployment: &Deployment, limited: &[String]) -> Saying {
    let mut saying = Saying {
        begun_ms: now_ms(),
        ..Saying::default()
    };
    for service in ["desk", "pool"] {
        let mut others = (deployment.upstreams.iter())
            .filter(|one| one.id().starts_with(service) && !one.has_crashed())
            .filter(|one| !limited.iter().any(|id| id == one.id()));
        if let Some(one) = others.next() {
            one.ask_for_rest(Some(REST_S));
            one.set(Fault::Sheds);
            saying.resting.push(one.id().to_owned());
        }
        if let Some(one) = others.next() {
            one.say_leaving(Some("1"));
            saying.leaving.push((one.id().to_owned(), 0));
        }
    }
    saying
}

impl Saying {
    /// Waits until those that leave must get nothing new, and counts from then on.
    pub async fn settle(&mut self, deployment: &Deployment) {
        tokio::time::sleep(DRAIN).await;
        for (id, before) in &mut self.leaving {
            *before = deployment
                .upstream(id)
                .map_or(0, |one| one.arrivals().len());
        }
    }

    /// An upstream, unless it has started again since: nodes have not heard what the new start says.
    fn upstream<'a>(&self, deployment: &'a Deployment, id: &str) -> Option<&'a Upstream> {
        let upstream = deployment.upstream(id);
        upstream.filter(|one| !one.has_crashed_since(self.begun_ms))
    }

    /// What was broken of what they said.
    pub fn broken(&self, deployment: &Deployment, called: &[Called]) -> Vec<String> {
        let mut nodes: Vec<(&str, usize)> = (called.iter())
            .map(|call| (call.asked.id.as_str(), call.node))
            .collect();
        nodes.sort_unstable();
        let node_of = |id: &str| {
            let found = nodes.binary_search_by_key(&id, |(id, _node)| *id);
            found.map_or(usize::MAX, |place| nodes[place].1)
        };
        let mut broken = Vec::new();
        for id in &self.resting {
            let most = self
                .upstream(deployment, id)
                .map_or(0, |one| one.most_in_rest(node_of));
            if most > MOST_IN_REST {
                broken.push(format!(
                    "{id} asked for {REST_S} s of rest and got {most} of one node"
                ));
            }
        }
        for (id, before) in &self.leaving {
            let late = self
                .upstream(deployment, id)
                .map_or(0, |one| one.arrivals().len() - before);
            if late > 0 {
                broken.push(format!(
                    "{id} said that it leaves and got {late} later than it may"
                ));
            }
        }
        broken
    }
}

/// Changes a route, and tells of nodes on which that is not in force in time; `is_revoked` says that the second team's
/// key stays taken away.
pub(super) async fn change(deployment: &Deployment, is_revoked: bool) -> Vec<String> {
    // Beyond what any schedule of faults has come to.
    let mut next = document(1_000_000);
    next["routes"][1]["pathPrefix"] = json!("/changed/");
    if is_revoked {
        next["tenants"][1]["apiKeys"] = json!(["another-key"]);
    }
    deployment.configure(&next);
    tokio::time::sleep(APPLIED).await;
    let mut broken = Vec::new();
    for (place, node) in deployment.nodes.iter().enumerate() {
        // Upstreams that rest, leave or name limits may take neither.
        for (path, is_known) in [("/changed/x", true), ("/again/x", false)] {
            let mut call = asked(&format!("changed-{place}-{is_known}"), "again");
            path.clone_into(&mut call.path);
            let ended = call.send(node.callers()).await;
            if (ended.status() == Some(404)) == is_known {
                broken.push(format!(
                    "node {place} answers {path} by an old version: {ended:?}"
                ));
            }
        }
    }
    broken
}
