use super::*;

/// What a busy machine may add.
const PATIENCE: Duration = Duration::from_secs(2);

/// Guards against answers that are taken for missing because this process was paused until their timer had run out.
#[tokio::test]
async fn output_that_is_read_right_after_a_pause_counts() {
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let timeout = Duration::from_millis(300);
    let waiting = tokio::spawn(async move { within(timeout, receiver).await });
    tokio::task::yield_now().await;
    // Nothing else runs on this runtime meanwhile.
    std::thread::sleep(Duration::from_millis(600));
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert_eq!(sender.send("read"), Ok(()));
    let output = waiting.await.expect("it does not panic");
    assert_eq!(output, Ok(Ok("read")));
}

#[tokio::test]
async fn missing_output_ends_soon_after_the_timeout() {
    let started_at = Instant::now();
    let timeout = Duration::from_millis(300);
    let waited = within(timeout, std::future::pending::<()>()).await;
    assert!(waited.is_err());
    assert!(started_at.elapsed() < timeout + MAX_READING + PATIENCE);
}

#[test]
fn time_for_reading_is_bounded() {
    let ms = Duration::from_millis;
    let cases = [(0, 0), (49, 0), (50, 50), (200, 200), (60_000, 250)];
    for (late_ms, reading_ms) in cases {
        assert_eq!(time_for_reading(ms(late_ms)), ms(reading_ms), "{late_ms}");
    }
}
