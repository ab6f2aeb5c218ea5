//! Tests of the live page.

use super::{LiveUpstream, LiveView, Series, polyline};
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
fn hosts_of_one_domain_that_leave_are_one_wave() {
    let waves = view().waves();
    assert_eq!(waves.len(), 1);
    assert_eq!(waves[0].failure_domain, "otaru-vault");
    assert_eq!((waves[0].leaving, waves[0].hosts), (2, 3));
    assert_eq!(waves[0].first_leave_at_ms, TimeMs(12_500));
}

#[test]
fn the_page_shows_waves_and_charts_and_escapes_names() {
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
fn a_line_goes_from_the_oldest_to_the_newest_value() {
    let points = [(TimeMs(5), 0.0), (TimeMs(10), 5.0), (TimeMs(15), 10.0)];
    assert_eq!(polyline(&points, 10.0), "0.0,100.0 300.0,50.0 600.0,0.0");
    assert_eq!(polyline(&points[..1], 10.0), "0.0,100.0");
}
