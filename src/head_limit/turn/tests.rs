//! Tests of the turns of a connection.

use super::{MAX_BYTES, MAX_READS, Turn};

/// Guards against small pieces without end that keep the thread.
#[test]
fn turn_ends_after_its_reads() {
    let mut turn = Turn::default();
    for _read in 1..MAX_READS {
        turn.record_read(1);
        assert!(!turn.end_if_over());
    }
    turn.record_read(1);
    assert!(turn.end_if_over());
    assert!(!turn.end_if_over(), "a new turn has begun");
}

/// Guards against large pieces without end that keep the thread.
#[test]
fn turn_ends_after_its_bytes() {
    let mut turn = Turn::default();
    turn.record_read(MAX_BYTES - 1);
    assert!(!turn.end_if_over());
    turn.record_read(1);
    assert!(turn.end_if_over());
}

/// Guards against pauses of a server's own that count toward a turn.
#[test]
fn turn_begins_anew_when_the_connection_waits() {
    let mut turn = Turn::default();
    turn.record_read(MAX_BYTES - 1);
    turn.end();
    turn.record_read(1);
    assert!(!turn.end_if_over());
}
