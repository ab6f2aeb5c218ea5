//! One trial: a site, its nodes, and streams that run while something happens to them.

use std::sync::Arc;
use std::time::Duration;

use teaselline::client::call::Call;
use teaselline::client::caller::Caller;
use teaselline::document::Document;
use teaselline::node::Started;
use teaselline::node::change::Proposal;
use teaselline::options::Secret;
use teaselline_stand_ins::history::History;
use teaselline_stand_ins::site::Site;

use crate::deployment::{site_settings, start_nodes, url, wait_until_ready};
use crate::load::{self, Seen, Tally};

const DOCUMENT: &str = include_str!("../../sample_configs/valid/kitagawa.json");
const TOKEN: &str = "team-archive-sample";

/// Looks for something to have come about, and the pause between two.
const TRIES: u32 = 1_200;
const PAUSE: Duration = Duration::from_millis(25);

/// A deployment that serves.
#[derive(Debug)]
pub struct Trial {
    /// The stand-ins.
    pub site: Site,
    /// The nodes.
    pub nodes: Vec<Started>,
}

impl Trial {
    /// Starts the stand-ins of the sample document and `count` nodes before them.
    pub async fn start(count: usize) -> Self {
        let document = document();
        let site = Site::start(site_settings(&document))
            .await
            .expect("a site starts");
        let nodes = start_nodes(&document, &site, count)
            .await
            .expect("nodes start");
        let proposal = Proposal {
            base_revision: 0,
            operator: "kobayashi".to_owned(),
            document: DOCUMENT.to_owned(),
        };
        let revision = nodes[0].node.propose(proposal).await.expect("in force");
        let hosts = site.upstreams().len();
        assert!(wait_until_ready(&nodes, revision, hosts).await);
        Self { site, nodes }
    }

    /// A caller that knows all nodes.
    pub fn caller(&self) -> Arc<Caller> {
        let urls: Vec<_> = self
            .nodes
            .iter()
            .map(|node| url(node.caller_address))
            .collect();
        Arc::new(Caller::new(&urls, Some(Secret::new(TOKEN))).with_seed(1))
    }

    /// Begins the calls all at once.
    pub fn begin(&self, calls: Vec<Call>) -> tokio::task::JoinHandle<Vec<Seen>> {
        let at_once = calls.len();
        tokio::spawn(load::run_calls(self.caller(), calls, at_once))
    }

    /// Waits until `count` streams have a token.
    pub async fn until_streaming(&self, count: usize) {
        let has_token = |history: &History| {
            let streams = history.ran.iter().filter_map(|ran| ran.stream.as_ref());
            streams.filter(|stream| stream.generated_tokens > 0).count() >= count
        };
        until("streams to have tokens", || has_token(&self.site.history())).await;
    }

    /// What the callers saw, checked against what ran.
    pub fn check(&self, seen: &[Seen]) -> Tally {
        load::check(seen, &self.site.history())
    }

    /// Streams that are running on these hosts now.
    pub fn running_on(&self, hosts: &[String]) -> usize {
        let ran = self.site.history().ran;
        let on_them = ran.iter().filter(|ran| hosts.contains(&ran.host));
        let streams = on_them.filter_map(|ran| ran.stream.as_ref());
        streams.filter(|stream| stream.finish.is_none()).count()
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        for node in &self.nodes {
            node.abandon();
        }
    }
}

/// The document of all trials.
pub fn document() -> Document {
    Document::parse(DOCUMENT).expect("the sample document has no faults")
}

/// Waits until something has come about.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    for _try in 0..TRIES {
        if holds() {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("waited in vain for {what}");
}
