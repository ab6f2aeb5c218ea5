//! Tests of the cache estimate and of its corrections.

use super::{BLOCKS_PER_SHARD, PrefixCacheEstimate, SHARDS};
use crate::keys::HostKey;
use crate::routing::PromptBlocks;
use crate::time::TimeMs;
use crate::upstreams::{CacheEvent, CacheEventKind};

const ONE: HostKey = HostKey(1);
const OTHER: HostKey = HostKey(2);

/// Returns a prompt of `length` blocks; the blocks after the first `shared` depend on `own`.
fn chain(shared: u64, own: u64, length: u64) -> PromptBlocks {
    let block = |depth| {
        let seed = if depth < shared { 0 } else { own };
        twox_hash::XxHash3_64::oneshot_with_seed(seed, &u64::to_le_bytes(depth))
    };
    PromptBlocks::from_blocks((0..length).map(block).collect())
}

fn cached(view: &PrefixCacheEstimate, chain: &PromptBlocks, host: HostKey) -> f64 {
    let estimate = view.look_up(chain).cached;
    let found = estimate.iter().find(|entry| entry.0 == host);
    found.map_or(0.0, |entry| entry.1)
}

fn event(sequence: u64, kind: CacheEventKind, block: u64) -> CacheEvent {
    CacheEvent {
        sequence,
        kind,
        block,
        as_of_ms: TimeMs(0),
    }
}

#[test]
fn sent_prompt_counts_as_cached_up_to_the_common_prefix() {
    let view = PrefixCacheEstimate::default();
    view.record_sent(ONE, &chain(4, 7, 10), 0.0);
    assert!((cached(&view, &chain(4, 7, 12), ONE) - 640.0).abs() < 1e-6);
    assert!((cached(&view, &chain(4, 8, 12), ONE) - 256.0).abs() < 1e-6);
    assert!(cached(&view, &chain(4, 7, 12), OTHER).abs() < 1e-6);
    view.remove_host(ONE);
    assert!(cached(&view, &chain(4, 7, 12), ONE).abs() < 1e-6);
}

#[test]
fn shared_prefix_is_distinguished_from_a_growing_conversation() {
    let view = PrefixCacheEstimate::default();
    for own in 1..6 {
        view.record_sent(ONE, &chain(4, own, 8), 0.0);
    }
    for length in 8..14 {
        view.record_sent(ONE, &chain(4, 1, length), 0.0);
    }
    let estimate = view.look_up(&chain(4, 1, 14));
    assert_eq!(estimate.shared_tokens, 256);
    assert_eq!(estimate.affinity, chain(4, 1, 14).blocks()[4]);
}

#[test]
fn cache_events_update_the_estimate() {
    let view = PrefixCacheEstimate::default();
    let chain = chain(0, 3, 2);
    let blocks = chain.blocks();
    let stored = [0, 1].map(|index| event(index as u64, CacheEventKind::Stored, blocks[index]));
    view.apply_events(ONE, &stored);
    assert!((cached(&view, &chain, ONE) - 128.0).abs() < 1e-6);
    view.apply_events(ONE, &[event(2, CacheEventKind::Evicted, blocks[1])]);
    assert!((cached(&view, &chain, ONE) - 64.0).abs() < 1e-6);
}

// Eviction events can be lost, which shows as a gap in the sequence numbers. Entries that did not
// age with the gap would keep routing requests to hosts that have evicted the blocks.
#[test]
fn event_gap_ages_older_entries() {
    let view = PrefixCacheEstimate::default();
    view.set_capacity(ONE, 64 * 100);
    let known = chain(0, 3, 10);
    view.record_sent(ONE, &known, 0.0);
    view.apply_events(ONE, &[event(10, CacheEventKind::Stored, 1)]);
    assert!((cached(&view, &known, ONE) - 640.0).abs() < 1e-6);
    view.apply_events(ONE, &[event(180, CacheEventKind::Stored, 2)]);
    let aged = cached(&view, &known, ONE);
    assert!((1.0..639.0).contains(&aged), "{aged}");
    view.apply_events(ONE, &[event(400, CacheEventKind::Stored, 3)]);
    assert!(cached(&view, &known, ONE).abs() < 1e-6);
}

// A host that restarts under the same name has an empty cache and sends no eviction events. If
// events alone corrected the estimate, requests would keep going to it for blocks that it does not
// have.
#[test]
fn count_reported_by_the_engine_lowers_trust_in_its_entries() {
    let view = PrefixCacheEstimate::default();
    for own in 1..40 {
        view.record_sent(ONE, &chain(0, own, 10), 0.0);
    }
    for own in 1..20 {
        let expected = cached(&view, &chain(0, own, 10), ONE);
        view.record_done(ONE, &chain(0, own, 10), expected, 0);
    }
    assert!(cached(&view, &chain(0, 30, 10), ONE) < 160.0);
}

#[test]
fn number_of_tracked_blocks_is_bounded() {
    let view = PrefixCacheEstimate::default();
    for own in 0..40_000 {
        view.record_sent(ONE, &chain(0, own, 16), 0.0);
    }
    assert!(view.len() <= SHARDS * BLOCKS_PER_SHARD);
    assert!(
        cached(&view, &chain(0, 39_999, 16), ONE) > 1_000.0,
        "the newest blocks are kept"
    );
}
