use super::*;

const NOW: TimeMs = TimeMs(1_000_000);

fn key(number: usize) -> StreamKey {
    StreamKey::of(&number.to_string())
}

fn origin(version: &str) -> Origin {
    Origin {
        pool: 1,
        version: VersionTag::of(version),
        team: Some(2),
    }
}

#[test]
fn start_is_kept_as_long_as_a_stream_and_its_pauses_last() {
    let mut origins = Origins::default();
    origins.record(key(1), origin("v1"), NOW);
    let last = NOW.after(STREAM_MEMORY_MS - 1);
    assert_eq!(origins.get(key(1), last), Some(origin("v1")));
    assert_eq!(origins.get(key(1), last.after(1)), None);
    assert_eq!(origins.get(key(2), NOW), None);
    origins.record(key(2), origin("v2"), last.after(1));
    assert_eq!(origins.len(), 1, "the expired record is removed");
}

/// Guards against a stream that is forgotten with its first record although it was recorded again when it was taken up.
#[test]
fn start_that_is_recorded_again_outlasts_its_first_record() {
    let mut origins = Origins::default();
    origins.record(key(1), origin("v1"), NOW);
    let again = NOW.after(STREAM_MEMORY_MS / 2);
    origins.record(key(1), origin("v1"), again);
    let later = NOW.after(STREAM_MEMORY_MS);
    origins.record(key(2), origin("v1"), later);
    assert_eq!(origins.get(key(1), later), Some(origin("v1")));
}

/// Guards against memory that grows with the rate of streams.
#[test]
fn oldest_starts_are_dropped_first_beyond_the_bound() {
    let mut origins = Origins::default();
    for number in 0..MAX_ORIGINS + 10 {
        origins.record(key(number), origin("v1"), NOW.after(number as u64 / 1_000));
    }
    assert_eq!(origins.len(), MAX_ORIGINS);
    let later = NOW.after(100);
    assert_eq!(origins.get(key(9), later), None);
    assert_eq!(origins.get(key(10), later), Some(origin("v1")));
}

/// Guards against a team that overwrites the start of another team's stream by naming it.
#[test]
fn start_of_another_teams_stream_is_not_overwritten() {
    let mut origins = Origins::default();
    origins.record(key(1), origin("v1"), NOW);
    let foreign = Origin {
        team: Some(3),
        ..origin("v2")
    };
    origins.record(key(1), foreign, NOW.after(1));
    assert_eq!(origins.get(key(1), NOW.after(2)), Some(origin("v1")));
    let expired = NOW.after(STREAM_MEMORY_MS);
    origins.record(key(1), foreign, expired);
    assert_eq!(origins.get(key(1), expired), Some(foreign));
}
