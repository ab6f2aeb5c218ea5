use super::*;
use crate::gateway::health::Outcome;
use crate::gateway::request_head::PromptPart;
use crate::gateway::speed::pace::EngineModel;
use crate::gateway::upstreams::tests::announced;
use crate::gateway::upstreams::{Change, Load, Phase, tag};

mod held_back;
mod speeds;
mod versions;
mod wave;

/// Returns the engine speed assumed before any observation.
fn default_pace() -> Pace {
    EngineModel::default().pace()
}

const NOW: TimeMs = TimeMs(10_000);

fn table(count: usize) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    for place in 0..count {
        let mut engine = announced(&format!("e{place}"), "engines", "d");
        engine.slots = 64;
        table.apply(Change::Present(engine), false, NOW);
        let plain = announced(&format!("p{place}"), "plain", "d");
        table.apply(Change::Present(plain), false, NOW);
    }
    table
}

fn prompt(shared: u64) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt {
        model: "m".to_owned(),
        input_tokens: 17_000,
        max_output_tokens: 100,
        expected_output_tokens: None,
        parts: vec![part(shared, 13_300), part(shared + 1_000_000, 3_700)],
    }
}

fn ask<'a>(pool: &'a str, prompt: Option<&'a Prompt>, excluded: &'a [UpstreamKey]) -> Criteria<'a> {
    Criteria {
        pool,
        prompt,
        failure_domain: "d",
        excluded,
        versions: crate::gateway::rollout::VersionFilter::Any,
        pace: default_pace(),
        copy_tokens_per_ms: None,
        may_repeat: false,
        alive_since: None,
        draw: 7,
    }
}

/// Builds a request to a pool whose engines copy 597 tokens per millisecond.
fn ask_with_copies(prompt: &Prompt) -> Criteria<'_> {
    Criteria {
        copy_tokens_per_ms: Some(597.0),
        ..ask("engines", Some(prompt), &[])
    }
}

#[test]
fn all_nodes_choose_the_same_engine_for_a_shared_prefix() {
    let (first, second) = (table(12), table(12));
    let prefixes = Prefixes::default();
    for shared in 0..50 {
        let prompt = prompt(shared);
        let ask = ask("engines", Some(&prompt), &[]);
        let chosen = |table: &UpstreamTable| {
            let choice = choose(table, &prefixes, &ask, NOW).expect("an upstream is available");
            table
                .get(choice.upstream)
                .expect("upstream is in the table")
                .announcement
                .id
                .clone()
        };
        assert_eq!(chosen(&first), chosen(&second));
    }
}

#[test]
fn shared_prefixes_are_spread_over_all_engines() {
    let table = table(12);
    let mut chosen: Vec<UpstreamKey> = (0..200)
        .filter_map(|shared| {
            let prompt = prompt(shared);
            choose(
                &table,
                &Prefixes::default(),
                &ask("engines", Some(&prompt), &[]),
                NOW,
            )
        })
        .map(|choice| choice.upstream)
        .collect();
    chosen.sort_unstable();
    chosen.dedup();
    assert_eq!(chosen.len(), 12);
}

/// Guards against requests for one popular prefix queueing at its engine while other engines are
/// idle. A quarter of a route's requests share a prefix, and all of them go to the engine that
/// caches it if the cache hit outweighs any queueing delay.
#[test]
fn busy_engine_is_passed_over_for_one_that_must_prefill() {
    let mut table = table(12);
    let prompt = prompt(5);
    let mut prefixes = Prefixes::default();
    let first = choose(&table, &prefixes, &ask("engines", Some(&prompt), &[]), NOW)
        .expect("an upstream is available");
    prefixes.record(5, first.upstream, NOW);
    let again = choose(&table, &prefixes, &ask("engines", Some(&prompt), &[]), NOW)
        .expect("an upstream is available");
    assert_eq!(again.upstream, first.upstream);
    assert_eq!(again.unread_tokens, 3_700);
    table
        .get_mut(first.upstream)
        .expect("upstream is in the table")
        .own_load = Load {
        running: 20,
        unread_tokens: 60_000,
    };
    let spilled = choose(&table, &prefixes, &ask("engines", Some(&prompt), &[]), NOW)
        .expect("an upstream is available");
    assert_ne!(spilled.upstream, first.upstream);
    assert_eq!(
        spilled.unread_tokens, 11_680,
        "the second engine is expected to hold part of the prefix"
    );
}

#[test]
fn plain_call_goes_to_least_loaded_upstream() {
    let mut table = table(4);
    for (place, running) in [(0, 5), (1, 2), (2, 6), (3, 4)] {
        let key = table
            .find(&format!("p{place}"))
            .expect("upstream is in the table");
        table
            .get_mut(key)
            .expect("upstream is in the table")
            .own_load
            .running = running;
    }
    let choice = choose(&table, &Prefixes::default(), &ask("plain", None, &[]), NOW)
        .expect("an upstream is available");
    assert_eq!(Some(choice.upstream), table.find("p1"));
}

#[test]
fn draining_failing_or_excluded_upstreams_are_not_chosen() {
    let mut table = table(4);
    let mut leaving = announced("p0", "plain", "d");
    leaving.phase = Phase::Leaving;
    table.apply(Change::Present(leaving), false, NOW);
    let unresponsive = table.find("p1").expect("upstream is in the table");
    for _ in 0..3 {
        table
            .get_mut(unresponsive)
            .expect("upstream is in the table")
            .health
            .record(Outcome::Broken, NOW);
    }
    let excluded = [table.find("p2").expect("upstream is in the table")];
    for draw in 0..100 {
        let ask = Criteria {
            draw,
            ..ask("plain", None, &excluded)
        };
        let choice =
            choose(&table, &Prefixes::default(), &ask, NOW).expect("an upstream is available");
        assert_eq!(Some(choice.upstream), table.find("p3"));
    }
}

#[test]
fn paused_upstream_is_chosen_if_it_is_the_only_one() {
    let mut table = table(1);
    let key = table.find("p0").expect("upstream is in the table");
    for _ in 0..3 {
        table
            .get_mut(key)
            .expect("upstream is in the table")
            .health
            .record(Outcome::Broken, NOW);
    }
    assert!(choose(&table, &Prefixes::default(), &ask("plain", None, &[]), NOW).is_some());
    assert_eq!(
        choose(&table, &Prefixes::default(), &ask("other", None, &[]), NOW),
        None
    );
}

/// Guards against one of four upstreams that fails 40 of 100 requests getting as many as the
/// others. Fast failures must not count as fast answers.
#[test]
fn partially_failing_upstream_is_avoided() {
    let mut table = table(4);
    let failing = table.find("p0").expect("upstream is in the table");
    for step in 0..30 {
        let outcome = if step % 5 < 2 {
            Outcome::Failed
        } else {
            Outcome::Good { took_ms: 30 }
        };
        table
            .get_mut(failing)
            .expect("upstream is in the table")
            .health
            .record(outcome, NOW);
    }
    let to_failing = (0..400).filter(|place| {
        let ask = Criteria {
            draw: tag(&place.to_string()),
            ..ask("plain", None, &[])
        };
        choose(&table, &Prefixes::default(), &ask, NOW)
            .expect("an upstream is available")
            .upstream
            == failing
    });
    assert_eq!(to_failing.count(), 0);
}

/// Guards against one prefix being prefilled by engine after engine once half of the engines have
/// been reclaimed. If the preferred engine is busy and nodes agree only on that one, each node
/// sends the prefix to the engine that seems least loaded to it.
#[test]
fn all_nodes_choose_the_same_second_engine() {
    let mut seconds = Vec::new();
    for busy in [20, 40] {
        let mut table = table(12);
        let prompt = prompt(5);
        let ask = ask("engines", Some(&prompt), &[]);
        let first =
            choose(&table, &Prefixes::default(), &ask, NOW).expect("an upstream is available");
        table
            .get_mut(first.upstream)
            .expect("upstream is in the table")
            .own_load = Load {
            running: busy,
            unread_tokens: 120_000,
        };
        // Nodes see slightly different loads.
        let other = table.find("e7").expect("upstream is in the table");
        table
            .get_mut(other)
            .expect("upstream is in the table")
            .own_load
            .running = busy % 7;
        let second =
            choose(&table, &Prefixes::default(), &ask, NOW).expect("an upstream is available");
        assert_ne!(second.upstream, first.upstream);
        assert!(
            second.unread_tokens < 17_000,
            "the second engine is expected to hold part of the prefix"
        );
        seconds.push(second.upstream);
    }
    assert_eq!(seconds[0], seconds[1]);
}

/// Guards against half of the answers being late for ten seconds after a wave of reclaims. When the
/// engine that caches a prefix drains, engines that lack the prefix must copy it instead of
/// prefilling it, because the draining engine still has it.
#[test]
fn missing_prefix_is_copied_from_a_draining_engine() {
    let mut table = table(12);
    let prompt = prompt(5);
    let mut prefixes = Prefixes::default();
    let ask = ask_with_copies(&prompt);
    let first = choose(&table, &prefixes, &ask, NOW)
        .expect("an upstream is available")
        .upstream;
    prefixes.record(5, first, NOW);
    table
        .get_mut(first)
        .expect("upstream is in the table")
        .announcement
        .phase = Phase::Leaving;
    let moved = choose(&table, &prefixes, &ask, NOW).expect("an upstream is available");
    assert_ne!(moved.upstream, first);
    assert_eq!(moved.source.map(|source| source.upstream), Some(first));
    assert_eq!(
        moved.unread_tokens, 3_700,
        "the shared prefix is copied, not prefilled"
    );
    assert!(moved.copied_tokens > 3_000, "{moved:?}");
    let removed = Change::Removed {
        id: table
            .get(first)
            .expect("upstream is in the table")
            .announcement
            .id
            .clone(),
    };
    table.apply(removed, false, NOW);
    let later = choose(&table, &prefixes, &ask, NOW).expect("an upstream is available");
    assert_ne!(later.source.map(|source| source.upstream), Some(first));
}

/// Guards against endless copies of a prefix between idle engines. With two equally loaded engines,
/// a copy without a cost in the score is made for any gain in time, so that requests for one prefix
/// alternate between the engines.
#[test]
fn prefix_is_not_copied_for_a_small_gain() {
    let mut table = table(12);
    let prompt = prompt(5);
    let mut prefixes = Prefixes::default();
    let ask = ask_with_copies(&prompt);
    let first = choose(&table, &prefixes, &ask, NOW)
        .expect("an upstream is available")
        .upstream;
    prefixes.record(5, first, NOW);
    let load = |unread_tokens| Load {
        running: 2,
        unread_tokens,
    };
    table
        .get_mut(first)
        .expect("upstream is in the table")
        .own_load = load(2_000);
    assert_eq!(
        choose(&table, &prefixes, &ask, NOW)
            .expect("an upstream is available")
            .upstream,
        first
    );
    table
        .get_mut(first)
        .expect("upstream is in the table")
        .own_load = load(30_000);
    let spilled = choose(&table, &prefixes, &ask, NOW).expect("an upstream is available");
    assert_ne!(spilled.upstream, first);
    assert_eq!(spilled.source.map(|source| source.upstream), Some(first));
}

/// Guards against a plain upstream with slow first answers getting no requests for as long as the
/// other upstreams are fast.
#[test]
fn slow_plain_upstream_is_retried_after_a_while() {
    let mut table = table(3);
    for (id, took_ms) in [("p0", 12), ("p1", 24)] {
        let key = table.find(id).expect("upstream is in the table");
        let upstream = table.get_mut(key).expect("upstream is in the table");
        (upstream.health).record(Outcome::Good { took_ms }, NOW);
    }
    let prefixes = Prefixes::default();
    let chosen = |now| {
        let ids = (0..64).filter_map(|draw| {
            let ask = Criteria {
                draw: draw << 32,
                ..ask("plain", None, &[])
            };
            let choice = choose(&table, &prefixes, &ask, now)?;
            Some(table.get(choice.upstream)?.announcement.id.clone())
        });
        let mut ids: Vec<String> = ids.collect();
        ids.sort_unstable();
        ids.dedup();
        ids
    };
    assert_eq!(
        chosen(NOW),
        ["p0", "p2"],
        "p2 has no answer time yet, and p1 was slow"
    );
    assert_eq!(chosen(NOW.after(20_000)), ["p0", "p1", "p2"]);
}

/// Guards against a request that leaves a silent upstream for one that stands still as well.
#[test]
fn request_that_leaves_a_silent_upstream_prefers_one_that_is_alive() {
    let mut table = table(4);
    let alive = table.find("p2").expect("upstream is in the table");
    let upstream = table.get_mut(alive).expect("upstream is in the table");
    upstream.own_load.running = 3;
    upstream.contact.record_heard(NOW);
    let chosen = |alive_since| {
        let ask = Criteria {
            alive_since,
            ..ask("plain", None, &[])
        };
        choose(&table, &Prefixes::default(), &ask, NOW).expect("an upstream is available")
    };
    assert_ne!(chosen(None).upstream, alive, "it is the most loaded");
    let since = TimeMs(NOW.0 - 1);
    assert_eq!(chosen(Some(since)).upstream, alive);
    assert_eq!(chosen(Some(since)).standing, Standing::Alive);
    assert_eq!(chosen(Some(NOW)).standing, Standing::Unproven);
}

/// Guards against requests that are sent to an upstream at which another one waits in vain.
#[test]
fn upstream_with_a_silent_stream_gets_no_request_while_others_are_usable() {
    let mut table = table(4);
    let silent = table.find("p1").expect("upstream is in the table");
    for id in ["p0", "p2", "p3"] {
        let key = table.find(id).expect("upstream is in the table");
        table.get_mut(key).expect("it is there").own_load.running = 5;
    }
    let ask = ask("plain", None, &[]);
    let chosen = |table: &UpstreamTable| {
        let choice = choose(table, &Prefixes::default(), &ask, NOW);
        choice.expect("an upstream is available").upstream
    };
    assert_eq!(chosen(&table), silent);
    let upstream = table.get_mut(silent).expect("it is there");
    upstream.own_load.running = 1;
    upstream.contact.record_silent(NOW);
    assert_ne!(chosen(&table), silent);
    let upstream = table.get_mut(silent).expect("it is there");
    upstream.contact.record_heard(NOW.after(1));
    assert_eq!(chosen(&table), silent);
}
