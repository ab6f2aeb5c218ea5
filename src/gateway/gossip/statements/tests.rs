use super::*;
use crate::gateway::demand::EngineRequest;
use crate::gateway::usage::UsageRow;

/// Guards against usage that is never reported: the holder of the duties and a node that has served
/// requests die together, and the successor knows of the dead node's requests by its group only.
#[test]
fn accounts_of_a_group_include_the_usage_of_a_node_that_has_just_died() {
    let row = UsageRow {
        window: 9,
        team: 1,
        count: 7,
    };
    let mut usage = UsageCounts::new(1, 5_000);
    usage.record_peer(2, &[row]);
    let mut demands = DemandTracker::default();
    let asked = EngineRequest {
        unread_tokens: 100,
        own_tokens: 10,
        shared: None,
    };
    demands.record_request("pool", &asked, TimeMs(10_000));
    let rates = demands.own_rates(TimeMs(10_000));
    demands.record_peer(2, rates.clone(), TimeMs(10_000));
    let accounts = accounts(&[1, 2], &usage, &demands, 1, TimeMs(12_500));
    assert_eq!(accounts[0].demand, demands.own_rates(TimeMs(12_500)));
    assert_eq!(accounts[1].usage, [row]);
    assert_eq!(accounts[1].demand, [], "its load has ended with it");
}
