//! Renders the page with the current state of the system.

use http::StatusCode;
use serde::Serialize;

use super::html::Html;
use super::page::{Page, Response};
use super::session::Session;
use crate::time::TimeMs;

/// Interval after which the browser reloads the page, in seconds.
const REFRESH_S: &str = "5";
/// Width of a chart in SVG user units.
const CHART_WIDTH: f64 = 600.0;
/// Height of a chart in SVG user units.
const CHART_HEIGHT: f64 = 100.0;

/// State of the system as seen by one node.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LiveView {
    /// Current time.
    pub now_ms: TimeMs,
    /// Name of the node whose view this is.
    pub node: String,
    /// Revision in force; 0 if there is none.
    pub revision: u64,
    /// Time since the log was last reached; `None` while it is reachable.
    pub log_silent_ms: Option<u64>,
    /// Nodes of the system.
    pub nodes: Vec<LiveNode>,
    /// Upstream hosts.
    pub upstreams: Vec<LiveUpstream>,
    /// Leases.
    pub leases: Vec<LiveLease>,
    /// Time series for the charts, such as cost and latency.
    pub series: Vec<Series>,
}

/// One node's row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LiveNode {
    /// Name of the node.
    pub name: String,
    /// Address that callers connect to.
    pub address: String,
    /// Name of the failure domain.
    pub failure_domain: String,
    /// Membership state, in lower case.
    pub state: String,
    /// Number of open streams to callers.
    pub open_streams: u32,
}

/// One upstream host's row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LiveUpstream {
    /// Name of the host on the platform.
    pub host: String,
    /// Name of the pool.
    pub pool: String,
    /// Name of the failure domain.
    pub failure_domain: String,
    /// Name of the host class.
    pub host_class: String,
    /// Time at which the platform reclaims the host; `None` if it is not leaving.
    pub leave_at_ms: Option<TimeMs>,
    /// Whether the host cannot be reached.
    pub is_failing: bool,
    /// Number of running streams.
    pub running: u32,
    /// Number of queued streams.
    pub queued: u32,
    /// Maximum number of concurrent streams.
    pub slots: u32,
}

/// One lease's row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LiveLease {
    /// Name of the lease.
    pub name: String,
    /// Name of the holding node, or `uncertain`.
    pub holder: String,
    /// Fencing token of the lease.
    pub fencing: u64,
    /// Expiry time.
    pub ends_at_ms: TimeMs,
}

/// A time series for one chart.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Series {
    /// Title of the chart.
    pub title: String,
    /// Unit of the values.
    pub unit: String,
    /// Timestamped values, oldest first.
    pub points: Vec<(TimeMs, f64)>,
    /// Upper target for the values, if any.
    pub target: Option<f64>,
}

/// Summary of the hosts that leave one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingHosts {
    /// Name of the failure domain.
    pub failure_domain: String,
    /// Number of leaving hosts.
    pub leaving: usize,
    /// Number of all hosts in the failure domain.
    pub hosts: usize,
    /// Earliest time at which one of the hosts leaves.
    pub first_leave_at_ms: TimeMs,
}

impl LiveView {
    /// Returns a summary for each failure domain with leaving hosts, sorted by name.
    #[must_use]
    pub fn leaving_hosts(&self) -> Vec<LeavingHosts> {
        let mut summaries: Vec<LeavingHosts> = Vec::new();
        for upstream in &self.upstreams {
            let Some(leave_at_ms) = upstream.leave_at_ms else {
                continue;
            };
            let domain = &upstream.failure_domain;
            match summaries.binary_search_by(|summary| summary.failure_domain.cmp(domain)) {
                Ok(index) => {
                    let summary = &mut summaries[index];
                    summary.leaving += 1;
                    summary.first_leave_at_ms = summary.first_leave_at_ms.min(leave_at_ms);
                }
                Err(index) => summaries.insert(
                    index,
                    LeavingHosts {
                        failure_domain: domain.clone(),
                        leaving: 1,
                        hosts: self.hosts_in(domain),
                        first_leave_at_ms: leave_at_ms,
                    },
                ),
            }
        }
        summaries
    }

    fn hosts_in(&self, domain: &str) -> usize {
        let upstreams = self.upstreams.iter();
        upstreams
            .filter(|upstream| upstream.failure_domain == domain)
            .count()
    }

    /// Renders the page.
    #[must_use]
    pub fn page(&self, session: &Session) -> Response {
        let mut page = Page::new("Live", Some(session), Some(REFRESH_S));
        let html = &mut page.html;
        html.element("p", &[], &self.summary());
        self.write_leaving_hosts(html);
        for series in &self.series {
            write_chart(html, series);
        }
        self.write_nodes(html);
        self.write_upstreams(html);
        self.write_leases(html);
        Response::page(StatusCode::OK, page.finish())
    }

    fn summary(&self) -> String {
        let log = match self.log_silent_ms {
            Some(silent_ms) => format!(
                "The log has not been reached for {}.",
                format_seconds(silent_ms)
            ),
            None => String::from("The log is reached."),
        };
        let revision = self.revision;
        format!(
            "As node {} knows it. Revision {revision} is in force. {log}",
            self.node
        )
    }

    fn write_leaving_hosts(&self, html: &mut Html) {
        let summaries = self.leaving_hosts();
        if summaries.is_empty() {
            html.element("p", &[], "No host is leaving.");
            return;
        }
        let rows = summaries.into_iter().map(|summary| {
            let share = format!("{} of {}", summary.leaving, summary.hosts);
            vec![
                summary.failure_domain,
                share,
                format_seconds(self.now_ms.until(summary.first_leave_at_ms)),
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
                (Some(at_ms), _) => {
                    format!("leaves in {}", format_seconds(self.now_ms.until(at_ms)))
                }
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
            let ends = format_seconds(self.now_ms.until(lease.ends_at_ms));
            vec![lease.name, lease.holder, lease.fencing.to_string(), ends]
        });
        html.table("Leases", &columns, &rows.collect::<Vec<_>>());
    }
}

/// Writes a chart whose label states the newest and largest value, for screen readers.
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
    html.open(
        "polyline",
        &[("points", &polyline_points(&series.points, top))],
    );
    html.close("polyline");
    if let Some(target) = series.target {
        let y = format!("{:.1}", chart_y(target, top));
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

/// Returns the `points` attribute of a line from the oldest value (left) to the newest (right).
///
/// `top` is the value at the upper edge of the chart.
fn polyline_points(points: &[(TimeMs, f64)], top: f64) -> String {
    let start = points.first().map_or(TimeMs(0), |(at_ms, _)| *at_ms);
    let end = points.last().map_or(TimeMs(0), |(at_ms, _)| *at_ms);
    let span_ms = to_f64(end.since(start).max(1));
    let coordinates = points.iter().map(|(at_ms, value)| {
        let x = CHART_WIDTH * to_f64(at_ms.since(start)) / span_ms;
        format!("{x:.1},{:.1}", chart_y(*value, top))
    });
    coordinates.collect::<Vec<_>>().join(" ")
}

fn chart_y(value: f64, top: f64) -> f64 {
    CHART_HEIGHT * (1.0 - (value / top).clamp(0.0, 1.0))
}

fn format_seconds(duration_ms: u64) -> String {
    format!("{}.{} s", duration_ms / 1_000, duration_ms % 1_000 / 100)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "chart coordinates may be rounded"
)]
fn to_f64(duration_ms: u64) -> f64 {
    duration_ms as f64
}

#[cfg(test)]
mod tests;
