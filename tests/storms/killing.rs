//! Calls that crash engines, concurrent host losses, and the number of crashes per content.

use std::collections::BTreeMap;
use std::time::Duration;

use teaselline::time::Clock;
use teaselline_stand_ins::cloud::Reclaim;
use teaselline_stand_ins::engine::{Engine, Execution};

use super::sender::PlannedCall;
use super::site::{CRASH_MARK, DOMAINS, OverloadSite, engine};

/// Number of distinct prompts that crash engines.
pub const CRASHING_PROMPTS: u32 = 3;
/// Interval between two rounds in which each such prompt is sent to every node.
const ROUND: Duration = Duration::from_millis(1_500);
/// Time at which the reclaim of a host is announced, and the notice given.
const RECLAIM_AT: Duration = Duration::from_secs(2);
const NOTICE_MS: u64 = 2_000;
/// Time at which three hosts of one failure domain are lost at once.
const LOSS_AT: Duration = Duration::from_secs(6);
const LOST_HOSTS: usize = 3;
/// Delay between the crash of an engine and its restart, and the interval of the check.
const RESTART_DELAY_MS: u64 = 1_500;
const RESTART_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Returns calls that send each crashing prompt to all nodes at once, under new ids, in each round.
pub fn crashing_calls(
    team: &'static str,
    nodes: usize,
    length: Duration,
    tokens: u32,
) -> Vec<PlannedCall> {
    let mut plan = Vec::new();
    let mut at = ROUND / 3;
    while at < length {
        for killer in 0..CRASHING_PROMPTS {
            plan.extend((0..nodes).map(|node| PlannedCall {
                at,
                node,
                team,
                prompt: format!("{CRASH_MARK}, row {killer}"),
                tokens,
            }));
        }
        at += ROUND;
    }
    plan
}

/// Returns whether the call's prompt crashes the engine that runs it.
pub fn is_crashing(planned: &PlannedCall) -> bool {
    planned.prompt.contains(CRASH_MARK)
}

/// Announces a reclaim of one host, and later loses three hosts of another failure domain at once.
pub async fn inject_host_losses(site: &OverloadSite) {
    tokio::time::sleep(RECLAIM_AT).await;
    let in_domain = |domain: &str| {
        let hosts = site.site.cloud.hosts().into_iter();
        let hosts = hosts.filter(|host| host.spec.failure_domain == domain);
        hosts.map(|host| host.spec.host).collect::<Vec<_>>()
    };
    let reclaimed = in_domain(DOMAINS[0]).into_iter().take(1).collect();
    site.site
        .cloud
        .announce_reclaim(&Reclaim::Hosts(reclaimed), NOTICE_MS);
    tokio::time::sleep(LOSS_AT.saturating_sub(RECLAIM_AT)).await;
    for host in in_domain(DOMAINS[1]).into_iter().take(LOST_HOSTS) {
        site.site.cloud.lose(&host);
    }
}

/// Restarts crashed engines whose host is still listed; never returns.
pub async fn restart_crashed_engines(site: &OverloadSite) {
    loop {
        tokio::time::sleep(RESTART_CHECK_INTERVAL).await;
        let listed: Vec<_> = site
            .site
            .cloud
            .hosts()
            .into_iter()
            .map(|it| it.spec.host)
            .collect();
        for (host, upstream) in site.hosts() {
            match engine(&upstream) {
                Some(engine) if is_restart_due(engine) && listed.contains(&host) => {
                    // An engine that cannot restart stays down; the other hosts serve.
                    drop(engine.restart().await);
                }
                _ => {}
            }
        }
    }
}

fn is_restart_due(engine: &Engine) -> bool {
    let died_ms = engine.deaths_ms().last().copied().unwrap_or(0);
    let now_ms = Clock::new().now().0;
    !engine.is_alive() && now_ms.saturating_sub(died_ms) >= RESTART_DELAY_MS
}

/// Returns the highest number of engine crashes that any one content has caused.
///
/// A content counts as the cause of a crash if one of its streams may have triggered it: the prompt
/// had been computed when the engine crashed, and the stream never generated a token.
pub fn max_crashes_per_content(site: &OverloadSite) -> u32 {
    let mut deaths: BTreeMap<u64, u32> = BTreeMap::new();
    for (_, upstream) in site.hosts() {
        let Some(engine) = engine(&upstream) else {
            continue;
        };
        let executions = engine.executions();
        let mut run_started_ms = 0;
        for died_ms in engine.deaths_ms() {
            let may_have_crashed = |ran: &&Execution| {
                (run_started_ms..=died_ms).contains(&ran.started_ms)
                    && ran.finish.is_none()
                    && ran.generated_tokens == 0
                    && ran.computed_tokens + ran.cached_tokens >= ran.prompt_tokens
            };
            let mut contents: Vec<_> = executions
                .iter()
                .filter(may_have_crashed)
                .map(|ran| ran.prompt_hash)
                .collect();
            contents.sort_unstable();
            contents.dedup();
            for content in contents {
                *deaths.entry(content).or_default() += 1;
            }
            run_started_ms = died_ms;
        }
    }
    deaths.into_values().max().unwrap_or(0)
}
