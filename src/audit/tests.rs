//! Tests of recording and reading the audit trail.

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio_util::sync::CancellationToken;

use super::{Act, Actor, Entry, Outcome, Recorder, RecorderTask, TEXT_LIMIT_BYTES, read_trail};
use crate::coordination::budget::AppendBudget;
use crate::coordination::fakes::{AppendFault, FakeLog};
use crate::coordination::leases::FencingToken;
use crate::coordination::writer::Appender;
use crate::keys::Incarnation;
use crate::time::{Clock, TimeMs};

const ME: Incarnation = Incarnation(0xc0de);

fn recorder(log: &FakeLog) -> (Recorder, RecorderTask<FakeLog>) {
    let rng = SmallRng::seed_from_u64(1);
    let writer = format!("{ME}/audit");
    let log = Arc::new(log.clone());
    let appender = Appender::new(log, super::STREAM, writer, Clock::new(), rng);
    let budget = Arc::new(AppendBudget::new(1_000.0, 1_000.0, TimeMs(0)));
    let (recorder, task) = Recorder::new(ME, appender, budget);
    (recorder, task.interval_ms(5))
}

fn purchase(number: u64) -> Entry {
    let actor = Actor::Controller("placement/hala-a".to_owned());
    let target = format!("host-{number}");
    let entry = Entry::new(
        TimeMs(number),
        ME,
        actor,
        Act::BuyHost,
        &target,
        Outcome::Done,
    );
    entry.revision(3).fencing(FencingToken(9))
}

async fn append_all(task: RecorderTask<FakeLog>) {
    let stop = CancellationToken::new();
    stop.cancel();
    task.run(stop).await;
}

#[tokio::test]
async fn recorded_entries_are_read_back_unchanged() {
    let log = FakeLog::new();
    let (recorder, task) = recorder(&log);
    let entries: Vec<Entry> = (0..300).map(purchase).collect();
    for entry in &entries {
        recorder.record(entry.clone());
    }
    append_all(task).await;
    let trail = read_trail(&log, 1_000).await.expect("the log is available");
    assert!(trail.entries().eq(&entries));
    assert!(!trail.is_partial());
    assert_eq!(log.records(super::STREAM).len(), 3);
}

/// Guards against a gap in the trail that it does not show: during a long outage of the log, the
/// bounded buffer drops entries, and their count must be recorded.
#[tokio::test]
async fn dropped_entries_are_counted_in_the_trail() {
    let log = FakeLog::new();
    let (recorder, task) = recorder(&log);
    for number in 0..2_050 {
        recorder.record(purchase(number));
    }
    append_all(task).await;
    let trail = read_trail(&log, 10_000)
        .await
        .expect("the log is available");
    let first = trail.entries().next().expect("the trail has entries");
    assert_eq!((first.act, first.target.as_str()), (Act::DropEntries, "2"));
    assert_eq!(trail.entries().count(), 2_049);
}

/// Guards against duplicate entries: the response to an append is lost, or a delayed append reaches
/// the log after it was repeated. The log does not deduplicate records.
#[tokio::test]
async fn repeated_and_delayed_appends_are_deduplicated() {
    let log = FakeLog::new();
    let (recorder, task) = recorder(&log);
    log.add_faults([AppendFault::LostResponse, AppendFault::Delayed]);
    for number in 0..200 {
        recorder.record(purchase(number));
    }
    append_all(task).await;
    log.append_delayed(super::STREAM);
    assert_eq!(log.records(super::STREAM).len(), 3);
    let trail = read_trail(&log, 1_000).await.expect("the log is available");
    assert_eq!(trail.entries().count(), 200);
}

#[tokio::test]
async fn trail_with_expired_records_is_partial() {
    let log = FakeLog::new();
    let (recorder, task) = recorder(&log);
    (0..300).for_each(|number| recorder.record(purchase(number)));
    append_all(task).await;
    log.drop_before(super::STREAM, 2);
    let trail = read_trail(&log, 1_000).await.expect("the log is available");
    assert!(trail.is_partial());
    assert_eq!(trail.entries().count(), 172);
}

#[test]
fn long_text_is_truncated_at_character_boundary() {
    let long = "č".repeat(TEXT_LIMIT_BYTES);
    let entry = purchase(1).detail(&format!("x{long}"));
    assert!(entry.detail.len() <= TEXT_LIMIT_BYTES);
    assert!(entry.detail.ends_with('č'));
}
