//! Sums of reports, and what is left of nodes that are gone.

use super::{FORGET_AFTER_MS, PeerReports, ShareReport, Source, TeamTag, TeamUse};
use crate::keys::{Incarnation, PoolKey};
use crate::time::TimeMs;

fn report(demands: &[(u32, f32)]) -> ShareReport {
    let mut report = ShareReport {
        nodes: 1,
        teams: Vec::new(),
    };
    for (team, demand) in demands {
        report.add(TeamUse {
            team: TeamTag(*team),
            pool: PoolKey(0),
            running: 1.0,
            demand: *demand,
        });
    }
    report
}

#[test]
fn a_sum_covers_all_nodes_and_teams() {
    let sum = ShareReport::sum(&[report(&[(1, 2.0), (3, 1.0)]), report(&[(2, 5.0), (1, 4.0)])]);
    assert_eq!(sum.nodes, 2);
    let demands = [1, 2, 3].map(|team| sum.demand(TeamTag(team), PoolKey(0)));
    assert!(
        demands
            .iter()
            .zip([6.0, 5.0, 1.0])
            .all(|(held, is)| (held - is).abs() < 1e-6)
    );
    assert!(sum.demand(TeamTag(1), PoolKey(1)).abs() < 1e-6);
}

// Symptom: capacity lies idle after a node has died. Sequence: its last report is kept, and the
// others leave it the part that it reported demand for. Cause: reports without an end.
#[test]
fn a_node_that_stops_reporting_is_forgotten() {
    let mut peers = PeerReports::default();
    peers.put(Source::Node(Incarnation(1)), report(&[(1, 2.0)]), TimeMs(0));
    peers.put(
        Source::Node(Incarnation(2)),
        report(&[(1, 2.0)]),
        TimeMs(FORGET_AFTER_MS - 1),
    );
    assert_eq!(peers.iter().count(), 2);
    peers.forget_old(TimeMs(FORGET_AFTER_MS));
    assert_eq!(peers.iter().count(), 1);
}
