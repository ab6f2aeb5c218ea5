//! The page that shows the system as it is now.

use http::StatusCode;
use serde::Serialize;

use super::html::Html;
use super::page::{Page, Response};
use super::session::Session;
use crate::time::TimeMs;

/// How often the page is loaded again.
const REFRESH_S: &str = "5";
/// Size of a chart in its own units.
const CHART_WIDTH: f64 = 600.0;
/// Height of a chart in its own units.
const CHART_HEIGHT: f64 = 100.0;

/// The system as one node knows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LiveView {
    /// The present time.
    pub now_ms: TimeMs,
    /// The node that tells it.
    pub node: String,
    /// The revision in force; 0 if there is none.
    pub revision: u64,
    /// For how long the log has not been reached, if it cannot be.
    pub log_silent_ms: Option<u64>,
    /// Nodes of the system.
    pub nodes: Vec<LiveNode>,
    /// Upstream hosts.
    pub upstreams: Vec<LiveUpstream>,
    /// Leases.
    pub leases: Vec<LiveLease>,
    /// Figures over time: cost, latency and others.
    pub series: Vec<Series>,
}

/// A node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LiveNode {
    /// Its name.
    pub name: String,
    /// Its address for callers.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether it may be given work, in a word.
    pub state: String,
    /// Streams open to callers.
    pub open_streams: u32,
}

/// An upstream host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LiveUpstream {
    /// The platform's name for it.
    pub host: String,
    /// Its pool.
    pub pool: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its class.
    pub host_class: String,
    /// When the platform takes it away, if it leaves.
    pub leave_at_ms: Option<TimeMs>,
    /// Whether it cannot be reached.
    pub is_failing: bool,
    /// Streams running.
    pub running: u32,
    /// Streams queued.
    pub queued: u32,
    /// Streams that it runs at once.
    pub slots: u32,
}

/// A lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LiveLease {
    /// What it is for.
    pub name: String,
    /// The node that holds it.
    pub holder: String,
    /// Its fencing number.
    pub fencing: u64,
    /// When it ends.
    pub ends_at_ms: TimeMs,
}

/// A figure over time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Series {
    /// What it is.
    pub title: String,
    /// Its unit.
    pub unit: String,
    /// Its values, oldest first.
    pub points: Vec<(TimeMs, f64)>,
    /// What it should stay under.
    pub target: Option<f64>,
}

/// Hosts of one failure domain that leave together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// The failure domain.
    pub failure_domain: String,
    /// Hosts that leave.
    pub leaving: usize,
    /// Hosts in all.
    pub hosts: usize,
    /// When the first of them goes.
    pub first_leave_at_ms: TimeMs,
}

impl LiveView {
    /// Failure domains with hosts that leave, sorted by name.
    #[must_use]
    pub fn waves(&self) -> Vec<Wave> {
        let mut waves: Vec<Wave> = Vec::new();
        for upstream in &self.upstreams {
            let Some(leave_at_ms) = upstream.leave_at_ms else {
                continue;
            };
            let domain = &upstream.failure_domain;
            match waves.binary_search_by(|wave| wave.failure_domain.cmp(domain)) {
                Ok(index) => {
                    let wave = &mut waves[index];
                    wave.leaving += 1;
                    wave.first_leave_at_ms = wave.first_leave_at_ms.min(leave_at_ms);
                }
                Err(index) => waves.insert(
                    index,
                    Wave {
                        failure_domain: domain.clone(),
                        leaving: 1,
                        hosts: self.hosts_in(domain),
                        first_leave_at_ms: leave_at_ms,
                    },
                ),
            }
        }
        waves
    }

    fn hosts_in(&self, domain: &str) -> usize {
        let upstreams = self.upstreams.iter();
        upstreams
            .filter(|upstream| upstream.failure_domain == domain)
            .count()
    }

    /// The page.
    #[must_use]
    pub fn page(&self, session: &Session) -> Response {
        let mut page = Page::begin("Live", Some(session), Some(REFRESH_S));
        let html = &mut page.html;
        html.element("p", &[], &self.summary());
        self.write_waves(html);
        for series in &self.series {
            write_chart(html, series);
        }
        self.write_nodes(html);
        self.write_upstreams(html);
        self.write_leases(html);
        Response::page(StatusCode::OK, page.end())
    }

    fn summary(&self) -> String {
        let log = match self.log_silent_ms {
            Some(silent_ms) => format!("The log has not been reached for {}.", seconds(silent_ms)),
            None => String::from("The log is reached."),
        };
        let revision = self.revision;
        format!(
            "As node {} knows it. Revision {revision} is in force. {log}",
            self.node
        )
    }

    fn write_waves(&self, html: &mut Html) {
        let waves = self.waves();
        if waves.is_empty() {
            html.element("p", &[], "No host is leaving.");
            return;
        }
        let rows = waves.into_iter().map(|wave| {
            let share = format!("{} of {}", wave.leaving, wave.hosts);
            vec![
                wave.failure_domain,
                share,
                seconds(self.now_ms.until(wave.first_leave_at_ms)),
            ]
        });
        let columns = ["Failure domain", "Hosts leaving", "First goes in"];
        html.table("Hosts leaving", &columns, &rows.collect::<Vec<_>>());
    }

    fn write_nodes(&self, html: &mut Html) {
        let columns = ["Node", "Address", "Failure domain", "State", "Open streams"];
        let rows = self.nodes.iter().cloned().map(|node| {
            let streams = node.open_streams.to_string();
            vec![
                node.name,
                node.address,
                node.failure_domain,
                node.state,
                streams,
            ]
        });
        html.table("Nodes", &columns, &rows.collect::<Vec<_>>());
    }

    fn write_upstreams(&self, html: &mut Html) {
        let columns = [
            "Host",
            "Pool",
            "Failure domain",
            "Class",
            "State",
            "Running",
            "Queued",
            "Slots",
        ];
        let rows = self.upstreams.iter().cloned().map(|upstream| {
            let state = match (upstream.leave_at_ms, upstream.is_failing) {
                (Some(at_ms), _) => format!("leaves in {}", seconds(self.now_ms.until(at_ms))),
                (None, true) => String::from("not reached"),
                (None, false) => String::from("live"),
            };
            vec![
                upstream.host,
                upstream.pool,
                upstream.failure_domain,
                upstream.host_class,
                state,
                upstream.running.to_string(),
                upstream.queued.to_string(),
                upstream.slots.to_string(),
            ]
        });
        html.table("Upstreams", &columns, &rows.collect::<Vec<_>>());
    }

    fn write_leases(&self, html: &mut Html) {
        let columns = ["Lease", "Holder", "Fencing number", "Ends in"];
        let rows = self.leases.iter().cloned().map(|lease| {
            let ends = seconds(self.now_ms.until(lease.ends_at_ms));
            vec![lease.name, lease.holder, lease.fencing.to_string(), ends]
        });
        html.table("Leases", &columns, &rows.collect::<Vec<_>>());
    }
}

/// A chart with its newest and largest value in words, for those who cannot see it.
fn write_chart(html: &mut Html, series: &Series) {
    let Some((_, newest)) = series.points.last() else {
        return;
    };
    let largest = series
        .points
        .iter()
        .map(|(_, value)| *value)
        .fold(*newest, f64::max);
    let top = largest
        .max(series.target.unwrap_or(0.0))
        .max(f64::MIN_POSITIVE);
    let unit = &series.unit;
    let target = match series.target {
        Some(target) => format!(", target {target:.2} {unit}"),
        None => String::new(),
    };
    let title = &series.title;
    let text = format!("{title}: now {newest:.2} {unit}, at most {largest:.2} {unit}{target}");
    html.open("figure", &[]);
    html.element("figcaption", &[], &text);
    let view_box = format!("0 0 {CHART_WIDTH} {CHART_HEIGHT}");
    let attributes = [
        ("viewBox", view_box.as_str()),
        ("preserveAspectRatio", "none"),
        ("role", "img"),
        ("aria-label", text.as_str()),
    ];
    html.open("svg", &attributes);
    html.open("polyline", &[("points", &polyline(&series.points, top))]);
    html.close("polyline");
    if let Some(target) = series.target {
        let y = format!("{:.1}", height(target, top));
        let width = CHART_WIDTH.to_string();
        html.open(
            "line",
            &[("x1", "0"), ("x2", &width), ("y1", &y), ("y2", &y)],
        );
        html.close("line");
    }
    html.close("svg");
    html.close("figure");
}

/// Points of a line from the oldest value at the left to the newest at the right.
fn polyline(points: &[(TimeMs, f64)], top: f64) -> String {
    let start = points.first().map_or(TimeMs(0), |(at_ms, _)| *at_ms);
    let end = points.last().map_or(TimeMs(0), |(at_ms, _)| *at_ms);
    let span_ms = approximate(end.since(start).max(1));
    let places = points.iter().map(|(at_ms, value)| {
        let x = CHART_WIDTH * approximate(at_ms.since(start)) / span_ms;
        format!("{x:.1},{:.1}", height(*value, top))
    });
    places.collect::<Vec<_>>().join(" ")
}

fn height(value: f64, top: f64) -> f64 {
    CHART_HEIGHT * (1.0 - (value / top).clamp(0.0, 1.0))
}

fn seconds(duration_ms: u64) -> String {
    format!("{}.{} s", duration_ms / 1_000, duration_ms % 1_000 / 100)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a chart's places may be rounded"
)]
fn approximate(duration_ms: u64) -> f64 {
    duration_ms as f64
}

#[cfg(test)]
mod tests;
