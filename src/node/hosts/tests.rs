use super::*;

fn listed(state: ListedState) -> ListedHost {
    ListedHost {
        host: "h-1".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        failure_domain: "d".to_owned(),
        host_class: "c".to_owned(),
        pool: "p".to_owned(),
        state,
        leave_at_ms: None,
    }
}

#[test]
fn a_late_host_list_does_not_bring_a_leaving_host_back() {
    // Symptom: new streams on a host that is reclaimed seconds later.
    // Sequence: the notice arrives; the host list, seconds behind, still shows the host as live.
    // Cause: the list taken for newer than the notice.
    let mut book = HostBook::default();
    let notice = KnownNotice {
        host: HostKey::from_name("h-1"),
        leave_at_ms: TimeMs(5_000),
        noted_at_ms: TimeMs(0),
    };
    assert!(book.note(notice));
    assert!(!book.note(notice));
    let state = book.state(notice.host, &listed(ListedState::Live), TimeMs(1_000));
    assert_eq!(
        state,
        HostState::Leaving {
            leave_at_ms: TimeMs(5_000)
        }
    );
    assert_eq!(earlier(state, HostState::Live), state);
}

#[test]
fn an_earlier_notice_replaces_a_later_one() {
    let mut book = HostBook::default();
    let host = HostKey::from_name("h-1");
    assert!(book.note(KnownNotice {
        host,
        leave_at_ms: TimeMs(9_000),
        noted_at_ms: TimeMs(0),
    }));
    assert!(book.note(KnownNotice {
        host,
        leave_at_ms: TimeMs(2_000),
        noted_at_ms: TimeMs(0),
    }));
    let state = book.state(host, &listed(ListedState::Leaving), TimeMs(0));
    assert_eq!(
        state,
        HostState::Leaving {
            leave_at_ms: TimeMs(2_000)
        }
    );
}
