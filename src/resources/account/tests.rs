use super::*;

const SHARES: CallerShares = CallerShares {
    max_connections: 2,
    max_bytes: 1024 * 1024,
};

const LARGE_BYTES: usize = 400 * 1024;

/// Guards against memory that two requests are granted while one still holds it.
#[tokio::test]
async fn request_waits_until_the_one_that_goes_for_it_has_given_back_its_bytes() {
    let account = CallerAccount::new(SHARES);
    let first = account.begin(TimeMs(0));
    let second = account.begin(TimeMs(1));
    let third = account.begin(TimeMs(2));
    assert_eq!(first.reserve(LARGE_BYTES).await, Ok(()));
    assert_eq!(second.reserve(LARGE_BYTES).await, Ok(()));
    let reserving = third.reserve(LARGE_BYTES);
    tokio::pin!(reserving);
    assert!(futures::poll!(reserving.as_mut()).is_pending());
    first.evicted().await;
    assert!(futures::poll!(reserving.as_mut()).is_pending());
    drop(first);
    assert_eq!(reserving.await, Ok(()));
}

/// Guards against a request that is served although its memory has been given to others.
#[tokio::test]
async fn evicted_request_is_not_served() {
    let account = CallerAccount::new(SHARES);
    let first = account.begin(TimeMs(0));
    let second = account.begin(TimeMs(1));
    assert_eq!(first.add(LARGE_BYTES), Ok(()));
    assert_eq!(second.add(2 * LARGE_BYTES), Ok(()));
    assert_eq!(first.serve(TimeMs(1_000)), Err(Evicted));
}

#[tokio::test]
async fn closed_connection_makes_room_for_another() {
    let account = CallerAccount::new(SHARES);
    let served = [account.open(TimeMs(0)), account.open(TimeMs(0))];
    for place in served.iter().flatten() {
        assert_eq!(place.serve(TimeMs(1_000)), Ok(()));
    }
    assert!(account.open(TimeMs(10)).is_none());
    drop(served);
    assert!(account.open(TimeMs(20)).is_some());
    assert_eq!(account.held(), (0, 0));
}
