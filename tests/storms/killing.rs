//! Calls that kill, what else happens to hosts meanwhile, and the count of deaths by content.

use std::collections::BTreeMap;
use std::time::Duration;

use teaselline::time::Clock;
use teaselline_stand_ins::cloud::Reclaim;
use teaselline_stand_ins::engine::{Engine, Execution};

use super::sender::Planned;
use super::site::{CRASH_MARK, DOMAINS, StormSite, engine};

/// Different prompts that kill.
pub const KILLERS: u32 = 3;
/// Between two rounds in which each of them is sent to every node.
const ROUND: Duration = Duration::from_millis(1_500);
/// When a host is announced to leave, and on what notice.
const RECLAIM_AT: Duration = Duration::from_secs(2);
const NOTICE_MS: u64 = 2_000;
/// When three hosts of one failure domain are lost at once.
const LOSS_AT: Duration = Duration::from_secs(6);
const LOST_TOGETHER: usize = 3;
/// A dead engine is started again after so long.
const REVIVE_AFTER_MS: u64 = 1_500;
const REVIVE_PAUSE: Duration = Duration::from_millis(100);

/// Each prompt that kills, sent under new ids to all nodes at once, round after round.
pub fn killer_calls(
    team: &'static str,
    nodes: usize,
    length: Duration,
    tokens: u32,
) -> Vec<Planned> {
    let mut plan = Vec::new();
    let mut at = ROUND / 3;
    while at < length {
        for killer in 0..KILLERS {
            plan.extend((0..nodes).map(|node| Planned {
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

/// Whether a call kills.
pub fn is_killer(planned: &Planned) -> bool {
    planned.prompt.contains(CRASH_MARK)
}

/// Announces a reclaim, and later loses three hosts of another failure domain at once.
pub async fn disturb(site: &StormSite) {
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
    for host in in_domain(DOMAINS[1]).into_iter().take(LOST_TOGETHER) {
        site.site.cloud.lose(&host);
    }
}

/// Starts engines again that have died while their host is still listed; goes on for ever.
pub async fn revive(site: &StormSite) {
    loop {
        tokio::time::sleep(REVIVE_PAUSE).await;
        let listed: Vec<_> = site
            .site
            .cloud
            .hosts()
            .into_iter()
            .map(|it| it.spec.host)
            .collect();
        for (host, upstream) in site.hosts() {
            match engine(&upstream) {
                Some(engine) if is_due(engine) && listed.contains(&host) => {
                    // One that cannot start again stays dead; the other hosts serve.
                    drop(engine.restart().await);
                }
                _ => {}
            }
        }
    }
}

fn is_due(engine: &Engine) -> bool {
    let died_ms = engine.deaths_ms().last().copied().unwrap_or(0);
    let now_ms = Clock::new().now().0;
    !engine.is_alive() && now_ms.saturating_sub(died_ms) >= REVIVE_AFTER_MS
}

/// The most deaths that any one content has brought about.
///
/// A content has brought about a death if a stream of it may be the one that crashed: its prompt
/// had been computed when its engine died, and it never generated a token.
pub fn most_deaths(site: &StormSite) -> u32 {
    let mut deaths: BTreeMap<u64, u32> = BTreeMap::new();
    for (_, upstream) in site.hosts() {
        let Some(engine) = engine(&upstream) else {
            continue;
        };
        let executions = engine.executions();
        let mut life_began_ms = 0;
        for died_ms in engine.deaths_ms() {
            let crashed = |ran: &&Execution| {
                (life_began_ms..=died_ms).contains(&ran.started_ms)
                    && ran.finish.is_none()
                    && ran.generated_tokens == 0
                    && ran.computed_tokens + ran.cached_tokens >= ran.prompt_tokens
            };
            let mut contents: Vec<_> = executions
                .iter()
                .filter(crashed)
                .map(|ran| ran.prompt_hash)
                .collect();
            contents.sort_unstable();
            contents.dedup();
            for content in contents {
                *deaths.entry(content).or_default() += 1;
            }
            life_began_ms = died_ms;
        }
    }
    deaths.into_values().max().unwrap_or(0)
}
