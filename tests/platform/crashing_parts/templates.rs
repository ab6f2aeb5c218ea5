//! New prompt templates whose first requests crash upstreams, each for a part of its own.

use std::time::Duration;

use teaselline_stand_ins::operators::deployment::asked;
use teaselline_stand_ins::operators::upstream::{BadPart, Crash};
use teaselline_stand_ins::operators::{Asked, Deployment, Upstream};

use crate::support::{deployment, eventually, send};

/// The parts of their own for which the first requests crash their upstreams.
const OWN_PARTS: [&str; 3] = ["b1", "b2", "b3"];

/// Interval between two requests: an upstream that crashed is known by then.
const INTERVAL: Duration = Duration::from_millis(700);

/// Interval between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(200);

/// Sound requests until one is answered, some 40 s; the template is tried by then.
const SOUND: usize = 200;

/// A request of the template with a part of its own before the last one.
fn of_template(number: usize, own: &str) -> Asked {
    Asked {
        extra: format!(
            "Model: m\r\nToken-Count: 900,80\r\nPrompt-Prefix: a0:400,{own}:100,{:x}:400\r\n",
            0xc000_0000_usize + number
        ),
        body: format!("document {number}"),
        ..asked(&format!("template-{number}"), "once")
    }
}

async fn status(deployment: &Deployment, number: usize, own: &str) -> Option<u16> {
    let node = number % deployment.nodes.len();
    let ended = send(deployment, node, &of_template(number, own)).await;
    ended.status()
}

/// Guards against a new template whose sound requests are refused for as long as they come.
#[tokio::test(flavor = "multi_thread")]
async fn new_template_whose_first_requests_crash_upstreams_is_served_again() {
    let deployment = deployment(3, 6).await;
    for upstream in &deployment.upstreams {
        upstream.crash_on(&OWN_PARTS.map(BadPart::new), Crash::default());
    }
    for (number, own) in OWN_PARTS.iter().enumerate() {
        status(&deployment, number, own).await;
        tokio::time::sleep(INTERVAL).await;
    }
    eventually("the template is blocked", async || {
        status(&deployment, 10, "e1").await == Some(500)
    })
    .await;
    let times = (deployment.upstreams.iter()).map(Upstream::crashed_at_ms);
    let crashes = times.flatten().count();
    let mut is_answered = false;
    for number in 0..SOUND {
        is_answered |= status(&deployment, 100 + number, "e1").await == Some(200);
        if is_answered {
            break;
        }
        tokio::time::sleep(SOUND_INTERVAL).await;
    }
    assert!(
        is_answered,
        "none of {SOUND} sound requests of the template was answered after {crashes} crashes"
    );
}
