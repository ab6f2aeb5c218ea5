use super::super::upkeep::SILENT_READER_MS;
use super::*;
use crate::gateway::place::tests::at;

/// Symptom: requests reach an upstream three seconds after it has said that it leaves.
/// Sequence: the node that reads for all tells its peers; the datagram waits for seconds at a slow
/// link; a peer that gets it goes on without reading the store itself.
/// Cause: news was taken to be as new as its arrival.
#[test]
fn news_that_waited_on_its_way_is_as_old_as_its_reading() {
    let (now, day_now) = (TimeMs(50_000), TimeMs(1_796_256_000_000));
    let told = |ago_ms: u64| read_at(day_now.0 - ago_ms, day_now, now);
    assert_eq!(told(0), now);
    assert_eq!(told(2_500), TimeMs(47_500));
    let is_read_again = now.since(told(2_500)) >= SILENT_READER_MS;
    assert!(is_read_again, "the peer reads the store itself");
}

#[test]
fn a_clock_that_is_ahead_or_far_behind_does_no_harm() {
    let (now, day_now) = (TimeMs(50_000), TimeMs(1_796_256_000_000));
    assert_eq!(read_at(day_now.0 + 3_000, day_now, now), now);
    assert_eq!(
        read_at(0, day_now, now),
        TimeMs(0),
        "never read, and so due"
    );
}

/// A node that has not started any of its parts.
fn node() -> Arc<Gateway> {
    let text = r#"{
        "node": "a", "ip": "127.0.0.1", "zone": "d", "region": "r", "portRange": [7000, 7015],
        "listen": {"front": "127.0.0.1:1", "readiness": "127.0.0.1:2", "directory": "127.0.0.1:3"},
        "platform": {"address": "127.0.0.1:4"}
    }"#;
    let settings = crate::platform::settings::parse(text).expect("they are whole");
    Gateway::new(settings, 1).0
}

fn leaving(id: &str) -> Announced {
    let ready = super::super::upstreams::tests::announced(id, "pool", "d");
    Announced {
        phase: super::super::upstreams::Phase::Leaving,
        sequence: ready.sequence + 1,
        ..ready
    }
}

/// Symptom: one node of 303 sends a request to an upstream 5.1 s after it has said that it leaves.
/// Sequence: a node gets its table in pages, which already say that the upstream leaves; the record
/// comes again as news behind the table's offset and changes nothing there; a peer that missed the
/// news asks this node, which tells it all but that.
/// Cause: what a node told others was what changed its own table.
#[test]
fn what_a_table_knew_before_its_offset_is_told_to_peers_all_the_same() {
    let node = node();
    let (now, from) = (TimeMs(50_000), SocketAddr::from(([127, 0, 0, 1], 9)));
    let whole = Whole {
        announced: vec![leaving("u1")],
        end: at(10),
        read_at: now,
    };
    replace(&node, whole, now);
    let news = UpstreamNews {
        from: at(10),
        to: at(20),
        changes: vec![Change::Present(leaving("u1"))],
        read_at_day_ms: None,
        store_was_away: false,
        is_handed_on: false,
    };
    take_news(&node, news, from, now);
    let told = node.recent.lock().since(at(10)).expect("it is known");
    assert_eq!(told[0].changes, vec![Change::Present(leaving("u1"))]);
}

/// The same for a node that reads the store: the record lies behind the offset of its table.
#[test]
fn what_is_read_behind_a_table_in_pages_is_told_whole_once() {
    let node = node();
    let now = TimeMs(50_000);
    replace(
        &node,
        Whole {
            announced: Vec::new(),
            end: at(10),
            read_at: now,
        },
        now,
    );
    let removed = b"\x02u1".as_slice();
    let records = |from: u64| Records {
        from: at(from),
        end: at(from + 1),
        bodies: vec![bytes::Bytes::from_static(removed)],
    };
    take_records(&node, &records(10), now);
    note_read(&node, at(11), at(11), now);
    take_records(&node, &records(11), now);
    let told = node.recent.lock().since(at(10)).expect("it is known");
    let all: usize = told.iter().map(|step| step.changes.len()).sum();
    assert_eq!(
        all, 1,
        "told once although it was not known; then only what changes"
    );
}
