//! Tests of report sums and of the expiry of reports.

use super::{DemandReport, PeerReports, REPORT_EXPIRY_MS, ReportSource, TeamDemand, TeamTag};
use crate::keys::{Incarnation, PoolKey};
use crate::time::TimeMs;

fn report(demands: &[(u32, f32)]) -> DemandReport {
    let mut report = DemandReport {
        nodes: 1,
        teams: Vec::new(),
    };
    for (team, demand) in demands {
        report.add(TeamDemand {
            team: TeamTag(*team),
            pool: PoolKey(0),
            running: 1.0,
            demand: *demand,
        });
    }
    report
}

#[test]
fn sum_covers_all_nodes_and_teams() {
    let sum = DemandReport::sum(&[report(&[(1, 2.0), (3, 1.0)]), report(&[(2, 5.0), (1, 4.0)])]);
    assert_eq!(sum.nodes, 2);
    let demands = [1, 2, 3].map(|team| sum.demand(TeamTag(team), PoolKey(0)));
    assert!(
        demands
            .iter()
            .zip([6.0, 5.0, 1.0])
            .all(|(actual, expected)| (actual - expected).abs() < 1e-6)
    );
    assert!(sum.demand(TeamTag(1), PoolKey(1)).abs() < 1e-6);
}

// The last report of a crashed node must expire. Otherwise the other nodes keep leaving it the part
// that it reported demand for, and this capacity is idle.
#[test]
fn report_of_a_silent_node_expires() {
    let mut peers = PeerReports::default();
    peers.put(
        ReportSource::Node(Incarnation(1)),
        report(&[(1, 2.0)]),
        TimeMs(0),
    );
    peers.put(
        ReportSource::Node(Incarnation(2)),
        report(&[(1, 2.0)]),
        TimeMs(REPORT_EXPIRY_MS - 1),
    );
    assert_eq!(peers.iter().count(), 2);
    peers.remove_expired(TimeMs(REPORT_EXPIRY_MS));
    assert_eq!(peers.iter().count(), 1);
}
