//! Reads the events of one stream and notices when the engine falls silent.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep, sleep_until};

use super::error::{LostCause, UpstreamError};
use super::sse::{DecodeError, Decoder, EVENT_LIMIT_BYTES};
use super::wire::EngineEvent;
use super::{EventStream, Patience};

/// Events of one stream, read from the engine's answer.
///
/// Dropping it closes the connection; the stream itself goes on at the engine until it is
/// cancelled.
#[derive(Debug)]
pub struct Events {
    body: Incoming,
    decoder: Decoder,
    silence: Duration,
    last_heard: Instant,
    // Set again only when it fires, because moving a timer on every token costs more than the rest.
    alarm: Pin<Box<Sleep>>,
    ended: bool,
}

impl Events {
    pub(super) fn new(body: Incoming, attempt: &str, patience: Patience) -> Self {
        let silence = Duration::from_millis(patience.silence_ms);
        let last_heard = Instant::now();
        Self {
            body,
            decoder: Decoder::new(Arc::from(attempt)),
            silence,
            last_heard,
            alarm: Box::pin(sleep_until(last_heard + silence)),
            ended: false,
        }
    }

    /// Changes how long the engine may be silent, from now on.
    ///
    /// Until the first token a stream may be queued and rightly silent; between tokens it is not.
    #[must_use]
    pub fn with_silence_ms(mut self, silence_ms: u64) -> Self {
        self.set_silence_ms(silence_ms);
        self
    }

    /// Changes how long the engine may be silent, from now on.
    pub fn set_silence_ms(&mut self, silence_ms: u64) {
        self.silence = Duration::from_millis(silence_ms);
        self.alarm.as_mut().reset(self.last_heard + self.silence);
    }

    fn take(&mut self) -> Option<Result<EngineEvent, UpstreamError>> {
        if self.ended {
            return None;
        }
        match self.decoder.next_event() {
            Ok(Some(event)) => {
                self.ended = !matches!(event, EngineEvent::Token { .. });
                Some(Ok(event))
            }
            Ok(None) => None,
            Err(error) => Some(self.fail(cause(error))),
        }
    }

    fn fail(&mut self, cause: LostCause) -> Result<EngineEvent, UpstreamError> {
        self.ended = true;
        Err(UpstreamError::Lost(cause))
    }

    async fn wait(&mut self) -> Option<Result<EngineEvent, UpstreamError>> {
        while !self.ended {
            match poll_fn(|context| self.poll_read(context)).await {
                Ok(bytes) => self.decoder.push(&bytes),
                Err(cause) => return Some(self.fail(cause)),
            }
            if let Some(event) = self.take() {
                return Some(event);
            }
        }
        None
    }

    fn poll_read(&mut self, context: &mut Context<'_>) -> Poll<Result<Bytes, LostCause>> {
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                self.last_heard = Instant::now();
                Poll::Ready(Ok(frame.into_data().unwrap_or_default()))
            }
            Poll::Ready(Some(Err(cause))) => Poll::Ready(Err(LostCause::Body(cause))),
            Poll::Ready(None) => Poll::Ready(Err(LostCause::Truncated)),
            Poll::Pending => self.poll_silence(context),
        }
    }

    /// Fails a stream on which nothing has come for too long.
    ///
    /// A connection whose other side is gone without a word (a cut cable, a lost host) never ends
    /// by itself; the caller would wait until its deadline. The alarm turns it into a lost attempt
    /// that can go on elsewhere.
    fn poll_silence<T>(&mut self, context: &mut Context<'_>) -> Poll<Result<T, LostCause>> {
        while self.alarm.as_mut().poll(context).is_ready() {
            let until = self.last_heard + self.silence;
            if until <= Instant::now() {
                let waited_ms = u64::try_from(self.silence.as_millis()).unwrap_or(u64::MAX);
                return Poll::Ready(Err(LostCause::Silent { waited_ms }));
            }
            self.alarm.as_mut().reset(until);
        }
        Poll::Pending
    }
}

impl EventStream for Events {
    async fn next(&mut self) -> Option<Result<EngineEvent, UpstreamError>> {
        match self.take() {
            Some(event) => Some(event),
            None => self.wait().await,
        }
    }

    fn next_ready(&mut self) -> Option<Result<EngineEvent, UpstreamError>> {
        self.take()
    }
}

fn cause(error: DecodeError) -> LostCause {
    match error {
        DecodeError::TooLarge => LostCause::TooLarge {
            limit_bytes: EVENT_LIMIT_BYTES,
        },
        DecodeError::Data(error) => LostCause::Protocol(error),
    }
}
