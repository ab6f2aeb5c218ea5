use std::convert::Infallible;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;

use super::*;

/// A body whose next frame is always ready.
struct Endless;

impl Body for Endless {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(b"x")))))
    }
}

/// Time for which a reader reads that nothing ends.
const MAX_READING: Duration = Duration::from_secs(5);

/// Guards against a reader that neither sees its timeout nor lets others run while frames are ready.
#[tokio::test]
async fn ready_frames_put_no_timeout_off() {
    let begun_at = Instant::now();
    let mut frames = 0;
    let mut body = FairBody::new(Endless);
    let endless = async {
        while begun_at.elapsed() < MAX_READING && body.frame().await.is_some() {
            frames += 1;
        }
    };
    let ended = tokio::time::timeout(Duration::ZERO, endless).await;
    assert!(ended.is_err(), "the timeout did not end the reading");
    assert!(frames > 0, "no frame was read");
}
