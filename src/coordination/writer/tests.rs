use std::sync::Arc;

use futures::FutureExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{Appender, GroupWriter};
use crate::coordination::budget::AppendBudget;
use crate::coordination::call_retry::{CallRetry, Event, Failure, Step};
use crate::coordination::fakes::{AppendFault, FakeLog};
use crate::time::{Clock, TimeMs};

const STREAM: &str = "audit";

fn appender(log: &FakeLog, clock: Clock) -> Appender<FakeLog> {
    let rng = SmallRng::seed_from_u64(1);
    Appender::new(
        Arc::new(log.clone()),
        STREAM,
        "node-1".to_owned(),
        clock,
        rng,
    )
}

fn payloads(log: &FakeLog) -> Vec<(u64, String)> {
    let records = log.records(STREAM);
    let read = records
        .into_iter()
        .map(|held| (held.sequence, held.payload));
    read.collect()
}

/// Guards against a change that is recorded twice in the audit trail: the log appends the record,
/// its response is lost, and the append is repeated without reading back.
#[tokio::test]
async fn append_whose_response_alone_was_lost_is_not_repeated() {
    let log = FakeLog::new();
    let clock = Clock::new();
    let mut writer = appender(&log, clock);
    log.add_faults([AppendFault::LostResponse]);
    let deadline_ms = clock.now().after(10_000);
    let first = writer.append("a".to_owned(), deadline_ms).await;
    let second = writer.append("b".to_owned(), deadline_ms).await;
    assert_eq!((first.ok(), second.ok()), (Some(1), Some(2)));
    assert_eq!(payloads(&log), [(1, "a".to_owned()), (2, "b".to_owned())]);
}

/// Guards against a missing entry: the request is lost, and the lost response is taken for success.
#[tokio::test]
async fn lost_append_is_repeated() {
    let log = FakeLog::new();
    let clock = Clock::new();
    log.add_faults([AppendFault::LostRequest, AppendFault::Rejected]);
    let deadline_ms = clock.now().after(10_000);
    let appended = appender(&log, clock)
        .append("a".to_owned(), deadline_ms)
        .await;
    assert_eq!(appended.ok(), Some(1));
    assert_eq!(payloads(&log), [(1, "a".to_owned())]);
}

/// Guards against a record that counts twice: the append is found missing and repeated, and then
/// both copies land. Only the sequence number identifies them as copies.
#[tokio::test]
async fn repeated_append_keeps_its_sequence_number() {
    let log = FakeLog::new();
    let clock = Clock::new();
    let mut writer = appender(&log, clock);
    log.add_faults([AppendFault::Delayed]);
    let deadline_ms = clock.now().after(10_000);
    let first = writer.append("a".to_owned(), deadline_ms).await;
    log.append_delayed(STREAM);
    let next = writer.append("b".to_owned(), deadline_ms).await;
    assert_eq!((first.ok(), next.ok()), (Some(1), Some(3)));
    let sequences: Vec<u64> = payloads(&log).into_iter().map(|(held, _)| held).collect();
    assert_eq!(sequences, [1, 1, 2]);
}

/// Guards against a call that is rejected as not run and runs later: the deadline passes between
/// the queue and the log, and the entry is reported as not written but still appended.
#[tokio::test]
async fn entry_reported_as_not_written_is_never_written() {
    let log = FakeLog::new();
    let clock = Clock::new();
    log.set_unavailable(true);
    let budget = Arc::new(AppendBudget::new(100.0, 100.0, TimeMs(0)));
    let (writer, task) = GroupWriter::new(appender(&log, clock), budget);
    let task = tokio::spawn(task.run());
    let refused = writer.write("a", clock.now().after(80)).await;
    log.set_unavailable(false);
    let written = writer.write("b", clock.now().after(10_000)).await;
    task.abort();
    let error = refused.expect_err("the log is out");
    assert!(error.is_not_written());
    assert_eq!(written.ok(), Some(1));
    assert_eq!(payloads(&log), [(1, "[\"b\"]".to_owned())]);
}

/// Guards against a wrong report about a lost append while the log cannot be read: until the stream
/// was read the record must count as possibly created.
#[test]
fn append_counts_as_possibly_made_until_the_stream_was_read() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut step = |call_retry: &mut CallRetry, event, now_ms| {
        call_retry.next_step(event, TimeMs(now_ms), &mut rng)
    };
    let refused = Event::Rejected {
        retry_after_ms: None,
    };
    let mut never_sent = CallRetry::new(7, TimeMs(1_000));
    assert_eq!(step(&mut never_sent, Event::Started, 0), Step::Call);
    let given_up = step(&mut never_sent, refused, 1_000);
    assert_eq!(given_up, Step::GiveUp(Failure::NotApplied));

    let mut lost = CallRetry::new(7, TimeMs(1_000));
    assert_eq!(step(&mut lost, Event::Started, 0), Step::Call);
    let look = Step::ReadBack { from: 7 };
    assert_eq!(step(&mut lost, Event::ResponseLost, 10), look);
    let pause = step(&mut lost, Event::ReadFailed, 20);
    assert!(matches!(pause, Step::Wait { .. }));
    assert_eq!(step(&mut lost, Event::Waited, 30), look);
    // The second append is rejected, but the first one may still land.
    assert!(matches!(
        step(&mut lost, Event::NotFound, 40),
        Step::Wait { .. }
    ));
    assert_eq!(step(&mut lost, Event::Waited, 50), Step::Call);
    let given_up = step(&mut lost, refused, 1_000);
    assert_eq!(given_up, Step::GiveUp(Failure::Unresolved));
}

/// Guards against a duplicate entry: its writer is cancelled midway and starts again, while the
/// record exists already under the sequence number that the first try used.
#[tokio::test]
async fn cancelled_append_is_resumed_under_its_sequence_number() {
    let log = FakeLog::new();
    let clock = Clock::new();
    let mut writer = appender(&log, clock);
    let deadline_ms = clock.now().after(10_000);
    log.add_faults([AppendFault::LostResponse]);
    log.set_unreadable(true);
    let first = writer.append("a".to_owned(), deadline_ms);
    assert!(first.now_or_never().is_none());
    log.set_unreadable(false);
    let resumed = writer.resume("a".to_owned(), deadline_ms).await;
    let next = writer.append("b".to_owned(), deadline_ms).await;
    assert_eq!((resumed.ok(), next.ok()), (Some(1), Some(2)));
    assert_eq!(payloads(&log), [(1, "a".to_owned()), (2, "b".to_owned())]);
}

/// Guards against appends rejected by the log at peak load because each entry is appended
/// separately.
#[tokio::test]
async fn concurrent_entries_share_a_record() {
    let log = FakeLog::new();
    let clock = Clock::new();
    let budget = Arc::new(AppendBudget::new(100.0, 100.0, TimeMs(0)));
    let (writer, task) = GroupWriter::new(appender(&log, clock), budget);
    writer.set_interval_ms(30);
    let task = tokio::spawn(task.run());
    let deadline_ms = clock.now().after(10_000);
    let entries = (0..1_000).map(|entry| writer.write(entry, deadline_ms));
    let offsets = futures::future::join_all(entries).await;
    task.abort();
    assert!(offsets.iter().all(Result::is_ok));
    assert!(log.appends(STREAM) <= 3, "{} appends", log.appends(STREAM));
}
