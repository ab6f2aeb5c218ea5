use std::convert::Infallible;

use futures::stream;
use http_body::Frame;
use http_body_util::{Full, StreamBody};

use super::*;
use crate::resources::{CallerAccount, HostLimits};

const MAX_BYTES: usize = 200_000;

const DEADLINE: TimeMs = TimeMs(1_000);

fn account() -> Arc<CallerAccount> {
    let host = HostLimits {
        memory_bytes: 64 * 1024 * 1024,
        max_descriptors: 4_100,
    };
    CallerAccount::new(host.callers())
}

fn bytes(length: usize) -> Vec<u8> {
    (0..=u8::MAX).cycle().take(length).collect()
}

/// A body of unknown length in parts of this size.
fn in_parts(
    whole: &[u8],
    part_bytes: usize,
) -> impl Body<Data = Bytes, Error = Infallible> + Unpin {
    let parts: Vec<_> = whole
        .chunks(part_bytes)
        .map(Bytes::copy_from_slice)
        .collect();
    StreamBody::new(stream::iter(
        parts.into_iter().map(|part| Ok(Frame::data(part))),
    ))
}

/// Guards against bodies that are changed as their parts are gathered, and against a charge that stays.
#[tokio::test]
async fn body_of_any_length_arrives_whole_and_gives_back_its_charge() {
    let account = account();
    for length in [0, 1, 4_096, 4_097, 16_384, 16_385, 99_000, MAX_BYTES] {
        let sent = bytes(length);
        let place = Arc::new(account.begin(TimeMs(0)));
        let announced = read_body(
            Full::new(Bytes::from(sent.clone())),
            &place,
            MAX_BYTES,
            DEADLINE,
        )
        .await;
        assert_eq!(announced.as_deref(), Ok(sent.as_slice()), "{length}");
        let (_connections, held_bytes) = account.held();
        assert!(
            (length..=length + 16).contains(&held_bytes),
            "{length}: {held_bytes}"
        );
        drop(announced);
        for part_bytes in [1, 1_000, 70_000] {
            let chunked = read_body(in_parts(&sent, part_bytes), &place, MAX_BYTES, DEADLINE).await;
            assert_eq!(chunked.as_deref(), Ok(sent.as_slice()), "{length}");
        }
        assert_eq!(account.held().1, 0, "{length}");
    }
}

#[tokio::test]
async fn body_over_the_limit_is_refused() {
    let account = account();
    let place = Arc::new(account.begin(TimeMs(0)));
    let sent = bytes(MAX_BYTES + 1);
    let announced = read_body(
        Full::new(Bytes::from(sent.clone())),
        &place,
        MAX_BYTES,
        DEADLINE,
    )
    .await;
    assert_eq!(announced, Err(ArrivalError::TooLong));
    let chunked = read_body(in_parts(&sent, 1_000), &place, MAX_BYTES, DEADLINE).await;
    assert_eq!(chunked, Err(ArrivalError::TooLong));
    assert_eq!(account.held().1, 0);
}

/// Guards against a body that is awaited although others have been given its memory.
#[tokio::test]
async fn body_that_does_not_go_on_ends_when_it_has_to_go() {
    let account = account();
    let place = Arc::new(account.begin(TimeMs(0)));
    let begun = stream::iter([Ok::<_, Infallible>(Frame::data(Bytes::from(bytes(50_000))))]);
    let body = StreamBody::new(Box::pin(futures::StreamExt::chain(
        begun,
        stream::pending(),
    )));
    let reading = read_body(body, &place, MAX_BYTES, DEADLINE);
    tokio::pin!(reading);
    assert!(futures::poll!(reading.as_mut()).is_pending());
    let later = account.begin(TimeMs(1));
    assert_eq!(later.add(7_330_000), Ok(()));
    assert_eq!(reading.await, Err(Evicted.into()));
}
