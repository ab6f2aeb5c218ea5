//! Tests of what the starts at a silent upstream's address show.

use super::*;
use crate::gateway::crashes::Blame;

const CONTENT: u64 = 77;

/// Time from a request's send to its giving up.
const GIVES_UP_MS: u64 = 1_000;

/// A request with the content that was sent to this start at `sent_ms`.
fn given_up(upstream: u64, domain: u64, sent_ms: u64) -> SilentRequest {
    let port = u16::try_from(upstream).expect("a small number");
    SilentRequest {
        subjects: Subjects::new(CONTENT, 1, [5, 6]),
        upstream,
        domain,
        address: ([10, 0, 0, 1], port).into(),
        sent_at: TimeMs(sent_ms),
        given_up_at: TimeMs(sent_ms + GIVES_UP_MS),
        contact: Contact::default(),
    }
}

fn start(tag: u64) -> StartAtAddress {
    StartAtAddress {
        tag,
        is_leaving: false,
    }
}

/// Records a silent request whose upstream's address starts again at `restart_ms`.
fn lose(crashes: &mut Crashes, request: SilentRequest, restart_ms: u64) {
    let starts = [(request.address, vec![start(request.upstream + 100)])];
    let now = TimeMs(restart_ms);
    crashes.record_given_up(request);
    for crash in crashes.silent.take_crashed(&starts, now) {
        crashes.record_dark(crash, now);
    }
}

fn is_refused(crashes: &mut Crashes, now_ms: u64) -> bool {
    let subjects = Subjects::new(CONTENT, 1, []);
    crashes.refusal(&subjects, TimeMs(now_ms)) == Some(Blame::Content)
}

#[test]
fn next_start_at_the_address_shows_the_crash_of_a_silent_one() {
    let request = given_up(1, 1, 0);
    let late = TimeMs(GIVES_UP_MS + MAX_WAIT_MS);
    assert_eq!(
        request.upstream_state(&[], TimeMs(2_000)),
        UpstreamState::Silent
    );
    assert_eq!(
        request.upstream_state(&[start(1)], TimeMs(2_000)),
        UpstreamState::Silent
    );
    assert_eq!(
        request.upstream_state(&[start(1), start(9)], TimeMs(4_000)),
        UpstreamState::Crashed
    );
    assert_eq!(
        request.upstream_state(&[start(9)], TimeMs(4_000)),
        UpstreamState::Crashed
    );
    assert_eq!(
        request.upstream_state(&[start(1)], late),
        UpstreamState::Unknown
    );
}

/// Guards against a crash that is read from the restart of an upstream that was only slow, or left in order.
#[test]
fn upstream_that_was_heard_again_or_left_has_not_crashed() {
    let request = given_up(1, 1, 0);
    let left = StartAtAddress {
        is_leaving: true,
        ..start(1)
    };
    assert_eq!(
        request.upstream_state(&[left, start(9)], TimeMs(4_000)),
        UpstreamState::Unknown
    );
    request.contact.record_heard(TimeMs(1_500));
    assert_eq!(
        request.upstream_state(&[start(9)], TimeMs(4_000)),
        UpstreamState::Unknown
    );
}

/// Guards against a request that takes down one upstream after the other because their crashes end no connection.
#[test]
fn content_under_which_three_upstreams_went_dark_is_refused() {
    let mut crashes = Crashes::default();
    for round in 0..3 {
        assert!(!is_refused(&mut crashes, round * 4_000));
        lose(
            &mut crashes,
            given_up(round + 1, 1, round * 4_000),
            round * 4_000 + 3_200,
        );
    }
    assert!(is_refused(&mut crashes, 12_000));
}

/// Guards against a sound request that is refused for good because its retries met lost failure domains.
#[test]
fn upstreams_that_were_dark_at_once_count_once() {
    for domains in [1, 4] {
        let mut crashes = Crashes::default();
        for round in 0..4 {
            let request = given_up(round + 1, round % domains, round * GIVES_UP_MS);
            lose(&mut crashes, request, 4_500 + round);
        }
        assert!(!is_refused(&mut crashes, 5_500), "{domains} domains");
    }
}

/// Guards against a sound request that is refused for good although it was answered after its upstreams fell silent.
#[test]
fn answer_clears_the_upstreams_that_were_silent_before() {
    let mut crashes = Crashes::default();
    for round in 0..3 {
        let request = given_up(round + 1, round, round * 4_000);
        crashes.record_given_up(request);
    }
    crashes.record_answer(&Subjects::new(CONTENT, 1, []), TimeMs(12_000));
    assert!(crashes.silent.addresses().is_empty());
}

/// Guards against parts that sound requests share, blamed for upstreams that other requests took down.
#[test]
fn dark_upstreams_block_no_part() {
    let mut crashes = Crashes::default();
    for round in 0..6 {
        let request = SilentRequest {
            subjects: Subjects::new(CONTENT + round, 1, [5, 6]),
            ..given_up(round + 1, round, round * 4_000)
        };
        lose(&mut crashes, request, round * 4_000 + 3_200);
        crashes.judge_if_due(TimeMs(round * 4_000 + 3_900));
    }
    let other = Subjects::new(CONTENT + 20, 1, [5, 6]);
    assert_eq!(crashes.refusal(&other, TimeMs(40_000)), None);
}
