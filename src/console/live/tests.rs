//! Tests of the page with the current state.

use super::{LiveUpstream, LiveView, Series, polyline_points};
use crate::console::Session;
use crate::time::TimeMs;

fn upstream(host: &str, domain: &str, leave_at_ms: Option<u64>) -> LiveUpstream {
    LiveUpstream {
        host: host.to_owned(),
        failure_domain: domain.to_owned(),
        leave_at_ms: leave_at_ms.map(TimeMs),
        ..LiveUpstream::default()
    }
}

fn view() -> LiveView {
    LiveView {
        now_ms: TimeMs(10_000),
        upstreams: vec![
            upstream("h-1", "otaru-vault", Some(14_500)),
            upstream("h-2", "sapporo-lab", None),
            upstream("h-3", "otaru-vault", Some(12_500)),
            upstream("<script>", "otaru-vault", None),
        ],
        series: vec![Series {
            title: String::from("First token, 95 in 100"),
            unit: String::from("ms"),
            points: vec![(TimeMs(0), 100.0), (TimeMs(10_000), 400.0)],
            target: Some(800.0),
        }],
        ..LiveView::default()
    }
}

#[test]
fn leaving_hosts_of_one_domain_are_summarized_together() {
    let summaries = view().leaving_hosts();
    assert_eq!(summaries.len(), 1);
    assert_eq!(summaries[0].failure_domain, "otaru-vault");
    assert_eq!((summaries[0].leaving, summaries[0].hosts), (2, 3));
    assert_eq!(summaries[0].first_leave_at_ms, TimeMs(12_500));
}

#[test]
fn page_shows_leaving_hosts_and_charts_and_escapes_names() {
    let session = Session {
        operator: String::from("kobayashi"),
        form_token: String::from("token"),
    };
    let body = view().page(&session).body;
    for expected in [
        "2 of 3",
        "2.5 s",
        "now 400.00 ms, at most 400.00 ms, target 800.00 ms",
    ] {
        assert!(body.contains(expected), "{expected}");
    }
    assert!(!body.contains("<script"));
}

#[test]
fn polyline_runs_from_the_oldest_to_the_newest_value() {
    let points = [(TimeMs(5), 0.0), (TimeMs(10), 5.0), (TimeMs(15), 10.0)];
    assert_eq!(
        polyline_points(&points, 10.0),
        "0.0,100.0 300.0,50.0 600.0,0.0"
    );
    assert_eq!(polyline_points(&points[..1], 10.0), "0.0,100.0");
}
