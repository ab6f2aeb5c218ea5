use super::*;

const DAY_MS: u64 = 1_800_000_000_000;
const NOW: TimeMs = TimeMs(5_000_000);

fn blocked(subject: Subject, at: TimeMs) -> Crashes {
    let mut crashes = Crashes::default();
    assert!(crashes.block(subject, at, at));
    crashes
}

/// Passes blocks through a record, `passed_ms` before they are read at a node whose clock differs.
fn pass_on(crashes: &Crashes, passed_ms: u64, now: TimeMs) -> (Crashes, usize) {
    let encoded = crashes.to_store(DAY_MS, NOW).encode().expect("encodable");
    let stored = StoredBlocks::decode(&encoded).expect("decodable");
    let mut restored = Crashes::default();
    let count = restored.restore(&stored, DAY_MS + passed_ms, now);
    (restored, count)
}

#[test]
fn block_is_restored_with_its_age() {
    let crashes = blocked(7, TimeMs(NOW.0 - 1_000));
    let now = TimeMs(90_000_000);
    let (restored, count) = pass_on(&crashes, 4_000, now);
    assert_eq!(count, 1);
    let reported = restored.reported_blocks(now);
    assert_eq!(reported.len(), 1);
    assert_eq!((reported[0].subject, reported[0].age_ms), (7, 5_000));
}

/// Guards against requests that are refused long after the last of them, because the record outlives the block.
#[test]
fn expired_block_is_not_restored() {
    let crashes = blocked(7, NOW);
    let (_restored, count) = pass_on(&crashes, RETENTION_MS - 1, TimeMs(90_000_000));
    assert_eq!(count, 1);
    // The clock of the second host began after the block expired.
    for now in [TimeMs(90_000_000), TimeMs(1_000)] {
        let (_restored, count) = pass_on(&crashes, RETENTION_MS, now);
        assert_eq!(count, 0);
    }
}

/// Guards against a sound part that stays blocked for ever, because nodes forget that answers went on under it.
#[test]
fn trials_of_a_part_that_was_sound_go_on_after_a_restore() {
    use crate::gateway::crashes::subjects::Subjects;
    let part = 9;
    let mut crashes = Crashes::default();
    let subjects = Subjects::new(1, 2, [part]);
    crashes.record_sound(&subjects, TimeMs(NOW.0 - 2_000));
    crashes.block(part, NOW, NOW);
    let now = TimeMs(90_000_000);
    let (mut restored, _count) = pass_on(&crashes, 0, now);
    assert!(restored.refusal(&subjects, now).is_some());
    let later = now.after(1_000);
    assert_eq!(restored.refusal(&subjects, later), None);
}

#[test]
fn odd_records_are_rejected() {
    StoredBlocks::decode(b"").expect_err("nothing");
    let mut long = vec![1, 0xfd];
    long.extend((1_u64 << 62).to_le_bytes());
    StoredBlocks::decode(&long).expect_err("a length of 2^62");
}

#[test]
fn record_is_written_on_changes_and_once_a_minute() {
    let mut state = StoredState::default();
    assert!(!state.is_due(&[], 1, NOW));
    assert!(state.is_due(&[7], 1, NOW));
    state.record(vec![7], 1, NOW);
    assert!(!state.is_due(&[7], 1, NOW.after(1_000)));
    assert!(state.is_due(&[7], 2, NOW.after(1_000)), "another era");
    assert!(state.is_due(&[7], 1, NOW.after(REFRESH_INTERVAL_MS)));
    assert!(state.is_due(&[], 1, NOW.after(1_000)), "a lifted block");
    state.record(Vec::new(), 1, NOW);
    assert!(!state.is_due(&[], 1, NOW.after(REFRESH_INTERVAL_MS)));
    state.record_other_writer();
    assert!(state.is_due(&[], 1, NOW), "another node wrote");
}
