//! Passes on which hosts are to get no new work, and where starts are refused.

use std::sync::Arc;

use super::book::NEWS_TTL_MS;
use crate::node::Node;
use crate::node::collect_hosts::pass_on;
use crate::node::messages::{HostNotice, PlacementNews, Request};
use crate::requests::links::Peers;

impl Node {
    /// Takes the news of a failure domain in, unless it is of an older holder of its lease.
    pub(in crate::node) fn take_placement_news(&self, news: &PlacementNews) {
        let now = self.core.clock.now();
        let Some(ended) = self.placement.lock().take(news, now) else {
            return;
        };
        let upstreams = &self.core.blackboard.upstreams;
        for host in ended {
            upstreams.with(host, |row| row.draining_until_ms = None);
        }
        for (host, _) in &news.drains {
            let until_ms = now.after(NEWS_TTL_MS);
            upstreams.with(*host, |row| row.draining_until_ms = Some(until_ms));
        }
    }

    /// Tells this node and all others that a host is about to go.
    pub(in crate::node) fn announce_departure(self: &Arc<Self>, notice: HostNotice) {
        let new = self.take_notices(&[notice]);
        pass_on(self, &new);
    }

    /// Tells the news to this node and all others.
    pub(in crate::node) fn tell_placement_news(self: &Arc<Self>, news: &PlacementNews) {
        self.take_placement_news(news);
        for member in self.directory.others() {
            let (node, news) = (Arc::clone(self), news.clone());
            tokio::spawn(async move {
                // It is told again in the next round.
                let told = node
                    .core
                    .peers
                    .call(member.incarnation, Request::Placement(news));
                drop(told.await);
            });
        }
    }
}
