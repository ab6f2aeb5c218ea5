//! The promises, checked from what callers, upstreams and the interface for duties saw.

use std::collections::BTreeMap;

use super::{Called, LIMIT, LIMIT_SPAN_MS, MOST_IN_SPAN, Outcome};
use crate::operators::caller::Asked;
use crate::operators::cloud::Made;
use crate::operators::deployment::{Deployment, KEYS, TEAMS};
use crate::operators::upstream::Run;

/// A key that was taken away works for no longer than this, as the settings say.
const REVOKE_MS: u64 = 5_000;

/// Between a caller's sending and an upstream's begin, on a busy machine.
const REVOKE_SLACK_MS: u64 = 400;

/// Checks what callers were told against what upstreams ran.
pub fn check_calls(called: &[Called], runs: &[Run], outcome: &mut Outcome) {
    let mut by_request: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        by_request.entry(&run.request).or_default().push(run);
    }
    for call in called {
        let asked = &call.asked;
        let runs = by_request
            .get(asked.id.as_str())
            .map_or(&[][..], Vec::as_slice);
        let status = call.ended.status();
        let ended = status.map_or_else(
            || String::from("cut or refused"),
            |status| status.to_string(),
        );
        *outcome.ended.entry(ended).or_default() += 1;
        let may_repeat = asked.path.starts_with("/again") || asked.path.starts_with("/stream-on");
        let mut broken = |what: &str| {
            outcome.broken.push(format!(
                "{}: {what}: {:?}, runs {runs:?}",
                asked.id, call.ended
            ));
        };
        if !may_repeat && runs.len() > 1 {
            broken("ran more than once");
        }
        if !may_repeat && call.ended.says_not_run() && !runs.is_empty() {
            broken("ran although it was refused as not run");
        }
        let team = usize::from(asked.key == KEYS[1]);
        if runs
            .iter()
            .any(|run| run.team.as_deref() != Some(TEAMS[team]) || run.path != asked.path)
        {
            broken("ran for another team, or another path");
        }
        if status == Some(200) && !is_own(asked, call.ended.body()) {
            broken("its answer is not its own, or not whole");
        }
    }
}

/// Streams that may hold events of two versions.
const MOST_MISFITS: usize = 2;

/// Checks that streams went on at the version that began them.
pub(super) fn check_versions(deployment: &Deployment, outcome: &mut Outcome) {
    let misfits = deployment.misfits();
    if misfits.len() > MOST_MISFITS {
        outcome
            .broken
            .push(format!("streams went on at another version: {misfits:?}"));
    }
}

fn is_own(asked: &Asked, body: &str) -> bool {
    if asked.path.starts_with("/stream") {
        let whole: String = (asked.resumes_after() + 1..=10)
            .map(|event| format!("id: {event}\ndata: {event} of {}\n\n", asked.id))
            .collect::<Vec<_>>()
            .concat();
        return body == whole;
    }
    body == format!("{} {} for {}", asked.method, asked.path, asked.id)
}

/// Checks that nothing ran with a key that had been taken away for too long.
pub(super) fn check_revoked(
    called: &[Called],
    runs: &[Run],
    revoked_at_ms: Option<u64>,
    outcome: &mut Outcome,
) {
    let Some(revoked_at_ms) = revoked_at_ms else {
        return;
    };
    let late = |call: &&Called| {
        call.asked.key == KEYS[1] && call.sent_at_ms > revoked_at_ms + REVOKE_MS + REVOKE_SLACK_MS
    };
    for call in called.iter().filter(late) {
        if runs.iter().any(|run| run.request == call.asked.id) {
            let after_ms = call.sent_at_ms - revoked_at_ms;
            let id = &call.asked.id;
            outcome.broken.push(format!(
                "{id}: ran with a key taken away {after_ms} ms before"
            ));
        }
    }
}

/// Checks that each window was reported once, and each token used by one node.
pub(super) fn check_duties(
    calls: &[Made],
    reports: &BTreeMap<u64, Vec<BTreeMap<String, u64>>>,
    outcome: &mut Outcome,
) {
    for (window, different) in reports {
        if different.len() > 1 {
            outcome
                .broken
                .push(format!("window {window} was reported as {different:?}"));
        }
    }
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    for call in calls {
        let holder = holders.entry(call.token).or_insert(&call.holder);
        if *holder != call.holder {
            outcome
                .broken
                .push(format!("token {} was used by two nodes", call.token));
        }
    }
}

/// Checks that no more reached upstreams that name a limit than it allows.
pub(super) fn check_limited(
    deployment: &Deployment,
    limited: &[String],
    binds_ms: u64,
    heard_ms: u64,
    outcome: &mut Outcome,
) {
    // Nodes hear the limit of a new start with its first answer.
    let upstreams = (deployment.upstreams.iter()).filter(|one| !one.has_crashed_since(heard_ms));
    for upstream in upstreams.filter(|one| limited.iter().any(|id| id == one.id())) {
        let most = upstream.most_in_span(LIMIT_SPAN_MS, binds_ms);
        if most > MOST_IN_SPAN {
            let id = upstream.id();
            outcome.broken.push(format!(
                "{id} names {LIMIT} a second and got {most} in {LIMIT_SPAN_MS} ms"
            ));
        }
    }
}
