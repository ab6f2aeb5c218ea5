//! Upstreams that fall over when they have to refuse too many requests in a second.

use std::time::Duration;

use teaselline_stand_ins::operators::Upstream;

use super::support::{Load, deployment};

/// Requests that each upstream runs at once; the load asks for several times as many.
const PLACES: usize = 1;

/// Refusals in a second that an upstream bears.
const REFUSALS: usize = 4;

/// Time after which nodes must spare brittle upstreams.
const CONTACT: Duration = Duration::from_secs(3);

/// Duration of the load.
const SPAN: Duration = Duration::from_secs(15);

/// Falls of the upstreams of one service that are allowed.
fn allowed_falls(upstreams: usize) -> usize {
    2 + upstreams / 10
}

/// Guards against overloaded upstreams that fall over one after the other because every node goes on
/// trying them.
#[tokio::test(flavor = "multi_thread")]
async fn brittle_upstreams_are_not_made_to_refuse_until_they_fall() {
    let deployment = deployment(4, 2).await;
    let pool = || (deployment.upstreams.iter()).filter(|one| one.id().starts_with("pool"));
    for upstream in pool() {
        upstream.limit_places(PLACES);
        upstream.become_brittle(REFUSALS);
    }
    let load = [Load::start(&deployment), Load::start(&deployment)];
    tokio::time::sleep(CONTACT).await;
    let falls = || pool().flat_map(Upstream::falls_at_ms).count();
    let before = falls();
    tokio::time::sleep(SPAN).await;
    let fallen = falls() - before;
    for load in load {
        let ended = load.end().await;
        assert!(
            ended.get(&Some(200)).is_some_and(|count| *count > 100),
            "{ended:?}"
        );
    }
    assert!(fallen <= allowed_falls(pool().count()), "{fallen} falls");
}
