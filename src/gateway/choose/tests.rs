use super::*;
use crate::gateway::call::Part;
use crate::gateway::health::Outcome;
use crate::gateway::pace::EngineModel;
use crate::gateway::upstreams::tests::announced;
use crate::gateway::upstreams::{Change, Load, Phase, tag};

mod held_back;
mod wave;

/// What is taken of engines before any has answered.
fn pace() -> Pace {
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
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        model: "m".to_owned(),
        input_tokens: 17_000,
        max_output_tokens: 100,
        expected_output_tokens: None,
        parts: vec![part(shared, 13_300), part(shared + 1_000_000, 3_700)],
    }
}

fn ask<'a>(pool: &'a str, prompt: Option<&'a Prompt>, excluded: &'a [UpstreamKey]) -> Ask<'a> {
    Ask {
        pool,
        prompt,
        failure_domain: "d",
        excluded,
        versions: crate::gateway::rollout::Versions::Any,
        pace: pace(),
        copy_tokens_per_ms: None,
        may_repeat: false,
        draw: 7,
    }
}

/// Asks for an engine of a pool whose engines copy 597 tokens in a millisecond.
fn copying(prompt: &Prompt) -> Ask<'_> {
    Ask {
        copy_tokens_per_ms: Some(597.0),
        ..ask("engines", Some(prompt), &[])
    }
}

#[test]
fn all_nodes_send_a_shared_part_to_the_same_engine() {
    let (first, second) = (table(12), table(12));
    let prefixes = Prefixes::default();
    for shared in 0..50 {
        let prompt = prompt(shared);
        let ask = ask("engines", Some(&prompt), &[]);
        let chosen = |table: &UpstreamTable| {
            let choice = choose(table, &prefixes, &ask, NOW).expect("some");
            table
                .get(choice.upstream)
                .expect("there")
                .announced
                .id
                .clone()
        };
        assert_eq!(chosen(&first), chosen(&second));
    }
}

#[test]
fn shared_parts_are_spread_over_all_engines() {
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

/// Symptom: requests for one much-asked subject come late while other engines are idle.
/// Sequence: a quarter of a route's requests are about one subject; all go to the engine that has it.
/// Cause: the place of a shared part counted for more than any wait.
#[test]
fn a_busy_engine_is_left_for_one_that_must_read_the_part_again() {
    let mut table = table(12);
    let prompt = prompt(5);
    let mut prefixes = Prefixes::default();
    let first = choose(&table, &prefixes, &ask("engines", Some(&prompt), &[]), NOW).expect("some");
    prefixes.note(5, first.upstream, NOW);
    let again = choose(&table, &prefixes, &ask("engines", Some(&prompt), &[]), NOW).expect("some");
    assert_eq!(again.upstream, first.upstream);
    assert_eq!(again.unread_tokens, 3_700);
    table.get_mut(first.upstream).expect("there").own = Load {
        running: 20,
        unread_tokens: 60_000,
    };
    let spilled =
        choose(&table, &prefixes, &ask("engines", Some(&prompt), &[]), NOW).expect("some");
    assert_ne!(spilled.upstream, first.upstream);
    assert_eq!(
        spilled.unread_tokens, 11_680,
        "the second engine may have it"
    );
}

#[test]
fn plain_calls_go_where_the_fewest_run() {
    let mut table = table(4);
    for (place, running) in [(0, 5), (1, 2), (2, 6), (3, 4)] {
        let key = table.find(&format!("p{place}")).expect("there");
        table.get_mut(key).expect("there").own.running = running;
    }
    let choice = choose(&table, &Prefixes::default(), &ask("plain", None, &[]), NOW).expect("some");
    assert_eq!(Some(choice.upstream), table.find("p1"));
}

#[test]
fn upstreams_that_leave_fail_or_had_the_request_are_not_chosen() {
    let mut table = table(4);
    let mut leaving = announced("p0", "plain", "d");
    leaving.phase = Phase::Leaving;
    table.apply(Change::Present(leaving), false, NOW);
    let dark = table.find("p1").expect("there");
    for _ in 0..3 {
        table
            .get_mut(dark)
            .expect("there")
            .health
            .note(Outcome::Broken, NOW);
    }
    let excluded = [table.find("p2").expect("there")];
    for draw in 0..100 {
        let ask = Ask {
            draw,
            ..ask("plain", None, &excluded)
        };
        let choice = choose(&table, &Prefixes::default(), &ask, NOW).expect("some");
        assert_eq!(Some(choice.upstream), table.find("p3"));
    }
}

#[test]
fn a_paused_upstream_is_better_than_none() {
    let mut table = table(1);
    let key = table.find("p0").expect("there");
    for _ in 0..3 {
        table
            .get_mut(key)
            .expect("there")
            .health
            .note(Outcome::Broken, NOW);
    }
    assert!(choose(&table, &Prefixes::default(), &ask("plain", None, &[]), NOW).is_some());
    assert_eq!(
        choose(&table, &Prefixes::default(), &ask("other", None, &[]), NOW),
        None
    );
}

/// Symptom: an upstream that fails part of its requests gets as many as the others.
/// Sequence: one of four answers 40 of 100 requests with a failure, quickly.
/// Cause: quick failures look like quick answers.
#[test]
fn an_upstream_that_fails_a_part_of_its_requests_gets_few() {
    let mut table = table(4);
    let grey = table.find("p0").expect("there");
    for step in 0..30 {
        let outcome = if step % 5 < 2 {
            Outcome::Failed
        } else {
            Outcome::Good { took_ms: 30 }
        };
        table
            .get_mut(grey)
            .expect("there")
            .health
            .note(outcome, NOW);
    }
    let to_grey = (0..400).filter(|place| {
        let ask = Ask {
            draw: tag(&place.to_string()),
            ..ask("plain", None, &[])
        };
        choose(&table, &Prefixes::default(), &ask, NOW)
            .expect("some")
            .upstream
            == grey
    });
    assert_eq!(to_grey.count(), 0);
}

/// Symptom: after a wave of reclaims the same shared parts are read by engine after engine.
/// Sequence: half of the engines go; the first choice of a part is busy; each node sends the part
/// to the engine that seems least busy to it.
/// Cause: nodes agreed on one engine for a part only, not on where to go from there.
#[test]
fn all_nodes_turn_to_the_same_second_engine() {
    let mut seconds = Vec::new();
    for busy in [20, 40] {
        let mut table = table(12);
        let prompt = prompt(5);
        let ask = ask("engines", Some(&prompt), &[]);
        let first = choose(&table, &Prefixes::default(), &ask, NOW).expect("some");
        table.get_mut(first.upstream).expect("there").own = Load {
            running: busy,
            unread_tokens: 120_000,
        };
        // Loads that nodes see differently, but not by much.
        let other = table.find("e7").expect("there");
        table.get_mut(other).expect("there").own.running = busy % 7;
        let second = choose(&table, &Prefixes::default(), &ask, NOW).expect("some");
        assert_ne!(second.upstream, first.upstream);
        assert!(
            second.unread_tokens < 17_000,
            "it is expected to have read the part"
        );
        seconds.push(second.upstream);
    }
    assert_eq!(seconds[0], seconds[1]);
}

/// Symptom: for ten seconds after a wave of reclaims half of the answers come late.
/// Sequence: the engine that has a part leaves; requests for the part go to engines that lack it.
/// Cause: each of them read the whole part again, though the leaving engine still had it.
#[test]
fn an_engine_that_lacks_a_part_copies_it_from_one_that_leaves() {
    let mut table = table(12);
    let prompt = prompt(5);
    let mut prefixes = Prefixes::default();
    let ask = copying(&prompt);
    let first = choose(&table, &prefixes, &ask, NOW).expect("some").upstream;
    prefixes.note(5, first, NOW);
    table.get_mut(first).expect("there").announced.phase = Phase::Leaving;
    let moved = choose(&table, &prefixes, &ask, NOW).expect("some");
    assert_ne!(moved.upstream, first);
    assert_eq!(moved.source.map(|source| source.upstream), Some(first));
    assert_eq!(moved.unread_tokens, 3_700, "the rest is copied");
    assert!(moved.copied_tokens > 3_000, "{moved:?}");
    let removed = Change::Removed {
        id: table.get(first).expect("there").announced.id.clone(),
    };
    table.apply(removed, false, NOW);
    let later = choose(&table, &prefixes, &ask, NOW).expect("some");
    assert_ne!(later.source.map(|source| source.upstream), Some(first));
}

/// Symptom: shared parts are copied between idle engines without end.
/// Sequence: two engines are equally busy; requests for one part come to either in turn.
/// Cause: a copy that costs nothing in the choice is made for any gain in time.
#[test]
fn a_part_stays_where_it_is_while_the_gain_of_a_copy_is_small() {
    let mut table = table(12);
    let prompt = prompt(5);
    let mut prefixes = Prefixes::default();
    let ask = copying(&prompt);
    let first = choose(&table, &prefixes, &ask, NOW).expect("some").upstream;
    prefixes.note(5, first, NOW);
    let load = |unread_tokens| Load {
        running: 2,
        unread_tokens,
    };
    table.get_mut(first).expect("there").own = load(2_000);
    assert_eq!(
        choose(&table, &prefixes, &ask, NOW).expect("some").upstream,
        first
    );
    table.get_mut(first).expect("there").own = load(30_000);
    let spilled = choose(&table, &prefixes, &ask, NOW).expect("some");
    assert_ne!(spilled.upstream, first);
    assert_eq!(spilled.source.map(|source| source.upstream), Some(first));
}

/// An upstream of a plain service that was slow at its first answers gets nothing for as long as the others are quick.
#[test]
fn a_plain_upstream_that_was_slow_once_is_tried_again() {
    let mut table = table(3);
    for (id, took_ms) in [("p0", 12), ("p1", 24)] {
        let key = table.find(id).expect("known");
        let upstream = table.get_mut(key).expect("there");
        (upstream.health).note(Outcome::Good { took_ms }, NOW);
    }
    let prefixes = Prefixes::default();
    let chosen = |now| {
        let ids = (0..64).filter_map(|draw| {
            let ask = Ask {
                draw: draw << 32,
                ..ask("plain", None, &[])
            };
            let choice = choose(&table, &prefixes, &ask, now)?;
            Some(table.get(choice.upstream)?.announced.id.clone())
        });
        let mut ids: Vec<String> = ids.collect();
        ids.sort_unstable();
        ids.dedup();
        ids
    };
    assert_eq!(chosen(NOW), ["p0", "p2"], "nobody has tried the third yet");
    assert_eq!(chosen(NOW.after(20_000)), ["p0", "p1", "p2"]);
}
