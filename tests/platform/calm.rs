//! Fault-free operation: calls, streams, the directory and the limits of teams.

use teaselline_stand_ins::operators::deployment::{KEYS, TEAMS, asked};

use super::support::{deployment, send};

#[tokio::test(flavor = "multi_thread")]
async fn calls_and_streams_are_served_completely_by_the_right_service() {
    let deployment = deployment(2, 2).await;
    for (place, route) in ["once", "again", "stream", "stream-on"]
        .into_iter()
        .enumerate()
    {
        let id = format!("calm-{route}");
        let ended = send(&deployment, place % 2, &asked(&id, route)).await;
        assert_eq!(ended.status(), Some(200), "{ended:?}");
        let runs = deployment.runs_of(&id);
        assert_eq!(runs.len(), 1);
        assert_eq!(runs[0].team.as_deref(), Some(TEAMS[0]));
        let service = if route.starts_with("stream") {
            "pool"
        } else {
            "desk"
        };
        assert!(runs[0].upstream.starts_with(service), "{runs:?}");
        if route.starts_with("stream") {
            for event in 1..=10 {
                let line = format!("id: {event}\ndata: {event} of {id}\n\n");
                assert_eq!(ended.body().matches(&line).count(), 1, "{ended:?}");
            }
        } else {
            assert!(ended.body().ends_with(&format!("for {id}")), "{ended:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn directory_lists_all_ready_nodes() {
    let deployment = deployment(3, 1).await;
    for place in 0..3 {
        let mut addresses = deployment.addresses(place).await;
        addresses.sort();
        let mut nodes: Vec<String> = (deployment.nodes.iter())
            .map(|node| node.callers().to_string())
            .collect();
        nodes.sort();
        assert_eq!(addresses, nodes);
    }
}

/// Guards against a team that exceeds its limit by using several nodes, each of which counts only
/// its own requests. The limit is a burst of 20 and 20 a second; the team sends 90 calls to three
/// nodes in quick succession.
#[tokio::test(flavor = "multi_thread")]
async fn limit_of_a_team_holds_across_all_nodes() {
    let deployment = deployment(3, 2).await;
    let started = tokio::time::Instant::now();
    let mut calls = Vec::new();
    for place in 0..90_usize {
        let mut call = asked(&format!("limit-{place}"), "once");
        KEYS[1].clone_into(&mut call.key);
        let node = deployment.nodes[place % 3].callers();
        calls.push(tokio::spawn(async move { call.send(node).await }));
        tokio::time::sleep(std::time::Duration::from_millis(8)).await;
    }
    let mut statuses = Vec::new();
    for call in calls {
        statuses.push(call.await.expect("the call does not panic").status());
    }
    let took_s = started.elapsed().as_secs_f64();
    let answered = statuses
        .iter()
        .filter(|status| **status == Some(200))
        .count();
    let refused = statuses
        .iter()
        .filter(|status| **status == Some(429))
        .count();
    let allowed = 20.0 + 20.0 * took_s;
    assert_eq!(answered + refused, 90, "{statuses:?}");
    // Nodes exchange their counts a few times a second; three nodes may admit 15 calls in between.
    assert!(
        f64::from(u32::try_from(answered).expect("at most 90 calls")) <= allowed + 15.0,
        "{answered}"
    );
    assert!(answered >= 15, "{answered}");
}
