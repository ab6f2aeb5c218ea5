use super::*;
use crate::gateway::streams::VersionTag;

fn start(id: &str, version: &str) -> Start {
    let origin = Origin {
        pool: 3,
        version: VersionTag::of(version),
        team: Some(7),
    };
    (StreamKey::of(id), origin)
}

fn read(records: Vec<Vec<Start>>) -> ReadStarts {
    let mut read = ReadStarts::default();
    for record in records {
        read.add(record);
    }
    read
}

fn place(offset: u64) -> LogPosition {
    LogPosition { era: 1, offset }
}

#[test]
fn record_holds_the_starts_that_were_encoded() {
    let starts = vec![start("a", "v1"), start("b", "v2")];
    let record = encode(&starts).expect("starts can be encoded");
    assert_eq!(decode(&record).expect("a record of starts"), starts);
}

/// Guards against a record of another writer that ends a node or takes its memory.
#[test]
fn record_that_is_none_is_rejected() {
    let record = encode(&[start("a", "v1")]).expect("starts can be encoded");
    for damaged in [&record[..record.len() - 1], &[0xff; 64], b"text"] {
        assert!(decode(damaged).is_err(), "{damaged:?}");
    }
}

/// Guards against a record that exceeds what the store takes.
#[test]
fn fullest_record_fits_into_the_store() {
    let count = MAX_STARTS_PER_RECORD + 1;
    let starts: Vec<Start> = (0..count).map(|id| start(&id.to_string(), "v1")).collect();
    let mut unwritten = UnwrittenStarts::default();
    assert_eq!(unwritten.add(&starts), 0);
    let first = unwritten.take();
    let record = encode(&first).expect("starts can be encoded");
    assert!(record.len() <= MAX_RECORD_BYTES, "{}", record.len());
    assert_eq!(unwritten.take(), starts[MAX_STARTS_PER_RECORD..]);
    assert_eq!(unwritten.take(), []);
}

/// Guards against starts that are lost, or written in another order, when the store does not take a record.
#[test]
fn record_that_was_not_written_is_the_next_one() {
    let mut unwritten = UnwrittenStarts::default();
    unwritten.add(&[start("a", "v1"), start("b", "v1")]);
    let taken = unwritten.take();
    unwritten.add(&[start("c", "v1")]);
    unwritten.put_back(taken);
    let expected = [start("a", "v1"), start("b", "v1"), start("c", "v1")];
    assert_eq!(unwritten.take(), expected);
}

/// Guards against memory that grows for as long as the store is away.
#[test]
fn oldest_starts_are_dropped_when_too_many_wait() {
    let starts: Vec<Start> = (0..MAX_WAITING + 5)
        .map(|id| start(&id.to_string(), "v1"))
        .collect();
    let mut unwritten = UnwrittenStarts::default();
    assert_eq!(unwritten.add(&starts), 5);
    assert_eq!(unwritten.take()[0], starts[5]);
    let taken = unwritten.take();
    unwritten.add(&starts);
    unwritten.put_back(taken);
    assert_eq!(unwritten.waiting.starts.len(), MAX_WAITING);
}

#[test]
fn records_are_deleted_once_they_are_of_no_use() {
    let mut unwritten = UnwrittenStarts::default();
    let written_at = TimeMs(1_000_000);
    unwritten.record_written(place(0), written_at);
    assert_eq!(
        unwritten.due_trim(written_at.after(RECORD_USE_MS)),
        None,
        "nothing precedes it"
    );
    let written_at = written_at.after(RECORD_USE_MS);
    unwritten.record_written(place(5), written_at);
    unwritten.record_written(place(6), written_at.after(1));
    unwritten.record_written(place(9), written_at.after(20_000));
    assert_eq!(
        unwritten.due_trim(written_at.after(RECORD_USE_MS - 1)),
        None
    );
    let later = written_at.after(RECORD_USE_MS + TRIM_INTERVAL_MS);
    assert_eq!(unwritten.due_trim(later), Some(place(6)));
    assert_eq!(
        unwritten.due_trim(later.after(TRIM_INTERVAL_MS)),
        Some(place(9))
    );
    assert_eq!(unwritten.due_trim(later.after(TRIM_INTERVAL_MS * 2)), None);
}

/// Guards against a stream that goes on at the version of an older start under the same id.
#[test]
fn newest_start_of_a_stream_counts() {
    let records = vec![
        vec![start("a", "v1"), start("b", "v1")],
        vec![start("a", "v2")],
    ];
    let archive = StreamArchive::of_records(read(records));
    let version = |id| archive.get(StreamKey::of(id)).map(|origin| origin.version);
    assert_eq!(version("a"), Some(VersionTag::of("v2")));
    assert_eq!(version("b"), Some(VersionTag::of("v1")));
    assert_eq!(version("c"), None);
}

/// Guards against a node that believes in a first start though streams have begun before.
#[test]
fn only_an_empty_store_shows_a_first_start() {
    let shows_first_start = |records| StreamArchive::of_records(read(records)).shows_first_start();
    assert!(shows_first_start(Vec::new()));
    assert!(!shows_first_start(vec![Vec::new()]));
    assert!(!StreamArchive::Unread.shows_first_start());
    assert!(!StreamArchive::ReadElsewhere.shows_first_start());
    let mut expired = StreamArchive::of_records(read(vec![vec![start("a", "v1")]]));
    expired.remove_expired(READ_USE_MS);
    assert_eq!(expired.get(StreamKey::of("a")), None);
    assert!(!expired.shows_first_start());
}

/// Guards against a node whose memory grows with what the store holds.
#[test]
fn newest_starts_are_kept_when_the_store_holds_too_many() {
    let mut records = ReadStarts::default();
    let first = start("first", "v1");
    records.add(vec![first]);
    let others: Vec<Start> = (0..MAX_READ)
        .map(|id| start(&id.to_string(), "v1"))
        .collect();
    records.add(others.clone());
    assert_eq!(records.starts.len(), MAX_READ);
    let archive = StreamArchive::of_records(records);
    assert_eq!(archive.get(first.0), None);
    assert_eq!(archive.get(others[0].0), Some(others[0].1));
}
