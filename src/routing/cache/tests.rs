//! What the view believes, and how it is put right.

use super::{BLOCKS_PER_SHARD, CacheView, SHARDS};
use crate::keys::HostKey;
use crate::routing::Chain;
use crate::time::TimeMs;
use crate::upstreams::{CacheEvent, CacheEventKind};

const ONE: HostKey = HostKey(1);
const OTHER: HostKey = HostKey(2);

/// A chain of `length` blocks; those after `shared` differ by `own`.
fn chain(shared: u64, own: u64, length: u64) -> Chain {
    let block = |depth| {
        let seed = if depth < shared { 0 } else { own };
        twox_hash::XxHash3_64::oneshot_with_seed(seed, &u64::to_le_bytes(depth))
    };
    Chain::from_blocks((0..length).map(block).collect())
}

fn cached(view: &CacheView, chain: &Chain, host: HostKey) -> f64 {
    let held = view.look_up(chain).cached;
    let found = held.iter().find(|entry| entry.0 == host);
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
fn what_was_sent_is_believed_cached_as_far_as_prompts_agree() {
    let view = CacheView::default();
    view.note_sent(ONE, &chain(4, 7, 10), 0.0);
    assert!((cached(&view, &chain(4, 7, 12), ONE) - 640.0).abs() < 1e-6);
    assert!((cached(&view, &chain(4, 8, 12), ONE) - 256.0).abs() < 1e-6);
    assert!(cached(&view, &chain(4, 7, 12), OTHER).abs() < 1e-6);
    view.forget(ONE);
    assert!(cached(&view, &chain(4, 7, 12), ONE).abs() < 1e-6);
}

#[test]
fn a_prefix_of_many_prompts_is_told_from_a_conversation_that_grows() {
    let view = CacheView::default();
    for own in 1..6 {
        view.note_sent(ONE, &chain(4, own, 8), 0.0);
    }
    for length in 8..14 {
        view.note_sent(ONE, &chain(4, 1, length), 0.0);
    }
    let held = view.look_up(&chain(4, 1, 14));
    assert_eq!(held.shared_tokens, 256);
    assert_eq!(held.affinity, chain(4, 1, 14).blocks()[4]);
}

#[test]
fn events_of_other_nodes_requests_are_taken_in() {
    let view = CacheView::default();
    let chain = chain(0, 3, 2);
    let blocks = chain.blocks();
    let stored = [0, 1].map(|index| event(index as u64, CacheEventKind::Stored, blocks[index]));
    view.apply(ONE, &stored);
    assert!((cached(&view, &chain, ONE) - 128.0).abs() < 1e-6);
    view.apply(ONE, &[event(2, CacheEventKind::Evicted, blocks[1])]);
    assert!((cached(&view, &chain, ONE) - 64.0).abs() < 1e-6);
}

// Symptom: requests wait on hosts that have long lost their cache. Sequence: the events of the
// evictions are lost, their sequence numbers show a gap. Cause: entries without an end.
#[test]
fn a_gap_in_the_events_ages_what_was_known() {
    let view = CacheView::default();
    view.set_capacity(ONE, 64 * 100);
    let known = chain(0, 3, 10);
    view.note_sent(ONE, &known, 0.0);
    view.apply(ONE, &[event(10, CacheEventKind::Stored, 1)]);
    assert!((cached(&view, &known, ONE) - 640.0).abs() < 1e-6);
    view.apply(ONE, &[event(180, CacheEventKind::Stored, 2)]);
    let aged = cached(&view, &known, ONE);
    assert!((1.0..639.0).contains(&aged), "{aged}");
    view.apply(ONE, &[event(400, CacheEventKind::Stored, 3)]);
    assert!(cached(&view, &known, ONE).abs() < 1e-6);
}

// Symptom: requests keep going to a host for a cache that it does not have. Sequence: the host
// restarted with an empty cache under its old name. Cause: only events correct the view.
#[test]
fn an_engines_own_count_lowers_the_trust_in_its_entries() {
    let view = CacheView::default();
    for own in 1..40 {
        view.note_sent(ONE, &chain(0, own, 10), 0.0);
    }
    for own in 1..20 {
        let expected = cached(&view, &chain(0, own, 10), ONE);
        view.note_done(ONE, &chain(0, own, 10), expected, 0);
    }
    assert!(cached(&view, &chain(0, 30, 10), ONE) < 160.0);
}

#[test]
fn memory_is_bounded() {
    let view = CacheView::default();
    for own in 0..40_000 {
        view.note_sent(ONE, &chain(0, own, 16), 0.0);
    }
    assert!(view.len() <= SHARDS * BLOCKS_PER_SHARD);
    assert!(
        cached(&view, &chain(0, 39_999, 16), ONE) > 1_000.0,
        "the newest are kept"
    );
}
