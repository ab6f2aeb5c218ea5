use super::{NEWS_TTL_MS, PlacementBook};
use crate::keys::HostKey;
use crate::node::messages::PlacementNews;
use crate::time::TimeMs;

const HOST: HostKey = HostKey(7);
const START: TimeMs = TimeMs(1_000);

fn news(fencing: u64, drained: bool) -> PlacementNews {
    PlacementNews {
        domain: "hala-a".to_owned(),
        fencing,
        drains: if drained {
            vec![(HOST, START)]
        } else {
            Vec::new()
        },
        refusals: Vec::new(),
    }
}

// Symptom: a drained host gets work while it is given back.
// Sequence: a holder that was paused tells what it knew, after its successor has drained the host.
// Cause: news taken by arrival, not by the fencing number.
#[test]
fn an_older_holders_news_does_not_count() {
    let mut book = PlacementBook::default();
    assert_eq!(book.take(&news(9, true), START), Some(Vec::new()));
    assert_eq!(book.take(&news(4, false), START), None);
    assert_eq!(book.draining_since(HOST, START), Some(START));
    assert_eq!(book.take(&news(9, false), START), Some(vec![HOST]));
    assert_eq!(book.draining_since(HOST, START), None);
}

// Symptom: a host is paid for and gets no work.
// Sequence: its holder drains it and dies.
// Cause: a drain that holds until somebody takes it back.
#[test]
fn a_drain_lapses_if_it_is_not_repeated() {
    let mut book = PlacementBook::default();
    assert!(book.take(&news(9, true), START).is_some());
    let last = START.after(NEWS_TTL_MS - 1);
    assert_eq!(book.draining_since(HOST, last), Some(START));
    assert_eq!(book.draining_since(HOST, last.after(1)), None);
}
