//! Parts of prompts that crash each upstream that begins to answer a request with them.

mod dark;
mod kills;
mod losses;
mod play;
mod templates;

use teaselline_stand_ins::operators::upstream::{BadPart, ChannelEnd, Crash, CrashPoint, Framing};

use self::play::{Case, Kind, kind, play};

fn bad_parts(ids: &[&str]) -> Vec<BadPart> {
    ids.iter().map(|id| BadPart::new(id)).collect()
}

fn crash(point: CrashPoint, channels: ChannelEnd) -> Crash {
    Crash {
        point,
        channels,
        ..Crash::default()
    }
}

/// Requests whose first of two parts is bad, and sound ones of the same key.
fn first_of_two(route: &'static str) -> Case {
    Case {
        bad_parts: bad_parts(&["b0"]),
        crash: Crash::default(),
        framing: Framing::Usual,
        bad: vec![kind("bad", route, &[&["b0"]])],
        sound: vec![
            kind("one-part", route, &[&["a0"]]),
            kind("two-parts", route, &[&["a0", "a1"], &["a1", "a2"]]),
        ],
    }
}

/// Requests whose second of three parts is bad, and sound ones that share their other parts.
fn second_of_three(route: &'static str) -> Case {
    Case {
        bad_parts: bad_parts(&["b0"]),
        crash: Crash::default(),
        framing: Framing::Usual,
        bad: vec![kind("bad", route, &[&["a0", "b0"], &["a1", "b0"]])],
        sound: vec![
            kind("same-first", route, &[&["a0"], &["a1"]]),
            kind("other-second", route, &[&["a0", "a2"], &["a1", "a2"]]),
            Kind {
                last: Some("b0"),
                ..kind("is-last", route, &[&["a0"]])
            },
        ],
    }
}

/// Guards against a bad first part that crashes one upstream after another under whole answers that are reset.
#[tokio::test(flavor = "multi_thread")]
async fn bad_first_part_of_whole_answers_is_kept_from_upstreams() {
    play(&first_of_two("once")).await.check();
}

/// Guards against the same with a part behind a shared one, under requests that are retried.
#[tokio::test(flavor = "multi_thread")]
async fn bad_second_part_of_retried_requests_is_kept_from_upstreams() {
    let case = Case {
        framing: Framing::Chunked,
        crash: crash(CrashPoint::BeforeHead, ChannelEnd::Orderly),
        ..second_of_three("again")
    };
    play(&case).await.check();
}

/// Guards against crashes that go unnoticed because a whole answer has neither a length nor chunks.
#[tokio::test(flavor = "multi_thread")]
async fn bad_second_part_of_answers_without_length_is_kept_from_upstreams() {
    let case = Case {
        framing: Framing::ChannelEnd,
        ..second_of_three("once")
    };
    play(&case).await.check();
}

/// Guards against a bad part of streams that are reset within their first event.
#[tokio::test(flavor = "multi_thread")]
async fn bad_first_part_of_streams_is_kept_from_upstreams() {
    let case = Case {
        crash: Crash {
            keeps_id: true,
            ..Crash::default()
        },
        ..first_of_two("stream")
    };
    play(&case).await.check();
}

/// Guards against crashes that look like the orderly end of a stream's channel within its first event.
#[tokio::test(flavor = "multi_thread")]
async fn bad_second_part_of_streams_that_end_within_an_event_is_kept_from_upstreams() {
    let case = Case {
        framing: Framing::ChannelEnd,
        crash: crash(CrashPoint::InsideBody, ChannelEnd::Orderly),
        ..second_of_three("stream")
    };
    play(&case).await.check();
}

/// Guards against crashes that look like a stream without events, under streams that are resumed.
#[tokio::test(flavor = "multi_thread")]
async fn bad_second_part_of_resumable_streams_that_end_empty_is_kept_from_upstreams() {
    let case = Case {
        framing: Framing::ChannelEnd,
        crash: crash(CrashPoint::BeforeBody, ChannelEnd::Orderly),
        ..second_of_three("stream-on")
    };
    play(&case).await.check();
}

/// Guards against two bad parts at once of which only one is found.
#[tokio::test(flavor = "multi_thread")]
async fn two_bad_parts_at_once_are_kept_from_upstreams() {
    let case = Case {
        bad_parts: bad_parts(&["b0", "b1"]),
        bad: vec![
            kind("bad-first", "stream", &[&["b1"], &["b1", "a0"]]),
            kind("bad-second", "stream", &[&["a0", "b0"], &["a1", "b0"]]),
        ],
        ..second_of_three("stream")
    };
    play(&case).await.check();
}

/// Guards against a part that is bad on one model and is kept from the upstreams of all.
#[tokio::test(flavor = "multi_thread")]
async fn part_that_is_bad_on_one_model_goes_on_at_another() {
    let of_model = BadPart {
        model: Some(String::from("m")),
        ..BadPart::new("b0")
    };
    let mut case = Case {
        bad_parts: vec![of_model],
        ..second_of_three("once")
    };
    case.sound.push(Kind {
        model: "other",
        ..kind("other-model", "once", &[&["a0", "b0"], &["a1", "b0"]])
    });
    play(&case).await.check();
}

/// Guards against a part that is bad on one route and is kept from the upstreams of all.
#[tokio::test(flavor = "multi_thread")]
async fn part_that_is_bad_on_one_route_goes_on_at_another() {
    let of_path = BadPart {
        path: Some(String::from("/once/")),
        ..BadPart::new("b0")
    };
    let mut case = Case {
        bad_parts: vec![of_path],
        ..second_of_three("once")
    };
    case.sound.push(kind(
        "other-route",
        "again",
        &[&["a0", "b0"], &["a1", "b0"]],
    ));
    play(&case).await.check();
}
