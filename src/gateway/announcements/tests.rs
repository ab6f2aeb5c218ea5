use std::net::SocketAddr;

use super::super::view_refresh::SELF_READ_AGE_MS;
use super::*;
use crate::gateway::log_position::tests::at;
use crate::gateway::messages::UpstreamChanges;

/// Guards against requests to an upstream three seconds after it has announced that it leaves.
///
/// The node that reads the store for all sends the change to its peers, and the datagram waits for
/// seconds at a slow link. A peer that takes the arrival for the time of the read does not read the
/// store itself.
#[test]
fn age_of_a_delayed_message_counts_from_the_read() {
    let (now, day_now) = (TimeMs(50_000), TimeMs(1_796_256_000_000));
    let told = |ago_ms: u64| read_at(day_now.0 - ago_ms, day_now, now);
    assert_eq!(told(0), now);
    assert_eq!(told(2_500), TimeMs(47_500));
    let is_read_again = now.since(told(2_500)) >= SELF_READ_AGE_MS;
    assert!(is_read_again, "the peer reads the store itself");
}

#[test]
fn clock_skew_yields_now_or_never_read() {
    let (now, day_now) = (TimeMs(50_000), TimeMs(1_796_256_000_000));
    assert_eq!(read_at(day_now.0 + 3_000, day_now, now), now);
    assert_eq!(
        read_at(0, day_now, now),
        TimeMs(0),
        "counts as never read, so a read is due"
    );
}

/// A node with no running tasks.
fn node() -> Arc<Gateway> {
    let text = r#"{
        "node": "a", "ip": "127.0.0.1", "zone": "d", "region": "r", "portRange": [7000, 7015],
        "listen": {"front": "127.0.0.1:1", "readiness": "127.0.0.1:2", "directory": "127.0.0.1:3"},
        "platform": {"address": "127.0.0.1:4"}
    }"#;
    let settings = crate::platform::settings::parse(text).expect("the settings are valid");
    Gateway::new(settings, 1).0
}

fn leaving(id: &str) -> Announcement {
    let ready = super::super::upstreams::tests::announced(id, "pool", "d");
    Announcement {
        phase: super::super::upstreams::Phase::Leaving,
        sequence: ready.sequence + 1,
        ..ready
    }
}

/// Guards against a request to an upstream 5.1 s after it has announced that it leaves, seen at one
/// node of 303.
///
/// A node receives its table in pages that already contain the change. The record arrives again
/// behind the position of the table and changes nothing there. A peer that missed the message asks
/// this node, which must forward the change although it had no effect on its own table.
#[test]
fn change_already_in_the_table_is_still_forwarded_to_peers() {
    let node = node();
    let (now, from) = (TimeMs(50_000), SocketAddr::from(([127, 0, 0, 1], 9)));
    let snapshot = Snapshot {
        announced: vec![leaving("u1")],
        end: at(10),
        read_at: now,
    };
    install_snapshot(&node, snapshot, now);
    let news = UpstreamChanges {
        from: at(10),
        to: at(20),
        changes: vec![Change::Present(leaving("u1"))],
        read_at_day_ms: None,
        store_was_away: false,
        is_relayed: false,
    };
    apply_peer_changes(&node, news, from, now);
    let told = node
        .recent_changes
        .lock()
        .since(at(10))
        .expect("the position is known");
    assert_eq!(told[0].changes, vec![Change::Present(leaving("u1"))]);
}

/// The same for a node that reads the store: the record lies behind the position of its table.
#[test]
fn records_behind_a_paged_table_are_forwarded_once() {
    let node = node();
    let now = TimeMs(50_000);
    install_snapshot(
        &node,
        Snapshot {
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
    apply_records(&node, &records(10), now);
    record_read(&node, at(11), at(11), now);
    apply_records(&node, &records(11), now);
    let told = node
        .recent_changes
        .lock()
        .since(at(10))
        .expect("the position is known");
    let all: usize = told.iter().map(|step| step.changes.len()).sum();
    assert_eq!(
        all, 1,
        "forwarded once although without effect here; afterwards only effective changes"
    );
}
