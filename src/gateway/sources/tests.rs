use super::*;
use crate::gateway::call::{Part, Prompt};
use crate::gateway::pace::EngineModel;
use crate::gateway::upstreams::Change;
use crate::gateway::upstreams::tests::announced;

const NOW: TimeMs = TimeMs(10_000);

fn table(count: usize) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    for place in 0..count {
        let engine = announced(&format!("e{place}"), "engines", "d");
        table.apply(Change::Present(engine), false, NOW);
    }
    table
}

fn prompt(shared_tokens: u64) -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        model: "m".to_owned(),
        input_tokens: shared_tokens + 500,
        max_output_tokens: 100,
        expected_output_tokens: None,
        parts: vec![part(5, shared_tokens), part(6, 500)],
    }
}

fn found(table: &UpstreamTable, prefixes: &Prefixes, shared_tokens: u64) -> Vec<UpstreamKey> {
    let prompt = prompt(shared_tokens);
    let ask = Ask {
        pace: EngineModel::default().pace(),
        pool: "engines",
        prompt: Some(&prompt),
        failure_domain: "d",
        excluded: &[],
        versions: crate::gateway::rollout::Versions::Any,
        copy_tokens_per_ms: Some(597.0),
        may_repeat: false,
        draw: 0,
    };
    let sources = of(table, prefixes, &ask, NOW);
    sources.iter().map(|source| source.upstream).collect()
}

#[test]
fn those_that_were_sent_the_part_come_before_those_preferred() {
    let table = table(6);
    let preferred = found(&table, &Prefixes::default(), 10_000);
    assert_eq!(preferred.len(), 2);
    let (noted, _upstream) = table
        .iter()
        .find(|(key, _)| !preferred.contains(key))
        .expect("six are there");
    let mut prefixes = Prefixes::default();
    prefixes.note(5, noted, NOW);
    assert_eq!(found(&table, &prefixes, 10_000)[0], noted);
}

#[test]
fn short_parts_are_read() {
    let table = table(6);
    let short = found(&table, &Prefixes::default(), LEAST_COPIED_TOKENS - 1);
    assert_eq!(short, []);
}

#[test]
fn a_copy_between_failure_domains_takes_twice_as_long() {
    let near_ms = copy_ms(11_940.0, 597.0, true);
    let far_ms = copy_ms(11_940.0, 597.0, false);
    assert!((near_ms - 28.0).abs() < 0.01, "{near_ms}");
    assert!((far_ms - 48.0).abs() < 0.01, "{far_ms}");
}
