use super::*;

const SINCE: TimeMs = TimeMs(2_000);
const DEADLINE: TimeMs = TimeMs(12_000);

fn unanswered(is_repeatable: bool) -> Unanswered {
    Unanswered {
        home: HomePath::Silent,
        is_repeatable,
        position: 20,
        since_ms: SINCE,
        deadline_ms: Some(DEADLINE),
    }
}

// Guards against `unknown` for a call that must run once while its home may still answer in time.
#[test]
fn silent_home_of_a_non_repeatable_call_is_asked_until_the_deadline() {
    let mut call = unanswered(false);
    for position in [0, 20] {
        call.position = position;
        assert!(call.asks_again(SINCE));
        assert!(call.asks_again(TimeMs(DEADLINE.0 - 1)));
        assert!(!call.asks_again(DEADLINE));
    }
}

// Guards against a stream that is cut in its middle, and against one that leaves its caller no time.
#[test]
fn silent_home_of_a_repeatable_stream_is_asked_for_half_of_its_time() {
    let stream = unanswered(true);
    assert!(stream.asks_again(TimeMs(6_999)));
    assert!(!stream.asks_again(TimeMs(7_000)));
}

// Guards against a call that could run at the asked node and waits for a home instead.
#[test]
fn repeatable_call_without_tokens_does_not_wait_for_its_home() {
    let mut call = unanswered(true);
    call.position = 0;
    assert!(!call.asks_again(SINCE));
}

// Guards against callers who wait for a process that has ended.
#[test]
fn lost_home_is_not_asked_again() {
    for home in [HomePath::Lost, HomePath::Reached] {
        for is_repeatable in [false, true] {
            let call = Unanswered {
                home,
                ..unanswered(is_repeatable)
            };
            assert!(!call.asks_again(SINCE), "{call:?}");
        }
    }
}

#[test]
fn request_without_a_known_deadline_is_not_waited_for() {
    let mut request = unanswered(false);
    request.deadline_ms = None;
    assert!(!request.asks_again(SINCE));
}
