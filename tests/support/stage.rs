//! A site with its nodes before it, on which something happens while streams run.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use log::LevelFilter;
use teaselline::blackboard::HostState;
use teaselline::client::caller::Caller;
use teaselline::document::Document;
use teaselline::keys::HostKey;
use teaselline::telemetry::{Output, init_logging};
use teaselline_stand_ins::history::History;
use teaselline_stand_ins::site::Site;

use crate::deployment::{site_settings, url};
use crate::runtimes::{self, RuntimeNode, configure, team_token, wait_until_ready};

const DOCUMENT: &str = include_str!("../../sample_configs/valid/kitagawa.json");

/// Looks for something to have come about, and the pause between two.
const TRIES: u32 = 1_200;
const PAUSE: Duration = Duration::from_millis(25);

/// A deployment that serves.
#[derive(Debug)]
pub struct Stage {
    /// The stand-ins.
    pub site: Site,
    /// The nodes, in the order of their start.
    pub nodes: Vec<RuntimeNode>,
    document: Document,
    drain_timeout_ms: u64,
    /// Nodes started so far.
    started: usize,
    /// Hosts listed at the start.
    hosts: usize,
}

impl Stage {
    /// Starts the stand-ins of the sample document and `count` nodes before them.
    ///
    /// # Errors
    ///
    /// If something of it cannot be started or does not get ready.
    pub async fn start(count: usize, drain_timeout_ms: u64) -> io::Result<Self> {
        let mut stage = Self::without_nodes(drain_timeout_ms).await?;
        for _node in 0..count {
            stage.start_node().await?;
        }
        let revision = configure(&stage.nodes[0], DOCUMENT).await?;
        stage.until_ready(revision).await?;
        Ok(stage)
    }

    /// Starts the stand-ins of the sample document alone.
    ///
    /// # Errors
    ///
    /// If one cannot be started.
    pub async fn without_nodes(drain_timeout_ms: u64) -> io::Result<Self> {
        print_logs();
        let document = Document::parse(DOCUMENT).map_err(io::Error::other)?;
        let site = Site::start(site_settings(&document)).await?;
        Ok(Self {
            hosts: site.upstreams().len(),
            site,
            nodes: Vec::new(),
            document,
            drain_timeout_ms,
            started: 0,
        })
    }

    /// Starts a new node, and once all know it stops the node that has run longest.
    ///
    /// # Errors
    ///
    /// If the new node cannot be started.
    pub async fn replace_oldest(&mut self) -> io::Result<()> {
        self.start_node().await?;
        let revision = self.nodes[0].started.node.revision();
        self.until_ready(revision).await?;
        self.nodes.remove(0).stop().await;
        Ok(())
    }

    async fn start_node(&mut self) -> io::Result<()> {
        let seeds = runtimes::seeds(&self.nodes);
        let (document, site) = (&self.document, &self.site);
        let timeout_ms = self.drain_timeout_ms;
        let node = RuntimeNode::start(document, site, self.started, &seeds, timeout_ms);
        self.nodes.push(node.await?);
        self.started += 1;
        Ok(())
    }

    async fn until_ready(&self, revision: u64) -> io::Result<()> {
        wait_until_ready(&self.nodes, revision, self.hosts).await
    }

    /// A caller that knows all nodes.
    pub fn caller(&self) -> Arc<Caller> {
        caller_of(&self.nodes)
    }

    /// Waits until `count` streams have a token.
    ///
    /// # Panics
    ///
    /// If it does not come to that.
    pub async fn until_streaming(&self, count: usize) {
        self.until_position(count, 1).await;
    }

    /// Waits until `count` streams have come to a position.
    ///
    /// # Panics
    ///
    /// If it does not come to that.
    pub async fn until_position(&self, count: usize, position: u64) {
        let is_there = |history: &History| {
            let streams = history.ran.iter().filter_map(|ran| ran.stream.as_ref());
            streams.filter(|stream| stream.end() >= position).count() >= count
        };
        until("streams to get on", || is_there(&self.site.history())).await;
    }

    /// Waits until the first stream has been moved off its host.
    ///
    /// # Panics
    ///
    /// If it does not come to that.
    pub async fn until_moving(&self) {
        let has_moved = |history: &History| history.ran.iter().any(|ran| ran.number > 1);
        until("a stream to move", || has_moved(&self.site.history())).await;
    }

    /// Streams that are running on these hosts now.
    pub fn running_on(&self, hosts: &[String]) -> usize {
        let ran = self.site.history().ran;
        let on_them = ran.iter().filter(|ran| hosts.contains(&ran.host));
        let streams = on_them.filter_map(|ran| ran.stream.as_ref());
        streams.filter(|stream| stream.finish.is_none()).count()
    }

    /// Executions that have begun on these hosts so far.
    pub fn begun_on(&self, hosts: &[String]) -> usize {
        let ran = self.site.history().ran;
        ran.iter().filter(|ran| hosts.contains(&ran.host)).count()
    }
}

/// Prints the logs of the nodes from the level in `RUST_LOG` on, if it is set.
fn print_logs() {
    let level = std::env::var("RUST_LOG").ok();
    if let Some(level) = level.and_then(|level| level.parse::<LevelFilter>().ok()) {
        init_logging(level, Output::Stderr);
    }
}

/// A caller that knows these nodes.
pub fn caller_of(nodes: &[RuntimeNode]) -> Arc<Caller> {
    let urls: Vec<_> = nodes
        .iter()
        .map(|node| url(node.started.caller_address))
        .collect();
    Arc::new(Caller::new(&urls, Some(team_token())).with_seed(1))
}

/// Whether this node gives no work to any of these hosts.
pub fn knows_leaving(node: &RuntimeNode, hosts: &[String]) -> bool {
    let blackboard = &node.started.node.core.blackboard;
    let leaves = |host: &String| {
        let state = blackboard.with_host(HostKey::from_name(host), |row| row.state);
        !matches!(state, Some(HostState::Live))
    };
    hosts.iter().all(leaves)
}

/// Waits until something has come about.
///
/// # Panics
///
/// If it does not come to that.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    for _try in 0..TRIES {
        if holds() {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("waited in vain for {what}");
}
