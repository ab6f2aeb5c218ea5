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
fn stale_host_list_does_not_make_a_leaving_host_live() {
    // Guards against new streams on a host that is reclaimed seconds later: the notice has arrived,
    // but the host list, which lags by seconds, still shows the host as live.
    let mut tracker = HostTracker::default();
    let notice = KnownNotice {
        host: HostKey::from_name("h-1"),
        leave_at_ms: TimeMs(5_000),
        received_at_ms: TimeMs(0),
    };
    assert!(tracker.record_notice(notice));
    assert!(!tracker.record_notice(notice));
    let state = tracker.state(notice.host, &listed(ListedState::Live), TimeMs(1_000));
    assert_eq!(
        state,
        HostState::Leaving {
            leave_at_ms: TimeMs(5_000)
        }
    );
    assert_eq!(merge_states(state, HostState::Live), state);
}

#[test]
fn notice_with_earlier_time_replaces_a_later_one() {
    let mut tracker = HostTracker::default();
    let host = HostKey::from_name("h-1");
    assert!(tracker.record_notice(KnownNotice {
        host,
        leave_at_ms: TimeMs(9_000),
        received_at_ms: TimeMs(0),
    }));
    assert!(tracker.record_notice(KnownNotice {
        host,
        leave_at_ms: TimeMs(2_000),
        received_at_ms: TimeMs(0),
    }));
    let state = tracker.state(host, &listed(ListedState::Leaving), TimeMs(0));
    assert_eq!(
        state,
        HostState::Leaving {
            leave_at_ms: TimeMs(2_000)
        }
    );
}
