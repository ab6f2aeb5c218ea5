//! Nodes in this process, over stand-ins. Shared by tests and examples.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use teaselline::document::Document;
use teaselline::membership::Member;
use teaselline::node::{self, RunError, Started};
use teaselline::options::{Secret, ServeSettings};
use teaselline_stand_ins::site::Site;

use crate::site::{FLEET_KEY, url};

/// How long a deployment may take to be ready.
const READY_TRIES: u32 = 600;

/// Pause between two looks at whether it is.
const READY_PAUSE: Duration = Duration::from_millis(50);

/// Loopback, on a port that the system chooses.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// The settings of the `index`th node of a deployment.
pub fn node_settings(document: &Document, site: &Site, index: usize) -> ServeSettings {
    let domain = &document.failure_domains[index % document.failure_domains.len()];
    ServeSettings::new(any_port(), any_port(), any_port())
        .with_name(format!("entry-{index}"))
        .with_place(domain.region.clone(), domain.name.clone())
        .with_platform(
            url(site.log.address()),
            url(site.cloud.address()),
            url(site.weights.address()),
        )
        .with_fleet_key(Secret::new(FLEET_KEY))
        .with_drain_timeout_ms(20_000)
}

/// Starts nodes that know each other from the first one's heartbeat address.
pub async fn start_nodes(
    document: &Document,
    site: &Site,
    count: usize,
) -> Result<Vec<Started>, RunError> {
    let mut nodes: Vec<Started> = Vec::new();
    for index in 0..count {
        let seeds: Vec<_> = nodes.iter().map(|node| node.heartbeat_address).collect();
        let settings = node_settings(document, site, index).with_seeds(seeds);
        nodes.push(node::start(settings).await?);
    }
    Ok(nodes)
}

/// Waits until each node has the revision, knows all others and all hosts; tells whether it came
/// to that.
pub async fn wait_until_ready(nodes: &[Started], revision: u64, hosts: usize) -> bool {
    for _try in 0..READY_TRIES {
        let ready = nodes.iter().all(|started| {
            let mut known = 0;
            started.node.core.blackboard.visit_hosts(|_row| known += 1);
            let others = started.node.directory.members().into_iter();
            let live = others.filter(Member::is_live).count();
            started.node.revision() >= revision && live >= nodes.len() && known >= hosts
        });
        if ready {
            return true;
        }
        tokio::time::sleep(READY_PAUSE).await;
    }
    false
}
