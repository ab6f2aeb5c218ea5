use super::*;
use crate::gateway::request_head::{Prompt, PromptPart};
use crate::gateway::speed::pace::EngineModel;
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
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt {
        model: "m".to_owned(),
        input_tokens: shared_tokens + 500,
        max_output_tokens: 100,
        expected_output_tokens: None,
        parts: vec![part(5, shared_tokens), part(6, 500)],
    }
}

fn source_keys(table: &UpstreamTable, prefixes: &Prefixes, shared_tokens: u64) -> Vec<UpstreamKey> {
    let prompt = prompt(shared_tokens);
    let ask = Criteria {
        pace: EngineModel::default().pace(),
        pool: "engines",
        prompt: Some(&prompt),
        failure_domain: "d",
        excluded: &[],
        versions: crate::gateway::rollout::VersionFilter::Any,
        copy_tokens_per_ms: Some(597.0),
        may_repeat: false,
        alive_since: None,
        draw: 0,
    };
    let sources = copy_sources(table, prefixes, &ask, NOW);
    sources.iter().map(|source| source.upstream).collect()
}

#[test]
fn engines_that_were_sent_the_prefix_precede_preferred_engines() {
    let table = table(6);
    let preferred = source_keys(&table, &Prefixes::default(), 10_000);
    assert_eq!(preferred.len(), 2);
    let (recorded, _upstream) = table
        .iter()
        .find(|(key, _)| !preferred.contains(key))
        .expect("four engines are not preferred");
    let mut prefixes = Prefixes::default();
    prefixes.record(5, recorded, NOW);
    assert_eq!(source_keys(&table, &prefixes, 10_000)[0], recorded);
}

#[test]
fn short_prefix_has_no_copy_source() {
    let table = table(6);
    let short = source_keys(&table, &Prefixes::default(), MIN_COPIED_TOKENS - 1);
    assert_eq!(short, []);
}

#[test]
fn cross_domain_copy_takes_twice_as_long() {
    let same_domain_ms = copy_ms(11_940.0, 597.0, true);
    let cross_domain_ms = copy_ms(11_940.0, 597.0, false);
    assert!((same_domain_ms - 28.0).abs() < 0.01, "{same_domain_ms}");
    assert!((cross_domain_ms - 48.0).abs() < 0.01, "{cross_domain_ms}");
}
