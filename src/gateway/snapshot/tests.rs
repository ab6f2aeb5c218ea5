use super::super::upstreams::tests::announced;
use super::*;
use crate::gateway::place::tests::at;

fn table(count: usize) -> Vec<Announced> {
    let mut all: Vec<Announced> = (0..count)
        .map(|number| announced(&format!("u{number:05}"), "pool", "d"))
        .collect();
    all.sort_by(|a, b| a.id.cmp(&b.id));
    all
}

fn told(all: &[Announced], after: Option<String>, end: u64) -> Page {
    let (announced, is_last) = page(all.iter(), after.as_deref());
    Page {
        after,
        announced,
        is_last,
        end: at(end),
        read_at_day_ms: None,
    }
}

fn assembled(all: &[Announced], end: impl Fn(usize) -> u64) -> Whole {
    let mut assembly = Assembly::default();
    for number in 0.. {
        let page = told(all, assembly.after(), end(number));
        let read_at = TimeMs(9_000 - number as u64);
        match assembly.take(page, read_at) {
            Taken::Whole(whole) => return whole,
            taken => assert_eq!(taken, Taken::Next),
        }
    }
    unreachable!("pages end")
}

#[test]
fn a_table_of_any_size_comes_over_whole() {
    for count in [0, 1, PAGE_UPSTREAMS, PAGE_UPSTREAMS + 1, 3_000] {
        let all = table(count);
        assert_eq!(assembled(&all, |_number| 7).announced, all);
    }
}

/// Symptom: an upstream that has left goes on getting work.
/// Sequence: a node gets the first page of a table from one peer and the second from another, which
/// has read less; the upstream left in between.
/// Cause: the table was taken to be as new as its newest page.
#[test]
fn a_table_is_as_old_as_its_oldest_page() {
    let all = table(300);
    let whole = assembled(&all, |number| 50 - number as u64);
    assert_eq!((whole.end, whole.read_at), (at(48), TimeMs(8_998)));
}

#[test]
fn a_page_that_is_told_twice_changes_nothing() {
    let all = table(300);
    let mut assembly = Assembly::default();
    let first = told(&all, None, 7);
    assert_eq!(assembly.take(first.clone(), TimeMs(1)), Taken::Next);
    assert_eq!(assembly.take(first, TimeMs(1)), Taken::NotNext);
    assert_eq!(assembly.after(), Some("u00127".to_owned()));
}

/// Symptom: pages are dropped on their way.
/// Cause: a page is longer than what a datagram or a small link's queue takes.
#[test]
fn a_page_fits_into_a_datagram() {
    let all = table(300);
    let page = told(&all, None, u64::MAX);
    let encoded = bincode::encode_to_vec(&page, bincode::config::standard());
    let bytes = encoded.expect("a page can be encoded").len();
    assert!(bytes < 20_000, "{bytes} bytes");
}
