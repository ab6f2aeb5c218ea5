use std::io::Write;

use tokio::io::AsyncReadExt;

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

/// Returns output that a task of its own reads from a socket, as the task of a connection does, and the socket's other end.
async fn read_from_a_socket() -> (tokio::sync::oneshot::Receiver<u8>, std::net::TcpStream) {
    let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let writer = std::net::TcpStream::connect(address).expect("it listens");
    let (mut reader, _address) = listener.accept().await.expect("it is connected");
    let (sender, receiver) = tokio::sync::oneshot::channel();
    tokio::spawn(async move {
        let read = reader.read_u8().await.expect("a byte is written");
        sender.send(read).expect("it is awaited");
    });
    tokio::time::sleep(Duration::from_millis(20)).await;
    (receiver, writer)
}

/// Guards against output that a busy node takes for missing while it waits in a socket, since its timer fired nearly on time.
#[tokio::test]
async fn output_that_waits_in_a_socket_counts_although_the_timer_was_not_late() {
    let (receiver, mut writer) = read_from_a_socket().await;
    writer.write_all(&[7]).expect("it is connected");
    let output = within(Duration::ZERO, receiver).await;
    assert_eq!(output, Ok(Ok(7)));
}

/// Guards against streams that outlast their limit because their upstream always has something ready.
#[test]
fn reading_behind_a_limit_ends() {
    let mut reading = LateReading::default();
    let limit = TimeMs(1_000);
    assert!(!reading.is_over(limit, TimeMs(999)));
    assert!(!reading.is_over(limit, TimeMs(1_001)));
    assert!(reading.is_over(limit, TimeMs(1_002)));
}

/// Guards against answers that are cut because this process was paused until their limit had passed.
#[test]
fn what_came_during_a_pause_is_read_behind_the_limit() {
    let mut reading = LateReading::default();
    let limit = TimeMs(1_000);
    assert!(!reading.is_over(limit, TimeMs(2_000)));
    assert!(!reading.is_over(limit, TimeMs(2_250)));
    assert!(reading.is_over(limit, TimeMs(2_251)));
}
