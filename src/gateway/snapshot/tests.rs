use super::super::upstreams::tests::announced;
use super::*;
use crate::gateway::log_position::tests::at;

fn table(count: usize) -> Vec<Announcement> {
    let mut all: Vec<Announcement> = (0..count)
        .map(|number| announced(&format!("u{number:05}"), "pool", "d"))
        .collect();
    all.sort_by(|a, b| a.id.cmp(&b.id));
    all
}

fn page_of(all: &[Announcement], after: Option<String>, end: u64) -> Page {
    let (announced, is_last) = page(all.iter(), after.as_deref());
    Page {
        after,
        announced,
        is_last,
        end: at(end),
        read_at_day_ms: None,
    }
}

fn assembled(all: &[Announcement], end: impl Fn(usize) -> u64) -> Snapshot {
    let mut assembler = SnapshotAssembler::default();
    for number in 0.. {
        let page = page_of(all, assembler.after(), end(number));
        let read_at = TimeMs(9_000 - number as u64);
        match assembler.add(page, read_at) {
            AddedPage::Complete(snapshot) => return snapshot,
            added => assert_eq!(added, AddedPage::Next),
        }
    }
    unreachable!("pages end")
}

#[test]
fn table_of_any_size_is_transferred_completely() {
    for count in [0, 1, MAX_PAGE_UPSTREAMS, MAX_PAGE_UPSTREAMS + 1, 3_000] {
        let all = table(count);
        assert_eq!(assembled(&all, |_number| 7).announced, all);
    }
}

/// Guards against requests to an upstream that has left.
///
/// A node gets the first page of a table from one peer and the second from another that has read
/// less, and the upstream left in between. The snapshot must not count as recent as its newest
/// page.
#[test]
fn snapshot_is_as_old_as_its_oldest_page() {
    let all = table(300);
    let snapshot = assembled(&all, |number| 50 - number as u64);
    assert_eq!((snapshot.end, snapshot.read_at), (at(48), TimeMs(8_998)));
}

#[test]
fn duplicate_page_is_ignored() {
    let all = table(300);
    let mut assembler = SnapshotAssembler::default();
    let first = page_of(&all, None, 7);
    assert_eq!(assembler.add(first.clone(), TimeMs(1)), AddedPage::Next);
    assert_eq!(assembler.add(first, TimeMs(1)), AddedPage::NotNext);
    assert_eq!(assembler.after(), Some("u00127".to_owned()));
}

/// Guards against dropped pages: a page must fit into a datagram and into the queue of a small
/// link.
#[test]
fn page_fits_into_a_datagram() {
    let all = table(300);
    let page = page_of(&all, None, u64::MAX);
    let encoded = bincode::encode_to_vec(&page, bincode::config::standard());
    let bytes = encoded.expect("a page can be encoded").len();
    assert!(bytes < 20_000, "{bytes} bytes");
}
