use std::sync::Arc;

use futures::FutureExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{Appender, GroupWriter};
use crate::coordination::budget::AppendBudget;
use crate::coordination::fakes::{AppendFault, FakeLog};
use crate::coordination::flight::{Event, Failure, Flight, Step};
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

/// Symptom: one change stands twice in the audit trail. The log took the record, and its answer
/// was lost. Cause: an append is repeated without looking.
#[tokio::test]
async fn an_append_whose_answer_alone_was_lost_is_not_repeated() {
    let log = FakeLog::new();
    let clock = Clock::new();
    let mut writer = appender(&log, clock);
    log.add_faults([AppendFault::LostAnswer]);
    let deadline_ms = clock.now().after(10_000);
    let first = writer.append("a".to_owned(), deadline_ms).await;
    let second = writer.append("b".to_owned(), deadline_ms).await;
    assert_eq!((first.ok(), second.ok()), (Some(1), Some(2)));
    assert_eq!(payloads(&log), [(1, "a".to_owned()), (2, "b".to_owned())]);
}

/// Symptom: an entry is missing. The call was lost on its way. Cause: a lost answer is taken for
/// an effect.
#[tokio::test]
async fn an_append_that_was_lost_is_repeated() {
    let log = FakeLog::new();
    let clock = Clock::new();
    log.add_faults([AppendFault::LostCall, AppendFault::Refused]);
    let deadline_ms = clock.now().after(10_000);
    let appended = appender(&log, clock)
        .append("a".to_owned(), deadline_ms)
        .await;
    assert_eq!(appended.ok(), Some(1));
    assert_eq!(payloads(&log), [(1, "a".to_owned())]);
}

/// Symptom: a late copy of a record counts twice. The append was found missing and repeated, and
/// then both landed. Cause: nothing tells the copies apart, if not their sequence number.
#[tokio::test]
async fn a_repeated_append_keeps_its_sequence_number() {
    let log = FakeLog::new();
    let clock = Clock::new();
    let mut writer = appender(&log, clock);
    log.add_faults([AppendFault::Delayed]);
    let deadline_ms = clock.now().after(10_000);
    let first = writer.append("a".to_owned(), deadline_ms).await;
    log.land_delayed(STREAM);
    let next = writer.append("b".to_owned(), deadline_ms).await;
    assert_eq!((first.ok(), next.ok()), (Some(1), Some(3)));
    let sequences: Vec<u64> = payloads(&log).into_iter().map(|(held, _)| held).collect();
    assert_eq!(sequences, [1, 1, 2]);
}

/// Symptom: a call is refused as not run and runs later. Its entry was reported as not taken and
/// still written. Cause: the deadline passed between the queue and the log.
#[tokio::test]
async fn what_is_reported_as_not_taken_is_never_written() {
    let log = FakeLog::new();
    let clock = Clock::new();
    log.set_out(true);
    let budget = Arc::new(AppendBudget::new(100.0, 100.0, TimeMs(0)));
    let (writer, task) = GroupWriter::new(appender(&log, clock), budget);
    let task = tokio::spawn(task.run());
    let refused = writer.write("a", clock.now().after(80)).await;
    log.set_out(false);
    let written = writer.write("b", clock.now().after(10_000)).await;
    task.abort();
    let error = refused.expect_err("the log is out");
    assert!(error.is_not_taken());
    assert_eq!(written.ok(), Some(1));
    assert_eq!(payloads(&log), [(1, "[\"b\"]".to_owned())]);
}

/// Symptom: a refusal claims too little or too much. An append was lost while the log could not be
/// read. Cause: only a read can tell; until then the record must count as possibly made.
#[test]
fn an_append_counts_as_possibly_made_until_the_stream_was_read() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut step =
        |flight: &mut Flight, event, now_ms| flight.next_step(event, TimeMs(now_ms), &mut rng);
    let refused = Event::NotTaken {
        retry_after_ms: None,
    };
    let mut never_sent = Flight::new(7, TimeMs(1_000));
    assert_eq!(step(&mut never_sent, Event::Started, 0), Step::Call);
    let given_up = step(&mut never_sent, refused, 1_000);
    assert_eq!(given_up, Step::GiveUp(Failure::NotTaken));

    let mut lost = Flight::new(7, TimeMs(1_000));
    assert_eq!(step(&mut lost, Event::Started, 0), Step::Call);
    let look = Step::ReadBack { from: 7 };
    assert_eq!(step(&mut lost, Event::AnswerLost, 10), look);
    let pause = step(&mut lost, Event::ReadFailed, 20);
    assert!(matches!(pause, Step::Wait { .. }));
    assert_eq!(step(&mut lost, Event::Waited, 30), look);
    // The second append is refused, yet the first may still land.
    assert!(matches!(
        step(&mut lost, Event::NotThere, 40),
        Step::Wait { .. }
    ));
    assert_eq!(step(&mut lost, Event::Waited, 50), Step::Call);
    let given_up = step(&mut lost, refused, 1_000);
    assert_eq!(given_up, Step::GiveUp(Failure::Unresolved));
}

/// Symptom: an entry stands twice in the stream. Its writer was stopped midway and began anew.
/// Cause: the record was already there under the number that the first try used up.
#[tokio::test]
async fn what_was_dropped_midway_is_resumed_under_its_number() {
    let log = FakeLog::new();
    let clock = Clock::new();
    let mut writer = appender(&log, clock);
    let deadline_ms = clock.now().after(10_000);
    log.add_faults([AppendFault::LostAnswer]);
    log.set_unreadable(true);
    let first = writer.append("a".to_owned(), deadline_ms);
    assert!(first.now_or_never().is_none());
    log.set_unreadable(false);
    let resumed = writer.resume("a".to_owned(), deadline_ms).await;
    let next = writer.append("b".to_owned(), deadline_ms).await;
    assert_eq!((resumed.ok(), next.ok()), (Some(1), Some(2)));
    assert_eq!(payloads(&log), [(1, "a".to_owned()), (2, "b".to_owned())]);
}

/// Symptom: the log refuses appends at the peak. Cause: one append for each of many entries.
#[tokio::test]
async fn many_entries_share_a_record() {
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
