use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{Fold, Follower, Gap, SharedFold};
use crate::coordination::fakes::FakeLog;
use crate::coordination::log::{Log, NewRecord, Record};
use crate::time::{Clock, TimeMs};

const STREAM: &str = "configuration";

#[derive(Debug, Default)]
struct Seen {
    offsets: Vec<u64>,
    gaps: Vec<(u64, u64)>,
}

impl Fold for Seen {
    fn apply(&mut self, record: &Record) {
        self.offsets.push(record.offset);
    }

    fn skip(&mut self, gap: &Gap) {
        self.gaps.push((gap.wanted, gap.first));
    }
}

async fn append(log: &FakeLog, sequence: u64) {
    let record = NewRecord {
        writer: "w".to_owned(),
        sequence,
        payload: String::new(),
    };
    log.append(STREAM, &record)
        .await
        .expect("the log is available");
}

fn follow(log: &FakeLog) -> (Arc<SharedFold<Seen>>, tokio::task::JoinHandle<()>) {
    let followed = SharedFold::new(Seen::default());
    let reader = Follower::new(
        Arc::new(log.clone()),
        STREAM,
        Arc::clone(&followed),
        Clock::new(),
        SmallRng::seed_from_u64(1),
    );
    let task = tokio::spawn(reader.wait_ms(50).run());
    (followed, task)
}

/// Guards against stale state that is not reported as such: the log is unavailable for a while, and
/// records follow the outage. The follower must continue at its last offset.
#[tokio::test]
async fn reading_continues_at_the_last_offset_after_an_outage() {
    let log = FakeLog::new();
    append(&log, 1).await;
    let (followed, task) = follow(&log);
    followed.wait_applied(1).await;
    log.set_unavailable(true);
    tokio::time::sleep(std::time::Duration::from_millis(120)).await;
    let before = followed.progress();
    log.set_unavailable(false);
    append(&log, 2).await;
    followed.wait_applied(2).await;
    task.abort();
    assert_eq!(followed.with(|seen| seen.offsets.clone()), [1, 2]);
    assert_eq!(before.applied, 1);
    assert!(followed.progress().caught_up_as_of_ms > before.caught_up_as_of_ms);
}

/// Guards against wrong state after a long outage: the log drops records before they are read. The
/// fold must be notified of the gap before the next record.
#[tokio::test]
async fn gap_is_reported_to_the_fold_before_the_next_record() {
    let log = FakeLog::new();
    for sequence in 1..=5 {
        append(&log, sequence).await;
    }
    log.drop_before(STREAM, 4);
    let (followed, task) = follow(&log);
    followed.wait_applied(5).await;
    task.abort();
    let seen = followed.with(std::mem::take);
    assert_eq!((seen.gaps, seen.offsets), (vec![(1, 4)], vec![4, 5]));
}

#[tokio::test]
async fn follower_is_not_caught_up_before_the_first_response() {
    let log = FakeLog::new();
    log.set_unavailable(true);
    let (followed, task) = follow(&log);
    tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    task.abort();
    assert_eq!(followed.staleness_ms(TimeMs(u64::MAX)), None);
}
